//! Handle by which traffic threads use the control thread.

use std::sync::Arc;

use apricotknot_core::admission::DecisionRecord;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::objectives::BurnSnapshot;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::RequestId;
use apricotknot_core::types::RevisionNumber;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::ConfigView;
use super::ControlCommand;
use super::FleetStatus;
use super::GrantAnswer;
use super::SubmitCommand;

/// Sends commands to the control thread and reads the configuration; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<ControlCommand>,
    view: watch::Receiver<Arc<ConfigView>>,
    status: watch::Receiver<Arc<FleetStatus>>,
}

impl ControlHandle {
    /// Creates a handle over the channels of the control thread.
    ///
    /// The command channel is unbounded: each open request has at most a few commands in it, and
    /// the callers' interface limits the number of open requests.
    pub fn new(
        commands: mpsc::UnboundedSender<ControlCommand>,
        view: watch::Receiver<Arc<ConfigView>>,
        status: watch::Receiver<Arc<FleetStatus>>,
    ) -> Self {
        Self { commands, view, status }
    }

    /// Waits until the control thread has ended.
    pub async fn ended(&self) {
        self.commands.closed().await;
    }

    /// Sends a command; it is lost only if the control thread has ended.
    pub fn send(&self, command: ControlCommand) {
        let _ = self.commands.send(command);
    }

    /// Requests a grant from `pool`.
    pub fn submit(&self, pool: PoolId, submission: RequestSubmission) -> PendingGrant {
        let (reply, answer) = oneshot::channel();
        let request = submission.profile.id;
        let attempt = submission.attempt;
        self.send(ControlCommand::Submit(Box::new(SubmitCommand {
            pool: pool.clone(),
            submission,
            reply,
        })));
        PendingGrant { handle: self.clone(), pool, request, attempt, answer, is_answered: false }
    }

    /// Returns the newest decision on a request; `None` if this node has no record of it.
    pub async fn explain(&self, request: RequestId) -> Option<DecisionRecord> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlCommand::Explain { request, reply });
        answer.await.ok().flatten()
    }

    /// Returns the counts against the objectives; `None` if the control thread has ended.
    pub async fn burn(&self) -> Option<BurnSnapshot> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlCommand::ReadBurn { reply });
        answer.await.ok()
    }

    /// Waits until a configuration newer than `revision` is in force.
    pub async fn wait_newer_than(&self, revision: RevisionNumber) {
        let mut view = self.view.clone();
        let newer = view.wait_for(|view| view.revision() > revision).await;
        if newer.is_err() {
            // The control thread has ended, so no newer configuration will be applied.
            std::future::pending::<()>().await;
        }
    }

    /// Returns the newest published status of the fleet.
    pub fn status(&self) -> Arc<FleetStatus> {
        self.status.borrow().clone()
    }

    /// Returns whether the node can serve: it has a configuration and a member list.
    pub fn is_ready(&self) -> bool {
        self.view.borrow().revision() > 0 && self.status.borrow().epoch > 0
    }

    /// Returns the configuration in force.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.borrow().clone()
    }
}

/// Waits for a grant, and withdraws the request when dropped without an answer.
#[derive(Debug)]
pub struct PendingGrant {
    handle: ControlHandle,
    pool: PoolId,
    request: RequestId,
    attempt: AttemptId,
    answer: oneshot::Receiver<GrantAnswer>,
    is_answered: bool,
}

impl PendingGrant {
    /// Waits for the answer; `None` if the control thread has ended.
    pub async fn answer(&mut self) -> Option<GrantAnswer> {
        let answer = (&mut self.answer).await;
        self.is_answered = true;
        answer.ok()
    }
}

impl Drop for PendingGrant {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.handle.send(ControlCommand::Withdraw {
            pool: self.pool.clone(),
            request: self.request,
            attempt: self.attempt,
        });
    }
}
