//! Output of the scheduler of a pool.

use std::time::Duration;

use thiserror::Error;

use super::ShortageRecord;
use crate::types::AccountId;
use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::EpochNumber;
use crate::types::FencingNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::PoolId;
use crate::types::RequestId;
use crate::types::TokenCount;

/// States why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PlacementReason {
    /// The endpoint had the least work ahead of the request.
    LeastWork,
    /// The endpoint was the only one with enough free capacity.
    OnlyFit,
    /// The endpoint had the least work ahead of the request, counting the start of the prompt that
    /// its prefix cache holds.
    PrefixCached,
}

/// Permits one attempt to use part of the capacity of one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantTicket {
    /// Id of the request.
    pub request: RequestId,
    /// Attempt that the grant is for.
    pub attempt: AttemptId,
    /// Account that the request is charged to.
    pub account: AccountId,
    /// Node that may run the attempt.
    pub node: NodeId,
    /// Endpoint that the attempt may use.
    pub endpoint: EndpointId,
    /// Pool that the endpoint belongs to.
    pub pool: PoolId,
    /// Epoch of the member list under which the grant was made.
    pub epoch: EpochNumber,
    /// Fencing number of the pool owner that made the grant.
    pub fencing: FencingNumber,
    /// Key-value cache that the attempt may use, in tokens.
    pub memory_tokens: TokenCount,
    /// Time of the grant, on the owner's clock.
    pub granted_at: MonotonicTime,
    /// Time, on the owner's clock, after which the attempt must not be sent.
    pub expires_at: MonotonicTime,
    /// Time after the grant within which the attempt must be sent.
    pub start_within: Duration,
    /// Priority at the engine, from 0 (first) to 9 (last).
    pub priority: u8,
    /// Why this endpoint was chosen.
    pub reason: PlacementReason,
    /// Time that the request waited in the queue.
    pub queued_for: Duration,
}

/// States why a request was refused. A refused request did not run on any endpoint.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The account has reached its limit of requests that are in progress or queued.
    #[error("account has {active} requests under way, {limit} allowed; wait for one to end")]
    AccountConcurrency {
        /// Requests in progress or queued.
        active: u32,
        /// Largest allowed number.
        limit: u32,
    },
    /// The account has used up its token rate.
    #[error("account has used its {tokens_per_second} tokens a second; retry later")]
    AccountRate {
        /// Allowed tokens per second.
        tokens_per_second: u64,
    },
    /// The request cannot start early enough to end by its deadline, or its time in the queue
    /// expired.
    #[error("no endpoint had room in time; retry later")]
    DeadlineUnreachable,
    /// No endpoint that accepts new work may run the request.
    #[error("no endpoint of the pool takes new work; retry later")]
    NoEndpoint,
    /// The request is quarantined, because endpoints crashed while running it.
    #[error("the request crashed the endpoints that ran it; change it")]
    Quarantined,
    /// The queue is full, or the account has as many queued requests as there is free queue space.
    #[error("{queued} requests are queued, {limit} allowed; retry later")]
    QueueFull {
        /// Queued requests of all accounts.
        queued: u32,
        /// Largest allowed number.
        limit: u32,
    },
    /// The request needs more memory than any endpoint has.
    #[error("request needs {needed} tokens, the largest endpoint holds {largest}; shorten it")]
    TooLarge {
        /// Key-value cache that the request needs, in tokens.
        needed: TokenCount,
        /// Key-value cache of the largest endpoint, in tokens.
        largest: TokenCount,
    },
}

impl RefusalReason {
    /// Returns the name that is used in metrics and logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::AccountConcurrency { .. } => "account_concurrency",
            Self::AccountRate { .. } => "account_rate",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::NoEndpoint => "no_endpoint",
            Self::Quarantined => "quarantined",
            Self::QueueFull { .. } => "queue_full",
            Self::TooLarge { .. } => "too_large",
        }
    }

    /// Returns whether the same request may succeed if it is sent again later.
    pub fn is_temporary(&self) -> bool {
        !matches!(self, Self::Quarantined | Self::TooLarge { .. })
    }

    /// Returns whether a limit of the account is the cause.
    pub fn is_account_limit(&self) -> bool {
        matches!(self, Self::AccountConcurrency { .. } | Self::AccountRate { .. })
    }
}

/// Informs a node that a request was refused and did not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalNotice {
    /// Id of the request.
    pub request: RequestId,
    /// Attempt that the grant was requested for.
    pub attempt: AttemptId,
    /// Node that submitted the request.
    pub node: NodeId,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which the caller should send the request again; meaningful only if the reason is
    /// temporary.
    pub retry_after: Duration,
    /// Which resource was scarce, and which accounts used it, if the request had to wait.
    pub shortage: Option<ShortageRecord>,
}

/// Describes what the owner of a pool must do for its scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PoolAction {
    /// Send the grant to its node.
    Grant(Box<GrantTicket>),
    /// Send the refusal to its node.
    Refuse(Box<RefusalNotice>),
    /// Cancel the attempt at its endpoint, and report [`PoolEvent::FreeConfirmed`] once the
    /// endpoint holds no memory for it.
    ///
    /// [`PoolEvent::FreeConfirmed`]: super::PoolEvent::FreeConfirmed
    CancelAttempt {
        /// Id of the attempt.
        attempt: AttemptId,
        /// Endpoint that may hold memory for it.
        endpoint: EndpointId,
    },
}
