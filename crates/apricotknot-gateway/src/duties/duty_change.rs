//! Changes of the keys under which nodes hold duties.

use std::sync::Arc;

use apricotknot_core::duty::DutyEntry;
use apricotknot_core::duty::DutyKind;
use apricotknot_core::types::RevisionNumber;

use crate::store::StoreEntry;

/// Prefix of the keys under which nodes hold duties.
const DUTY_PREFIX: &str = "apricotknot/duties/";

/// Change of the key of one duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyChange {
    /// Duty whose key changed.
    pub kind: DutyKind,
    /// Revision of the change.
    pub revision: RevisionNumber,
    /// Entry of the key, or `None` if it was removed.
    pub entry: Option<DutyEntry>,
}

impl DutyChange {
    /// Reads an entry; returns `None` if its key is not that of a duty.
    pub fn of_entry(entry: &StoreEntry) -> Option<Self> {
        let (kind, revision) = (duty_kind(&entry.key)?, entry.mod_revision);
        let record = serde_json::from_slice(&entry.value).ok();
        Some(Self { kind, revision, entry: Some(DutyEntry { revision, record }) })
    }

    /// Reads the removal of a key; returns `None` if it is not that of a duty.
    pub fn of_removal(key: &str, revision: RevisionNumber) -> Option<Self> {
        Some(Self { kind: duty_kind(key)?, revision, entry: None })
    }
}

/// Returns the key under which a node holds a duty.
pub(super) fn duty_key(kind: DutyKind) -> Arc<str> {
    format!("{DUTY_PREFIX}{}", kind.name()).into()
}

fn duty_kind(key: &str) -> Option<DutyKind> {
    key.strip_prefix(DUTY_PREFIX)?.parse().ok()
}
