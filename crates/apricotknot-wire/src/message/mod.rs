//! Typed messages to and from the owner of a pool, about grants and attempts.

mod grant;
mod report;

pub use grant::GrantReply;
pub use grant::GrantRequest;
pub use grant::OwnerHint;
pub use report::PoolReport;
pub use report::ReportKind;
