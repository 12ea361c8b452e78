//! Duties that one node of the fleet performs at a time.

mod duty_kind;

pub use duty_kind::DutyKind;
pub use duty_kind::UnknownDuty;
