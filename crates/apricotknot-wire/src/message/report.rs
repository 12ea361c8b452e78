//! Telling the owner of a pool what became of requests and endpoints.

use std::time::Duration;

use apricotknot_core::admission::TokenUsage;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::BootId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::RequestId;

/// Says what happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportKind {
    /// The caller of a request is gone, or the request is not wanted any more.
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
    /// The first token of an attempt arrived.
    FirstToken {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Time from sending to the first token.
        after: Duration,
    },
    /// An attempt ended.
    Ended {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether the endpoint certainly holds nothing for it.
        confirmed_free: bool,
        /// What the engine says it used.
        usage: Option<TokenUsage>,
    },
    /// A connection to an endpoint broke or could not be made.
    ConnectionReset {
        /// Names the endpoint.
        endpoint: EndpointId,
    },
    /// An attempt was aboard an endpoint that died; its end is reported too.
    Crashed {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Run that died; empty where it was not known.
        boot: BootId,
    },
    /// A run of an endpoint answered.
    BootSeen {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Run that answered.
        boot: BootId,
    },
}

/// Reports to the owner of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolReport {
    /// Pool.
    pub pool: PoolId,
    /// What happened.
    pub kind: ReportKind,
}
