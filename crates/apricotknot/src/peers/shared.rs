//! State shared by the parts of the service, and execution of the cluster state's actions.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::membership::ClusterAction;
use apricotknot_core::membership::ClusterState;
use apricotknot_core::membership::ConfigurationBatch;
use apricotknot_core::membership::MemberSnapshot;
use apricotknot_core::membership::PeerTarget;
use apricotknot_core::membership::ProbeMessage;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RevisionNumber;
use apricotknot_wire::auth::PeerIdentity;
use apricotknot_wire::convert;
use tokio::time::timeout;

use super::PeerCounters;
use super::PeerError;
use super::PeerHandler;
use super::client::PeerClient;
use super::counters::increment;
use crate::control::NodeClock;

/// Time within which a probe must be answered; later answers are ignored.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which a request for members or configuration must be answered.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

/// Holds the state that the listener, the ticks and the calls of the service share.
pub(super) struct SharedState<H> {
    pub(super) cluster: RefCell<ClusterState>,
    pub(super) handler: Rc<H>,
    pub(super) client: PeerClient,
    pub(super) counters: Arc<PeerCounters>,
    pub(super) clock: NodeClock,
}

impl<H: PeerHandler> SharedState<H> {
    /// Changes the cluster state, and executes the actions that `change` returns.
    pub(super) fn command(
        self: &Rc<Self>,
        change: impl FnOnce(&mut ClusterState, MonotonicTime) -> Vec<ClusterAction>,
    ) {
        let now = self.clock.now();
        let actions = change(&mut self.cluster.borrow_mut(), now);
        self.perform(actions);
    }

    /// Handles a probe message from `peer`, and returns the replies to send in the same call.
    ///
    /// All other actions that the message causes are executed.
    pub(super) fn answer_probe(
        self: &Rc<Self>,
        peer: &NodeId,
        message: &ProbeMessage,
    ) -> Vec<ProbeMessage> {
        let now = self.clock.now();
        let actions = self.cluster.borrow_mut().receive_probe(message, now);
        let mut replies = Vec::new();
        let mut remaining = Vec::new();
        for action in actions {
            match action {
                ClusterAction::Probe { to, message }
                    if to.node == *peer && replies.len() < convert::limits::MAX_PROBE_REPLIES =>
                {
                    replies.push(*message);
                },
                other => remaining.push(other),
            }
        }
        self.perform(remaining);
        replies
    }

    /// Executes actions: probes and pulls itself, all others through the handler.
    pub(super) fn perform(self: &Rc<Self>, actions: Vec<ClusterAction>) {
        for action in actions {
            match action {
                ClusterAction::Probe { to, message } => {
                    actix_rt::spawn(Rc::clone(self).probe(to, message));
                },
                ClusterAction::PullMembers { from } => {
                    actix_rt::spawn(Rc::clone(self).pull_members(from));
                },
                ClusterAction::PullConfiguration { from, since } => {
                    actix_rt::spawn(Rc::clone(self).pull_configuration(from, since));
                },
                other => self.pass_to_handler(other),
            }
        }
    }

    fn pass_to_handler(self: &Rc<Self>, action: ClusterAction) {
        if matches!(action, ClusterAction::Resumed { .. } | ClusterAction::Refuted { .. }) {
            let own = self.cluster.borrow().table().own().clone();
            let identity = PeerIdentity { node: own.node, incarnation: own.incarnation };
            self.client.set_identity(identity);
        }
        self.handler.handle_action(action);
    }

    async fn probe(self: Rc<Self>, to: PeerTarget, message: Box<ProbeMessage>) {
        let sequence = message.sequence;
        let result = self.send_probe(&to, &message).await;
        let is_timeout = matches!(result, Err(PeerError::TimedOut { .. }));
        self.client.record_probe(to.address, !is_timeout);
        match result {
            Ok(replies) => {
                for reply in replies {
                    self.command(|cluster, now| cluster.receive_probe(&reply, now));
                }
            },
            Err(_) if is_timeout => {},
            Err(_) => self.command(|cluster, now| cluster.probe_failed(sequence, now)),
        }
    }

    async fn send_probe(
        &self,
        to: &PeerTarget,
        message: &ProbeMessage,
    ) -> Result<Vec<ProbeMessage>, PeerError> {
        self.call(PROBE_TIMEOUT, async {
            let client = self.client.client(to).await?;
            let mut request = client.probe_request();
            convert::write_probe(message, request.get().init_message());
            let response = request.send().promise.await?;
            let replies = response.get()?.get_replies()?;
            let replies = replies.iter().take(convert::limits::MAX_PROBE_REPLIES);
            Ok(replies.map(convert::read_probe).collect::<Result<_, _>>()?)
        })
        .await
    }

    async fn pull_members(self: Rc<Self>, from: PeerTarget) {
        if let Ok(snapshot) = self.fetch_members(&from).await {
            self.command(|cluster, now| cluster.receive_snapshot(&snapshot, now));
        }
    }

    async fn fetch_members(&self, from: &PeerTarget) -> Result<MemberSnapshot, PeerError> {
        self.call(PULL_TIMEOUT, async {
            let client = self.client.client(from).await?;
            let response = client.pull_members_request().send().promise.await?;
            Ok(convert::read_snapshot(response.get()?.get_snapshot()?)?)
        })
        .await
    }

    async fn pull_configuration(self: Rc<Self>, from: PeerTarget, since: RevisionNumber) {
        let node = from.node.clone();
        match self.fetch_configuration(&from, since).await {
            Ok(batch) => self.command(|cluster, now| cluster.receive_batch(&node, &batch, now)),
            Err(_) => self.command(|cluster, now| cluster.pull_failed(&node, now)),
        }
    }

    async fn fetch_configuration(
        &self,
        from: &PeerTarget,
        since: RevisionNumber,
    ) -> Result<ConfigurationBatch, PeerError> {
        self.call(PULL_TIMEOUT, async {
            let client = self.client.client(from).await?;
            let mut request = client.pull_configuration_request();
            request.get().set_since_revision(since);
            let response = request.send().promise.await?;
            Ok(convert::read_configuration_batch(response.get()?.get_batch()?)?)
        })
        .await
    }

    /// Runs a call with a time limit, and counts the call, its failure and an undecodable answer.
    pub(super) async fn call<T>(
        &self,
        limit: Duration,
        call: impl Future<Output = Result<T, PeerError>>,
    ) -> Result<T, PeerError> {
        increment(&self.counters.calls_sent);
        let result = timeout(limit, call).await.unwrap_or(Err(PeerError::TimedOut { limit }));
        if let Err(error) = &result {
            increment(&self.counters.calls_failed);
            if let PeerError::Answer(refused) = error {
                self.counters.count_conversion(refused);
            }
        }
        result
    }
}
