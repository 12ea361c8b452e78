//! What traffic threads tell the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::RequestFingerprint;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::TokenCount;
use tokio::sync::oneshot;

use super::AttemptGuard;

/// Asks where one attempt of a request goes.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// What has to be placed.
    pub query: PlacementQuery,
    /// Whether the request was sent to an endpoint before.
    pub is_retry: bool,
    /// Whether the request may wait for room.
    pub may_wait: bool,
    /// Identifies requests that are equal.
    pub fingerprint: RequestFingerprint,
}

/// Allows one attempt at one endpoint.
#[derive(Debug)]
pub struct EndpointGrant {
    /// Tells the control thread how the attempt ended, also where the grant is never used.
    pub guard: AttemptGuard,
    /// Endpoint that is to run the attempt.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Endpoints that help to read the prompt.
    pub helpers: Vec<HelperGrant>,
    /// Time after which the answer is expected to begin.
    pub expected_start: Duration,
}

impl EndpointGrant {
    /// Returns the memory that helpers have to set aside, in tokens.
    pub fn reserved_tokens(&self) -> TokenCount {
        self.helpers.iter().map(|helper| helper.memory).sum()
    }
}

/// Names one endpoint that helps to read a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperGrant {
    /// Endpoint that helps.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Memory that it has to set aside, in tokens; none where it only reads.
    pub memory: TokenCount,
}

/// Says why an attempt may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementRefusal {
    /// Why it may not be sent.
    pub reason: &'static str,
    /// Time after which it is worth trying again.
    pub retry_after: Duration,
}

/// Tells the control thread something.
#[derive(Debug)]
pub enum ControlCommand {
    /// A request asks for an endpoint.
    Place {
        /// What is asked.
        request: Box<PlacementRequest>,
        /// Takes the answer; dropped when the request is over.
        reply: oneshot::Sender<Result<EndpointGrant, PlacementRefusal>>,
    },
    /// The answer of an attempt began.
    AnswerBegan {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Endpoint that answers.
        endpoint: EndpointId,
        /// Time until the answer began, in relation to the time that was expected.
        slowdown: f64,
    },
    /// An attempt is over.
    AttemptEnded {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// An endpoint broke the connection while it ran a request.
    ConnectionBroken {
        /// Identifies equal requests.
        fingerprint: RequestFingerprint,
        /// Endpoint that broke the connection.
        endpoint: EndpointId,
    },
    /// A request was answered.
    RequestAnswered {
        /// Identifies equal requests.
        fingerprint: RequestFingerprint,
    },
    /// The node stops.
    Stop {
        /// Told once the node is withdrawn.
        done: oneshot::Sender<()>,
    },
}
