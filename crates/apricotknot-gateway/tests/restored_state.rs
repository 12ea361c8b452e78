//! Tests of the control state after the key-value service came back from an older copy.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_gateway::control::HoldNotice;
use apricotknot_gateway::control::NodeRecord;
use apricotknot_gateway::control::RegistryChange;
use apricotknot_gateway::control::StoreUpdate;
use apricotknot_gateway::protocol::RecordChange;

use support::test_node::NOW;
use support::test_node::TestNode;
use support::test_node::desired;
use support::test_node::entry;
use support::test_node::registry_update;
use support::test_node::update_of;

/// Returns the content of a store that has come back from a copy.
fn restored_update(record_changes: Vec<RecordChange>) -> StoreUpdate {
    StoreUpdate { is_restored: true, ..update_of(record_changes) }
}

#[test]
fn restored_store_does_not_end_an_evacuation() {
    let mut node = TestNode::with_engines(1);
    let evacuated = RecordChange::DataCentreEvacuated("north".into());
    node.state.apply_changes(update_of(vec![evacuated.clone()]), NOW);
    let content = || vec![RecordChange::EndpointAnnounced(entry(0))];
    node.state.apply_snapshot(restored_update(content()), NOW);
    assert!(node.state.fleet().is_evacuated("north"), "operators have not ended it");
    node.state.apply_snapshot(update_of(content()), NOW + Duration::from_secs(1));
    assert!(node.state.fleet().is_evacuated("north"), "nor has a later reading");
    let removed = RecordChange::DataCentreRestored("north".into());
    node.state.apply_changes(update_of(vec![removed]), NOW + Duration::from_secs(2));
    assert!(!node.state.fleet().is_evacuated("north"));
}

#[test]
fn evacuation_that_is_never_written_again_ends_with_the_hold() {
    let mut node = TestNode::with_engines(1);
    let evacuated = RecordChange::DataCentreEvacuated("north".into());
    node.state.apply_changes(update_of(vec![evacuated.clone()]), NOW);
    let content = vec![RecordChange::EndpointAnnounced(entry(0))];
    node.state.apply_snapshot(restored_update(content.clone()), NOW);
    node.process_commands(NOW + Duration::from_secs(29));
    assert!(node.state.fleet().is_evacuated("north"));
    node.process_commands(NOW + Duration::from_secs(31));
    assert!(!node.state.fleet().is_evacuated("north"));
    let compared = HoldNotice::Compared { held_evacuations: 1, ignored_registrations: 0 };
    let ended = HoldNotice::EvacuationEnded("north".into());
    assert_eq!(node.state.take_hold_notices(), [compared, ended]);
    node.state.apply_changes(update_of(vec![evacuated.clone()]), NOW);
    node.state.apply_snapshot(restored_update(content), NOW);
    node.state.apply_changes(update_of(vec![evacuated]), NOW + Duration::from_secs(3));
    node.process_commands(NOW + Duration::from_secs(31));
    assert!(node.state.fleet().is_evacuated("north"), "operators have written it again");
}

#[test]
fn restored_store_does_not_bring_back_an_endpoint_that_leaves() {
    let mut node = TestNode::with_engines(2);
    let leaving = EndpointEntry { phase: EndpointPhase::Leaving, ..entry(0) };
    node.state.apply_changes(update_of(vec![RecordChange::EndpointAnnounced(leaving)]), NOW);
    let content = [entry(0), entry(1)].map(RecordChange::EndpointAnnounced);
    node.state.apply_snapshot(restored_update(content.to_vec()), NOW);
    let phase = |node: &TestNode| node.state.fleet().endpoint("engine-0").map(|it| it.entry.phase);
    assert_eq!(phase(&node), Some(EndpointPhase::Leaving));
    let started = EndpointEntry { incarnation: 2, ..entry(0) };
    node.state.apply_changes(update_of(vec![RecordChange::EndpointAnnounced(started)]), NOW);
    assert_eq!(phase(&node), Some(EndpointPhase::Ready), "it has started again");
}

