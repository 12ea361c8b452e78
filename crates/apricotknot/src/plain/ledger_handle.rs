//! Handle through which the traffic threads use the ledger on the control thread.

use std::time::Duration;

use apricotknot_core::ledger::CallAnswer;
use apricotknot_core::ledger::CallId;
use apricotknot_core::ledger::CallKey;
use apricotknot_core::ledger::ContentDigest;
use apricotknot_core::ledger::LedgerEvent;
use apricotknot_core::ledger::SendPermit;
use apricotknot_core::outcome::CallerError;
use apricotknot_core::types::MonotonicTime;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Decision of the ledger on a non-repeatable call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerDecision {
    /// The intent is durable, so the call may be sent while the permit is valid.
    Permit(SendPermit),
    /// The call must not be sent, for this reason.
    Refuse(CallerError),
    /// The call ran earlier, and this is its recorded answer.
    Replay(CallAnswer),
}

/// Command to the ledger.
#[derive(Debug)]
pub enum LedgerCommand {
    /// Begins a call; the decision is sent to the given channel.
    Begin(LedgerEvent, CallId, oneshot::Sender<LedgerDecision>),
    /// Reports the outcome of a call.
    Report(LedgerEvent),
    /// Requests a message on the channel once no writes are pending.
    Drain(oneshot::Sender<()>),
}

/// Sends commands to the ledger; cheap to clone.
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    commands: mpsc::UnboundedSender<LedgerCommand>,
}

impl LedgerHandle {
    /// Creates a handle and the receiver of its commands.
    ///
    /// The channel has no bound of its own: each open call has at most two commands in it, and
    /// the number of open calls is bounded by the callers' interface.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<LedgerCommand>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Begins a call under the idempotency key `key`, which is to be decided before `deadline`.
    pub fn begin(
        &self,
        key: CallKey,
        content: ContentDigest,
        deadline: MonotonicTime,
    ) -> LedgerCall {
        let call = rand::random();
        let (reply, decision) = oneshot::channel();
        let event = LedgerEvent::Begin { call, key, content, deadline };
        let _ = self.commands.send(LedgerCommand::Begin(event, call, reply));
        LedgerCall { call, handle: self.clone(), decision, may_have_run: false, is_resolved: false }
    }

    /// Waits until no writes are pending, for at most `limit`.
    ///
    /// Returns whether all writes completed in this time.
    pub async fn drain(&self, limit: Duration) -> bool {
        let (reply, drained) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::Drain(reply));
        matches!(tokio::time::timeout(limit, drained).await, Ok(Ok(())))
    }

    fn report(&self, event: LedgerEvent) {
        let _ = self.commands.send(LedgerCommand::Report(event));
    }
}

/// Holds the entry of one call in the ledger.
///
/// If it is dropped before the call is refused, replayed or completed, it reports to the ledger
/// that the call did not run or, once the call may have run, that its outcome is lost.
#[derive(Debug)]
pub struct LedgerCall {
    call: CallId,
    handle: LedgerHandle,
    decision: oneshot::Receiver<LedgerDecision>,
    may_have_run: bool,
    is_resolved: bool,
}

impl LedgerCall {
    /// Waits for the decision; none if the ledger has ended.
    pub async fn decision(&mut self) -> Option<LedgerDecision> {
        let decision = (&mut self.decision).await.ok();
        if !matches!(decision, Some(LedgerDecision::Permit(_))) {
            self.is_resolved = true;
        }
        decision
    }

    /// Records that the call may run from now on, because its first byte is about to be sent.
    pub fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the call certainly did not run.
    pub fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Reports the answer to the ledger.
    pub fn complete(mut self, answer: CallAnswer) {
        self.is_resolved = true;
        self.handle.report(LedgerEvent::Completed { call: self.call, answer });
    }
}

impl Drop for LedgerCall {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let call = self.call;
        self.handle.report(match self.may_have_run {
            true => LedgerEvent::Lost { call },
            false => LedgerEvent::NotRun { call },
        });
    }
}
