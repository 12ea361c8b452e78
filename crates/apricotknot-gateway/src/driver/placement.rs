//! Placement of a call by the control thread.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::types::EndpointId;

use super::CallFault;
use super::CallOutcome;
use super::attempt::WaitInterrupt;
use super::call_driver::CallDriver;
use crate::control::EndpointGrant;
use crate::control::PlacementRequest;
use crate::protocol::CallProtocol;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Requests a grant for the next attempt, and waits for it until the deadline.
    ///
    /// Uses the grant of a replacement first, if there is one.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the call if there is no grant.
    pub(super) async fn request_grant(&mut self) -> Result<EndpointGrant, CallOutcome> {
        if let Some(grant) = self.next_grant.take() {
            return Ok(grant);
        }
        let reply = self.context.control.place(self.placement_request(true));
        // Only a call that has not run can be refused as one.
        let may_give_way = !self.has_run();
        if may_give_way {
            self.connection.queue(self.call.metadata.size.memory());
        }
        let placed = self.unless_interrupted(reply, None).await;
        if may_give_way && !self.connection.leave_queue() {
            self.connection.close_after_answer();
            return Err(CallOutcome::Fault(CallFault::GaveWay));
        }
        match placed {
            Err(WaitInterrupt::CallerDisconnected) => Err(CallOutcome::CallerDisconnected),
            Err(_) => Err(self.deadline_outcome()),
            Ok(Ok(Ok(grant))) => {
                self.log_placement(&grant);
                Ok(grant)
            },
            Ok(Ok(Err(refusal))) => {
                self.log_refusal(&refusal);
                Err(self.failure_outcome(Some(CallFault::Refused {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                })))
            },
            Ok(Err(_)) => Err(self.failure_outcome(None)),
        }
    }

    /// Requests a replacement for a silent endpoint; returns whether there is one.
    ///
    /// The request does not wait in the queue. Without a replacement the call goes on waiting for
    /// the silent endpoint, so that its work is not lost without need.
    pub(super) async fn find_replacement(&mut self, silent: &EndpointId) -> bool {
        self.excluded.push(Arc::clone(silent));
        let reply = self.context.control.place(self.placement_request(false));
        let Ok(Ok(Ok(grant))) = self.unless_interrupted(reply, None).await else {
            self.excluded.pop();
            return false;
        };
        self.log_placement(&grant);
        self.next_grant = Some(grant);
        true
    }

    fn placement_request(&self, may_wait: bool) -> PlacementRequest {
        PlacementRequest {
            attempt: rand::random(),
            query: PlacementQuery {
                service: Arc::clone(&self.call.service),
                size: self.call.metadata.size,
                regions: self.call.regions.clone(),
                excluded: self.excluded.clone(),
                arrived: self.call.arrived,
                target_latency: self.call.route.target_latency,
                pause_limit: self.call.route.pause_limit.unwrap_or(Duration::MAX),
                deadline: self.call.deadline,
                rank: self.call.rank,
                price_share: self.call.price_share,
            },
            is_retry: self.sends > 0,
            may_wait,
            unreached: self.unreached.clone(),
            fingerprint: self.call.fingerprint,
            shared_parts: Arc::clone(&self.call.metadata.shared_parts),
        }
    }
}
