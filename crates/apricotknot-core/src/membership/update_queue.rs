//! Queue of updates to piggyback on messages, each a bounded number of times.

use std::collections::BTreeMap;

/// Holds the newest update about each subject, and counts how often each was sent.
#[derive(Clone, Debug)]
pub(super) struct UpdateQueue<K, N> {
    items: BTreeMap<K, QueuedUpdate<N>>,
    next_order: u64,
}

#[derive(Clone, Debug)]
struct QueuedUpdate<N> {
    update: N,
    send_count: u32,
    order: u64,
}

impl<K, N> Default for UpdateQueue<K, N> {
    fn default() -> Self {
        Self { items: BTreeMap::new(), next_order: 0 }
    }
}

impl<K: Clone + Ord, N: Clone> UpdateQueue<K, N> {
    /// Adds an update; it replaces an older one about the same subject.
    pub(super) fn push(&mut self, subject: K, update: N) {
        let order = self.next_order;
        self.next_order += 1;
        self.items.insert(subject, QueuedUpdate { update, send_count: 0, order });
    }

    /// Removes the update about a subject.
    pub(super) fn remove(&mut self, subject: &K) {
        self.items.remove(subject);
    }

    /// Returns at most `count` updates to send, least sent first and newest first among equals.
    ///
    /// Counts each as sent, and removes those that were sent `send_limit` times.
    pub(super) fn next_batch(&mut self, count: usize, send_limit: u32) -> Vec<N> {
        if self.items.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<_> = self
            .items
            .iter()
            .map(|(subject, item)| (item.send_count, u64::MAX - item.order, subject.clone()))
            .collect();
        order.sort_unstable();
        let mut batch = Vec::new();
        for (_, _, subject) in order.into_iter().take(count) {
            if let Some(item) = self.items.get_mut(&subject) {
                item.send_count += 1;
                batch.push(item.update.clone());
                if item.send_count >= send_limit {
                    self.items.remove(&subject);
                }
            }
        }
        batch
    }
}

/// Returns how often one update is sent so that it reaches all of `members` members.
pub(super) fn send_limit(members: usize) -> u32 {
    let growth = usize::BITS - members.leading_zeros();
    3 * growth.max(1)
}
