//! Control state of a node, held by one thread; traffic threads send it typed commands.
//!
//! Traffic threads send commands through a [`ControlHandle`] and look up resources in a
//! [`ConfigView`], a read-only copy of the configuration.

mod clock;
mod cluster_store;
mod command;
mod effects;
mod exit_check;
mod handle;
mod input;
mod load;
mod outbox;
mod peer_handler;
mod placement;
mod pools;
mod runner;
mod state;
mod status;
mod suspects;
mod thread;
mod view;

pub use clock::NodeClock;
pub use command::AttemptReport;
pub use command::ControlCommand;
pub use command::GrantAnswer;
pub use command::SubmitCommand;
pub use handle::ControlHandle;
pub use handle::PendingGrant;
pub use pools::pool_of;
pub use status::FleetStatus;
pub use thread::ControlContext;
pub use thread::ControlThread;
pub use view::ConfigView;
pub use view::PlainRoute;
