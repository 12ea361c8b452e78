//! Work that all nodes have for one service at one moment.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::fleet::EngineModel;
use crate::fleet::FleetState;
use crate::fleet::WorkItem;
use crate::fleet::WorkPhase;
use crate::fleet::WorkRole;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Time that a request and the first event of its answer spend on the network.
const NETWORK_TIME: Duration = Duration::from_millis(10);

/// Sums up the work of all nodes for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Endpoints that prefill prompts.
    pub prefilling: f64,
    /// Requests that run.
    pub running: u32,
    /// Memory that they hold, in tokens.
    pub memory: TokenCount,
    /// Prefill time of the requests that wait for an endpoint.
    pub waiting: Duration,
}

impl LoadSample {
    /// Sums up the work at the endpoints of `service` at `now`; `own_waits` holds the prompts that
    /// wait for the service at this node.
    ///
    /// Other nodes do not tell the service of a request that waits, so it counts for each service of
    /// model engines.
    pub fn new(
        fleet: &FleetState,
        service: &str,
        own_waits: &[TokenCount],
        now: MonotonicTime,
    ) -> Self {
        let engine = fleet.service(service).and_then(|profile| profile.engine.as_ref());
        let endpoints = fleet.endpoints().filter(|state| *state.entry.service == *service);
        let endpoints: BTreeSet<&EndpointId> = endpoints.map(|state| &state.entry.id).collect();
        let mut sample = Self::default();
        for work in fleet.work_items(now).filter(|work| endpoints.contains(&work.endpoint)) {
            sample.add(work, engine, now);
        }
        if let Some(engine) = engine {
            let peer_waits = fleet.peer_waits(now).map(|wait| wait.prompt);
            let prompts = own_waits.iter().copied().chain(peer_waits);
            sample.waiting = prompts.map(|prompt| engine.prefill_time(prompt)).sum();
        }
        sample
    }

    fn add(&mut self, work: &WorkItem, engine: Option<&EngineModel>, now: MonotonicTime) {
        self.memory = self.memory.saturating_add(work.memory);
        if work.role == WorkRole::Runner {
            self.running += 1;
        }
        if let (WorkPhase::Prefill, Some(engine)) = (work.phase, engine) {
            self.prefilling += prefill_fraction(work, engine, now);
        }
    }
}

impl LoadSample {
    /// Returns the endpoints that the work occupies.
    ///
    /// An endpoint runs `slots` requests, and has the memory of `engine`. What waits is to be done
    /// within `boot_time`, after which further endpoints could help.
    pub fn endpoints(&self, slots: u32, engine: Option<&EngineModel>, boot_time: Duration) -> f64 {
        let slot_share = f64::from(self.running) / f64::from(slots.max(1));
        let memory_share =
            engine.map_or(0.0, |engine| self.memory as f64 / engine.memory.max(1) as f64);
        let backlog = self.waiting.as_secs_f64() / boot_time.as_secs_f64().max(1.0);
        self.prefilling + slot_share.max(memory_share) + backlog
    }
}

/// Returns the fraction of an endpoint that prefills for `work` at `now`.
///
/// Over a prefill phase of the expected length it sums up to the prefill time; in the rest of the phase,
/// the request or the first event is on its way. A longer phase was spent in the queue of an
/// endpoint that prefills for others, for which these count already.
fn prefill_fraction(work: &WorkItem, engine: &EngineModel, now: MonotonicTime) -> f64 {
    let rest = engine.event_interval(1, work.prompt) + NETWORK_TIME;
    let phase = work.prefill_time + rest;
    match now.saturating_sub(work.since) < phase {
        true => work.prefill_time.as_secs_f64() / phase.as_secs_f64(),
        false => 0.0,
    }
}
