//! Versions of the configuration that the key-value service holds, against the one in force.

use std::time::Duration;

use apricotknot_core::types::MonotonicTime;

/// Time after the service came back from a copy within which operators write the configuration
/// again.
///
/// Until then, a service that is behind does not confirm that the configuration is the newest one.
const REWRITE_GRACE: Duration = Duration::from_millis(2_200);

/// Time by which each node lets the one before it in the order write first.
const DELAY_PER_NODE: Duration = Duration::from_millis(100);

/// Longest time that a node lets others write first.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Compares the versions of the configuration that the service holds with the one in force.
///
/// A service that came back from a copy may hold an older version than nodes have in force. They
/// keep theirs and write it to the service, so that nodes which start then use it too.
#[derive(Debug, Default)]
pub(super) struct ConfigurationVersions {
    /// Version that operators have written, as last read.
    operator_version: Option<u64>,
    /// Newest version that a node has written, as last read.
    kept_version: Option<u64>,
    restored_at: Option<MonotonicTime>,
    /// Time at which this node writes its version, unless another one has.
    write_at: Option<MonotonicTime>,
}

impl ConfigurationVersions {
    /// Records the version that operators have written.
    pub(super) fn set_operator_version(&mut self, version: u64) {
        self.operator_version = Some(version);
    }

    /// Records a version that a node has written.
    pub(super) fn set_kept_version(&mut self, version: u64) {
        self.kept_version = self.kept_version.max(Some(version));
    }

    /// Records that the service came back from a copy; `index` is this node's place in the order of
    /// all nodes.
    pub(super) fn record_restored(&mut self, index: usize, now: MonotonicTime) {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        self.operator_version = None;
        self.kept_version = None;
        self.restored_at = Some(now);
        self.write_at = Some(now + DELAY_PER_NODE.saturating_mul(index).min(MAX_DELAY));
    }

    /// Returns whether this node has to write the version `in_force` now; true once at most after
    /// each loss.
    pub(super) fn take_write(&mut self, in_force: u64, now: MonotonicTime) -> bool {
        if self.write_at.is_none_or(|write_at| now < write_at) {
            return false;
        }
        self.write_at = None;
        self.is_behind(in_force) && self.kept_version.is_none_or(|kept| kept < in_force)
    }
}

impl ConfigurationVersions {
    /// Returns whether the service confirms at `now` that the version `in_force` is the newest one.
    pub(super) fn is_confirmed(&self, in_force: u64, now: MonotonicTime) -> bool {
        let may_rewrite = self.restored_at.is_some_and(|restored| now < restored + REWRITE_GRACE);
        !(may_rewrite && self.is_behind(in_force))
    }

    /// Returns whether operators have written an older version than `in_force`, or none.
    fn is_behind(&self, in_force: u64) -> bool {
        self.operator_version.is_none_or(|version| version < in_force)
    }
}
