//! Commands that traffic threads send to the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::BackoffStatement;
use apricotknot_core::fleet::PartCrashReport;
use apricotknot_core::fleet::PlacementEvidence;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::fleet::RateStatement;
use apricotknot_core::fleet::RequestFingerprint;
use apricotknot_core::fleet::WaitCause;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::TokenCount;
use tokio::sync::oneshot;

use super::AttemptGuard;
use super::EndpointPath;
use super::RelayPermit;
use crate::relay::RelayRefusal;

/// Requests the placement of one attempt.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// Size, service and constraints of the request.
    pub query: PlacementQuery,
    /// Whether the request was already sent to an endpoint; retries count against a limit.
    pub is_retry: bool,
    /// Whether the request may wait in the queue; if not, it is refused when no endpoint has room.
    pub may_wait: bool,
    /// Endpoints that this node could not connect to for the request.
    pub unreached: Vec<EndpointId>,
    /// Fingerprint of the request; requests with the same content share it.
    pub fingerprint: RequestFingerprint,
    /// Parts of the prompt that other prompts can share.
    pub shared_parts: Arc<[PromptPartId]>,
}

/// Permits one attempt at one endpoint.
#[derive(Debug)]
pub struct EndpointGrant {
    /// Reports the end of the attempt to the control thread, even if the grant is never used.
    pub guard: AttemptGuard,
    /// Endpoint that is to run the attempt.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Way to the endpoint.
    pub path: EndpointPath,
    /// Whether this node also tries to connect itself, to learn whether it is still cut off.
    pub probes: bool,
    /// Endpoints that prefill parts of the prompt.
    pub helpers: Vec<HelperGrant>,
    /// Whether the endpoint states a limit of its request rate.
    pub is_rate_limited: bool,
    /// Time from the start of the attempt until the answer is expected to begin.
    pub expected_start: Duration,
    /// What was weighed.
    pub evidence: PlacementEvidence,
    /// What the request waited for last, if it waited.
    pub waited_for: Option<WaitCause>,
}

impl EndpointGrant {
    /// Returns the sum of the memory that the helpers have to reserve, in tokens.
    pub fn reserved_tokens(&self) -> TokenCount {
        self.helpers.iter().map(|helper| helper.memory).sum()
    }
}

/// Describes one helper: an endpoint that prefills a part of the prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperGrant {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Way to the endpoint.
    pub path: EndpointPath,
    /// Memory that it has to reserve, in tokens; 0 if it only prefills.
    pub memory: TokenCount,
}

/// Reports that an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementRefusal {
    /// Reason, as callers and the log receive it.
    pub reason: &'static str,
    /// Time after which the caller should try again.
    pub retry_after: Duration,
    /// What was weighed; `None` if the request was refused before.
    pub evidence: Option<PlacementEvidence>,
}

/// One message from a traffic thread to the control thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Requests an endpoint for an attempt.
    Place {
        /// Attempt to place.
        request: Box<PlacementRequest>,
        /// Receives the answer; its receiver is dropped when the call has ended.
        reply: oneshot::Sender<Result<EndpointGrant, PlacementRefusal>>,
    },
    /// The answer to an attempt has begun.
    AnswerBegan {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Endpoint that answers.
        endpoint: EndpointId,
        /// Ratio of the actual to the expected time until the answer began.
        slowdown: f64,
    },
    /// An answer states the request rate that its endpoint accepts.
    RateStated {
        /// Endpoint that answered.
        endpoint: EndpointId,
        /// What the answer states.
        statement: RateStatement,
        /// Time at which the request was sent.
        sent_at: MonotonicTime,
    },
    /// An answer of an endpoint says that it leaves.
    LeavingStated {
        /// Endpoint that leaves.
        endpoint: EndpointId,
    },
    /// An endpoint has refused a request and asks for a backoff.
    BackoffRequested {
        /// Endpoint that refused.
        endpoint: EndpointId,
        /// What it asks for.
        statement: BackoffStatement,
        /// Node that relayed the request, if one did.
        relayed_by: Option<NodeId>,
    },
    /// Asks whether an attempt that was granted some time ago may still be sent.
    Confirm {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Receives the answer.
        reply: oneshot::Sender<bool>,
    },
    /// A connection of this node to an endpoint was established, or could not be.
    ///
    /// Established ones are reported while
    /// [`SharedState::is_path_suspect`](super::SharedState::is_path_suspect) holds.
    PathTried {
        /// Endpoint that was tried.
        endpoint: EndpointId,
        /// Whether it can be reached.
        is_reached: bool,
    },
    /// Another node connected to an endpoint for this one.
    EndpointRelayed {
        /// Endpoint that the other node reaches.
        endpoint: EndpointId,
    },
    /// Asks whether a connection to an endpoint may be relayed for another node.
    PermitRelay {
        /// Endpoint that the node means.
        endpoint: EndpointId,
        /// Receives the answer.
        reply: oneshot::Sender<Result<RelayPermit, RelayRefusal>>,
    },
    /// A relayed connection has ended.
    RelayEnded,
    /// A node that was asked to relay did not.
    RelayFailed {
        /// Node that was asked.
        node: NodeId,
    },
    /// An endpoint did not reserve memory for an attempt that it was to help.
    MemoryRefused {
        /// Endpoint that has no memory, or did not answer.
        endpoint: EndpointId,
    },
    /// An endpoint is silent; its attempt goes on beside one at another endpoint.
    EndpointSilent {
        /// Endpoint that is silent.
        endpoint: EndpointId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A request of an account began to run.
    RequestBegan {
        /// Account that the request was made for.
        account: AccountId,
        /// Time at which it began.
        began: MonotonicTime,
    },
    /// The connection broke after a request was sent: its endpoint may have crashed.
    ConnectionBroken {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Endpoint whose connection broke.
        endpoint: EndpointId,
    },
    /// The connection broke before the answer began: a part of the prompt may crash endpoints.
    PromptBroken(PartCrashReport),
    /// A request was answered completely, so it did not crash its endpoint.
    RequestAnswered {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Parts of the prompt that other prompts can share.
        shared_parts: Arc<[PromptPartId]>,
    },
    /// Withdraws the node and ends the control thread.
    Stop {
        /// Notified once the node is withdrawn.
        done: oneshot::Sender<()>,
    },
}
