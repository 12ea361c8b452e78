//! Duties that one node of the fleet performs at a time.

mod duty_action;
mod duty_holder;
mod duty_kind;
mod duty_limits;
mod duty_notice;
mod duty_record;
mod duty_term;
mod holder_phase;
mod term_vacancy;

pub use duty_action::DutyAction;
pub use duty_action::DutyOutcome;
pub use duty_holder::DutyHolder;
pub use duty_kind::DutyKind;
pub use duty_kind::UnknownDuty;
pub use duty_limits::DutyLimits;
pub use duty_notice::DutyNotice;
pub use duty_notice::TermEnd;
pub use duty_record::DutyContents;
pub use duty_record::DutyEntry;
pub use duty_record::DutyLease;
pub use duty_record::DutyRecord;
pub use duty_record::fencing_number;
pub use duty_term::DutyTerm;
