//! RPC server for the calls of one peer over one connection.

use std::cell::Cell;
use std::rc::Rc;

use apricotknot_wire::auth::PeerIdentity;
use apricotknot_wire::convert;
use apricotknot_wire::convert::ConvertError;
use apricotknot_wire::generated::peer_capnp::peer;
use capnp::Error;

use super::PeerHandler;
use super::counters::increment;
use super::server::UsePermit;
use super::shared::SharedState;

/// Maximum number of requests for grants that wait concurrently on one connection.
const MAX_WAITING: usize = 16_384;

/// Serves the calls of one authenticated peer.
pub(super) struct PeerSession<H> {
    peer: PeerIdentity,
    shared: Rc<SharedState<H>>,
    waiting: Rc<Cell<usize>>,
}

impl<H: PeerHandler> PeerSession<H> {
    pub(super) fn new(peer: PeerIdentity, shared: Rc<SharedState<H>>) -> Self {
        Self { peer, shared, waiting: Rc::default() }
    }

    /// Counts a call, and returns its decoded message or the error of decoding it.
    fn read<T>(&self, result: Result<T, ConvertError>) -> Result<T, Error> {
        increment(&self.shared.counters.calls_received);
        result.map_err(|error| {
            self.shared.counters.count_conversion(&error);
            Error::failed(error.to_string())
        })
    }

    /// Refuses a message whose sender is not the authenticated peer of the connection.
    fn check_sender(&self, sender: &str) -> Result<(), Error> {
        if *sender == *self.peer.node {
            return Ok(());
        }
        self.shared.counters.count_forged();
        let text = format!("refused a message of {sender} on a connection of {}", self.peer.node);
        Err(Error::failed(text))
    }
}

impl<H: PeerHandler> peer::Server for PeerSession<H> {
    async fn probe(
        self: capnp::capability::Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), Error> {
        let message = self.read(convert::read_probe(params.get()?.get_message()?))?;
        self.check_sender(&message.sender.node)?;
        let replies = self.shared.answer_probe(&self.peer.node, &message);
        let mut list = results.get().init_replies(replies.len() as u32);
        for (index, reply) in (0u32..).zip(&replies) {
            convert::write_probe(reply, list.reborrow().get(index));
        }
        Ok(())
    }

    async fn pull_members(
        self: capnp::capability::Rc<Self>,
        _params: peer::PullMembersParams,
        mut results: peer::PullMembersResults,
    ) -> Result<(), Error> {
        increment(&self.shared.counters.calls_received);
        let snapshot = self.shared.cluster.borrow().snapshot();
        convert::write_snapshot(&snapshot, results.get().init_snapshot());
        Ok(())
    }

    async fn pull_configuration(
        self: capnp::capability::Rc<Self>,
        params: peer::PullConfigurationParams,
        mut results: peer::PullConfigurationResults,
    ) -> Result<(), Error> {
        increment(&self.shared.counters.calls_received);
        let since = params.get()?.get_since_revision();
        let batch = self.shared.cluster.borrow().batch(since);
        convert::write_configuration_batch(&batch, results.get().init_batch());
        Ok(())
    }

    async fn request_grant(
        self: capnp::capability::Rc<Self>,
        params: peer::RequestGrantParams,
        mut results: peer::RequestGrantResults,
    ) -> Result<(), Error> {
        let now = self.shared.clock.now();
        let node = self.peer.node.clone();
        let request =
            self.read(convert::read_grant_request(params.get()?.get_request()?, node, now))?;
        let Some(_waiting) = UsePermit::acquire(&self.waiting, MAX_WAITING) else {
            let text = format!("{MAX_WAITING} requests of {} are already waiting", self.peer.node);
            return Err(Error::overloaded(text));
        };
        let handler = Rc::clone(&self.shared.handler);
        let reply = handler.request_grant(self.peer.clone(), request).await;
        convert::write_grant_reply(&reply, results.get().init_reply());
        Ok(())
    }

    async fn report(
        self: capnp::capability::Rc<Self>,
        params: peer::ReportParams,
        _results: peer::ReportResults,
    ) -> Result<(), Error> {
        let reports = self.read(convert::read_reports(params.get()?.get_reports()?))?;
        self.shared.handler.handle_reports(&self.peer, reports);
        Ok(())
    }

    async fn shares(
        self: capnp::capability::Rc<Self>,
        params: peer::SharesParams,
        _results: peer::SharesResults,
    ) -> Result<(), Error> {
        let messages = self.read(convert::read_share_messages(params.get()?.get_messages()?))?;
        self.shared.handler.handle_shares(&self.peer, messages);
        Ok(())
    }

    async fn forward_drain(
        self: capnp::capability::Rc<Self>,
        params: peer::ForwardDrainParams,
        _results: peer::ForwardDrainResults,
    ) -> Result<(), Error> {
        let notice = self.read(convert::read_drain_notice(params.get()?.get_notice()?))?;
        self.shared.command(|cluster, _| cluster.receive_drain(&notice));
        Ok(())
    }
}
