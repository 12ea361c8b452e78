//! Service for calls between nodes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::ClusterAction;
use apricotknot_core::membership::ClusterState;
use apricotknot_core::membership::DrainNotice;
use apricotknot_core::membership::PeerTarget;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_wire::auth::PeerIdentity;
use apricotknot_wire::convert;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::PoolReport;
use tokio::net::TcpListener;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::PeerCounters;
use super::PeerError;
use super::PeerErrorKind;
use super::PeerHandler;
use super::PeerOptions;
use super::client::PeerClient;
use super::server::serve;
use super::shared::SharedState;

/// Time from one tick of the cluster state to the next.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which a one-way call must be confirmed.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs membership and the calls between nodes until dropped.
pub struct PeerService<H> {
    shared: Rc<SharedState<H>>,
    address: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

impl<H> Drop for PeerService<H> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl<H: PeerHandler> PeerService<H> {
    /// Starts to listen for peers and to tick the cluster state; must be called inside an actix
    /// system.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(options: PeerOptions, handler: Rc<H>) -> Result<Self, PeerError> {
        let listen_error = |error| PeerError::Listen { address: options.listen, error };
        let listener = TcpListener::bind(options.listen).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let own = options.own_member(address);
        let identity = PeerIdentity { node: own.node.clone(), incarnation: own.incarnation };
        let counters = Arc::new(PeerCounters::default());
        let now = options.clock.now();
        let cluster = ClusterState::new(options.members, own, options.seeds, now);
        let shared = Rc::new(SharedState {
            cluster: RefCell::new(cluster),
            handler,
            client: PeerClient::new(
                identity,
                options.ring.clone(),
                Arc::clone(&counters),
                options.max_connections,
            ),
            counters,
            clock: options.clock,
        });
        let tasks = [
            actix_rt::spawn(serve(listener, options.ring, Rc::clone(&shared))),
            actix_rt::spawn(tick(Rc::clone(&shared))),
        ];
        Ok(Self { shared, address, tasks })
    }
}

impl<H: PeerHandler> PeerService<H> {
    /// Changes the cluster state, and executes the actions that `change` returns.
    pub fn command(
        &self,
        change: impl FnOnce(&mut ClusterState, MonotonicTime) -> Vec<ClusterAction>,
    ) {
        self.shared.command(change);
    }

    /// Requests a grant from the owner of a pool, and waits at most for `limit`.
    ///
    /// Dropping the future notifies the owner that the answer is no longer needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the owner is unreachable, does not answer in time, or sends an answer
    /// that cannot be decoded. [`PeerError::may_have_arrived`] returns whether the owner may have
    /// granted.
    pub async fn request_grant(
        &self,
        owner: &NodeId,
        request: &GrantRequest,
        limit: Duration,
    ) -> Result<GrantReply, PeerError> {
        let target = self.target(owner)?;
        let shared = &self.shared;
        let reply = shared
            .call(limit, async {
                let client = shared.client.client(&target).await?;
                let requested_at = shared.clock.now();
                let mut call = client.request_grant_request();
                convert::write_grant_request(request, requested_at, call.get().init_request());
                let response = call.send().promise.await?;
                Ok(convert::read_grant_reply(response.get()?.get_reply()?, request, requested_at)?)
            })
            .await;
        self.probe_after_failure(owner, reply)
    }

    /// Sends reports to the owner of pools; several reports in one call cost little more than one.
    ///
    /// # Errors
    ///
    /// Returns an error if the owner is unreachable or does not confirm within five seconds.
    pub async fn send_reports(
        &self,
        owner: &NodeId,
        reports: &[PoolReport],
    ) -> Result<(), PeerError> {
        let target = self.target(owner)?;
        let shared = &self.shared;
        let result = shared
            .call(SEND_TIMEOUT, async {
                let client = shared.client.client(&target).await?;
                let mut call = client.report_request();
                convert::write_reports(reports, call.get().init_reports(reports.len() as u32));
                call.send().promise.await?;
                Ok(())
            })
            .await;
        self.probe_after_failure(owner, result)
    }

    /// Sends messages about budget shares to a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node is unreachable or does not confirm within five seconds.
    pub async fn send_shares(
        &self,
        node: &NodeId,
        messages: &[ShareMessage],
    ) -> Result<(), PeerError> {
        let target = self.target(node)?;
        let shared = &self.shared;
        let result = shared
            .call(SEND_TIMEOUT, async {
                let client = shared.client.client(&target).await?;
                let mut call = client.shares_request();
                convert::write_share_messages(
                    messages,
                    call.get().init_messages(messages.len() as u32),
                );
                call.send().promise.await?;
                Ok(())
            })
            .await;
        self.probe_after_failure(node, result)
    }

    /// Forwards a drain order to one node, which spreads it to the others.
    ///
    /// # Errors
    ///
    /// Returns an error if the node is unreachable or does not confirm within five seconds.
    pub async fn forward_drain(&self, to: &NodeId, notice: &DrainNotice) -> Result<(), PeerError> {
        let target = self.target(to)?;
        let shared = &self.shared;
        let result = shared
            .call(SEND_TIMEOUT, async {
                let client = shared.client.client(&target).await?;
                let mut call = client.forward_drain_request();
                convert::write_drain_notice(notice, call.get().init_notice());
                call.send().promise.await?;
                Ok(())
            })
            .await;
        self.probe_after_failure(to, result)
    }
}

impl<H: PeerHandler> PeerService<H> {
    /// Requests a probe of a node that a call could not reach; returns `result` unchanged.
    fn probe_after_failure<T>(
        &self,
        node: &NodeId,
        result: Result<T, PeerError>,
    ) -> Result<T, PeerError> {
        let is_connection_failure = result.as_ref().is_err_and(|error| {
            matches!(error.kind(), PeerErrorKind::Unreachable | PeerErrorKind::Broken)
        });
        if is_connection_failure {
            self.shared.cluster.borrow_mut().hint_unreachable(node);
        }
        result
    }
}

impl<H: PeerHandler> PeerService<H> {
    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters of calls, bytes and refusals.
    pub fn counters(&self) -> Arc<PeerCounters> {
        Arc::clone(&self.shared.counters)
    }

    /// Reads from the cluster state at the present moment.
    pub fn query<T>(&self, read: impl FnOnce(&ClusterState, MonotonicTime) -> T) -> T {
        read(&self.shared.cluster.borrow(), self.shared.clock.now())
    }

    /// Returns whether this node may act on the pools that it owns.
    ///
    /// After a pause of the process, the first call already returns false.
    pub fn may_act(&self) -> bool {
        self.query(ClusterState::may_act)
    }

    fn target(&self, node: &NodeId) -> Result<PeerTarget, PeerError> {
        let target = self.shared.cluster.borrow().target_of(node);
        target.ok_or_else(|| PeerError::UnknownNode { node: node.clone() })
    }
}

/// Ticks the cluster state periodically.
async fn tick<H: PeerHandler>(shared: Rc<SharedState<H>>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.command(ClusterState::tick);
    }
}
