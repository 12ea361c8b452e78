//! What the control state wants done outside.

use std::sync::Arc;

use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::DrainSubject;
use apricotknot_core::quarantine::QuarantineRecord;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::PoolReport;

use crate::control::load::LoadTarget;

/// Asks the control thread to do something that takes time.
#[derive(Debug)]
pub(in crate::control) enum ControlEffect {
    /// Cancel an attempt and report when its endpoint holds nothing for it.
    Cancel {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Endpoint that may hold memory for it.
        endpoint: EndpointId,
    },
    /// Confirm that an endpoint holds nothing for an attempt that another node granted.
    CancelPeerGrant {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Endpoint that may hold memory for it.
        endpoint: EndpointId,
    },
    /// Ask a pool's owner for a grant.
    RequestGrant {
        /// Owner.
        owner: NodeId,
        /// What is asked.
        request: Box<GrantRequest>,
    },
    /// Stop waiting for an owner's answer.
    AbortRequest {
        /// Attempt that the grant would be for.
        attempt: AttemptId,
    },
    /// Report to a pool's owner, and say when it did not confirm.
    Report {
        /// Owner.
        owner: NodeId,
        /// Reports, in order.
        reports: Vec<PoolReport>,
    },
    /// Tell another node something about budget shares.
    SendShares {
        /// Node.
        to: NodeId,
        /// What to tell.
        messages: Vec<ShareMessage>,
    },
    /// Tell all nodes whether something gets new work.
    Announce {
        /// Kind of the thing.
        subject: DrainSubject,
        /// Name of the thing.
        name: Arc<str>,
        /// Whether new work is kept away.
        is_out: bool,
    },
    /// Keep records of requests that crash endpoints in the key-value service.
    StoreSuspects(Vec<QuarantineRecord>),
    /// Read what the key-value service holds of requests that crash endpoints.
    ReadSuspects,
    /// Read the load of exactly these engines from now on.
    PollLoad(Vec<LoadTarget>),
}
