//! Control of a stand-in's server by the stand-in itself.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

/// Commands the server; sent by the stand-in itself or by its handle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerCommand {
    /// Crashes the stand-in in the same way as an internal fault.
    Crash,
    /// Stops answering and accepting while connections stay open (`true`), or resumes (`false`).
    Freeze(bool),
    /// Closes all connections and refuses new ones.
    Down,
    /// Accepts connections again.
    Up,
    /// Ends the thread.
    Stop,
}

/// Gives a stand-in control of its server and its connections.
pub(crate) struct ServerControl {
    commands: UnboundedSender<ServerCommand>,
    connections: RefCell<HashMap<SocketAddr, Rc<Notify>>>,
    is_down: Cell<bool>,
}

impl ServerControl {
    pub(super) fn new(commands: UnboundedSender<ServerCommand>) -> Self {
        Self { commands, connections: RefCell::default(), is_down: Cell::new(false) }
    }

    /// Sends `command` to the server; has no effect after the server has ended.
    pub(crate) fn send(&self, command: ServerCommand) {
        let _ = self.commands.send(command);
    }

    /// Closes all connections immediately and makes the server refuse new ones.
    pub(crate) fn take_down(&self) {
        self.is_down.set(true);
        self.disconnect_all();
        self.send(ServerCommand::Down);
    }

    pub(super) fn set_down(&self, is_down: bool) {
        self.is_down.set(is_down);
    }

    pub(super) fn is_down(&self) -> bool {
        self.is_down.get()
    }

    pub(super) fn register(&self, peer: SocketAddr) -> Rc<Notify> {
        let signal = Rc::new(Notify::new());
        self.connections.borrow_mut().insert(peer, Rc::clone(&signal));
        signal
    }

    pub(super) fn unregister(&self, peer: SocketAddr) {
        self.connections.borrow_mut().remove(&peer);
    }

    pub(super) fn disconnect(&self, peer: SocketAddr) {
        if let Some(signal) = self.connections.borrow().get(&peer) {
            signal.notify_one();
        }
    }

    pub(super) fn disconnect_all(&self) {
        for signal in self.connections.borrow().values() {
            signal.notify_one();
        }
    }
}
