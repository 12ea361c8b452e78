//! What a node knows of one service at one moment.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::LoadSample;
use super::ScalingLimits;
use crate::fleet::EndpointPhase;
use crate::fleet::EndpointState;
use crate::fleet::EngineModel;
use crate::fleet::FleetState;
use crate::types::DataCentreId;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::ServiceId;
use crate::types::TokenCount;

/// Whether an announced endpoint serves.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EndpointStatus {
    /// The endpoint takes requests.
    Ready,
    /// Connections to the endpoint fail.
    Unreachable,
    /// The endpoint shuts down and will not be back.
    Leaving,
}

/// One announced endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSample {
    /// Endpoint that is announced.
    pub id: EndpointId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether it serves.
    pub status: EndpointStatus,
}

/// Describes one service whose endpoints are ordered, at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSample {
    /// Service that is described.
    pub service: ServiceId,
    /// Limits of the number of its endpoints.
    pub limits: ScalingLimits,
    /// Requests that one endpoint runs.
    pub slots: u32,
    /// Performance model of the endpoints; `None` if they are not model engines.
    pub engine: Option<EngineModel>,
    /// Work of all nodes for the service.
    pub load: LoadSample,
    /// Announced endpoints, ordered by id.
    pub endpoints: Vec<EndpointSample>,
    /// Data centres in which operators want no new work.
    pub evacuated: BTreeSet<DataCentreId>,
}

impl ServiceSample {
    /// Describes `service` at `now`; returns `None` if its endpoints are not ordered.
    ///
    /// `own_waits` holds the prompts that wait for the service at this node.
    pub fn new(
        fleet: &FleetState,
        service: &ServiceId,
        own_waits: &[TokenCount],
        now: MonotonicTime,
    ) -> Option<Self> {
        let profile = fleet.service(service)?;
        let limits = profile.scaling?;
        let states = fleet.endpoints().filter(|state| state.entry.service == *service);
        let states: Vec<&EndpointState> = states.collect();
        let slots = states.iter().map(|state| state.entry.slots).max();
        Some(Self {
            service: Arc::clone(service),
            limits,
            slots: slots.unwrap_or(1),
            engine: profile.engine.clone(),
            load: LoadSample::new(fleet, service, own_waits, now),
            endpoints: states.into_iter().map(|state| endpoint_sample(fleet, state, now)).collect(),
            evacuated: fleet.evacuated().cloned().collect(),
        })
    }

    /// Returns the endpoints that the work of all nodes occupies.
    pub(super) fn occupied(&self) -> f64 {
        self.load.endpoints(self.slots, self.engine.as_ref(), self.limits.boot_time)
    }
}

fn endpoint_sample(
    fleet: &FleetState,
    state: &EndpointState,
    now: MonotonicTime,
) -> EndpointSample {
    let is_leaving = state.entry.phase == EndpointPhase::Leaving || fleet.is_leaving(state);
    let status = match (is_leaving, state.health.is_backing_off(now)) {
        (true, _) => EndpointStatus::Leaving,
        (false, true) => EndpointStatus::Unreachable,
        (false, false) => EndpointStatus::Ready,
    };
    EndpointSample {
        id: Arc::clone(&state.entry.id),
        data_centre: Arc::clone(&state.entry.data_centre),
        status,
    }
}
