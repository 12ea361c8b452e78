//! Costs of endpoints whose load other nodes change at the same time.
//!
//! Load: many nodes that choose at once, each without the last choices of the others. Where all of
//! them take the endpoint that seems the best, its queue is far longer than any of them expects.

use super::FleetState;
use super::LoadKnowledge;
use super::endpoint_load::EndpointLoad;
use super::endpoint_state::EndpointState;

/// Number of nodes up to which each node receives the choices of the others before its own next
/// choice, so that no jitter is needed.
const NODES_WITHOUT_JITTER: usize = 10;

/// Maximum jitter cost of an endpoint per node beyond [`NODES_WITHOUT_JITTER`].
const JITTER_PER_NODE: f64 = 0.008;

/// Upper limit of the jitter cost for any number of nodes.
const MAX_JITTER: f64 = 0.5;

/// Cost of an endpoint in another data centre, in units of request value.
///
/// Work that nodes of other data centres give it becomes known later than that of nearby nodes.
const REMOTE_COST: f64 = 0.3;

/// Cost of an endpoint in another data centre for one of several parts, in units of request value.
///
/// An answer begins after the last part, so work at one endpoint that is not known yet delays it all.
const REMOTE_PART_COST: f64 = 0.9;

/// Fraction of the jitter cost that counts for a part in the node's own data centre, where the
/// choices of others become known soon.
const NEARBY_PART_JITTER: f64 = 0.3;

/// Cost of an endpoint whose last free slot would be taken, in units of request value.
///
/// The more of its slots are in use, the more likely a request that is not known yet takes the rest.
const CROWDING_COST: f64 = 0.8;

/// Fraction of an endpoint's slots up to which there is no [`CROWDING_COST`].
const UNCROWDED_FRACTION: f64 = 0.6;

/// Costs of one endpoint, in units of request value.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceCosts {
    /// Cost of the endpoint wherever it is.
    pub(super) any: f64,
    /// Cost of the endpoint for one of several parts of a prompt, where nearby endpoints come first.
    pub(super) nearby_part: f64,
}

impl ChoiceCosts {
    /// Returns the costs of an endpoint with `load`.
    pub(super) fn of(fleet: &FleetState, state: &EndpointState, load: &EndpointLoad) -> Self {
        let jitter = state.jitter * jitter_scale(fleet.node_count());
        if fleet.load_knowledge() == LoadKnowledge::Direct {
            return Self { any: jitter, nearby_part: jitter };
        }
        let crowding = crowding_cost(state, load);
        match fleet.is_remote(&state.entry.data_centre) {
            true => Self {
                any: jitter + crowding + REMOTE_COST,
                nearby_part: jitter + crowding + REMOTE_PART_COST,
            },
            false => {
                Self { any: jitter + crowding, nearby_part: jitter * NEARBY_PART_JITTER + crowding }
            },
        }
    }
}

/// Returns the largest jitter cost of an endpoint in a fleet of `node_count` nodes.
fn jitter_scale(node_count: usize) -> f64 {
    (JITTER_PER_NODE * node_count.saturating_sub(NODES_WITHOUT_JITTER) as f64).min(MAX_JITTER)
}

/// Returns the cost of an endpoint most of whose slots are in use.
fn crowding_cost(state: &EndpointState, load: &EndpointLoad) -> f64 {
    let used_fraction = f64::from(load.running) / f64::from(state.entry.slots.max(1));
    let crowding = (used_fraction - UNCROWDED_FRACTION) / (1.0 - UNCROWDED_FRACTION);
    CROWDING_COST * crowding.max(0.0)
}
