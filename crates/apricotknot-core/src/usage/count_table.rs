//! Counts of all nodes.

use std::collections::BTreeMap;

use super::CountSnapshot;
use super::UsageReport;
use crate::types::AccountId;
use crate::types::IncarnationNumber;
use crate::types::NodeId;
use crate::types::WindowNumber;

/// Number of windows before the current one whose counts are kept.
const RETAINED_WINDOWS: u64 = 8;

#[derive(Clone, Debug, Default)]
struct NodeCounts {
    first_open: WindowNumber,
    windows: BTreeMap<WindowNumber, BTreeMap<AccountId, u64>>,
}

/// Merges the counts of all nodes, in whatever order they arrive.
#[derive(Clone, Debug, Default)]
pub struct CountTable {
    nodes: BTreeMap<(NodeId, IncarnationNumber), NodeCounts>,
}

impl CountTable {
    /// Merges a snapshot that arrives in the window `current`.
    ///
    /// Returns how many requests it adds to windows before `first_unreported`: they are in no
    /// report. The first snapshot of a node adds none, as the report may hold its counts. Windows that
    /// are far from the current one are ignored.
    pub fn merge(
        &mut self,
        snapshot: &CountSnapshot,
        current: WindowNumber,
        first_unreported: WindowNumber,
    ) -> u64 {
        let oldest = current.saturating_sub(RETAINED_WINDOWS);
        let key = (NodeId::clone(&snapshot.node), snapshot.incarnation);
        let is_known = self.nodes.contains_key(&key);
        let node = self.nodes.entry(key).or_default();
        node.first_open = node.first_open.max(snapshot.first_open.min(current.saturating_add(1)));
        let mut late = 0;
        for window in &snapshot.windows {
            if !(oldest..=current.saturating_add(1)).contains(&window.window) {
                continue;
            }
            let counts = node.windows.entry(window.window).or_default();
            for (account, count) in &window.counts {
                let known = counts.entry(AccountId::clone(account)).or_default();
                if is_known && window.window < first_unreported {
                    late += count.saturating_sub(*known);
                }
                *known = (*known).max(*count);
            }
        }
        late
    }

    /// Removes windows that are far before `current`, and nodes that have not spoken since.
    pub fn expire(&mut self, current: WindowNumber) {
        let oldest = current.saturating_sub(RETAINED_WINDOWS);
        self.nodes.retain(|_, node| {
            node.windows = node.windows.split_off(&oldest);
            !node.windows.is_empty() || node.first_open > oldest
        });
    }
}

impl CountTable {
    /// Returns the report on a window, from the counts that have arrived.
    pub fn report(&self, window: WindowNumber) -> UsageReport {
        let mut counts = BTreeMap::new();
        for node in self.nodes.values() {
            for (account, count) in node.windows.get(&window).into_iter().flatten() {
                *counts.entry(AccountId::clone(account)).or_default() += count;
            }
        }
        UsageReport { window, counts }
    }

    /// Returns whether `node` has sent all its counts of a window.
    pub fn is_complete(&self, node: &NodeId, window: WindowNumber) -> bool {
        let first = (NodeId::clone(node), IncarnationNumber::MIN);
        let last = (NodeId::clone(node), IncarnationNumber::MAX);
        self.nodes.range(first..=last).any(|(_, counts)| counts.first_open > window)
    }
}
