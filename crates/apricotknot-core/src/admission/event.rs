//! Input of the scheduler of a pool.

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

/// Requests a grant to run one attempt of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSubmission {
    /// Length, account, deadline and other properties of the request.
    pub profile: RequestProfile,
    /// Attempt that the grant will be for. A submission with the same id is a repeat and is not
    /// granted twice.
    pub attempt: AttemptId,
    /// Node that submits the request and will run the attempt.
    pub node: NodeId,
    /// Endpoints that the attempt must not use.
    pub excluded: Vec<EndpointId>,
}

/// Holds the load that an engine reports; it may be out of date.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Boot id of the engine process that reported.
    pub boot_id: BootId,
    /// Whether the engine reports that it is still warming up.
    pub cold: bool,
    /// Key-value cache in use, in tokens.
    pub memory_used: TokenCount,
    /// Requests that the engine is running.
    pub running: u32,
    /// Requests that wait in the queue of the engine.
    pub waiting: u32,
}

/// Counts the tokens of an attempt, as reported by the engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the answer.
    pub completion_tokens: TokenCount,
    /// Tokens of the prompt that the engine found in its prefix cache.
    pub cached_tokens: TokenCount,
}

/// Distinguishes the changes to a block of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CacheChange {
    /// The block was evicted.
    Evicted,
    /// The block was stored.
    Stored,
}

/// Describes what happened to a pool, as input of its scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// An endpoint was added to the pool, or its capacity or duty changed.
    EndpointUpdated {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// New capacity and duty.
        capacity: EndpointCapacity,
    },
    /// An endpoint was removed from the pool. Its grants stay counted until they are confirmed
    /// free.
    EndpointRemoved {
        /// Name of the endpoint.
        endpoint: EndpointId,
    },
    /// The part of an endpoint's budget that this scheduler may grant changed.
    AllowanceChanged {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Largest total of all grants at the endpoint.
        allowance: BudgetAmount,
    },
    /// An engine reported its load.
    LoadReported {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// The reported load.
        report: LoadReport,
    },
    /// An answer carried the boot id of the endpoint process that produced it.
    BootSeen {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Boot id of the process that answered.
        boot_id: BootId,
    },
    /// A peer has proof that one process of an endpoint handles its full load.
    WarmupProven {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Boot id of the process that was proven warm.
        boot_id: BootId,
    },
    /// A connection to an endpoint was reset or could not be opened.
    ConnectionReset {
        /// Name of the endpoint.
        endpoint: EndpointId,
    },
    /// An engine reported a change to its prefix cache. Reports arrive late and some are missing.
    CacheChanged {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Digest of the block.
        block: u64,
        /// Whether the block was stored or evicted.
        change: CacheChange,
    },
    /// A node requests a grant.
    Submit(RequestSubmission),
    /// The caller of a queued request disconnected.
    Withdraw {
        /// Id of the request.
        request: RequestId,
    },
    /// A node starts to send a granted attempt.
    Started {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Time from sending the attempt to its first token.
        after: Duration,
    },
    /// An attempt ended, as observed by its node.
    AttemptEnded {
        /// Id of the attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether it is certain that the endpoint no longer holds memory for the attempt. If not,
        /// its memory stays counted until the endpoint confirms that it is free.
        confirmed_free: bool,
        /// Token usage reported by the engine, if any.
        usage: Option<TokenUsage>,
    },
    /// An endpoint confirmed that it no longer holds memory for an attempt.
    FreeConfirmed {
        /// Id of the attempt.
        attempt: AttemptId,
    },
    /// A node stopped. Its queued requests are withdrawn and its attempts are cancelled.
    NodeStopped {
        /// Name of the node.
        node: NodeId,
    },
    /// An account was added or its limits changed.
    AccountChanged {
        /// Name of the account.
        account: AccountId,
        /// New limits of the account.
        limits: AccountLimits,
    },
    /// The settings of the scheduler changed.
    SettingsChanged(Box<PoolSettings>),
    /// Time passed; needed at [`PoolScheduler::next_wakeup`](super::PoolScheduler::next_wakeup).
    Tick,
}
