//! Drives one call from its arrival to its one answer.

mod attempt;
mod call_driver;
mod call_fault;
mod call_record;
mod context;
mod event_relay;
mod fingerprint;
mod reservation;
mod session;

pub use call_fault::CallFault;
pub use call_record::CallRecord;
pub use context::TrafficContext;
pub use session::CallerSession;
