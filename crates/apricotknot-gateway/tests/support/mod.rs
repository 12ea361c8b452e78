//! Values and plays that several tests of the control state use.

#[allow(dead_code, reason = "not every test plays limits")]
pub(crate) mod rate_fleet;

use std::time::Duration;

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;

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
