//! Tests of the placement of requests on endpoints and helpers.

#[path = "support/fleet_simulation.rs"]
mod fleet_simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::RateStatement;
use apricotknot_core::fleet::place;
use apricotknot_core::fleet::refuse_hopeless;

use fleet_simulation::ARCHIVE;
use fleet_simulation::FleetSimulation;
use fleet_simulation::TICKET;
use fleet_simulation::endpoint_entry;
use fleet_simulation::fleet_state;
use fleet_simulation::model;
use fleet_simulation::query;

const NOW: Duration = Duration::from_secs(100);

/// Position of a request before which none waits.
const FIRST: QueuePosition = QueuePosition { rank: 0, ahead: 0 };

/// Position of a request before which one waits.
const SECOND: QueuePosition = QueuePosition { rank: 1, ahead: 1 };

/// Delay of a load snapshot between nodes.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(2);

fn decide(
    fleet_state: &FleetState,
    request: &PlacementQuery,
    position: QueuePosition,
    now: Duration,
) -> PlacementDecision {
    place(fleet_state, request, position, now).decision
}

fn expect_sent(decision: PlacementDecision) -> PlacementPlan {
    match decision {
        PlacementDecision::Send(plan) => plan,
        other => panic!("the request was not sent: {other:?}"),
    }
}

/// Starts `count` short streams on `engine-0`, all in the decode phase.
fn start_short_streams(fleet_state: &mut FleetState, count: u128) {
    let short = PlacementPlan {
        endpoint: "engine-0".into(),
        memory: 5_000,
        helpers: Vec::new(),
        prefill_time: Duration::ZERO,
        expected_start: Duration::ZERO,
    };
    for attempt in 0..count {
        fleet_state.record_start(attempt, &query(&TICKET, NOW), &short, NOW);
        fleet_state.record_first_event(attempt, NOW);
    }
}

#[test]
fn short_prompt_is_prefilled_by_one_engine() {
    let fleet_state = fleet_state(4);
    let plan = expect_sent(decide(&fleet_state, &query(&TICKET, NOW), FIRST, NOW));
    assert!(plan.helpers.is_empty());
    assert_eq!(plan.memory, query(&TICKET, NOW).size.memory());
    assert!(plan.expected_start < Duration::from_millis(200));
}

#[test]
fn archive_is_prefilled_by_many_engines() {
    let fleet_state = fleet_state(14);
    let request = query(&ARCHIVE, NOW);
    let plan = expect_sent(decide(&fleet_state, &request, FIRST, NOW));
    assert!(plan.helpers.len() >= 3, "{plan:?}");
    assert!(plan.helpers.iter().all(|part| part.memory == 0), "one engine holds the whole prompt");
    assert!(plan.expected_start < request.target_latency / 2);
}

#[test]
fn endpoint_that_states_a_limit_is_no_helper() {
    let mut fleet_state = fleet_state(6);
    for limited in ["engine-1", "engine-4"] {
        let statement = RateStatement::PerSecond(2.0);
        fleet_state.record_rate_statement(limited, statement, NOW, NOW);
    }
    let later = NOW + Duration::from_secs(1);
    let plan = expect_sent(decide(&fleet_state, &query(&ARCHIVE, later), FIRST, later));
    assert!(plan.helpers.len() >= 2, "{plan:?}");
    for helper in &plan.helpers {
        assert!(!["engine-1", "engine-4"].contains(&&*helper.endpoint), "{plan:?}");
    }
}

#[test]
fn prompt_larger_than_one_engine_is_held_by_several() {
    let fleet_state = fleet_state(6);
    let mut request = query(&ARCHIVE, NOW);
    request.size.prompt = 500_000;
    let plan = expect_sent(decide(&fleet_state, &request, FIRST, NOW));
    let held: u64 = plan.helpers.iter().map(|part| part.memory).sum();
    assert_eq!(held + plan.memory, request.size.memory());
    assert!(plan.memory <= model().memory);
    assert!(plan.helpers.iter().all(|part| part.memory <= model().memory));
}

#[test]
fn prompt_larger_than_all_engines_is_refused_immediately() {
    let fleet_state = fleet_state(2);
    let mut request = query(&ARCHIVE, NOW);
    request.size.prompt = 600_000;
    let decision = decide(&fleet_state, &request, FIRST, NOW);
    assert!(
        matches!(decision, PlacementDecision::Refuse { reason: "too large", .. }),
        "{decision:?}"
    );
}

#[test]
fn long_prefill_avoids_engines_with_short_streams() {
    let mut fleet_state = fleet_state(4);
    start_short_streams(&mut fleet_state, 6);
    let plan = expect_sent(decide(&fleet_state, &query(&ARCHIVE, NOW), FIRST, NOW));
    assert_ne!(&*plan.endpoint, "engine-0", "{plan:?}");
    assert!(plan.helpers.iter().all(|part| &*part.endpoint != "engine-0"), "{plan:?}");
}

