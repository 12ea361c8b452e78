//! Inputs of the decision how many endpoints are needed.

use apricotknot_core::types::MonotonicTime;

/// Holds what this node knows about load and endpoints at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ScalingInputs {
    /// Time of the snapshot.
    pub as_of: MonotonicTime,
}
