//! Limits of the request rate that endpoints state in their answers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::SharedRate;
use crate::types::EndpointId;
use crate::types::MonotonicTime;

/// Length of the windows in which a stated limit is kept.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Lowest rate at which a limited endpoint is asked, in requests per second.
///
/// Only its answers tell that a limit has ended.
const LOWEST_RATE: f64 = 0.1;

/// Number of windows without any statement after which a further node asks the endpoint, in each
/// window one more.
const SILENT_WINDOWS: usize = 2;

/// Time by which a statement must be newer than one of another node to replace it.
///
/// It covers the time that load snapshots take from one node to the next.
const STATEMENT_MARGIN: Duration = Duration::from_millis(50);

/// Time for which the end of a limit is reported to other nodes.
const END_REPORT_TIME: Duration = Duration::from_secs(10);

/// Identifies one statement; a statement that returns by way of other nodes is recognized by it.
pub type StatementId = u64;

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

/// Holds what an endpoint stated last.
#[derive(Clone, Debug, PartialEq)]
pub struct StatedRate {
    /// Identifies the statement.
    pub id: StatementId,
    /// Limit in requests per second, or `None` if the endpoint states none any more.
    pub per_second: Option<f64>,
    /// Time from which the endpoint is known to have stated this.
    pub stated_at: MonotonicTime,
    /// Time from which this node knows of a limit without interruption.
    pub limited_since: MonotonicTime,
    /// Time until which the statement is reported to other nodes if it names no limit.
    pub reported_until: MonotonicTime,
}

impl StatedRate {
    /// Returns whether a statement of another node replaces this one.
    ///
    /// In doubt a limit stays: if the statements are equally old, the one that names a limit counts.
    pub fn is_replaced_by(&self, per_second: Option<f64>, stated_at: MonotonicTime) -> bool {
        match (self.per_second, per_second) {
            (None, Some(_)) => stated_at > self.stated_at,
            _ => stated_at > self.stated_at + STATEMENT_MARGIN,
        }
    }

    /// Returns the rate that all nodes together keep, or `None` if there is no limit.
    pub fn shared_rate(&self) -> Option<SharedRate> {
        self.per_second.map(|rate| SharedRate::new(rate.max(LOWEST_RATE), LIMIT_WINDOW))
    }

    /// Returns the number of nodes beyond the rate that may ask the endpoint, as it has not
    /// answered any node for long.
    ///
    /// Without them, a limit would never end once the nodes with a share have no requests.
    pub fn extra_askers(&self, rate: &SharedRate, now: MonotonicTime) -> usize {
        let silence = now.saturating_sub(self.stated_at).as_secs_f64();
        let windows = (silence / rate.window().as_secs_f64()) as usize;
        windows.saturating_sub(SILENT_WINDOWS)
    }

    /// Returns whether other nodes are told of this statement at `now`.
    pub fn is_reported(&self, now: MonotonicTime) -> bool {
        self.per_second.is_some() || now < self.reported_until
    }

    /// Reports the end of the limit to other nodes again, as one of them does not know of it.
    pub fn renew_report(&mut self, now: MonotonicTime) {
        self.reported_until = now + END_REPORT_TIME;
    }
}

/// Reports to other nodes what an endpoint stated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateReport {
    /// Endpoint that stated it.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: u64,
    /// Identifies the statement.
    pub id: StatementId,
    /// Limit in requests per second, or `None` if the endpoint states none any more.
    pub per_second: Option<f64>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u32,
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
