//! Effects that the control state requests from the control thread.

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

/// Describes input or output that the control thread performs for the control state.
#[derive(Debug)]
pub(in crate::control) enum ControlEffect {
    /// Cancel an attempt, and report when its endpoint holds no memory for it.
    Cancel {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Endpoint that may hold memory for it.
        endpoint: EndpointId,
    },
    /// Cancel an attempt that another node granted, until its endpoint holds no memory for it.
    CancelPeerGrant {
        /// Identifies the attempt.
        attempt: AttemptId,
        /// Endpoint that may hold memory for it.
        endpoint: EndpointId,
    },
    /// Request a grant from a pool's owner.
    RequestGrant {
        /// Owner of the pool.
        owner: NodeId,
        /// Request to send.
        request: Box<GrantRequest>,
    },
    /// Abort the call for a grant to a pool's owner.
    AbortRequest {
        /// Attempt that the grant would be for.
        attempt: AttemptId,
    },
    /// Send reports to a pool's owner, and return those that it did not confirm.
    Report {
        /// Owner of the pool.
        owner: NodeId,
        /// Reports, in order.
        reports: Vec<PoolReport>,
    },
    /// Send messages about budget shares to another node.
    SendShares {
        /// Node that gets the messages.
        to: NodeId,
        /// Messages, in order.
        messages: Vec<ShareMessage>,
    },
    /// Announce to all nodes whether a data centre or an endpoint gets new work.
    Announce {
        /// Whether a data centre or an endpoint is meant.
        subject: DrainSubject,
        /// Name of the data centre or the endpoint.
        name: Arc<str>,
        /// Whether it gets no new work.
        is_out: bool,
    },
    /// Merge records of requests that crash endpoints into those of the key-value service.
    StoreSuspects(Vec<QuarantineRecord>),
    /// Read the records of requests that crash endpoints from the key-value service.
    ReadSuspects,
    /// Read the load of exactly these engines from now on, and of no others.
    PollLoad(Vec<LoadTarget>),
}
