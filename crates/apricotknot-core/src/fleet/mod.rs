//! The state of all endpoints as one node knows it, and the placement of requests on them.
//!
//! Snapshots of each node's work in progress ([`LoadSnapshot`]) reach all others, and each node
//! decides on its own from the snapshots that it received. So no request waits for another node, and the
//! failure of a node blocks no decision.

mod backoff_table;
mod crash_history;
mod endpoint;
mod endpoint_leaving;
mod endpoint_load;
mod endpoint_state;
mod engine_model;
mod engine_time_price;
mod fleet_paths;
mod fleet_rates;
mod fleet_state;
mod health_record;
mod leaving_table;
mod load_snapshot;
mod node_order;
mod part_history;
mod path_health;
mod placement;
mod placement_candidate;
mod placement_costs;
mod placement_evidence;
mod placement_plan;
mod placement_query;
mod prompt_split;
mod rate_turn;
mod relay_choice;
mod relay_status;
mod relayed_snapshot;
mod request_value;
mod requested_backoff;
mod retry_limiter;
mod shared_rate;
mod stated_rate;
mod wait_forecast;
mod work;

pub use backoff_table::BackoffReport;
pub use crash_history::CrashHistory;
pub use crash_history::CrashReport;
pub use crash_history::RequestFingerprint;
pub use endpoint::EndpointEntry;
pub use endpoint::EndpointPhase;
pub use endpoint_state::EndpointState;
pub use engine_model::EngineModel;
pub use fleet_state::FleetState;
pub use health_record::AttemptEnd;
pub use health_record::HealthRecord;
pub use leaving_table::LeavingReport;
pub use load_snapshot::LoadSnapshot;
pub use load_snapshot::WaitSnapshot;
pub use load_snapshot::WorkSnapshot;
pub use node_order::NodeOrder;
pub use node_order::NodePosition;
pub use node_order::first_nodes;
pub use part_history::PartAnswerReport;
pub use part_history::PartCrashReport;
pub use part_history::PartHistory;
pub use part_history::PromptPartId;
pub use part_history::prompt_part_id;
pub use path_health::PathChange;
pub use path_health::PathHealth;
pub use placement::place;
pub use placement_evidence::PlacementEvidence;
pub use placement_evidence::PlacementVerdict;
pub use placement_evidence::WaitCause;
pub use placement_plan::HelperPart;
pub use placement_plan::PlacementDecision;
pub use placement_plan::PlacementPlan;
pub use placement_query::PlacementQuery;
pub use placement_query::QueuePosition;
pub use rate_turn::RateTurn;
pub use relay_choice::RelayCandidate;
pub use relay_choice::RelayDistance;
pub use relay_choice::choose_relays;
pub use relay_status::RelayStatus;
pub use relayed_snapshot::RelayedSnapshot;
pub use requested_backoff::BackoffChange;
pub use requested_backoff::BackoffStatement;
pub use retry_limiter::RetryLimiter;
pub use retry_limiter::RetryPolicy;
pub use shared_rate::SharedRate;
pub use stated_rate::RateChange;
pub use stated_rate::RateReport;
pub use stated_rate::RateStatement;
pub use stated_rate::StatedRate;
pub use stated_rate::StatementId;
pub use wait_forecast::refuse_hopeless;
pub use work::RequestSize;
pub use work::WorkItem;
pub use work::WorkPhase;
pub use work::WorkRole;

/// Largest number of nodes that all send their load snapshots to one another directly.
///
/// In a larger fleet, nodes of other data centres become known through digests.
pub const MAX_DIRECT_NODES: usize = 24;
