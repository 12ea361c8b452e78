//! Values and plays that several tests of the control state use.

#[allow(dead_code, reason = "not every test plays limits")]
pub(crate) mod rate_fleet;
#[allow(dead_code, reason = "not every test relays")]
pub(crate) mod relaying_node;
#[allow(dead_code, reason = "not every test needs one node only")]
pub(crate) mod test_node;

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::RequestSize;
use apricotknot_gateway::control::PlacementRequest;

/// Returns the request `id` for the service `model`, which arrived at `now`.
#[allow(dead_code, reason = "not every test places requests")]
pub(crate) fn placement_request(id: u64, size: RequestSize, now: Duration) -> PlacementRequest {
    PlacementRequest {
        attempt: u128::from(id),
        query: PlacementQuery {
            service: "model".into(),
            size,
            regions: None,
            excluded: Vec::new(),
            arrived: now,
            target_latency: Duration::from_millis(300),
            pause_limit: Duration::from_millis(250),
            deadline: now + Duration::from_secs(10),
            rank: 0,
            price_share: 1.0,
        },
        is_retry: false,
        may_wait: true,
        unreached: Vec::new(),
        fingerprint: id,
        shared_parts: Arc::default(),
    }
}

/// Returns the registration of the engine `index` with `slots` slots.
pub(crate) fn engine_entry(index: usize, slots: u32) -> EndpointEntry {
    EndpointEntry {
        id: format!("engine-{index}").into(),
        incarnation: 1,
        service: "model".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "north".into(),
        slots,
        phase: EndpointPhase::Ready,
        cold_until: Duration::ZERO,
    }
}
