//! What the tracker asks for.

use std::time::Duration;

use super::CallerError;
use crate::types::AttemptId;
use crate::types::AttemptOutcome;
use crate::types::EndpointId;
use crate::types::ExecutionCertainty;

/// Says why something that arrived was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropReason {
    /// It carries the id of another attempt.
    WrongAttempt,
    /// It was forwarded before.
    Duplicate,
    /// Its attempt is over.
    Stale,
}

/// Holds the one outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinalOutcome {
    /// Whether the request ran.
    pub executed: ExecutionCertainty,
    /// What to tell the caller; none after a whole answer.
    pub error: Option<CallerError>,
    /// Whether a part of an answer was forwarded, so that the failure must cut the stream.
    pub partly_forwarded: bool,
    /// Attempts that were sent.
    pub attempts: u32,
}

/// Asks the node to do something.
///
/// Each granted attempt is ended by exactly one of [`Self::CancelAttempt`] and
/// [`Self::EndAttempt`], and each request by exactly one [`Self::Finish`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Ask for a grant.
    RequestGrant {
        /// Time to wait first.
        delay: Duration,
        /// Endpoints that may not be used.
        excluding: Vec<EndpointId>,
        /// Whether nothing else may run on the endpoint beside it.
        exclusive: bool,
    },
    /// Connect to the endpoint, feed [`super::RequestEvent::SendStarting`], and send.
    Send {
        /// Attempt to send.
        attempt: AttemptId,
        /// Endpoint to send it to.
        endpoint: EndpointId,
    },
    /// Forward the part that just arrived.
    ForwardChunk {
        /// Attempt that the part belongs to.
        attempt: AttemptId,
        /// Position of the part.
        index: u64,
    },
    /// Drop what just arrived.
    DropArrival {
        /// Reason.
        reason: DropReason,
    },
    /// Read the rest of the same generation from the same endpoint.
    ResumeFrom {
        /// Attempt to resume.
        attempt: AttemptId,
        /// Endpoint that holds it.
        endpoint: EndpointId,
        /// First part that is missing.
        index: u64,
    },
    /// Cancel the attempt, and release its grant once the endpoint is known to be free of it.
    CancelAttempt {
        /// Attempt to cancel.
        attempt: AttemptId,
        /// Endpoint that may run it.
        endpoint: EndpointId,
    },
    /// Release the grant of an attempt that is over.
    EndAttempt {
        /// Attempt that is over.
        attempt: AttemptId,
        /// Endpoint that it used.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Record the request as aboard an endpoint that died.
    ReportCrash {
        /// Attempt that was aboard.
        attempt: AttemptId,
        /// Endpoint that died.
        endpoint: EndpointId,
        /// Boot id of the process that died, if it was known.
        boot: Option<crate::types::BootId>,
    },
    /// Tell the caller the outcome.
    Finish(FinalOutcome),
}
