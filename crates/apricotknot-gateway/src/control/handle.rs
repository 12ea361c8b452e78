//! Handle through which traffic threads use the control thread.

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::ControlCommand;
use super::EndpointGrant;
use super::PlacementRefusal;
use super::PlacementRequest;
use super::RelayPermit;
use crate::relay::RelayRefusal;

/// Receives the answer to one placement request.
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

    /// Sends a command to the control thread; has no effect once that thread has ended.
    pub fn send(&self, command: ControlCommand) {
        let _ = self.sender.send(command);
    }

    /// Waits until the control thread has ended, by itself or because it was stopped.
    pub async fn ended(&self) {
        self.sender.closed().await;
    }

    /// Stops the control thread, and waits until it has withdrawn the node.
    pub async fn stop(&self) {
        let (done, ended) = oneshot::channel();
        self.send(ControlCommand::Stop { done });
        // A closed channel means that the thread has already ended.
        let _ = ended.await;
    }

    /// Returns whether an attempt that was granted some time ago may still be sent.
    pub async fn confirm(&self, attempt: AttemptId) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(ControlCommand::Confirm { attempt, reply });
        // Without a control thread, the node is about to end and sends what it has admitted.
        answer.await.unwrap_or(true)
    }

    /// Returns the permission to relay a connection to `endpoint` for another node.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
    pub async fn permit_relay(&self, endpoint: EndpointId) -> Result<RelayPermit, RelayRefusal> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlCommand::PermitRelay { endpoint, reply });
        // Without a control thread, the node is about to end.
        answer.await.unwrap_or(Err(RelayRefusal::Stopping))
    }

    /// Requests an endpoint; dropping the receiver cancels the request.
    pub fn place(&self, request: PlacementRequest) -> PlacementReceiver {
        let (reply, receiver) = oneshot::channel();
        self.send(ControlCommand::Place { request: Box::new(request), reply });
        receiver
    }
}

/// Reports the end of an attempt to the control thread when it is dropped.
///
/// An attempt whose task is dropped before [`AttemptGuard::set_end`] counts as abandoned.
#[derive(Debug)]
pub struct AttemptGuard {
    control: ControlHandle,
    attempt: AttemptId,
    end: AttemptEnd,
}

impl AttemptGuard {
    /// Creates the guard of a granted attempt.
    pub fn new(control: ControlHandle, attempt: AttemptId) -> Self {
        Self { control, attempt, end: AttemptEnd::Abandoned }
    }

    /// Sets the end that is reported.
    pub fn set_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }

    /// Returns the id of the attempt.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.control.send(ControlCommand::AttemptEnded { attempt: self.attempt, end: self.end });
    }
}
