//! Silent attempts that are kept while another endpoint is tried.
//!
//! An endpoint that is silent may still go on, for instance after it has preempted a request. So its
//! attempt is given up only once another one has begun to answer, and goes on if it is the first.

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::types::EndpointId;

use super::attempt::AttemptFault;
use super::attempt::AttemptStage;
use super::attempt::CallInterrupt;
use super::attempt::OpenAttempt;
use super::attempt::StandbyEvent;
use super::attempt::WaitInterrupt;
use super::call_driver::CallDriver;
use super::call_driver::MAX_SENDS;
use crate::control::ControlCommand;
use crate::protocol::CallProtocol;

/// Most endpoints that are tried for silent ones in one call, whether they are reached or not.
const MAX_REPLACEMENTS: u32 = 4;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Returns whether another endpoint may be tried beside a silent one.
    pub(super) fn may_set_aside(&self) -> bool {
        self.standby.is_none()
            && self.replacements < MAX_REPLACEMENTS
            && self.sends < MAX_SENDS
            && self.may_run_again()
            && self.runs + 1 < self.call.route.max_attempts
    }

    /// Sets an attempt aside if it is silent and there is a grant for another endpoint, and ends it if
    /// its wait was interrupted for another reason.
    pub(super) fn interrupt_stage(
        &mut self,
        mut stage: AttemptStage,
        reason: WaitInterrupt,
    ) -> CallInterrupt {
        // The attempt may have run, whatever becomes of it.
        self.runs += 1;
        // Memory at other endpoints is not kept for an attempt that may never use it.
        let may_go_on = !stage.open_mut().holds_unused_memory();
        match reason {
            WaitInterrupt::CallerDisconnected => CallInterrupt::CallerDisconnected,
            WaitInterrupt::StandbyGoesOn => CallInterrupt::StandbyGoesOn,
            WaitInterrupt::Silence if self.next_grant.is_some() && may_go_on => {
                self.set_aside(stage);
                CallInterrupt::SetAside
            },
            WaitInterrupt::Silence => {
                self.end_silent(stage.open_mut(), "silence");
                CallInterrupt::Attempt(AttemptFault::MayHaveRun)
            },
            WaitInterrupt::Deadline => {
                self.end_silent(stage.open_mut(), "deadline");
                CallInterrupt::Deadline
            },
        }
    }

    /// Keeps a silent attempt beside the one that may replace it; other calls avoid its endpoint.
    fn set_aside(&mut self, mut stage: AttemptStage) {
        let endpoint = EndpointId::clone(&stage.open_mut().endpoint);
        self.log_set_aside(&endpoint);
        self.context.control.send(ControlCommand::EndpointSilent { endpoint });
        self.replacements += 1;
        self.standby = Some(Box::new(stage));
    }

    fn end_silent(&self, open: &mut OpenAttempt, cause: &str) {
        open.guard.set_end(AttemptEnd::Silent);
        let cause = match open.exchange.held_back_for() {
            Some(bytes) => &format!(
                "{cause}, and the answer ended before its endpoint took the request: up to {bytes} \
                 bytes not acknowledged"
            ),
            None => cause,
        };
        self.record_failed_attempt(&open.endpoint, AttemptEnd::Silent, cause);
    }

    /// Returns the attempt that was set aside, as the one in progress, if there is one; `goes_on` tells
    /// whether its answer goes on.
    pub(super) fn take_standby(&mut self, goes_on: bool) -> Option<AttemptStage> {
        let mut stage = *self.standby.take()?;
        self.next_grant = None;
        // It counts again once it ends.
        self.runs -= 1;
        let now = self.now();
        let open = stage.open_mut();
        if goes_on {
            open.progress_at = now;
        }
        self.log_resumed(&open.endpoint, goes_on);
        self.endpoint = Some(EndpointId::clone(&open.endpoint));
        Some(stage)
    }

    /// Gives up the attempt that was set aside, as another one has begun to answer or none will.
    pub(super) fn drop_standby(&mut self) {
        if let Some(mut stage) = self.standby.take() {
            // That it is silent was reported as it was set aside.
            let endpoint = &stage.open_mut().endpoint;
            self.record_failed_attempt(endpoint, AttemptEnd::Silent, "silence");
        }
    }

    /// Ends the attempt that was set aside, as it cannot go on.
    pub(super) fn end_standby(&mut self, event: StandbyEvent) {
        if event != StandbyEvent::Broken {
            return self.drop_standby();
        }
        if let Some(mut stage) = self.standby.take() {
            self.record_broken(stage.open_mut(), "the connection broke after a silence");
        }
    }
}
