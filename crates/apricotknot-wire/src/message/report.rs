//! Reports to the owner of a pool about requests, attempts and endpoints.

use std::time::Duration;

use apricotknot_core::admission::TokenUsage;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::BootId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::RequestId;

/// Describes the event that is reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportKind {
    /// The caller of a request disconnected, or the request is no longer needed.
    Withdrawn {
        /// Identifies the request.
        request: RequestId,
        /// Identifies the attempt that the grant would be for.
        attempt: AttemptId,
    },
    /// An attempt is about to be sent.
    Started {
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// The first token of an attempt was received.
    FirstToken {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Time from sending the attempt to its first token.
        after: Duration,
    },
    /// An attempt ended.
    Ended {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Whether the endpoint has certainly released all resources of the attempt.
        confirmed_free: bool,
        /// Token counts that the engine reported; `None` when it reported none.
        usage: Option<TokenUsage>,
    },
    /// A connection to an endpoint was lost or could not be opened.
    ConnectionReset {
        /// Names the endpoint.
        endpoint: EndpointId,
    },
    /// An attempt was running at an endpoint that crashed; its end is reported separately.
    Crashed {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Boot of the endpoint that crashed; empty when it is unknown.
        boot: BootId,
    },
    /// An endpoint answered and named its current boot.
    BootSeen {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Boot of the endpoint that answered.
        boot: BootId,
    },
}

/// Reports one event to the owner of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolReport {
    /// Pool that the event concerns.
    pub pool: PoolId,
    /// Event that is reported.
    pub kind: ReportKind,
}
