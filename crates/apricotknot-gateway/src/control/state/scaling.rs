//! Snapshots for the scaling controller.

use apricotknot_core::scaling::ServiceSample;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::ServiceId;

use super::ControlState;
use crate::duties::ScalingInputs;

impl ControlState {
    /// Returns what this node knows about load and endpoints at `now`.
    pub fn scaling_inputs(&self, now: MonotonicTime) -> ScalingInputs {
        let services = self.desired.iter().flat_map(|desired| desired.services.keys());
        let services = services.filter_map(|service| self.service_sample(service, now));
        ScalingInputs { as_of: now, services: services.collect() }
    }

    fn service_sample(&self, service: &ServiceId, now: MonotonicTime) -> Option<ServiceSample> {
        let waits = self.wait_queue.prompts_for(service);
        ServiceSample::new(&self.fleet, service, &waits, now)
    }
}
