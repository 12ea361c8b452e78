//! Tests that prompts of every length are sent while short requests use a part of the engines.

#[allow(dead_code, reason = "these tests play no arrivals")]
#[path = "support/fleet_simulation.rs"]
mod fleet_simulation;

use std::time::Duration;

use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::place;
use apricotknot_core::fleet::price_share;
use apricotknot_core::types::NodeId;

use fleet_simulation::ARCHIVE;
use fleet_simulation::TICKET;
use fleet_simulation::fleet_state;
use fleet_simulation::query;

const NOW: Duration = Duration::from_secs(100);

/// Number of engines, and of those whose slots short requests use.
const ENGINES: usize = 50;
const SHARED_ENGINES: usize = 30;

/// Short requests at each engine that they use.
const STREAMS: usize = 12;

/// Middle prompts of each tenth of a kind, in tokens: log-normal around a mean of 190,000.
const PROMPTS: [u64; 10] =
    [66_000, 92_000, 113_000, 132_000, 153_000, 175_000, 202_000, 237_000, 289_000, 404_000];

/// Fraction of its kind's rate at which prompts of each length must be sent.
const MIN_SIZE_RATIO: f64 = 0.5;

/// Returns a fleet whose short requests never end and of whose engines nearly half are idle.
fn steady_fleet() -> FleetState {
    let mut fleet_state = fleet_state(ENGINES);
    let nodes: Vec<NodeId> = (1..58).map(|node| format!("node-{node}").into()).collect();
    fleet_state.set_nodes(&nodes);
    for stream in 0..SHARED_ENGINES * STREAMS {
        let plan = PlacementPlan {
            endpoint: format!("engine-{}", stream % SHARED_ENGINES).into(),
            memory: 5_000,
            helpers: Vec::new(),
            prefill_time: Duration::from_millis(30),
            expected_start: Duration::from_millis(80),
        };
        let attempt = stream as u128;
        fleet_state.record_start(attempt, &query(&TICKET, NOW), &plan, NOW);
        fleet_state.record_first_event(attempt, NOW);
    }
    fleet_state
}

/// Returns the fraction of prompts of `length` that are sent as they arrive.
fn sent_rate(fleet_state: &FleetState, length: u64) -> f64 {
    let now = NOW + Duration::from_secs(1);
    let is_sent = |call: &u32| {
        let mut request = query(&ARCHIVE, now);
        request.size.prompt = length;
        request.price_share = price_share((f64::from(*call) + 0.5) / 100.0);
        let decision = place(fleet_state, &request, QueuePosition::default(), now).decision;
        matches!(decision, PlacementDecision::Send(_))
    };
    (0..100).filter(is_sent).count() as f64 / 100.0
}

/// Guards against a price that the longest prompts can never pay beside short requests.
#[test]
fn longest_prompts_are_sent_at_least_half_as_often_as_their_kind_under_steady_load() {
    let fleet_state = steady_fleet();
    let rates = PROMPTS.map(|length| sent_rate(&fleet_state, length));
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    assert!(rates.iter().all(|rate| *rate >= mean * MIN_SIZE_RATIO), "{rates:?}");
}
