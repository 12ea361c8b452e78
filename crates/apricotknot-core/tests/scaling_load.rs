//! Checks how many endpoints the work of a fleet counts as.

#[path = "support/fleet_simulation.rs"]
#[allow(dead_code, reason = "this test only needs the model of an engine")]
mod fleet_simulation;

use std::time::Duration;

use apricotknot_core::fleet::HelperPart;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::scaling::LoadSample;

use crate::fleet_simulation::ARCHIVE;
use crate::fleet_simulation::endpoint_entry;
use crate::fleet_simulation::fleet_state;
use crate::fleet_simulation::model;
use crate::fleet_simulation::query;

#[test]
fn split_prefill_counts_its_time_once_however_long_it_is_queued() {
    let prefill_time = Duration::from_millis(400);
    let start = Duration::from_secs(100);
    let mut fleet = fleet_state(4);
    let query = query(&ARCHIVE, start);
    let helper = |index| HelperPart { endpoint: endpoint_entry(index).id, memory: 0 };
    let plan = PlacementPlan {
        endpoint: endpoint_entry(0).id,
        memory: query.size.memory(),
        helpers: vec![helper(1), helper(2)],
        prefill_time,
        expected_start: prefill_time,
    };
    fleet.record_start(1, &query, &plan, start);
    let prefilling = |ms: u64| {
        let now = start + Duration::from_millis(ms);
        LoadSample::new(&fleet, "model", &[], now).prefilling
    };
    // The first event arrives after 2 s, of which the endpoints prefill 400 ms each.
    let endpoint_time: f64 = (0..2_000).map(prefilling).sum::<f64>() / 1_000.0;
    assert!((1.1..=1.25).contains(&endpoint_time), "{endpoint_time}");
}

#[test]
fn slots_and_memory_count_by_the_scarcer_one() {
    let sample = LoadSample { running: 32, memory: 232_000, ..LoadSample::default() };
    let endpoints =
        |sample: &LoadSample| sample.endpoints(16, Some(&model()), Duration::from_secs(8));
    assert_eq!(endpoints(&sample), 2.0);
    assert_eq!(endpoints(&LoadSample { memory: 3 * 232_000, ..sample }), 3.0);
    let waiting = Duration::from_secs(24);
    assert_eq!(endpoints(&LoadSample { waiting, ..sample }), 5.0);
}
