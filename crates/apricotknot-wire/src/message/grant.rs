//! Request for a grant, sent to the owner of a pool, and its reply.

use std::time::Duration;

use apricotknot_core::admission::ChargePart;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::types::EpochNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;

/// Requests a grant from the owner of a pool, which decides where the request may run.
///
/// The deadline in the submission is a time on the clock of the node that holds the message. On the
/// wire it is sent as the remaining time, because the clocks of two nodes are not comparable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantRequest {
    /// Pool that may run the request.
    pub pool: PoolId,
    /// Request and attempt that the grant is for.
    pub submission: RequestSubmission,
}

impl GrantRequest {
    /// Returns the time that remains at `now` until the deadline; zero once it has passed.
    pub fn remaining(&self, now: MonotonicTime) -> Duration {
        self.submission.profile.deadline.saturating_sub(now)
    }
}

/// Names the node that the receiver of a request believes to own the pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerHint {
    /// Owner of the pool; empty when the receiver knows none.
    pub owner: NodeId,
    /// Newest epoch of the member list that the receiver knows.
    pub epoch: EpochNumber,
}

/// Holds the reply to a request for a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantReply {
    /// The attempt may be sent.
    Granted {
        /// Grant; its times are on the clock of the node that holds the message.
        ticket: Box<GrantTicket>,
        /// Budget shares that the grant is charged to; empty when the owner charges none.
        charges: Vec<ChargePart>,
    },
    /// The attempt may not be sent, and the request did not run.
    Refused(Box<RefusalNotice>),
    /// The receiver does not own the pool; the request did not run.
    NotOwner(OwnerHint),
}
