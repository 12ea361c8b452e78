//! Execution of the effects and actions that the control state and the cluster state request.

use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::membership::EpochAction;
use apricotknot_core::membership::LeaseAction;
use apricotknot_core::membership::StoredList;
use apricotknot_core::quarantine::QuarantineRecord;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::NodeId;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::PoolReport;
use tokio::task::JoinHandle as TaskHandle;

use super::cluster_store::WriteOutcome;
use super::input::PeerInput;
use super::load::LoadTarget;
use super::load::cancel_attempt;
use super::load::cancel_peer_grant;
use super::load::poll_load;
use super::runner::ControlRunner;
use super::runner::StoredEpoch;
use super::state::ControlEffect;

/// Time after which cancelling an attempt at an endpoint that does not answer is given up.
const CANCEL_LIMIT: Duration = Duration::from_secs(600);

/// Delay before reports that were not confirmed are sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Attempts to store records of requests that crash endpoints before they are dropped.
const SUSPECT_ATTEMPTS: u32 = 60;

/// Delay between two such attempts.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl ControlRunner {
    /// Executes all effects that the control state has collected.
    pub(super) fn execute_effects(&mut self) {
        for effect in self.state.take_effects(self.context.clock.now()) {
            self.execute_effect(effect);
        }
    }

    fn execute_effect(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Cancel { pool, attempt, endpoint } => {
                let Some(address) = self.state.address_of(&endpoint) else {
                    return;
                };
                let engine = self.engine.clone();
                let answers = self.engine_sender.clone();
                actix_rt::spawn(cancel_attempt(engine, address, pool, attempt, answers));
            },
            ControlEffect::CancelPeerGrant { attempt, endpoint } => {
                self.cancel_peer_grant(attempt, &endpoint);
            },
            ControlEffect::RequestGrant { owner, request } => self.request_grant(owner, request),
            ControlEffect::AbortRequest { attempt } => {
                if let Some(task) = self.grant_calls.remove(&attempt) {
                    task.abort();
                }
            },
            ControlEffect::Report { owner, reports } => self.send_reports(owner, reports),
            ControlEffect::SendShares { to, messages } => {
                let peers = Rc::clone(&self.peers);
                actix_rt::spawn(async move {
                    // The ledger of shares repeats messages that were lost.
                    let _ = peers.send_shares(&to, &messages).await;
                });
            },
            ControlEffect::StoreSuspects(records) => self.sync_suspects(records),
            ControlEffect::ReadSuspects => self.sync_suspects(Vec::new()),
            ControlEffect::Announce { subject, name, is_out } => {
                self.peers.command(|cluster, _| cluster.drain(subject, name, is_out));
            },
            ControlEffect::PollLoad(targets) => self.set_pollers(targets),
        }
    }

    fn request_grant(&mut self, owner: NodeId, request: Box<GrantRequest>) {
        let attempt = request.submission.attempt;
        let limit = request.remaining(self.context.clock.now());
        let peers = Rc::clone(&self.peers);
        let inputs = self.input_sender.clone();
        let task = actix_rt::spawn(async move {
            let result = peers.request_grant(&owner, &request, limit).await;
            let _ = inputs.send(PeerInput::GrantAnswered { owner, request, result });
        });
        self.grant_calls.insert(attempt, task);
    }

    fn send_reports(&self, owner: NodeId, reports: Vec<PoolReport>) {
        let peers = Rc::clone(&self.peers);
        let inputs = self.input_sender.clone();
        actix_rt::spawn(async move {
            let unconfirmed = match peers.send_reports(&owner, &reports).await {
                Ok(()) => Vec::new(),
                Err(_) => {
                    tokio::time::sleep(REPORT_RETRY_DELAY).await;
                    reports
                },
            };
            let _ = inputs.send(PeerInput::ReportsSent { owner, unconfirmed });
        });
    }

    /// Reads or writes the member list in the key-value service, and passes the result to the
    /// cluster state.
    pub(super) fn execute_list_action(&self, action: EpochAction) {
        let store = Rc::clone(&self.cluster_store);
        let peers = Rc::clone(&self.peers);
        let stored = self.stored_epoch();
        let node = self.context.node.clone();
        match action {
            EpochAction::Adopt { .. } => {},
            EpochAction::ReadList => {
                actix_rt::spawn(async move {
                    match store.read_list().await {
                        Ok(list) => {
                            stored.set(record_read(stored.get(), &list, &node));
                            peers.command(|cluster, now| cluster.list_read(&list, now));
                        },
                        Err(_) => peers.command(|cluster, now| {
                            cluster.list_failed(now);
                            Vec::new()
                        }),
                    }
                });
            },
            EpochAction::WriteList { list, expected } => {
                actix_rt::spawn(async move {
                    match store.write_list(&list, expected).await {
                        Ok(WriteOutcome::Written) => {
                            let epoch = stored.get().epoch.max(list.epoch);
                            stored.set(StoredEpoch { epoch, ..stored.get() });
                            peers.command(|cluster, _| cluster.list_written());
                        },
                        Ok(WriteOutcome::Conflicted) => {
                            peers.command(|cluster, now| cluster.list_conflicted(now));
                        },
                        Err(_) => peers.command(|cluster, now| {
                            cluster.list_failed(now);
                            Vec::new()
                        }),
                    }
                });
            },
        }
    }

    /// Renews the node's lease in the key-value service, and passes the result to the cluster
    /// state.
    pub(super) fn execute_lease_action(&self, action: LeaseAction) {
        let LeaseAction::Renew { lease } = action;
        let store = Rc::clone(&self.cluster_store);
        let peers = Rc::clone(&self.peers);
        actix_rt::spawn(async move {
            let renewed = store.renew_lease(lease).await.is_ok();
            peers.command(|cluster, _| {
                match renewed {
                    true => cluster.lease_renewed(),
                    false => cluster.lease_failed(),
                }
                Vec::new()
            });
        });
    }

    /// Merges `records` into those of the key-value service, and sends the merged records to the
    /// control thread.
    fn sync_suspects(&self, records: Vec<QuarantineRecord>) {
        let store = Rc::clone(&self.cluster_store);
        let inputs = self.input_sender.clone();
        actix_rt::spawn(async move {
            for _ in 0..SUSPECT_ATTEMPTS {
                if let Ok(merged) = store.merge_suspects(&records).await {
                    let _ = inputs.send(PeerInput::SuspectsRead(merged));
                    return;
                }
                tokio::time::sleep(SUSPECT_RETRY_DELAY).await;
            }
        });
    }

    fn cancel_peer_grant(&self, attempt: AttemptId, endpoint: &EndpointId) {
        let answers = self.engine_sender.clone();
        let Some(address) = self.state.address_of(endpoint) else {
            let _ = answers.send(super::load::EngineAnswer::PeerGrantReleased { attempt });
            return;
        };
        let engine = self.engine.clone();
        actix_rt::spawn(cancel_peer_grant(engine, address, attempt, CANCEL_LIMIT, answers));
    }

    fn set_pollers(&mut self, targets: Vec<LoadTarget>) {
        let mut previous = std::mem::take(&mut self.pollers);
        for target in targets {
            let kept = previous.remove(&target.endpoint);
            let entry = match kept {
                Some((known, task)) if known == target => (known, task),
                Some((_, task)) => {
                    task.abort();
                    self.start_poller(target)
                },
                None => self.start_poller(target),
            };
            self.pollers.insert(entry.0.endpoint.clone(), entry);
        }
        for (_, task) in previous.into_values() {
            task.abort();
        }
    }

    fn start_poller(&self, target: LoadTarget) -> (LoadTarget, TaskHandle<()>) {
        let poll = poll_load(self.engine.clone(), target.clone(), self.engine_sender.clone());
        (target, actix_rt::spawn(poll))
    }
}

/// Records the result of a read of the member list.
///
/// A node that the list does not contain at the first read has had no earlier incarnation that
/// could grant.
fn record_read(known: StoredEpoch, stored: &StoredList, node: &NodeId) -> StoredEpoch {
    let epoch = stored.list.as_ref().map_or(0, |list| list.epoch);
    let is_unlisted = stored.list.as_ref().is_none_or(|list| !list.contains(node));
    StoredEpoch {
        epoch: known.epoch.max(epoch),
        was_read: true,
        is_first_incarnation: match known.was_read {
            true => known.is_first_incarnation,
            false => epoch <= 1 && is_unlisted,
        },
    }
}
