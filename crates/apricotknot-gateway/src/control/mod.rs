//! The control thread: it holds the node's view of the fleet and places its requests.

mod announcer;
mod command;
mod feed;
mod handle;
mod kept_configuration;
mod loop_load;
mod record_keeper;
mod registry;
mod request_quarantine;
mod restore_hold;
mod runner;
mod shared;
mod state;
mod store_update;
mod wait_queue;

pub use command::ControlCommand;
pub use command::EndpointGrant;
pub use command::HelperGrant;
pub use command::PlacementRefusal;
pub use command::PlacementRequest;
pub use feed::BatchDelivery;
pub use feed::FeedEvent;
pub use feed::StateFeed;
pub use handle::AttemptGuard;
pub use handle::ControlHandle;
pub use registry::NodeRecord;
pub use registry::NodeRegistry;
pub use registry::RegistryChange;
pub use request_quarantine::QuarantineNotice;
pub use runner::ControlParts;
pub use runner::start_control;
pub use shared::SharedState;
pub use shared::StalenessLimits;
pub use state::ControlState;
pub use state::FleetLimits;
pub use store_update::StoreUpdate;
