//! Tests of the ways to endpoints that a node chooses while it is cut off from them.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::RelayStatus;
use apricotknot_gateway::control::ControlCommand;
use apricotknot_gateway::control::EndpointGrant;
use apricotknot_gateway::control::EndpointPath;
use apricotknot_gateway::control::NodeRecord;
use apricotknot_gateway::control::RegistryChange;

use support::test_node::NOW;
use support::test_node::TestNode;
use support::test_node::granted;
use support::test_node::registry_update;

/// Number of engines of the node.
const ENGINES: usize = 6;

/// Returns a node with engines, whose own data centre is `north`.
fn node() -> TestNode {
    let mut node = TestNode::with_engines(ENGINES);
    node.state.set_data_centre("north".into());
    node
}

/// Announces a peer in `data_centre` that says `relay` of itself.
fn add_peer(node: &mut TestNode, name: &str, data_centre: &str, relay: Option<RelayStatus>) {
    let record = NodeRecord {
        address: ([127, 0, 0, 1], 7_000).into(),
        incarnation: 1,
        data_centre: Some(data_centre.into()),
    };
    let announced = RegistryChange::NodeAnnounced(name.into(), record);
    node.state.apply_changes(registry_update(vec![announced]), NOW);
    let snapshot = LoadSnapshot {
        node: name.into(),
        incarnation: 1,
        sequence: 1,
        relay,
        ..LoadSnapshot::default()
    };
    node.state.apply_peer_snapshot(snapshot, NOW);
}

fn place(node: &mut TestNode, regions: Option<&str>, now: Duration) -> EndpointGrant {
    let mut reply = node.request_placement_with(1_000, now, |request| {
        request.query.regions = regions.map(|region| vec![region.into()]);
    });
    granted(&mut reply)
}

/// Fails to connect to engines until the node counts as cut off.
fn cut_off(node: &mut TestNode) {
    for _ in 0..3 {
        let mut grant = place(node, None, NOW);
        assert_eq!(grant.path, EndpointPath::Direct);
        grant.guard.set_end(AttemptEnd::Unreachable);
        drop(grant);
        node.process_commands(NOW);
        if node.state.fleet().is_cut_off(&"model".into(), NOW) {
            return;
        }
    }
    panic!("the node does not find that it is cut off");
}

/// Returns the peers of the ways of many grants, each once.
fn peers_of_grants(node: &mut TestNode, regions: Option<&str>) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..40 {
        if let EndpointPath::Relayed(peers) = place(node, regions, NOW).path {
            names.extend(peers.iter().map(|peer| peer.node.to_string()));
        }
        node.process_commands(NOW);
    }
    names.sort();
    names.dedup();
    names
}

#[test]
fn only_peers_that_reach_the_service_and_may_see_the_body_relay() {
    let mut node = node();
    add_peer(&mut node, "near", "north", Some(RelayStatus::default()));
    add_peer(&mut node, "far", "south", Some(RelayStatus::default()));
    let cut = RelayStatus { open: 0, cut_services: vec!["model".into()] };
    add_peer(&mut node, "cut", "north", Some(cut));
    add_peer(&mut node, "older-version", "north", None);
    cut_off(&mut node);
    assert_eq!(peers_of_grants(&mut node, None), ["far", "near"]);
    assert_eq!(peers_of_grants(&mut node, Some("here")), ["near"]);
    node.state.handle_command(ControlCommand::RelayFailed { node: "near".into() }, NOW);
    assert_eq!(peers_of_grants(&mut node, None), ["far"], "a peer that failed is left alone");
    let later = NOW + Duration::from_millis(1_100);
    let path = place(&mut node, Some("here"), later).path;
    assert!(path.is_relayed(), "and asked again after a second");
}

#[test]
fn node_without_peers_that_reach_the_service_uses_its_own_links() {
    let mut node = node();
    cut_off(&mut node);
    for _ in 0..ENGINES {
        let mut reply = node.request_placement(1_000, NOW);
        if let Ok(Ok(grant)) = reply.try_recv() {
            assert_eq!(grant.path, EndpointPath::Direct);
        }
        node.process_commands(NOW);
    }
}

#[test]
fn cut_says_nothing_of_the_health_of_endpoints_and_ends_with_a_probe() {
    let mut node = node();
    add_peer(&mut node, "near", "north", Some(RelayStatus::default()));
    cut_off(&mut node);
    let is_backing_off = |node: &TestNode| {
        node.state.fleet().endpoints().any(|state| state.health.is_backing_off(NOW))
    };
    assert!(!is_backing_off(&node), "no endpoint is left alone for the cut");
    let probing = place(&mut node, None, NOW);
    assert!(probing.probes && probing.path.is_relayed());
    assert!(!place(&mut node, None, NOW).probes, "one probe at a time");
    let later = NOW + Duration::from_millis(500);
    assert!(place(&mut node, None, later).probes);
    let reached =
        ControlCommand::PathTried { endpoint: probing.endpoint.clone(), is_reached: true };
    node.state.handle_command(reached, later);
    assert_eq!(place(&mut node, None, later).path, EndpointPath::Direct);
}

#[test]
fn broken_streams_of_a_cut_quarantine_no_request() {
    let mut node = node();
    add_peer(&mut node, "near", "north", Some(RelayStatus::default()));
    for number in 0..ENGINES {
        let broken = ControlCommand::ConnectionBroken {
            fingerprint: 7,
            endpoint: format!("engine-{number}").into(),
        };
        node.state.handle_command(broken, NOW);
    }
    cut_off(&mut node);
    for _ in 0..3 {
        // Requests of the test node have the fingerprint 7.
        let mut grant = place(&mut node, None, NOW);
        grant.guard.set_end(AttemptEnd::Unreachable);
        drop(grant);
        node.process_commands(NOW);
    }
    let snapshot = node.state.next_snapshot(NOW);
    assert!(snapshot.crashes.is_empty(), "{:?}", snapshot.crashes);
}
