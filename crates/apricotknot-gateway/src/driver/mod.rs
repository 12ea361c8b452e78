//! Drives one call from its arrival to its one answer.

mod attempt;
mod call_driver;
mod call_fault;
mod call_notes;
mod call_record;
mod context;
mod event_relay;
mod fingerprint;
mod placing;
mod reservation;
mod session;
mod whole_relay;

pub use call_fault::CallFault;
pub use call_record::CallRecord;
pub use context::TrafficContext;
pub use session::CallerSession;
