//! Selects the members that a node probes.

use std::collections::BTreeSet;

use super::hash::hash_text;
use crate::types::NodeId;

/// Returns the members that `own` probes: all others, or at most `degree` in a larger fleet.
///
/// Each of `degree` rings orders the members by another hash, and a node probes its successor in
/// each ring. Every member is therefore probed by about as many nodes as it probes, updates reach
/// the whole fleet in a number of rounds that grows with the logarithm of its size, and a node
/// keeps few connections.
pub(super) fn probe_targets(own: &NodeId, members: &[NodeId], degree: usize) -> Vec<NodeId> {
    let others: Vec<_> = members.iter().filter(|node| *node != own).cloned().collect();
    if others.len() <= degree {
        return others;
    }
    let mut targets = BTreeSet::new();
    for ring in 0..degree as u64 {
        if let Some(target) = successor(own, &others, ring) {
            targets.insert(target);
        }
    }
    targets.into_iter().collect()
}

/// Returns the member that follows `own` in `ring`; none if there is no other member.
fn successor(own: &NodeId, others: &[NodeId], ring: u64) -> Option<NodeId> {
    let place = hash_text(ring, own);
    let distance = |node: &NodeId| hash_text(ring, node).wrapping_sub(place);
    others.iter().min_by_key(|node| (distance(node), (*node).clone())).cloned()
}
