//! Conversion between Cap'n Proto messages and typed messages.
//!
//! Reading refuses input that is malformed or larger than the limits in [`limits`]. Writing cannot
//! fail.

mod configuration;
mod drain;
mod error;
mod grant;
pub mod limits;
mod member;
mod probe;
mod reply;
mod report;
mod scalar;
mod share;

pub use configuration::read_configuration_batch;
pub use configuration::write_configuration_batch;
pub use drain::read_drain_notice;
pub use drain::write_drain_notice;
pub use error::ConvertError;
pub use error::ConvertErrorKind;
pub use grant::read_grant_request;
pub use grant::write_grant_request;
pub use member::read_snapshot;
pub use member::write_snapshot;
pub use probe::read_probe;
pub use probe::write_probe;
pub use reply::read_grant_reply;
pub use reply::write_grant_reply;
pub use report::read_reports;
pub use report::write_reports;
pub use share::read_share_messages;
pub use share::write_share_messages;
