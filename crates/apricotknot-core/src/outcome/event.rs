//! What happens to a request.

use std::time::Duration;

use super::CallerErrorKind;
use crate::types::AttemptId;
use crate::types::BootId;
use crate::types::EndpointId;

/// Says why a connection to an endpoint broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// The endpoint's process ended or started anew.
    EndpointCrash,
    /// Only the connection is known to have broken.
    Connection,
}

/// Tells the tracker what happened.
///
/// Events of an attempt carry its id; an event of an attempt that is over is dropped and counted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestEvent {
    /// A grant was made: this attempt may use this endpoint.
    Granted {
        /// Attempt that the grant is for.
        attempt: AttemptId,
        /// Endpoint that the grant is on.
        endpoint: EndpointId,
    },
    /// No grant is made.
    GrantRefused {
        /// Reason to tell the caller.
        kind: CallerErrorKind,
        /// Time after which the caller should try again.
        retry_after: Option<Duration>,
    },
    /// The grant expired before anything was sent.
    GrantExpired {
        /// Attempt that held the grant.
        attempt: AttemptId,
    },
    /// The first byte is about to be written; fed before the write begins.
    SendStarting {
        /// Attempt that is being sent.
        attempt: AttemptId,
    },
    /// The connection could not be made, so nothing was written.
    ConnectFailed {
        /// Attempt that failed.
        attempt: AttemptId,
    },
    /// The endpoint refused and stated that it did no work; fed after [`Self::HeadReceived`].
    RefusedByEndpoint {
        /// Attempt that was refused.
        attempt: AttemptId,
        /// Time after which the endpoint may be tried again.
        retry_after: Option<Duration>,
    },
    /// The head of an answer arrived.
    HeadReceived {
        /// Attempt whose connection carried the head.
        attempt: AttemptId,
        /// Attempt id that the answer carries; none from an endpoint that does not echo it.
        echoed: Option<AttemptId>,
        /// Boot id that the answer carries.
        boot: Option<BootId>,
    },
    /// A part of the answer arrived.
    ChunkReceived {
        /// Attempt that the part belongs to.
        attempt: AttemptId,
        /// Position of the part, counted from 0.
        index: u64,
    },
    /// The answer ended and stated that it is whole.
    AnswerCompleted {
        /// Attempt that was answered.
        attempt: AttemptId,
    },
    /// The connection broke, or the answer ended without stating that it is whole.
    ConnectionLost {
        /// Attempt whose connection broke.
        attempt: AttemptId,
        /// Reason, as far as it is known.
        cause: LossCause,
    },
    /// The endpoint no longer holds the answer that was to be resumed.
    ResumeRefused {
        /// Attempt that was to be resumed.
        attempt: AttemptId,
    },
    /// The endpoint reported a failure after it began; fed after [`Self::HeadReceived`].
    EndpointFailed {
        /// Attempt that failed.
        attempt: AttemptId,
    },
    /// The deadline passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The stop time limit of the node passed.
    ShutdownForced,
}

impl RequestEvent {
    /// Returns the attempt that the event is about.
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
