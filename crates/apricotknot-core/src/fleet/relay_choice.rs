//! Choice of the nodes through which a node that is cut off reaches endpoints.

use crate::types::NodeId;

/// Nodes that are asked in turn for one connection.
const MAX_RELAYS: usize = 2;

/// Nodes of each distance that are compared.
const SAMPLE: usize = 2;

/// Distance of a node that could relay.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RelayDistance {
    /// The same data centre.
    Near,
    /// Another data centre of the same region.
    SameRegion,
    /// Another region.
    Far,
}

impl RelayDistance {
    /// Returns the load of a nearer node that weighs as much as this distance.
    fn cost(self) -> u32 {
        match self {
            Self::Near => 0,
            Self::SameRegion => 4,
            Self::Far => 40,
        }
    }
}

/// A node that reaches the endpoints of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayCandidate {
    /// Name of the node.
    pub node: NodeId,
    /// Distance from the node that is cut off.
    pub distance: RelayDistance,
    /// Attempts that it runs, and connections that it relays.
    pub load: u32,
}

/// Returns the nodes to ask, the best one first.
///
/// `pick(n)` returns a random number below `n`. Only some candidates are compared: nodes that all
/// compare all of them would choose the same one before they learn of one another's choice.
pub fn choose_relays(
    mut candidates: Vec<RelayCandidate>,
    mut pick: impl FnMut(usize) -> usize,
) -> Vec<NodeId> {
    let mut sample = Vec::new();
    for distance in [RelayDistance::Near, RelayDistance::SameRegion, RelayDistance::Far] {
        for _ in 0..SAMPLE {
            let of_distance = candidates.iter().enumerate();
            let of_distance = of_distance.filter(|(_, it)| it.distance == distance);
            let indices: Vec<usize> = of_distance.map(|(index, _)| index).collect();
            if indices.is_empty() {
                break;
            }
            sample.push(candidates.swap_remove(indices[pick(indices.len())]));
        }
    }
    sample.sort_by_key(|it| it.load.saturating_add(it.distance.cost()));
    sample.into_iter().take(MAX_RELAYS).map(|candidate| candidate.node).collect()
}
