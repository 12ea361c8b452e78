//! Events that the driver of a request feeds to its tracker.

use std::time::Duration;

use super::CallerErrorKind;
use crate::types::AttemptId;
use crate::types::BootId;
use crate::types::EndpointId;

/// Names the reason for which a connection to an endpoint broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// The process of the endpoint crashed or restarted.
    EndpointCrash,
    /// The connection broke; the endpoint is not known to have crashed.
    Connection,
}

/// Reports to the tracker what happened to a request.
///
/// Events of an attempt carry its id. Events of an attempt that has ended are dropped, and counted
/// if they carry a part of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestEvent {
    /// A grant was issued: the attempt may use the endpoint.
    Granted {
        /// Attempt to which the grant belongs.
        attempt: AttemptId,
        /// Endpoint that the attempt may use.
        endpoint: EndpointId,
    },
    /// The grant was refused.
    GrantRefused {
        /// Kind of the error to return to the caller.
        kind: CallerErrorKind,
        /// Time after which the caller should retry.
        retry_after: Option<Duration>,
    },
    /// The grant expired before the attempt was sent.
    GrantExpired {
        /// Attempt that held the grant.
        attempt: AttemptId,
    },
    /// The first byte is about to be written; fed before the write starts.
    SendStarting {
        /// Attempt that is being sent.
        attempt: AttemptId,
    },
    /// The connection could not be established, so nothing was sent.
    ConnectFailed {
        /// Attempt that failed.
        attempt: AttemptId,
    },
    /// The endpoint refused the request and stated that it did not run it; fed after
    /// [`Self::HeadReceived`].
    RefusedByEndpoint {
        /// Attempt that was refused.
        attempt: AttemptId,
        /// Time after which the endpoint accepts requests again, as far as it stated one.
        retry_after: Option<Duration>,
    },
    /// The head of an answer was received.
    HeadReceived {
        /// Attempt whose connection carried the head.
        attempt: AttemptId,
        /// Attempt id that the head carries; `None` if the endpoint does not echo it.
        echoed: Option<AttemptId>,
        /// Boot id of the endpoint process, if the head carries one.
        boot: Option<BootId>,
    },
    /// A chunk of the answer was received.
    ChunkReceived {
        /// Attempt to which the chunk belongs.
        attempt: AttemptId,
        /// Index of the chunk in the answer, counted from 0.
        index: u64,
    },
    /// The answer ended with a mark that it is complete.
    AnswerCompleted {
        /// Attempt whose answer is complete.
        attempt: AttemptId,
    },
    /// The connection broke, or the answer ended without a mark that it is complete.
    ConnectionLost {
        /// Attempt whose connection broke.
        attempt: AttemptId,
        /// Reason for which the connection broke, as far as it is known.
        cause: LossCause,
    },
    /// The endpoint no longer holds the answer and cannot resume it.
    ResumeRefused {
        /// Attempt that was to be resumed.
        attempt: AttemptId,
    },
    /// The endpoint reported that the request failed after it started work; fed after
    /// [`Self::HeadReceived`].
    EndpointFailed {
        /// Attempt that failed.
        attempt: AttemptId,
    },
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The time that the node allows open requests during shutdown passed.
    ShutdownForced,
}

impl RequestEvent {
    /// Returns the attempt of the event; `None` if it concerns the whole request.
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Granted { attempt, .. }
            | Self::GrantExpired { attempt }
            | Self::SendStarting { attempt }
            | Self::ConnectFailed { attempt }
            | Self::RefusedByEndpoint { attempt, .. }
            | Self::HeadReceived { attempt, .. }
            | Self::ChunkReceived { attempt, .. }
            | Self::AnswerCompleted { attempt }
            | Self::ConnectionLost { attempt, .. }
            | Self::ResumeRefused { attempt }
            | Self::EndpointFailed { attempt } => Some(*attempt),
            Self::GrantRefused { .. }
            | Self::DeadlinePassed
            | Self::CallerDisconnected
            | Self::ShutdownForced => None,
        }
    }
}
