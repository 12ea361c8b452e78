//! Tests of placement when callers compete for the time of the engines.

#[allow(dead_code, reason = "these tests play no distances")]
#[path = "support/fleet_simulation.rs"]
mod fleet_simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::place;
use apricotknot_core::types::NodeId;

use fleet_simulation::ARCHIVE;
use fleet_simulation::FleetSimulation;
use fleet_simulation::TICKET;
use fleet_simulation::fleet_state;
use fleet_simulation::query;

const NOW: Duration = Duration::from_secs(100);

/// Delay of a load snapshot between nodes.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(20);

/// Fraction of short requests that must be on time while long ones compete with them.
const MIN_ON_TIME_RATE: f64 = 0.9;

/// Fraction of long prompts that must be answered within their time limit.
const MIN_SERVED_RATE: f64 = 0.9;

/// Load: short requests in bursts beside long prompts; both together exceed the engines' time.
#[test]
fn long_prompts_give_way_to_a_burst_of_short_ones_and_are_served_after_it() {
    let mut simulation = FleetSimulation::new(12, 4, SNAPSHOT_DELAY);
    let calm = BTreeMap::from([("ticket", 10.0), ("archive", 1.0)]);
    let burst = BTreeMap::from([("ticket", 60.0), ("archive", 5.0)]);
    for _ in 0..2 {
        simulation.run(Duration::from_secs(4), &calm);
        simulation.run(Duration::from_secs(4), &burst);
    }
    simulation.run(Duration::from_secs(11), &BTreeMap::from([("ticket", 10.0)]));
    let (tickets, archives) = (simulation.outcomes("ticket"), simulation.outcomes("archive"));
    assert!(tickets.on_time_rate() >= MIN_ON_TIME_RATE, "{tickets:?}, {archives:?}");
    assert!(archives.served_rate() >= MIN_SERVED_RATE, "{tickets:?}, {archives:?}");
}

/// Load: as many nodes as engines, none of which knows the last choices of the others.
#[test]
fn many_nodes_with_late_knowledge_leave_room_for_short_requests() {
    let mut simulation = FleetSimulation::new(12, 58, 3 * SNAPSHOT_DELAY);
    simulation.run(Duration::from_secs(2), &BTreeMap::from([("ticket", 10.0), ("archive", 1.5)]));
    simulation.run(Duration::from_secs(4), &BTreeMap::from([("ticket", 50.0), ("archive", 5.0)]));
    simulation.run(Duration::from_secs(11), &BTreeMap::from([("ticket", 5.0)]));
    let (tickets, archives) = (simulation.outcomes("ticket"), simulation.outcomes("archive"));
    assert!(tickets.on_time_rate() >= MIN_ON_TIME_RATE, "{tickets:?}, {archives:?}");
    assert!(archives.served_rate() >= MIN_SERVED_RATE, "{tickets:?}, {archives:?}");
}

/// Returns a fleet of 58 nodes and four engines, on each of which short requests fill `streams` slots.
fn busy_fleet(streams: u128) -> FleetState {
    let mut fleet_state = fleet_state(4);
    let nodes: Vec<NodeId> = (1..58).map(|node| format!("node-{node}").into()).collect();
    fleet_state.set_nodes(&nodes);
    for engine in 0..4 {
        let plan = PlacementPlan {
            endpoint: format!("engine-{engine}").into(),
            memory: 5_000,
            helpers: Vec::new(),
            prefill_time: Duration::from_millis(30),
            expected_start: Duration::from_millis(80),
        };
        for index in 0..streams {
            let attempt = engine * 100 + index;
            fleet_state.record_start(attempt, &query(&TICKET, NOW), &plan, NOW);
            fleet_state.record_first_event(attempt, NOW);
        }
    }
    fleet_state
}

/// Load: engines that short requests nearly fill, and a long prompt of an account with priority.
#[test]
fn long_prompt_of_a_higher_rank_is_sent_where_one_of_a_lower_rank_waits() {
    let fleet_state = busy_fleet(6);
    let now = NOW + Duration::from_secs(1);
    let decide = |rank| {
        let mut request = query(&ARCHIVE, now);
        request.rank = rank;
        place(&fleet_state, &request, QueuePosition::default(), now).decision
    };
    assert_eq!(decide(0), PlacementDecision::Wait);
    assert_eq!(decide(2), PlacementDecision::Wait);
    assert!(matches!(decide(-4), PlacementDecision::Send(_)));
}