/// The target latency of the archive has passed, but a late answer still has value.
#[test]
fn late_archive_is_sent_to_an_idle_engine() {
    let fleet_state = fleet_state(1);
    let mut request = query(&ARCHIVE, NOW);
    request.arrived = NOW - Duration::from_secs(5);
    request.size.prompt = 200_000;
    let plan = expect_sent(decide(&fleet_state, &request, FIRST, NOW));
    assert_eq!(&*plan.endpoint, "engine-0");
}

#[test]
fn long_prompt_that_costs_more_than_it_gains_waits_and_is_refused() {
    let mut fleet_state = fleet_state(1);
    start_short_streams(&mut fleet_state, 14);
    let mut request = query(&ARCHIVE, NOW);
    request.size.prompt = 100_000;
    assert_eq!(decide(&fleet_state, &request, FIRST, NOW), PlacementDecision::Wait);
    let late = request.deadline - Duration::from_secs(1);
    let decision = decide(&fleet_state, &request, FIRST, late);
    let PlacementDecision::Refuse { retry_after, .. } = decision else {
        panic!("its time to wait is over: {decision:?}");
    };
    assert_eq!(retry_after, Duration::from_secs(10), "it was too dear for longer");
}

#[test]
fn long_prompt_waits_behind_an_older_one_and_short_prompt_does_not() {
    let fleet_state = fleet_state(4);
    assert_eq!(decide(&fleet_state, &query(&ARCHIVE, NOW), SECOND, NOW), PlacementDecision::Wait);
    expect_sent(decide(&fleet_state, &query(&TICKET, NOW), SECOND, NOW));
}

#[test]
fn ineligible_endpoints_get_no_requests() {
    let refused = |fleet_state: &FleetState| {
        matches!(
            decide(fleet_state, &query(&TICKET, NOW), FIRST, NOW),
            PlacementDecision::Refuse { .. }
        )
    };
    let mut leaving = fleet_state(1);
    let mut leaving_entry = endpoint_entry(0);
    leaving_entry.phase = EndpointPhase::Leaving;
    leaving.set_endpoint(leaving_entry);
    assert!(refused(&leaving));
    let mut evacuated = fleet_state(1);
    evacuated.set_evacuated("centre-0".into(), true, NOW);
    assert!(refused(&evacuated));
    evacuated.set_evacuated("centre-0".into(), false, NOW);
    expect_sent(decide(&evacuated, &query(&TICKET, NOW), FIRST, NOW));
    let mut removed = fleet_state(1);
    removed.remove_endpoint("engine-0");
    assert!(refused(&removed));
    let mut other_region = query(&TICKET, NOW);
    other_region.regions = Some(vec!["another".into()]);
    let decision = decide(&fleet_state(1), &other_region, FIRST, NOW);
    assert!(matches!(decision, PlacementDecision::Refuse { .. }));
    let mut excluded = query(&TICKET, NOW);
    excluded.excluded = vec!["engine-0".into()];
    let decision = decide(&fleet_state(1), &excluded, FIRST, NOW);
    assert!(matches!(decision, PlacementDecision::Refuse { .. }));
}

#[test]
fn restarted_endpoint_gets_a_new_health_record() {
    let mut fleet_state = fleet_state(1);
    let plan = expect_sent(decide(&fleet_state, &query(&TICKET, NOW), FIRST, NOW));
    fleet_state.record_start(1, &query(&TICKET, NOW), &plan, NOW);
    fleet_state.record_end(1, apricotknot_core::fleet::AttemptEnd::Unreachable, NOW);
    assert_eq!(decide(&fleet_state, &query(&TICKET, NOW), FIRST, NOW), PlacementDecision::Wait);
    let mut restarted = endpoint_entry(0);
    restarted.incarnation = 2;
    fleet_state.set_endpoint(restarted);
    expect_sent(decide(&fleet_state, &query(&TICKET, NOW), FIRST, NOW));
}

/// Guards against prompts that pile up at an engine which forgets a queue as its first request begins.
#[test]
fn prefills_behind_one_that_is_done_still_count() {
    let mut fleet_state = fleet_state(1);
    let prefill_time = Duration::from_secs(1);
    for attempt in 0..3 {
        let plan = PlacementPlan {
            endpoint: "engine-0".into(),
            memory: 50_000,
            helpers: Vec::new(),
            prefill_time,
            expected_start: prefill_time,
        };
        fleet_state.record_start(attempt, &query(&ARCHIVE, NOW), &plan, NOW);
    }
    let later = NOW + prefill_time;
    fleet_state.record_first_event(0, later);
    let plan = expect_sent(decide(&fleet_state, &query(&TICKET, later), FIRST, later));
    assert!(plan.expected_start >= 2 * prefill_time, "{plan:?}");
    let mut other = fleet_state.clone();
    other.record_end(1, AttemptEnd::Abandoned, later);
    let plan = expect_sent(decide(&other, &query(&TICKET, later), FIRST, later));
    assert!(plan.expected_start >= prefill_time, "{plan:?}");
}

