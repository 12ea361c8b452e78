//! Drain notices that nodes exchange without the key-value service.

use std::sync::Arc;

use crate::types::NodeId;

/// Kind of subject that a drain notice is about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DrainSubject {
    /// A data centre and all endpoints in it.
    DataCentre,
    /// One endpoint.
    Endpoint,
    /// One node of the serving layer.
    Node,
}

/// Orders that a subject receives no new work, or receives it again; overrides the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainNotice {
    /// Kind of the subject.
    pub subject: DrainSubject,
    /// Name of the subject.
    pub name: Arc<str>,
    /// Whether the subject receives no new work.
    pub out: bool,
    /// Orders the notices about one subject; larger than all versions that the issuer had seen.
    pub version: u64,
    /// Node that issued the notice; breaks ties between equal versions.
    pub origin: NodeId,
}

impl DrainNotice {
    /// Returns whether this notice replaces `other` about the same subject.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, &self.origin) > (other.version, &other.origin)
    }
}
