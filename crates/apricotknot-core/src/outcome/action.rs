//! Actions that the request tracker requests from its driver.

use std::time::Duration;

use super::CallerError;
use crate::types::AttemptId;
use crate::types::AttemptOutcome;
use crate::types::EndpointId;
use crate::types::ExecutionCertainty;

/// Names the reason for which a received part of an answer was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropReason {
    /// The head carries the id of another attempt.
    WrongAttempt,
    /// The chunk was already forwarded.
    Duplicate,
    /// The part belongs to an attempt or a connection that has ended.
    Stale,
}

/// Describes the outcome of a request; each request has exactly one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinalOutcome {
    /// Whether an endpoint executed the request.
    pub executed: ExecutionCertainty,
    /// Error to return to the caller; `None` if the whole answer was forwarded.
    pub error: Option<CallerError>,
    /// Whether the request failed after a part of the answer was forwarded.
    ///
    /// The error can then no longer be sent as an answer of its own: the stream must be aborted.
    pub partly_forwarded: bool,
    /// Number of attempts that were sent.
    pub attempts: u32,
}

/// Names a step that the driver of a request must perform.
///
/// The tracker itself performs no input or output. It emits exactly one of
/// [`Self::CancelAttempt`] and [`Self::EndAttempt`] for each granted attempt, and exactly one
/// [`Self::Finish`] for each request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Request a grant from the pool of the service.
    RequestGrant {
        /// Time to wait before the grant is requested.
        delay: Duration,
        /// Endpoints that must not be chosen.
        excluding: Vec<EndpointId>,
        /// Whether the endpoint may run no other request at the same time.
        exclusive: bool,
    },
    /// Connect to the endpoint, feed [`super::RequestEvent::SendStarting`], and send the request.
    Send {
        /// Attempt to send.
        attempt: AttemptId,
        /// Endpoint to which the attempt is sent.
        endpoint: EndpointId,
    },
    /// Forward the chunk that was just received to the caller.
    ForwardChunk {
        /// Attempt to which the chunk belongs.
        attempt: AttemptId,
        /// Index of the chunk in the answer, counted from 0.
        index: u64,
    },
    /// Drop the part of an answer that was just received.
    DropArrival {
        /// Reason for which it is dropped.
        reason: DropReason,
    },
    /// Reconnect to the same endpoint and read the rest of the same generation.
    ResumeFrom {
        /// Attempt to resume.
        attempt: AttemptId,
        /// Endpoint that runs the attempt.
        endpoint: EndpointId,
        /// Index of the first missing chunk.
        index: u64,
    },
    /// Cancel the attempt; release its grant once the endpoint is known to have stopped it.
    CancelAttempt {
        /// Attempt to cancel.
        attempt: AttemptId,
        /// Endpoint that may run the attempt.
        endpoint: EndpointId,
    },
    /// Release the grant of an attempt that has ended.
    EndAttempt {
        /// Attempt that has ended.
        attempt: AttemptId,
        /// Endpoint that the attempt used.
        endpoint: EndpointId,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Report that the request was in flight at an endpoint that crashed.
    ReportCrash {
        /// Attempt that was in flight.
        attempt: AttemptId,
        /// Endpoint that crashed.
        endpoint: EndpointId,
        /// Boot id of the crashed process, if an answer head reported it.
        boot: Option<crate::types::BootId>,
    },
    /// Return the outcome to the caller.
    Finish(FinalOutcome),
}
