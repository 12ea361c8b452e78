//! Handles one call from its arrival to the end of its answer.

mod admitted_call;
mod attempt;
mod attempt_opening;
mod buffered_relay;
mod call_driver;
mod call_fault;
mod call_outcome;
mod call_telemetry;
mod context;
mod endpoint_access;
mod event_relay;
mod fingerprint;
mod open_call;
mod placement;
mod reservation;
mod session;
mod standby;
mod unbuffered_relay;
mod upload_rest;
mod usage_count;

pub use admitted_call::AdmittedCall;
pub use call_fault::CallFault;
pub use context::TrafficContext;
pub use session::CallerSession;

use call_outcome::CallOutcome;
