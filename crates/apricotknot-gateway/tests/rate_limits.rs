//! Tests of the request rates that endpoints state and that all nodes keep together.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use apricotknot_core::fleet::RateStatement;
use apricotknot_gateway::control::ControlCommand;
use apricotknot_gateway::control::StoreUpdate;
use apricotknot_gateway::protocol::RecordChange;

use support::rate_fleet::RateFleet;

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Most requests that an endpoint with a limit of `rate` a second may get in one window.
fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * 1.5 + 5.0
}

/// Asserts that endpoint 0 gets no more requests than a limit of `rate` allows, after it is known.
fn assert_within(fleet: &RateFleet, rate: f64, case: &str) {
    let peak = fleet.peak(0, WINDOW, fleet.settled_at(0));
    assert!(peak as f64 <= allowed(rate), "{case}: {peak} in 4 s, {} allowed", allowed(rate));
}

#[test]
fn nodes_together_keep_the_rate_that_an_endpoint_states() {
    for (nodes, rate) in
        [(1, 2.1), (8, 0.1), (8, 1.0), (8, 2.1), (8, 9.0), (40, 1.0), (71, 1.0), (71, 40.0)]
    {
        let mut fleet = RateFleet::new(nodes, 4, nodes as f64 * 8.0);
        fleet.state_limit(0, RateStatement::PerSecond(rate));
        fleet.run(Duration::from_secs(10));
        assert_within(&fleet, rate, &format!("{nodes} nodes, {rate} a second"));
        assert!(fleet.refusals.is_empty(), "the other endpoints serve what the limit leaves");
    }
}

#[test]
fn limit_that_falls_is_kept_and_its_end_reaches_every_node() {
    let mut fleet = RateFleet::new(8, 4, 64.0);
    fleet.state_limit(0, RateStatement::PerSecond(9.0));
    fleet.run(Duration::from_secs(8));
    fleet.state_limit(0, RateStatement::PerSecond(0.5));
    fleet.run(Duration::from_secs(4));
    let fallen_at = fleet.now;
    fleet.run(Duration::from_secs(8));
    let peak = fleet.peak(0, WINDOW, fallen_at);
    assert!(peak as f64 <= allowed(0.5), "{peak} in 4 s after the limit has fallen");
    fleet.state_limit(0, RateStatement::Unlimited);
    fleet.run(Duration::from_secs(16));
    assert!(fleet.recent(0, WINDOW) > 40, "{} in 4 s without a limit", fleet.recent(0, WINDOW));
}

#[test]
fn endpoint_that_takes_nothing_is_asked_now_and_then() {
    let mut fleet = RateFleet::new(8, 4, 64.0);
    fleet.state_limit(0, RateStatement::PerSecond(0.0));
    fleet.run(Duration::from_secs(40));
    assert_within(&fleet, 0.0, "limit of 0");
    let asked = fleet.recent(0, Duration::from_secs(30));
    assert!((2..=8).contains(&asked), "{asked} requests in 30 s");
    fleet.state_limit(0, RateStatement::Unlimited);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.recent(0, WINDOW) > 40, "the end of the limit is found");
}

#[test]
fn limit_that_cannot_be_read_counts_as_one_request_a_second() {
    let mut fleet = RateFleet::new(8, 4, 64.0);
    fleet.state_limit(0, RateStatement::Unreadable);
    fleet.run(Duration::from_secs(12));
    assert_within(&fleet, 1.0, "unreadable");
    let changes: Vec<_> =
        fleet.nodes.iter_mut().flat_map(|node| node.state.take_rate_changes()).collect();
    assert!(changes.iter().any(|change| change.is_own && change.is_unreadable), "{changes:?}");
}

#[test]
fn two_limited_endpoints_keep_a_limit_each() {
    let mut fleet = RateFleet::new(8, 4, 64.0);
    fleet.state_limit(0, RateStatement::PerSecond(1.0));
    fleet.state_limit(1, RateStatement::PerSecond(2.1));
    fleet.run(Duration::from_secs(16));
    assert_within(&fleet, 1.0, "first endpoint");
    let peak = fleet.peak(1, WINDOW, fleet.settled_at(1));
    assert!(peak as f64 <= allowed(2.1), "{peak} at the second endpoint");
    assert!(fleet.refusals.is_empty());
}

#[test]
fn nodes_that_restart_or_are_cut_off_keep_the_limit() {
    let mut fleet = RateFleet::new(8, 4, 64.0);
    fleet.state_limit(0, RateStatement::PerSecond(1.0));
    fleet.nodes[2].is_connected = false;
    fleet.nodes[5].is_connected = false;
    fleet.run(Duration::from_secs(6));
    for node in 0..8 {
        fleet.restart(node);
        fleet.run(Duration::from_secs(1));
    }
    fleet.run(Duration::from_secs(4));
    assert_within(&fleet, 1.0, "restarts");
}

