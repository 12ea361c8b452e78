//! Commands that traffic threads send to the control thread.

use std::time::Duration;

use apricotknot_core::admission::DecisionRecord;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::admission::TokenUsage;
use apricotknot_core::objectives::BurnSnapshot;
use apricotknot_core::objectives::FinishedRequest;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::BootId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::RequestId;
use tokio::sync::oneshot;

/// Answer to a request for a grant: the granted ticket, or why the request was refused.
pub type GrantAnswer = Result<GrantTicket, RefusalNotice>;

/// Requests a grant from a pool.
#[derive(Debug)]
pub struct SubmitCommand {
    /// Pool that the grant is requested from.
    pub pool: PoolId,
    /// Request and attempt that the grant is for.
    pub submission: RequestSubmission,
    /// Receives the answer; a closed receiver means that the caller no longer waits.
    pub reply: oneshot::Sender<GrantAnswer>,
}

/// Reports the end of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptReport {
    /// Pool that made the grant.
    pub pool: PoolId,
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the endpoint certainly holds no memory for the attempt any more.
    pub confirmed_free: bool,
    /// Tokens that the engine reported for the attempt, if it did.
    pub usage: Option<TokenUsage>,
}

impl AttemptReport {
    /// Creates the report of an attempt that was never sent.
    pub fn unsent(pool: PoolId, attempt: AttemptId) -> Self {
        Self { pool, attempt, outcome: AttemptOutcome::NotSent, confirmed_free: true, usage: None }
    }
}

/// Carries one command to the control thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Requests a grant.
    Submit(Box<SubmitCommand>),
    /// Withdraws a request for a grant.
    Withdraw {
        /// Pool that the grant was requested from.
        pool: PoolId,
        /// Request whose caller no longer waits.
        request: RequestId,
        /// Attempt that the grant would be for.
        attempt: AttemptId,
    },
    /// Reports that an attempt is about to be sent.
    Started {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// Reports that the first token of an attempt arrived.
    FirstToken {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Time from sending to the first token.
        after: Duration,
    },
    /// Reports that an attempt ended.
    Ended(AttemptReport),
    /// Reports that a connection to an endpoint broke or could not be opened.
    ConnectionReset {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
    },
    /// Reports that an attempt was in flight at an endpoint that crashed.
    EndpointCrashed {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Boot identifier of the run that crashed; empty if it is not known.
        boot: BootId,
    },
    /// Reports the boot identifier with which an endpoint answered.
    BootSeen {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Boot identifier of the run that answered.
        boot: BootId,
    },
    /// Announces to all nodes, without the key-value service, whether a data centre or an endpoint
    /// gets new work.
    Announce {
        /// Key of the data centre or the endpoint.
        key: ResourceKey,
        /// Duty that it has from now on.
        duty: DutyState,
    },
    /// Applies changes of the configuration.
    Configure(UpdateBatch),
    /// Counts a finished request against the service's objectives.
    Served(Box<FinishedRequest>),
    /// Reads the counts against the objectives.
    ReadBurn {
        /// Receives the counts of this node.
        reply: oneshot::Sender<BurnSnapshot>,
    },
    /// Reads why a request was granted or refused.
    Explain {
        /// Identifies the request.
        request: RequestId,
        /// Receives the newest decision; `None` if this node has no record of it.
        reply: oneshot::Sender<Option<DecisionRecord>>,
    },
    /// Stops the control thread.
    Stop,
}
