//! Record by which a node holds a duty.

use serde::Deserialize;
use serde::Serialize;

use crate::types::FencingNumber;
use crate::types::IncarnationNumber;
use crate::types::NodeId;
use crate::types::RevisionNumber;

/// Number of bits of a fencing number that hold the revision; the bits above hold the era.
const REVISION_BITS: u32 = 40;

/// Number of bits of a fencing number that hold the era, so that it fits a signed number.
const ERA_BITS: u32 = 23;

/// Lease of the key-value service, and the era in which it was granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyLease {
    /// Number of times that the service came back from a copy.
    pub era: u64,
    /// Id of the lease within the era.
    pub id: i64,
}

/// Value of a duty's key in the key-value service, bound to the holder's lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyRecord {
    /// Node that holds the duty.
    pub holder: NodeId,
    /// Incarnation of that node.
    pub incarnation: IncarnationNumber,
    /// Era in which the record was written.
    pub era: u64,
    /// Id of the lease that the record is bound to.
    pub lease: i64,
    /// Whether the holder has stopped acting, so that another node may follow at once.
    #[serde(default)]
    pub is_released: bool,
}

/// Entry of a duty's key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyEntry {
    /// Revision of the write that set the record.
    pub revision: RevisionNumber,
    /// Record, or `None` if it is not readable.
    pub record: Option<DutyRecord>,
}

/// What the key-value service held for a duty at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DutyContents {
    /// Era of the service.
    pub era: u64,
    /// Revision at which it was so.
    pub revision: RevisionNumber,
    /// Entry, or `None` if the key did not exist.
    pub entry: Option<DutyEntry>,
}

/// Returns the fencing number of the term that a write at `revision` of `era` began.
///
/// Revisions grow within an era, and a service that came back from a copy, with smaller revisions, is
/// in a later era. Returns `None` for numbers beyond the range of fencing numbers.
pub fn fencing_number(era: u64, revision: RevisionNumber) -> Option<FencingNumber> {
    let is_in_range = era < 1 << ERA_BITS && revision < 1 << REVISION_BITS;
    is_in_range.then_some((era << REVISION_BITS) | revision)
}
