//! Status of the fleet as this node knows it, published to traffic threads.

use std::collections::BTreeMap;

use apricotknot_core::membership::CoverageReport;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::types::EpochNumber;

/// Holds the status of the fleet as the node knew it at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetStatus {
    /// Epoch of the member list; 0 while none is known.
    pub epoch: EpochNumber,
    /// Whether the node may grant from the pools that it owns.
    pub may_act: bool,
    /// Duties that nodes announced to one another and that are not stored yet.
    pub duty_notices: BTreeMap<ResourceKey, DutyState>,
    /// Known members, including this node.
    pub members: Vec<MemberUpdate>,
    /// Members on which the newest configuration is in force; `None` before the first status.
    pub coverage: Option<CoverageReport>,
}
