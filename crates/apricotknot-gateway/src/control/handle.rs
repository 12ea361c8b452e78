//! The control thread as traffic threads see it.

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::types::AttemptId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::ControlCommand;
use super::EndpointGrant;
use super::PlacementRefusal;
use super::PlacementRequest;

/// Answer to a question for an endpoint, once it comes.
pub(crate) type PlacementReceiver = oneshot::Receiver<Result<EndpointGrant, PlacementRefusal>>;

/// Sends commands to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    sender: mpsc::UnboundedSender<ControlCommand>,
}

impl ControlHandle {
    /// Creates the handle of the thread that reads from the other end of `sender`.
    pub fn new(sender: mpsc::UnboundedSender<ControlCommand>) -> Self {
        Self { sender }
    }

    /// Tells the control thread something; nothing happens once that thread has ended.
    pub fn send(&self, command: ControlCommand) {
        let _ = self.sender.send(command);
    }

    /// Ends the control thread, and waits until it has withdrawn the node.
    pub async fn stop(&self) {
        let (done, ended) = oneshot::channel();
        self.send(ControlCommand::Stop { done });
        // A closed channel means that the thread has ended before.
        let _ = ended.await;
    }

    /// Asks for an endpoint; dropping the reply withdraws the question.
    pub fn place(&self, request: PlacementRequest) -> PlacementReceiver {
        let (reply, receiver) = oneshot::channel();
        self.send(ControlCommand::Place { request: Box::new(request), reply });
        receiver
    }
}

/// Tells the control thread how an attempt ended, also where its task is dropped.
#[derive(Debug)]
pub struct AttemptGuard {
    control: ControlHandle,
    attempt: AttemptId,
    end: AttemptEnd,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that was granted.
    pub fn new(control: ControlHandle, attempt: AttemptId) -> Self {
        Self { control, attempt, end: AttemptEnd::Abandoned }
    }

    /// Sets how the attempt ended.
    pub fn set_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }

    /// Returns the attempt.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.control.send(ControlCommand::AttemptEnded { attempt: self.attempt, end: self.end });
    }
}
