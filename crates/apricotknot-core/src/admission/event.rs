//! What a pool's scheduler is told.

use std::time::Duration;

use super::AccountLimits;
use super::BudgetAmount;
use super::EndpointCapacity;
use super::PoolSettings;
use crate::types::AccountId;
use crate::types::AttemptId;
use crate::types::AttemptOutcome;
use crate::types::BootId;
use crate::types::EndpointId;
use crate::types::NodeId;
use crate::types::RequestId;
use crate::types::RequestProfile;
use crate::types::TokenCount;

/// Asks for a grant to run one attempt of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSubmission {
    /// Describes the request.
    pub profile: RequestProfile,
    /// Identifies the attempt that the grant will be for; a repeat with equal id is the same call.
    pub attempt: AttemptId,
    /// Node that asks and that will run the attempt.
    pub node: NodeId,
    /// Endpoints that the attempt must not use.
    pub excluded: Vec<EndpointId>,
}

/// Holds an engine's own view of its load, which lags.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Run of the engine's process that the report is from.
    pub boot_id: BootId,
    /// Whether the engine calls itself cold.
    pub cold: bool,
    /// Key-value cache in use, in tokens.
    pub memory_used: TokenCount,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
}

/// Counts the tokens that an engine says an attempt used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the answer.
    pub completion_tokens: TokenCount,
    /// Tokens of the prompt that were found in the prefix cache.
    pub cached_tokens: TokenCount,
}

/// Says what became of a block of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CacheChange {
    /// The block was evicted.
    Evicted,
    /// The block was stored.
    Stored,
}

/// Tells a pool's scheduler what happened.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// An endpoint was added, or its capacity or duty changed.
    EndpointUpdated {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// How much it bears.
        capacity: EndpointCapacity,
    },
    /// An endpoint left for good.
    EndpointRemoved {
        /// Names the endpoint.
        endpoint: EndpointId,
    },
    /// The part of an endpoint's budget that this scheduler may hand out changed.
    AllowanceChanged {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Most that its grants may hold together.
        allowance: BudgetAmount,
    },
    /// An engine reported its load.
    LoadReported {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// The report.
        report: LoadReport,
    },
    /// An answer named the run of an endpoint that gave it.
    BootSeen {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Run that answered.
        boot_id: BootId,
    },
    /// A peer showed that one run of an endpoint bears its full load.
    WarmupProven {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Run that was proven.
        boot_id: BootId,
    },
    /// A connection to an endpoint was reset or could not be made.
    ConnectionReset {
        /// Names the endpoint.
        endpoint: EndpointId,
    },
    /// An engine's prefix cache changed, as reported late and with gaps.
    CacheChanged {
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Digest of the block.
        block: u64,
        /// What became of it.
        change: CacheChange,
    },
    /// A node asks for a grant.
    Submit(RequestSubmission),
    /// The caller of a queued request is gone.
    Withdraw {
        /// Identifies the request.
        request: RequestId,
    },
    /// A node is about to send a granted attempt.
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
    /// An attempt ended, as far as its node can tell.
    AttemptEnded {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether the endpoint certainly holds no memory for it any more.
        confirmed_free: bool,
        /// What the engine says it used.
        usage: Option<TokenUsage>,
    },
    /// An endpoint confirmed that it holds no memory for an attempt.
    FreeConfirmed {
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// A node is gone, with all that it was doing.
    NodeStopped {
        /// Names the node.
        node: NodeId,
    },
    /// An account was added or its limits changed.
    AccountChanged {
        /// Names the account.
        account: AccountId,
        /// Its limits.
        limits: AccountLimits,
    },
    /// The settings changed.
    SettingsChanged(Box<PoolSettings>),
    /// Time passed.
    Tick,
}
