//! What traffic threads tell the control thread.

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

/// Answer to the question for a grant.
pub type GrantAnswer = Result<GrantTicket, RefusalNotice>;

/// Asks for a grant.
#[derive(Debug)]
pub struct SubmitCommand {
    /// Pool that is asked.
    pub pool: PoolId,
    /// What the grant is for.
    pub submission: RequestSubmission,
    /// Where the answer goes.
    pub reply: oneshot::Sender<GrantAnswer>,
}

/// Reports the end of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptReport {
    /// Pool that made the grant.
    pub pool: PoolId,
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the endpoint certainly holds nothing for it.
    pub confirmed_free: bool,
    /// What the engine says it used.
    pub usage: Option<TokenUsage>,
}

impl AttemptReport {
    /// Creates the report of an attempt that was never sent.
    pub fn unsent(pool: PoolId, attempt: AttemptId) -> Self {
        Self { pool, attempt, outcome: AttemptOutcome::NotSent, confirmed_free: true, usage: None }
    }
}

/// Tells the control thread something.
#[derive(Debug)]
pub enum ControlCommand {
    /// Asks for a grant.
    Submit(Box<SubmitCommand>),
    /// Takes back the question for a grant.
    Withdraw {
        /// Pool that was asked.
        pool: PoolId,
        /// Request whose caller is gone.
        request: RequestId,
        /// Attempt that the grant would be for.
        attempt: AttemptId,
    },
    /// Says that an attempt is about to be sent.
    Started {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// Says that the first token arrived.
    FirstToken {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Time from sending to the first token.
        after: Duration,
    },
    /// Says that an attempt ended.
    Ended(AttemptReport),
    /// Says that a connection to an endpoint broke or could not be made.
    ConnectionReset {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
    },
    /// Says that an attempt was aboard an endpoint that died.
    EndpointCrashed {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Run that died; empty where it was not known.
        boot: BootId,
    },
    /// Says which run of an endpoint answered.
    BootSeen {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Run that answered.
        boot: BootId,
    },
    /// Tells all nodes, without the key-value service, whether something gets new work.
    Announce {
        /// Data centre or endpoint.
        key: ResourceKey,
        /// Its duty.
        duty: DutyState,
    },
    /// Brings changes of the configuration.
    Configure(UpdateBatch),
    /// Says how a request ended, for the objectives.
    Served(Box<FinishedRequest>),
    /// Asks for the counts against the objectives.
    ReadBurn {
        /// Where the answer goes.
        reply: oneshot::Sender<BurnSnapshot>,
    },
    /// Asks why a request was granted or refused.
    Explain {
        /// Identifies the request.
        request: RequestId,
        /// Where the answer goes; none where the decision is not remembered here.
        reply: oneshot::Sender<Option<DecisionRecord>>,
    },
    /// Asks the thread to end.
    Stop,
}
