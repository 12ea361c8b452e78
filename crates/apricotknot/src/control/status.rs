//! What this node knows of the fleet, published for traffic threads.

use std::collections::BTreeMap;

use apricotknot_core::membership::CoverageReport;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::types::EpochNumber;

/// Holds what the node knows of the fleet at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetStatus {
    /// Epoch of the member list; 0 while none is known.
    pub epoch: EpochNumber,
    /// Whether the node may act on what it owns.
    pub may_act: bool,
    /// Duties that nodes told one another and that are not stored yet.
    pub duty_notices: BTreeMap<ResourceKey, DutyState>,
    /// Members that are known, this node included.
    pub members: Vec<MemberUpdate>,
    /// On which members the newest configuration is in force.
    pub coverage: Option<CoverageReport>,
}
