//! Tests of the control state: endpoints whose records are gone around lost calls and outages of the
//! key-value service.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use apricotknot_gateway::protocol::RecordChange;

use support::test_node::NOW;
use support::test_node::TestNode;
use support::test_node::entry;
use support::test_node::update_of;

fn removed(index: usize) -> RecordChange {
    RecordChange::EndpointRemoved(format!("engine-{index}").into())
}

/// Returns a node with two endpoints after an outage of five seconds, and the time of its end.
fn node_after_an_outage() -> (TestNode, Duration) {
    let mut node = TestNode::with_engines(2);
    for _ in 0..5 {
        node.state.record_store_unreachable(NOW);
    }
    let returned_at = NOW + Duration::from_secs(5);
    node.state.apply_changes(update_of(Vec::new()), returned_at);
    (node, returned_at)
}

// Guards against requests to an endpoint that has left, after the connection of one call broke.
#[test]
fn endpoint_that_leaves_around_a_broken_call_is_removed_at_once() {
    let silences = [Duration::from_millis(100), Duration::from_millis(2_900)];
    for silence in silences {
        let mut node = TestNode::with_engines(2);
        node.state.record_store_unreachable(NOW + silence);
        let answered_at = NOW + silence + Duration::from_millis(50);
        node.state.apply_changes(update_of(vec![removed(1)]), answered_at);
        assert_eq!(node.state.fleet().endpoints().count(), 1, "in the first answer");
        node.state.apply_changes(update_of(vec![removed(0)]), answered_at + silence);
        assert_eq!(node.state.fleet().endpoints().count(), 0, "in a later one");
    }
}

// Guards against the same after a failed call, where all keys are read again.
#[test]
fn endpoint_missing_in_a_snapshot_after_a_broken_call_is_removed_at_once() {
    let mut node = TestNode::with_engines(2);
    node.state.record_store_unreachable(NOW + Duration::from_secs(2));
    let announced = RecordChange::EndpointAnnounced(entry(0));
    node.state.apply_snapshot(update_of(vec![announced]), NOW + Duration::from_millis(2_050));
    assert_eq!(node.state.fleet().endpoints().count(), 1);
}

// Guards against several calls of one moment, as when connections are reset in a row.
#[test]
fn failures_in_quick_succession_are_no_outage() {
    let mut node = TestNode::with_engines(2);
    for step in 1..=4 {
        node.state.record_store_unreachable(NOW + Duration::from_millis(step * 50));
    }
    node.state.apply_changes(update_of(vec![removed(1)]), NOW + Duration::from_millis(300));
    assert_eq!(node.state.fleet().endpoints().count(), 1, "no lease is that short");
}

// Guards against the other direction: all records expire in an outage, and nobody has left.
#[test]
fn all_endpoints_are_kept_after_an_outage_until_they_announce_themselves() {
    let (mut node, returned_at) = node_after_an_outage();
    node.state.apply_changes(
        update_of(vec![removed(0), removed(1)]),
        returned_at + Duration::from_millis(400),
    );
    node.process_commands(returned_at + Duration::from_secs(2));
    assert_eq!(node.state.fleet().endpoints().count(), 2);
    let announced = [0, 1].map(|index| RecordChange::EndpointAnnounced(entry(index)));
    node.state
        .apply_changes(update_of(announced.to_vec()), returned_at + Duration::from_millis(2_100));
    node.process_commands(returned_at + Duration::from_secs(9));
    assert_eq!(node.state.fleet().endpoints().count(), 2);
}

#[test]
fn endpoint_that_announced_itself_after_an_outage_and_left_is_removed_at_once() {
    let (mut node, returned_at) = node_after_an_outage();
    let announced = RecordChange::EndpointAnnounced(entry(0));
    node.state.apply_changes(update_of(vec![announced]), returned_at + Duration::from_millis(500));
    let left_at = returned_at + Duration::from_secs(1);
    node.state.apply_changes(update_of(vec![removed(0), removed(1)]), left_at);
    let kept = node.state.fleet().endpoints().map(|state| state.entry.id.to_string());
    assert_eq!(kept.collect::<Vec<_>>(), ["engine-1"], "its record may have expired");
}

#[test]
fn records_of_the_first_answer_after_an_outage_may_be_older() {
    let mut node = TestNode::with_engines(1);
    node.state.record_store_unreachable(NOW);
    node.state.record_store_unreachable(NOW);
    let returned_at = NOW + Duration::from_secs(5);
    let announced = RecordChange::EndpointAnnounced(entry(0));
    node.state.apply_changes(update_of(vec![announced, removed(0)]), returned_at);
    assert_eq!(node.state.fleet().endpoints().count(), 1);
}

// Guards against a service without endpoints when the store goes again before they are back.
#[test]
fn endpoints_are_kept_while_the_store_is_out_again() {
    let (mut node, returned_at) = node_after_an_outage();
    node.state.apply_changes(update_of(vec![removed(0), removed(1)]), returned_at);
    let lost_at = returned_at + Duration::from_millis(500);
    node.state.record_store_unreachable(lost_at);
    node.state.record_store_unreachable(lost_at + Duration::from_millis(100));
    node.process_commands(returned_at + Duration::from_secs(4));
    assert_eq!(node.state.fleet().endpoints().count(), 2, "no record can be written");
    let second_return = returned_at + Duration::from_secs(5);
    node.state.apply_changes(update_of(Vec::new()), second_return);
    node.process_commands(second_return + Duration::from_millis(2_100));
    assert_eq!(node.state.fleet().endpoints().count(), 2, "they have the time again");
    node.process_commands(second_return + Duration::from_millis(2_200));
    assert_eq!(node.state.fleet().endpoints().count(), 0);
}
