//! The traffic threads' side of the ledger.

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

/// Says what becomes of a call that is to run once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerDecision {
    /// Its intent is durable: it may be sent while the permit allows it.
    Permit(SendPermit),
    /// It is not sent.
    Refuse(CallerError),
    /// It ran before, and this was its answer.
    Replay(CallAnswer),
}

/// Tells the ledger something.
#[derive(Debug)]
pub enum LedgerCommand {
    /// Begins a call, and says where its decision goes.
    Begin(LedgerEvent, CallId, oneshot::Sender<LedgerDecision>),
    /// Tells what became of a call.
    Report(LedgerEvent),
    /// Asks to be told when nothing is left to write.
    Drain(oneshot::Sender<()>),
}

/// Sends commands to the ledger; cheap to clone.
#[derive(Clone, Debug)]
pub struct LedgerHandle {
    commands: mpsc::UnboundedSender<LedgerCommand>,
}

impl LedgerHandle {
    /// Creates a handle, and the end that the ledger reads.
    ///
    /// The channel has no bound of its own: each open call has at most two commands in it, and
    /// the number of open calls is bounded by the callers' interface.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<LedgerCommand>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Begins a call that is to run once, to be decided by `deadline`.
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

    /// Waits until nothing is left to write, but at most for `limit`; returns whether it was so.
    pub async fn drain(&self, limit: Duration) -> bool {
        let (reply, drained) = oneshot::channel();
        let _ = self.commands.send(LedgerCommand::Drain(reply));
        matches!(tokio::time::timeout(limit, drained).await, Ok(Ok(())))
    }

    fn report(&self, event: LedgerEvent) {
        let _ = self.commands.send(LedgerCommand::Report(event));
    }
}

/// Holds one call's place in the ledger; reports how it ended when it is dropped.
#[derive(Debug)]
pub struct LedgerCall {
    call: CallId,
    handle: LedgerHandle,
    decision: oneshot::Receiver<LedgerDecision>,
    may_have_run: bool,
    is_resolved: bool,
}

impl LedgerCall {
    /// Waits for the decision; none where the ledger has ended.
    pub async fn decision(&mut self) -> Option<LedgerDecision> {
        let decision = (&mut self.decision).await.ok();
        if !matches!(decision, Some(LedgerDecision::Permit(_))) {
            self.is_resolved = true;
        }
        decision
    }

    /// Notes that the first byte is about to be written.
    pub fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Notes that the call certainly did not run.
    pub fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Reports the answer.
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