#[test]
fn restored_store_does_not_bring_back_an_endpoint_that_is_gone() {
    let mut node = TestNode::with_engines(2);
    let removed = RecordChange::EndpointRemoved("engine-0".into());
    node.state.apply_changes(update_of(vec![removed]), NOW);
    let content = [entry(0), entry(1)].map(RecordChange::EndpointAnnounced);
    node.state.apply_snapshot(restored_update(content.to_vec()), NOW + Duration::from_secs(2));
    assert!(node.state.fleet().endpoint("engine-0").is_none());
    let later = NOW + Duration::from_secs(3);
    let announced = RecordChange::EndpointAnnounced(entry(0));
    node.state.apply_changes(update_of(vec![announced]), later);
    assert!(node.state.fleet().endpoint("engine-0").is_some(), "it has announced itself again");
}

#[test]
fn endpoints_can_reannounce_to_a_restored_store_that_was_never_unreachable() {
    let mut node = TestNode::with_engines(2);
    let content = vec![RecordChange::EndpointAnnounced(entry(0))];
    node.state.apply_snapshot(restored_update(content), NOW);
    node.process_commands(NOW + Duration::from_secs(1));
    assert_eq!(node.state.fleet().endpoints().count(), 2, "within the grace time");
    node.process_commands(NOW + Duration::from_secs(3));
    assert_eq!(node.state.fleet().endpoints().count(), 1);
}

fn configuration(version: u64) -> RecordChange {
    RecordChange::Configuration(Box::new(desired(version)))
}

#[test]
fn restored_store_that_is_behind_confirms_nothing_until_operators_write_again() {
    let mut node = TestNode::with_engines(1);
    node.state.apply_changes(update_of(vec![configuration(9)]), NOW);
    assert!(node.state.is_configuration_confirmed(NOW));
    node.state.apply_snapshot(restored_update(vec![configuration(5)]), NOW);
    let later = NOW + Duration::from_secs(1);
    assert!(!node.state.is_configuration_confirmed(later));
    node.state.apply_changes(update_of(vec![configuration(9)]), later);
    assert!(node.state.is_configuration_confirmed(later));
    node.state.apply_snapshot(restored_update(vec![configuration(5)]), later);
    assert!(!node.state.is_configuration_confirmed(later));
    let never = later + Duration::from_secs(3);
    assert!(node.state.is_configuration_confirmed(never), "operators had the time to write it");
}

#[test]
fn restored_store_that_is_not_behind_confirms_the_configuration() {
    let mut node = TestNode::with_engines(1);
    node.state.apply_snapshot(restored_update(vec![configuration(1)]), NOW);
    assert!(node.state.is_configuration_confirmed(NOW));
    assert!(node.state.take_lost_configuration(NOW + Duration::from_secs(2)).is_none());
}

#[test]
fn configuration_that_the_store_lost_is_written_once_by_the_first_node() {
    let mut node = TestNode::with_engines(1);
    node.state.apply_changes(update_of(vec![configuration(9)]), NOW);
    let lost = || restored_update(vec![configuration(5)]);
    node.state.apply_snapshot(lost(), NOW);
    let written = node.state.take_lost_configuration(NOW).map(|desired| desired.version);
    assert_eq!(written, Some(9));
    assert!(node.state.take_lost_configuration(NOW + Duration::from_secs(2)).is_none());
    let peers = ["a", "b"].map(|name| {
        let record = NodeRecord {
            address: ([127, 0, 0, 1], 9_100).into(),
            incarnation: 1,
            data_centre: None,
        };
        RegistryChange::NodeAnnounced(name.into(), record)
    });
    node.state.apply_changes(registry_update(peers.to_vec()), NOW);
    node.state.apply_snapshot(lost(), NOW);
    assert!(node.state.take_lost_configuration(NOW).is_none(), "another node is first");
    let kept = RecordChange::KeptConfiguration(Box::new(desired(9)));
    node.state.apply_changes(update_of(vec![kept]), NOW);
    assert!(node.state.take_lost_configuration(NOW + Duration::from_secs(2)).is_none());
}

#[test]
fn node_that_starts_uses_the_configuration_that_others_keep() {
    let mut node = TestNode::with_engines(1);
    let kept = RecordChange::KeptConfiguration(Box::new(desired(9)));
    let newest = node.state.apply_snapshot(update_of(vec![kept, configuration(5)]), NOW);
    assert_eq!(newest.map(|desired| desired.version), Some(9));
    assert!(node.state.is_configuration_confirmed(NOW));
}