// Guards against a node that learns of a limit only by its own requests.
#[test]
fn node_without_requests_learns_of_a_limit_and_of_its_end() {
    let mut fleet = RateFleet::new(3, 2, 24.0);
    fleet.nodes[2].has_callers = false;
    fleet.state_limit(0, RateStatement::PerSecond(3.0));
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.nodes[2].state.fleet().stated_limit("engine-0"), Some(3.0));
    fleet.state_limit(0, RateStatement::Unlimited);
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.nodes[2].state.fleet().stated_limit("engine-0"), None);
}

#[test]
fn end_of_a_limit_is_found_though_the_nodes_with_a_share_have_no_requests() {
    let mut fleet = RateFleet::new(8, 2, 40.0);
    fleet.state_limit(0, RateStatement::PerSecond(0.25));
    fleet.run(Duration::from_secs(10));
    let counted_from = fleet.now;
    fleet.run(Duration::from_secs(12));
    let recent = fleet.arrivals.iter().filter(|arrival| arrival.at >= counted_from);
    let askers: Vec<usize> = recent
        .filter(|arrival| &*arrival.endpoint == "engine-0")
        .map(|arrival| arrival.node)
        .collect();
    assert!(!askers.is_empty(), "some node has a share");
    for node in askers {
        fleet.nodes[node].has_callers = false;
    }
    fleet.state_limit(0, RateStatement::Unlimited);
    fleet.run(Duration::from_secs(40));
    assert!(fleet.recent(0, WINDOW) > 20, "{} in 4 s without a limit", fleet.recent(0, WINDOW));
}

#[test]
fn endpoint_that_starts_again_has_no_limit() {
    let mut fleet = RateFleet::new(3, 2, 24.0);
    fleet.state_limit(0, RateStatement::PerSecond(1.0));
    fleet.run(Duration::from_secs(4));
    let mut entry = support::engine_entry(0, 16);
    entry.incarnation += 1;
    let changes = vec![RecordChange::EndpointAnnounced(entry)];
    let update = StoreUpdate { record_changes: changes, ..StoreUpdate::default() };
    fleet.nodes[0].state.apply_changes(update, fleet.now);
    assert_eq!(fleet.nodes[0].state.fleet().stated_limit("engine-0"), None);
    let report = fleet.nodes[1].state.next_snapshot(fleet.now);
    fleet.nodes[0].state.apply_peer_snapshot(report, fleet.now);
    assert_eq!(fleet.nodes[0].state.fleet().stated_limit("engine-0"), None, "of its last life");
}

#[test]
fn requests_that_all_limits_leave_no_room_for_are_refused_at_once() {
    for nodes in [8, 71] {
        let mut fleet = RateFleet::new(nodes, 3, nodes as f64 * 4.0);
        for endpoint in 0..3 {
            fleet.state_limit(endpoint, RateStatement::PerSecond(3.0));
        }
        fleet.run(Duration::from_secs(12));
        for endpoint in 0..3 {
            let peak = fleet.peak(endpoint, WINDOW, fleet.settled_at(endpoint));
            assert!(peak as f64 <= allowed(3.0), "{nodes} nodes: {peak} in 4 s");
            let used = fleet.recent(endpoint, Duration::from_secs(8));
            assert!(used >= 16, "{nodes} nodes: {used} of 24 requests in 8 s are used");
        }
        let waiting: usize = fleet.nodes.iter().map(|node| node.state.waiting_count()).sum();
        assert!(waiting <= nodes * 3, "{waiting} requests wait");
        assert!(fleet.refusals.len() > nodes * 20, "{} refusals", fleet.refusals.len());
        for refusal in &fleet.refusals {
            let delay = refusal.retry_after;
            assert!((Duration::from_millis(700)..=Duration::from_secs(10)).contains(&delay));
        }
    }
}

// Guards against work that is placed before a limit is known and sent after it.
#[test]
fn grant_from_before_a_limit_is_not_confirmed_after_it() {
    let mut fleet = RateFleet::new(1, 1, 4.0);
    fleet.run(Duration::from_millis(400));
    let (endpoint, node) = ("engine-0", &mut fleet.nodes[0]);
    let old = node.place_one(1_000_001, fleet.now).expect("a grant");
    let now = fleet.now + Duration::from_millis(200);
    let limit = RateStatement::PerSecond(2.0);
    let stated =
        ControlCommand::RateStated { endpoint: endpoint.into(), statement: limit, sent_at: now };
    assert!(node.confirms(1_000_001, now));
    node.state.handle_command(stated, now);
    assert!(!node.confirms(1_000_001, now));
    let later = now + Duration::from_secs(4);
    let new = node.place_one(1_000_002, later).expect("a grant within the limit");
    assert!(new.is_rate_limited && !old.is_rate_limited);
    assert!(node.confirms(1_000_002, later));
}
