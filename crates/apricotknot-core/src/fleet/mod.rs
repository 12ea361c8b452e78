//! The endpoints as one node sees them, and the decision which of them takes a request.
//!
//! Each node tells all others what it has under way ([`LoadNews`]). A node decides alone from that
//! shared view, so no request waits for another node, and the end of a node stops no decision.

mod cold_gate;
mod crash_book;
mod endpoint;
mod endpoint_load;
mod engine_model;
mod fleet_board;
mod health_record;
mod load_news;
mod placement;
mod retry_window;
mod sharing;
mod work;

pub use cold_gate::ColdGate;
pub use crash_book::CrashBook;
pub use crash_book::CrashNote;
pub use crash_book::Fingerprint;
pub use endpoint::EndpointEntry;
pub use endpoint::EndpointPhase;
pub use engine_model::EngineModel;
pub use fleet_board::FleetBoard;
pub use health_record::AttemptEnd;
pub use health_record::HealthRecord;
pub use load_news::LoadNews;
pub use load_news::WaitNews;
pub use load_news::WorkNews;
pub use placement::HelperPart;
pub use placement::PlacementAsk;
pub use placement::PlacementPlan;
pub use placement::PlacementVerdict;
pub use placement::place;
pub use retry_window::RetryShare;
pub use retry_window::RetryWindow;
pub use work::WorkItem;
pub use work::WorkPhase;
pub use work::WorkRole;
pub use work::WorkSize;
