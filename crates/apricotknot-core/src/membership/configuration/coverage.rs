//! Tracks on which members the newest configuration is in force.

use std::sync::Arc;

use crate::membership::NodeSummary;
use crate::types::EpochNumber;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Coverage bits in one byte.
const BYTE_BITS: usize = 8;

/// Reports on which listed members a revision is in force, as far as one node knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoverageReport {
    /// Newest revision that any member is known to have in force.
    pub revision: RevisionNumber,
    /// Epoch of the member list that the report covers.
    pub epoch: EpochNumber,
    /// Number of listed members that are known to have it in force.
    pub in_force: usize,
    /// Number of members in the list.
    pub listed: usize,
    /// Members that are known to have it in force, by name.
    pub covered: Vec<NodeId>,
    /// Members that are not known to have it in force, by name.
    pub missing: Vec<NodeId>,
}

impl CoverageReport {
    /// Returns whether the revision is known to be in force on `node`.
    pub fn covers(&self, node: &NodeId) -> bool {
        self.covered.binary_search(node).is_ok()
    }

    /// Returns whether `node` is in the member list.
    pub fn lists(&self, node: &NodeId) -> bool {
        self.covers(node) || self.missing.binary_search(node).is_ok()
    }
}

/// Collects, in one bit for each listed member, which members have the newest revision in force.
///
/// The bits are piggybacked on each probe message: 102 bytes for 810 members. Bits of a revision
/// are only ever set, so two maps can be merged in any order and any number of times.
#[derive(Clone, Debug, Default)]
pub struct CoverageMap {
    own: NodeId,
    own_revision: RevisionNumber,
    epoch: EpochNumber,
    listed: Vec<NodeId>,
    revision: RevisionNumber,
    bits: Vec<u8>,
}

impl CoverageMap {
    /// Creates an empty map of node `own`.
    pub fn new(own: impl Into<NodeId>) -> Self {
        Self { own: own.into(), ..Self::default() }
    }
}

impl CoverageMap {
    /// Sets the member list of an epoch; bits collected for another epoch are discarded.
    pub fn set_list(&mut self, epoch: EpochNumber, listed: impl IntoIterator<Item = NodeId>) {
        self.epoch = epoch;
        self.listed = listed.into_iter().collect();
        self.listed.sort_unstable();
        self.reset(self.revision);
    }

    /// Records that this node has `revision` in force.
    pub fn set_own_revision(&mut self, revision: RevisionNumber) {
        self.own_revision = revision;
        if revision > self.revision {
            self.reset(revision);
        }
        self.mark_own();
    }

    /// Merges the bits of a peer.
    ///
    /// Ignores bits of another epoch or an older revision; a newer one clears the bits first.
    pub fn merge(&mut self, summary: &NodeSummary) {
        let is_same_size = summary.coverage.len() == self.bits.len();
        if summary.coverage_epoch != self.epoch || !is_same_size {
            return;
        }
        if summary.coverage_revision < self.revision {
            return;
        }
        if summary.coverage_revision > self.revision {
            self.reset(summary.coverage_revision);
        }
        for (bits, theirs) in self.bits.iter_mut().zip(&summary.coverage) {
            *bits |= theirs;
        }
    }

    /// Writes the bits into the summary that is piggybacked on messages.
    pub fn write_summary(&self, summary: &mut NodeSummary) {
        summary.coverage_revision = self.revision;
        summary.coverage_epoch = self.epoch;
        summary.coverage.clone_from(&self.bits);
    }

    /// Clears the bits, and starts to collect them for `revision`.
    fn reset(&mut self, revision: RevisionNumber) {
        self.revision = revision;
        self.bits = vec![0; self.listed.len().div_ceil(BYTE_BITS)];
        self.mark_own();
    }

    /// Sets the bit of this node if it has the revision in force.
    fn mark_own(&mut self) {
        if self.own_revision < self.revision {
            return;
        }
        if let Ok(index) = self.listed.binary_search(&self.own) {
            self.bits[index / BYTE_BITS] |= 1 << (index % BYTE_BITS);
        }
    }
}

impl CoverageMap {
    /// Returns on which listed members the newest known revision is in force.
    pub fn report(&self) -> CoverageReport {
        let is_set = |index: usize| self.bits[index / BYTE_BITS] & (1 << (index % BYTE_BITS)) != 0;
        let (covered, missing): (Vec<_>, Vec<_>) =
            (0..self.listed.len()).partition(|index| is_set(*index));
        let names = |indices: Vec<usize>| -> Vec<NodeId> {
            indices.into_iter().map(|index| Arc::clone(&self.listed[index])).collect()
        };
        CoverageReport {
            revision: self.revision,
            epoch: self.epoch,
            in_force: covered.len(),
            listed: self.listed.len(),
            covered: names(covered),
            missing: names(missing),
        }
    }
}
