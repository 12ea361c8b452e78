//! Tests of backoffs that endpoints ask for, and of endpoints that say that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::BackoffStatement;
use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::place;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;

const NOW: MonotonicTime = Duration::from_secs(100);

fn endpoint(number: usize) -> EndpointId {
    format!("desk-{number}").into()
}

fn entry(number: usize, incarnation: u64) -> EndpointEntry {
    EndpointEntry {
        id: endpoint(number),
        incarnation,
        service: "desk".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "north".into(),
        slots: 4,
        phase: EndpointPhase::Ready,
        cold_until: Duration::ZERO,
    }
}

fn fleet(node: &str, endpoints: usize) -> FleetState {
    let mut fleet = FleetState::new(node, BTreeMap::from([("north".into(), "here".into())]));
    for number in 0..endpoints {
        fleet.set_endpoint(entry(number, 1));
    }
    fleet
}

fn query(now: MonotonicTime) -> PlacementQuery {
    PlacementQuery {
        service: "desk".into(),
        size: RequestSize::default(),
        regions: None,
        excluded: Vec::new(),
        arrived: now,
        target_latency: Duration::from_millis(300),
        pause_limit: Duration::MAX,
        deadline: now + Duration::from_secs(4),
        rank: 0,
        price_share: 1.0,
    }
}

fn ask(fleet: &mut FleetState, number: usize, millis: u64, now: MonotonicTime) {
    let backoff = BackoffStatement::For(Duration::from_millis(millis));
    fleet.record_backoff_request(&endpoint(number), backoff, None, now);
}

fn chosen(fleet: &FleetState, now: MonotonicTime) -> Option<EndpointId> {
    match place(fleet, &query(now), QueuePosition::default(), now).decision {
        PlacementDecision::Send(plan) => Some(plan.endpoint),
        _ => None,
    }
}

fn may_send(fleet: &FleetState, now: MonotonicTime) -> bool {
    let state = fleet.endpoint("desk-0");
    state.is_some_and(|state| fleet.may_send(state, now))
}

#[test]
fn later_end_of_overlapping_backoffs_counts() {
    let mut fleet = fleet("own", 1);
    ask(&mut fleet, 0, 3_000, NOW);
    ask(&mut fleet, 0, 500, NOW + Duration::from_secs(1));
    assert!(!may_send(&fleet, NOW + Duration::from_millis(2_999)));
    assert!(may_send(&fleet, NOW + Duration::from_millis(3_000)));
    ask(&mut fleet, 0, 0, NOW + Duration::from_secs(4));
    assert!(may_send(&fleet, NOW + Duration::from_secs(4)), "a backoff of zero is none");
}

#[test]
fn backoff_ends_with_the_lifetime_of_the_endpoint_and_outlives_its_record() {
    let mut fleet = fleet("own", 1);
    ask(&mut fleet, 0, 3_000, NOW);
    fleet.remove_endpoint("desk-0");
    fleet.set_endpoint(entry(0, 1));
    assert!(!may_send(&fleet, NOW), "the same lifetime is announced again");
    fleet.set_endpoint(entry(0, 2));
    assert!(may_send(&fleet, NOW), "another lifetime has not asked");
}

#[test]
fn backoff_that_cannot_be_read_or_is_huge_has_an_end() {
    let mut fleet = fleet("own", 1);
    let unreadable =
        fleet.record_backoff_request(&endpoint(0), BackoffStatement::Unreadable, None, NOW);
    assert!(unreadable.is_some_and(|change| change.is_unreadable));
    assert!(!may_send(&fleet, NOW + Duration::from_millis(900)));
    assert!(may_send(&fleet, NOW + Duration::from_secs(2)));
    fleet.record_backoff_request(&endpoint(0), BackoffStatement::For(Duration::MAX), None, NOW);
    assert!(!may_send(&fleet, NOW + Duration::from_secs(3_599)));
    assert!(may_send(&fleet, NOW + Duration::from_secs(3_601)));
}

#[test]
fn endpoint_is_left_alone_during_its_backoff_while_another_one_serves() {
    let mut fleet = fleet("own", 2);
    ask(&mut fleet, 0, 3_000, NOW);
    for step in 0..29 {
        let now = NOW + Duration::from_millis(step * 100);
        assert_eq!(chosen(&fleet, now), Some(endpoint(1)));
    }
}

#[test]
fn callers_are_refused_during_all_backoffs_at_once_and_come_back_over_a_span() {
    let mut fleet = fleet("own", 2);
    ask(&mut fleet, 0, 4_000, NOW);
    ask(&mut fleet, 1, 2_000, NOW);
    let mut delays = Vec::new();
    for step in 0..20 {
        let now = NOW + Duration::from_millis(step);
        match place(&fleet, &query(now), QueuePosition::default(), now).decision {
            PlacementDecision::Refuse { retry_after, .. } => delays.push(now + retry_after),
            decision => panic!("{decision:?}"),
        }
    }
    let (first, last) = (delays.iter().min(), delays.iter().max());
    assert!(first.is_some_and(|first| *first >= NOW + Duration::from_secs(2)));
    assert!(
        first.zip(last).is_some_and(|(first, last)| *last - *first > Duration::from_millis(400))
    );
    let soon = NOW + Duration::from_millis(1_900);
    let waits = place(&fleet, &query(soon), QueuePosition::default(), soon).decision;
    assert_eq!(waits, PlacementDecision::Wait, "the backoff ends in time");
}

#[test]
fn backoff_that_is_asked_of_a_relaying_node_reaches_that_node() {
    let (mut own, mut relay, mut third) = (fleet("own", 1), fleet("relay", 1), fleet("third", 1));
    let backoff = BackoffStatement::For(Duration::from_secs(3));
    own.record_backoff_request(&endpoint(0), backoff, Some("relay".into()), NOW);
    let reports = own.backoff_reports(NOW);
    relay.apply_backoff_reports(reports.clone(), NOW);
    third.apply_backoff_reports(reports, NOW);
    assert!(!may_send(&own, NOW) && !may_send(&relay, NOW));
    assert!(may_send(&third, NOW), "the endpoint did not ask the third node");
    assert_eq!(own.backoff_reports(NOW + Duration::from_secs(3)).len(), 0);
}

#[test]
fn endpoint_that_leaves_gets_nothing_from_any_node_until_it_starts_again() {
    let (mut own, mut other) = (fleet("own", 1), fleet("other", 1));
    assert!(own.record_leaving(&endpoint(0), NOW));
    assert!(!own.record_leaving(&endpoint(0), NOW), "it is known already");
    assert_eq!(other.apply_leaving_reports(own.leaving_reports(NOW), NOW), [endpoint(0)]);
    for fleet in [&mut own, &mut other] {
        assert!(!may_send(fleet, NOW));
        fleet.remove_endpoint("desk-0");
        fleet.set_endpoint(entry(0, 1));
        assert!(!may_send(fleet, NOW), "the same lifetime is announced again as ready");
        fleet.set_endpoint(entry(0, 2));
        assert!(may_send(fleet, NOW), "it has started again");
    }
    assert_eq!(other.leaving_reports(NOW).len(), 0, "reports are not passed on");
    let late = other.apply_leaving_reports(own.leaving_reports(NOW), NOW);
    assert!(late.is_empty() && may_send(&other, NOW), "the report is of an earlier lifetime");
}