/// The load is a burst of archives at 2.7 times the usual rate, then a burst of tickets at 2.5
/// times.
#[test]
fn bursts_of_archives_and_tickets_are_served_on_time() {
    let mut simulation = FleetSimulation::new(14, 1, SNAPSHOT_DELAY);
    simulation.run(Duration::from_secs(10), &BTreeMap::from([("archive", 3.7), ("ticket", 10.0)]));
    simulation.run(Duration::from_secs(10), &BTreeMap::from([("archive", 0.1), ("ticket", 75.0)]));
    let archives = simulation.outcomes("archive");
    let tickets = simulation.outcomes("ticket");
    assert!(archives.on_time_rate() >= 0.6, "{archives:?}");
    assert!(tickets.on_time_rate() >= 0.9, "{tickets:?}");
    assert!(archives.served_rate() >= 0.9, "{archives:?}");
}

/// The load is the same, over six nodes that receive each other's snapshots with a delay.
#[test]
fn nodes_with_delayed_load_snapshots_serve_nearly_as_well() {
    let mut simulation = FleetSimulation::new(14, 6, SNAPSHOT_DELAY);
    simulation.run(Duration::from_secs(10), &BTreeMap::from([("archive", 3.7), ("ticket", 10.0)]));
    simulation.run(Duration::from_secs(10), &BTreeMap::from([("archive", 0.1), ("ticket", 75.0)]));
    assert!(
        simulation.outcomes("archive").on_time_rate() >= 0.5,
        "{:?}",
        simulation.outcomes("archive")
    );
    assert!(
        simulation.outcomes("ticket").on_time_rate() >= 0.85,
        "{:?}",
        simulation.outcomes("ticket")
    );
}

/// Guards against many nodes choosing the same engine because they do not know each other's
/// choices.
///
/// The load is a burst of tickets to 71 nodes with a tenth of a core each. Snapshots take 20 ms, in
/// which six more requests are placed.
#[test]
fn many_nodes_do_not_choose_the_same_engine_concurrently() {
    let mut simulation = FleetSimulation::new(78, 71, Duration::from_millis(20));
    simulation.run(Duration::from_secs(3), &BTreeMap::from([("ticket", 310.0)]));
    assert!(
        simulation.outcomes("ticket").on_time_rate() >= 0.95,
        "{:?}",
        simulation.outcomes("ticket")
    );
}

/// Plays a burst of tickets that takes up most slots, while what happens in other data centres
/// becomes known only by digests.
#[test]
fn burst_is_served_on_time_although_distant_work_becomes_known_late() {
    let simulation = FleetSimulation::new(60, 48, Duration::from_millis(30));
    let mut simulation = simulation.with_distance(Duration::from_millis(200));
    simulation.run(Duration::from_secs(2), &BTreeMap::from([("ticket", 60.0)]));
    simulation.run(Duration::from_secs(4), &BTreeMap::from([("ticket", 330.0)]));
    let tickets = simulation.outcomes("ticket");
    assert!(tickets.on_time_rate() >= 0.9, "{tickets:?}");
}

/// Guards against prompts that wait for seconds and are refused in the end, as far more wait before
/// them than the engines read: such a prompt is refused as it arrives, and no other one is.
#[test]
fn prompt_behind_more_than_is_read_in_time_is_refused_at_once() {
    let fleet_state = fleet_state(4);
    let request = query(&ARCHIVE, NOW);
    let tokens_per_second = model().prefill_rate * 1e3 * 4.0;
    let most = (request.deadline - NOW).as_secs_f64() * tokens_per_second;
    let refuse = |request: &PlacementQuery, ahead: f64| {
        refuse_hopeless(&fleet_state, request, ahead as u64, NOW)
    };
    assert_eq!(refuse(&request, 0.0), None);
    assert_eq!(refuse(&request, most / 3.0), None, "all of it can be read in time");
    let Some(PlacementDecision::Refuse { retry_after, .. }) = refuse(&request, most * 3.0) else {
        panic!("more wait before it than is read in time");
    };
    assert!(retry_after > Duration::from_secs(1) && retry_after <= Duration::from_secs(10));
    assert!(matches!(refuse(&request, f64::MAX), Some(PlacementDecision::Refuse { .. })));
    assert_eq!(refuse(&query(&TICKET, NOW), most * 3.0), None, "short requests do not wait");
    let mut hurried = query(&ARCHIVE, NOW);
    hurried.deadline = NOW;
    assert_eq!(refuse(&hurried, 1e6), None, "it is tried before those that wait");
    let mut elsewhere = query(&ARCHIVE, NOW);
    elsewhere.service = "unknown".into();
    assert_eq!(refuse(&elsewhere, most * 3.0), None);
}
