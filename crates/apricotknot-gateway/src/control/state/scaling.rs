//! Snapshots for the scaling controller.

use apricotknot_core::types::MonotonicTime;

use super::ControlState;
use crate::duties::ScalingInputs;

impl ControlState {
    /// Returns what this node knows about load and endpoints at `now`.
    pub fn scaling_inputs(&self, now: MonotonicTime) -> ScalingInputs {
        ScalingInputs { as_of: now }
    }
}
