//! Inputs of the decision how many endpoints are needed.

use apricotknot_core::scaling::ServiceSample;
use apricotknot_core::types::MonotonicTime;

/// Holds what this node knows about load and endpoints at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingInputs {
    /// Time of the snapshot.
    pub as_of: MonotonicTime,
    /// Services whose endpoints are ordered.
    pub services: Vec<ServiceSample>,
}
