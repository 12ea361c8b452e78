//! Limits of the request rate that endpoints state in their answers.

use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// States which rate of requests an endpoint accepts from all nodes together, as one of its answers
/// says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateStatement {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// The answer names this limit, in requests per second; finite and not negative.
    PerSecond(f64),
    /// The answer names a limit that cannot be read.
    Unreadable,
}

/// Holds the limit that an endpoint stated last.
#[derive(Clone, Debug, PartialEq)]
pub struct StatedRate {
    /// Limit in requests per second, or `None` if the endpoint states none any more.
    pub per_second: Option<f64>,
    /// Time from which the endpoint is known to have stated this.
    pub stated_at: MonotonicTime,
}

/// Reports that the limit known of an endpoint changed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct RateChange {
    /// Endpoint that stated the limit.
    pub endpoint: EndpointId,
    /// Limit in requests per second, or `None` if there is none any more.
    pub per_second: Option<f64>,
    /// Whether the limit could not be read, so that a default is used.
    pub is_unreadable: bool,
    /// Whether this node received the answer itself.
    pub is_own: bool,
}
