//! Invariants that hold after every step, and conditions that hold after all faults have ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::membership::ClusterAction;
use apricotknot_core::membership::MemberState;

use crate::fleet::Fleet;
use crate::fleet::node_id;
use crate::store::FakeStore;

/// Pause after which a node must not act as an owner before a peer confirms it.
const PAUSE: Duration = Duration::from_secs(2);

/// Records what one process of a node has put in force since it started.
#[derive(Default)]
pub(crate) struct NodeOracle {
    records: BTreeMap<Arc<str>, u64>,
    revision: u64,
    epoch: u64,
}

impl NodeOracle {
    pub(crate) fn check_action(&mut self, action: &ClusterAction, store: &FakeStore) {
        match action {
            ClusterAction::Apply { records, revision } => {
                assert!(*revision >= self.revision, "the revision in force never decreases");
                self.revision = *revision;
                for record in records {
                    let before = self.records.insert(record.key.clone(), record.revision);
                    assert!(
                        before.is_none_or(|before| before < record.revision),
                        "no record is replaced by an older one"
                    );
                    assert!(
                        record.is_deleted() || store.log.contains(record),
                        "only accepted records apply"
                    );
                }
            },
            ClusterAction::ListAdopted { list } => {
                assert!(list.epoch > self.epoch, "epochs of adopted lists increase");
                self.epoch = list.epoch;
                assert!(store.lists.contains(list), "only lists in the service are adopted");
            },
            _ => {},
        }
    }
}

impl Fleet {
    /// Checks that a node that was paused past its limit does not act before it is confirmed again.
    pub(crate) fn check_resumed(&mut self, index: usize) {
        let now = self.clock(index);
        let node = &mut self.nodes[index];
        let paused = node.paused_until.saturating_sub(node.paused_at);
        if paused >= PAUSE {
            assert!(!node.state.may_act(now), "a resumed node must be confirmed first");
        }
        node.paused_at = Duration::ZERO;
        node.paused_until = Duration::ZERO;
    }

    pub(crate) fn check_step(&mut self) {
        self.check_coverage();
        let epochs: Vec<_> = self.store.lists.iter().map(|list| list.epoch).collect();
        assert!(epochs.windows(2).all(|pair| pair[0] < pair[1]), "epochs in the service increase");
        for node in &self.nodes {
            let table = node.state.replicator().table();
            assert!(
                table.revision() <= self.store.revision,
                "no revision exceeds that of the service"
            );
            if !table.is_complete() {
                continue;
            }
            let held: BTreeMap<_, _> =
                table.records().map(|record| (record.key.clone(), record.clone())).collect();
            assert_eq!(held, self.store.state_at(table.revision()), "complete at its revision");
        }
    }

    /// Checks that a revision is reported in force only on nodes that have reached it.
    fn check_coverage(&mut self) {
        for (newest, node) in self.newest_revisions.iter_mut().zip(&self.nodes) {
            *newest = node.state.replicator().table().revision().max(*newest);
        }
        for node in &self.nodes {
            let report = node.state.coverage();
            for (index, newest) in self.newest_revisions.iter().enumerate() {
                let is_claimed = report.listed > 0
                    && node.state.member_list().contains(&node_id(index))
                    && !report.missing.contains(&node_id(index));
                assert!(!is_claimed || *newest >= report.revision, "not yet in force on {index}");
            }
        }
    }

    pub(crate) fn check_converged(&self) {
        let size = self.nodes.len();
        let digest = self.nodes[0].state.drains().digest();
        for (index, node) in self.nodes.iter().enumerate() {
            let state = &node.state;
            for peer in 0..size {
                let peer_state = state.table().state_of(&node_id(peer));
                assert_eq!(peer_state, Some(MemberState::Alive), "{index} considers {peer} alive");
            }
            assert!(state.may_act(self.clock(index)), "{index} may act");
            assert_eq!(state.replicator().table().revision(), self.store.newest(), "{index}");
            assert_eq!(state.member_list().members.len(), size, "{index} has the complete list");
            assert_eq!(state.member_list(), &self.store.lists[self.store.lists.len() - 1]);
            assert_eq!(state.drains().digest(), digest, "{index} has all drain notices");
            let coverage = state.coverage();
            assert_eq!(coverage.in_force, size, "{index} knows that it is in force on all members");
            let pool = Arc::from("service/0");
            assert_eq!(state.owner_of(&pool), self.nodes[0].state.owner_of(&pool));
            assert_eq!(state.holders_of(&pool, 8), self.nodes[0].state.holders_of(&pool, 8));
        }
    }
}
