//! Tests of the control state: placement, waiting, outages of the store, crashes and snapshots of
//! other nodes.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::WaitSnapshot;
use apricotknot_gateway::control::ControlCommand;
use apricotknot_gateway::control::NodeRecord;
use apricotknot_gateway::control::RegistryChange;
use apricotknot_gateway::protocol::RecordChange;

use support::test_node::NOW;
use support::test_node::TestNode;
use support::test_node::desired;
use support::test_node::entry;
use support::test_node::granted;
use support::test_node::registry_update;
use support::test_node::update_of;

#[test]
fn dropped_grant_ends_its_attempt() {
    let mut node = TestNode::with_engines(1);
    for _ in 0..20 {
        // The caller disconnects at the same time as the grant is made.
        drop(node.request_placement(1_000, NOW));
        let mut reply = node.request_placement(1_000, NOW);
        drop(granted(&mut reply));
        node.process_commands(NOW);
    }
    assert_eq!(node.state.fleet().work_items(NOW).count(), 0);
    assert_eq!(node.state.next_snapshot(NOW).works.len(), 0);
}

#[test]
fn request_waits_until_a_slot_is_free() {
    let mut node = TestNode::with_engines(1);
    let mut first = node.request_placement(1_000, NOW);
    let mut second = node.request_placement(1_000, NOW);
    let held = (granted(&mut first), granted(&mut second));
    let mut third = node.request_placement(1_000, NOW);
    assert!(third.try_recv().is_err(), "both slots are in use");
    assert_eq!(node.state.next_snapshot(NOW).waits.len(), 1);
    drop(held);
    node.process_commands(NOW + Duration::from_millis(50));
    granted(&mut third);
}

#[test]
fn requests_within_their_target_latency_go_first() {
    let mut node = TestNode::with_engines(1);
    let (mut first, mut second) =
        (node.request_placement(1_000, NOW), node.request_placement(1_000, NOW));
    let (one, two) = (granted(&mut first), granted(&mut second));
    let mut old = node.request_placement(1_000, NOW);
    let later = NOW + Duration::from_millis(400);
    let mut young = node.request_placement(1_000, later);
    drop(one);
    node.process_commands(later);
    granted(&mut young);
    assert!(old.try_recv().is_err());
    drop(two);
    node.process_commands(later);
    granted(&mut old);
}

#[test]
fn short_request_without_capacity_is_refused_promptly() {
    let mut node = TestNode::with_engines(1);
    let (mut first, mut second) =
        (node.request_placement(1_000, NOW), node.request_placement(1_000, NOW));
    let _held = (granted(&mut first), granted(&mut second));
    let mut third = node.request_placement(1_000, NOW);
    node.process_commands(NOW + Duration::from_millis(1_000));
    let refusal = third.try_recv().expect("answer to the request").expect_err("no room");
    assert!(refusal.retry_after > Duration::ZERO);
    let mut without_wait =
        node.request_placement_with(1_000, NOW, |request| request.may_wait = false);
    without_wait.try_recv().expect("answer to the request").expect_err("may not wait");
}

#[test]
fn older_configuration_is_never_applied() {
    let mut node = TestNode::with_engines(1);
    let apply = |node: &mut TestNode, version| {
        let record = RecordChange::Configuration(Box::new(desired(version)));
        node.state.apply_changes(update_of(vec![record]), NOW).map(|desired| desired.version)
    };
    assert_eq!(apply(&mut node, 9), Some(9));
    assert_eq!(apply(&mut node, 8), None);
    assert_eq!(apply(&mut node, 9), None);
    let record = RecordChange::Configuration(Box::new(desired(5)));
    assert!(node.state.apply_snapshot(update_of(vec![record]), NOW).is_none());
}

#[test]
fn endpoints_can_reannounce_after_a_store_outage() {
    let mut node = TestNode::with_engines(2);
    assert!(node.state.record_store_unreachable(NOW));
    assert!(!node.state.record_store_unreachable(NOW), "only the first failure is reported");
    let recovered_at = NOW + Duration::from_secs(5);
    node.state
        .apply_snapshot(update_of(vec![RecordChange::EndpointAnnounced(entry(0))]), recovered_at);
    assert_eq!(
        node.state.fleet().endpoints().count(),
        2,
        "the endpoint is kept for the grace time"
    );
    let announced = RecordChange::EndpointAnnounced(entry(1));
    node.state.apply_changes(update_of(vec![announced]), recovered_at + Duration::from_secs(1));
    node.process_commands(recovered_at + Duration::from_secs(4));
    assert_eq!(
        node.state.fleet().endpoints().count(),
        2,
        "the endpoint has announced itself again"
    );
    let removed = RecordChange::EndpointRemoved("engine-1".into());
    node.state.apply_changes(update_of(vec![removed]), recovered_at + Duration::from_secs(4));
    assert_eq!(
        node.state.fleet().endpoints().count(),
        1,
        "the store was reachable when the endpoint left"
    );
}

#[test]
fn endpoints_missing_after_a_store_outage_are_removed() {
    let mut node = TestNode::with_engines(2);
    node.state.record_store_unreachable(NOW);
    let recovered_at = NOW + Duration::from_secs(5);
    node.state
        .apply_snapshot(update_of(vec![RecordChange::EndpointAnnounced(entry(0))]), recovered_at);
    node.process_commands(recovered_at + Duration::from_secs(3));
    assert_eq!(node.state.fleet().endpoints().count(), 1);
}

// Guards against one caller's header that ends the control thread of each node that gets it.
#[test]
fn requests_of_any_stated_size_are_decided() {
    let sizes = [0, 1, 45_000, 1 << 40, 1 << 53, 1 << 62, u64::MAX - 1, u64::MAX];
    for memory in [100_000, 1 << 50, u64::MAX] {
        let mut node = TestNode::with_engines(3);
        let mut huge = desired(2);
        for engine in huge.services.values_mut().filter_map(|profile| profile.engine.as_mut()) {
            engine.memory = memory;
        }
        let record = RecordChange::Configuration(Box::new(huge));
        node.state.apply_changes(update_of(vec![record]), NOW);
        let all = sizes.iter().flat_map(|prompt| sizes.map(|output| (*prompt, output)));
        for (prompt, max_output) in all {
            for expected_output in [0, max_output / 2, max_output] {
                let size = RequestSize { prompt, expected_output, max_output };
                drop(node.request_placement_with(prompt, NOW, |request| request.query.size = size));
                node.process_commands(NOW);
            }
        }
        drop(node.request_placement(1_000, NOW));
    }
}

#[test]
fn request_whose_size_exceeds_all_numbers_is_too_large() {
    let mut node = TestNode::with_engines(2);
    let mut reply = node.request_placement_with(45_000, NOW, |request| {
        request.query.size.max_output = u64::MAX;
        request.query.size.expected_output = u64::MAX;
    });
    let refusal = reply.try_recv().expect("answer to the request").expect_err("too large");
    assert_eq!(refusal.reason, "too large");
}

// Guards against a process that goes on without its control thread and serves nothing.
#[tokio::test(flavor = "current_thread")]
async fn end_of_the_control_thread_is_noticed() {
    let node = TestNode::new();
    let handle = node.handle.clone();
    let waiting = tokio::time::timeout(Duration::from_millis(20), handle.ended());
    waiting.await.expect_err("the thread runs");
    drop(node);
    handle.ended().await;
}

#[test]
fn snapshot_restores_an_evacuated_data_centre() {
    let mut node = TestNode::with_engines(1);
    node.state
        .apply_changes(update_of(vec![RecordChange::DataCentreEvacuated("north".into())]), NOW);
    assert!(node.state.fleet().is_evacuated("north"));
    node.state.apply_snapshot(update_of(vec![RecordChange::EndpointAnnounced(entry(0))]), NOW);
    assert!(!node.state.fleet().is_evacuated("north"));
}

#[test]
fn snapshot_restores_a_data_centre_without_endpoints() {
    let mut node = TestNode::with_engines(1);
    node.state
        .apply_changes(update_of(vec![RecordChange::DataCentreEvacuated("north".into())]), NOW);
    let removed = RecordChange::EndpointRemoved("engine-0".into());
    node.state.apply_changes(update_of(vec![removed]), NOW);
    node.state.apply_snapshot(update_of(Vec::new()), NOW);
    assert!(!node.state.fleet().is_evacuated("north"));
    let announced = RecordChange::EndpointAnnounced(entry(0));
    node.state.apply_changes(update_of(vec![announced]), NOW);
    granted(&mut node.request_placement(1_000, NOW));
}

#[test]
fn crashes_reported_by_peers_quarantine_a_request() {
    let mut node = TestNode::with_engines(1);
    let crashes =
        ["a", "b", "c"].map(|endpoint| CrashReport { fingerprint: 7, endpoint: endpoint.into() });
    node.state.apply_peer_snapshot(peer_snapshot("peer", 1, crashes.to_vec()), NOW);
    let refusal = node
        .request_placement(1_000, NOW)
        .try_recv()
        .expect("answer to the request")
        .expect_err("quarantined");
    assert_eq!(refusal.reason, "crashes endpoints");
    let mut other = node.request_placement_with(1_000, NOW, |request| request.fingerprint = 8);
    granted(&mut other);
}

/// Endpoints in good health lose answers occasionally. Only the removal of the endpoints confirms
/// their crashes.
#[test]
fn broken_connections_alone_quarantine_no_request() {
    let mut node = TestNode::with_engines(4);
    let crashed = |index: usize| ControlCommand::ConnectionBroken {
        fingerprint: 7,
        endpoint: format!("engine-{index}").into(),
    };
    for index in 0..3 {
        node.state.handle_command(crashed(index), NOW);
    }
    granted(&mut node.request_placement(1_000, NOW));
    node.process_commands(NOW);
    for index in 0..3 {
        let removed = RecordChange::EndpointRemoved(format!("engine-{index}").into());
        node.state.apply_changes(update_of(vec![removed]), NOW);
    }
    let refusal = node
        .request_placement(1_000, NOW)
        .try_recv()
        .expect("answer to the request")
        .expect_err("quarantined");
    assert_eq!(refusal.reason, "crashes endpoints");
    assert_eq!(node.state.next_snapshot(NOW).crashes.len(), 3);
}

#[test]
fn retries_stop_at_the_retry_limit() {
    let mut node = TestNode::with_engines(1);
    let allowed = (0..50)
        .filter(|_| {
            let mut reply =
                node.request_placement_with(1_000, NOW, |request| request.is_retry = true);
            let is_granted = matches!(reply.try_recv(), Ok(Ok(_)));
            node.process_commands(NOW);
            is_granted
        })
        .count();
    assert!((1..=10).contains(&allowed), "{allowed}");
}

#[test]
fn older_long_request_at_another_node_goes_first() {
    let mut node = TestNode::with_engines(4);
    let mut snapshot = peer_snapshot("peer", 1, Vec::new());
    snapshot.waits.push(WaitSnapshot { prompt: 30_000, age_ms: 500 });
    node.state.apply_peer_snapshot(snapshot, NOW);
    let mut long = node.request_placement_with(40_000, NOW, |request| {
        request.query.target_latency = Duration::from_secs(3);
        request.query.pause_limit = Duration::from_secs(1);
    });
    assert!(long.try_recv().is_err(), "the request at the other node is older and smaller");
    node.state.apply_peer_snapshot(peer_snapshot("peer", 2, Vec::new()), NOW);
    node.process_commands(NOW);
    granted(&mut long);
}

/// Guards against prompts that wait behind one which waits for a lower price and takes no room.
#[test]
fn request_at_another_node_that_the_price_holds_goes_not_first() {
    let mut node = TestNode::with_engines(4);
    let mut snapshot = peer_snapshot("peer", 1, Vec::new());
    snapshot.waits.push(WaitSnapshot { prompt: 30_000, age_ms: 500 });
    snapshot.price_waits.push(true);
    node.state.apply_peer_snapshot(snapshot, NOW);
    let mut long = node.request_placement_with(40_000, NOW, |request| {
        request.query.target_latency = Duration::from_secs(3);
        request.query.pause_limit = Duration::from_secs(1);
    });
    granted(&mut long);
}

/// Guards against a queue that grows without end: of many long prompts at once, those that cannot be
/// read in time are refused as they arrive, and the others wait.
#[test]
fn long_prompts_beyond_what_is_read_in_time_do_not_wait() {
    let mut node = TestNode::with_engines(2);
    let mut refused = 0;
    let mut waiting = Vec::new();
    for number in 0..2_000 {
        let now = NOW + Duration::from_millis(number);
        let mut receiver = node.request_placement(90_000, now);
        match receiver.try_recv() {
            Ok(Err(refusal)) => {
                assert!(refusal.retry_after > Duration::ZERO, "{refusal:?}");
                refused += 1;
            },
            _ => waiting.push(receiver),
        }
    }
    assert!(waiting.len() > 10, "{} wait", waiting.len());
    assert!(refused > 1_500, "{refused} are refused at once");
}

/// Guards against calls that go on to a silent endpoint while another one is tried for the first of
/// them: it is avoided from the moment at which it counts as silent, though its attempt goes on.
#[test]
fn endpoint_that_is_silent_is_avoided_before_its_attempt_ends() {
    let mut node = TestNode::with_engines(2);
    let grant = |node: &mut TestNode| {
        let mut receiver = node.request_placement(1_000, NOW);
        receiver.try_recv().ok().and_then(Result::ok).expect("a grant")
    };
    let silent = grant(&mut node);
    let endpoint = silent.endpoint.clone();
    node.state.handle_command(ControlCommand::EndpointSilent { endpoint }, NOW);
    let others = [grant(&mut node), grant(&mut node)];
    assert!(others.iter().all(|other| other.endpoint != silent.endpoint), "{others:?}");
}

#[test]
fn snapshot_of_a_silent_node_expires() {
    let mut node = TestNode::with_engines(1);
    let mut peer = peer_snapshot("peer", 1, Vec::new());
    let mut reply = node.request_placement(1_000, NOW);
    let _grant = granted(&mut reply);
    peer.works = node.state.next_snapshot(NOW).works;
    node.state.apply_peer_snapshot(peer.clone(), NOW);
    node.state.apply_peer_snapshot(peer, NOW);
    assert_eq!(node.state.fleet().work_items(NOW).count(), 2);
    node.process_commands(NOW + Duration::from_secs(5));
    assert_eq!(node.state.fleet().work_items(NOW + Duration::from_secs(5)).count(), 1);
}

#[test]
fn removed_nodes_count_until_their_retention_ends() {
    let mut node = TestNode::new();
    let record =
        NodeRecord { address: ([127, 0, 0, 1], 9_100).into(), incarnation: 1, data_centre: None };
    let nodes =
        ["own", "peer"].map(|name| RegistryChange::NodeAnnounced(name.into(), record.clone()));
    node.state.apply_snapshot(registry_update(nodes.to_vec()), NOW);
    assert_eq!(node.state.registry().count(), 2);
    assert_eq!(node.state.registry().snapshot_peers("own").count(), 1);
    node.state
        .apply_changes(registry_update(vec![RegistryChange::NodeRemoved("peer".into())]), NOW);
    node.process_commands(NOW);
    assert_eq!(
        node.state.registry().count(),
        2,
        "a removed node still counts during its retention"
    );
    node.process_commands(NOW + Duration::from_secs(11));
    assert_eq!(node.state.registry().count(), 1);
}

#[test]
fn unreachable_endpoint_gets_no_requests_for_a_while() {
    let mut node = TestNode::with_engines(2);
    let mut reply = node.request_placement(1_000, NOW);
    let mut grant = granted(&mut reply);
    let unreachable = grant.endpoint.clone();
    grant.guard.set_end(AttemptEnd::Unreachable);
    drop(grant);
    node.process_commands(NOW);
    for _ in 0..2 {
        let mut reply = node.request_placement(1_000, NOW);
        assert_ne!(granted(&mut reply).endpoint, unreachable);
        node.process_commands(NOW);
    }
}

// Guards against configurations that are applied late, as each datagram places requests again.
#[test]
fn snapshots_of_peers_do_not_place_waiting_requests_again() {
    let mut node = TestNode::with_engines(1);
    let (mut first, mut second) =
        (node.request_placement(1_000, NOW), node.request_placement(1_000, NOW));
    let _held = (granted(&mut first), granted(&mut second));
    let _waiting = node.request_placement_with(60_000, NOW, |request| {
        request.query.target_latency = Duration::from_secs(3);
    });
    assert_eq!(node.state.waiting_count(), 1);
    let before = node.state.placement_count();
    for millisecond in 1..=1_000 {
        let now = NOW + Duration::from_millis(millisecond);
        node.state.apply_peer_snapshot(peer_snapshot("peer", millisecond, Vec::new()), now);
        node.process_commands(now);
    }
    assert_eq!(node.state.waiting_count(), 1, "the request still waits");
    let passes = node.state.placement_count() - before;
    assert!((10..=100).contains(&passes), "{passes} passes for 1000 datagrams in a second");
}

fn peer_snapshot(node: &str, sequence: u64, crashes: Vec<CrashReport>) -> LoadSnapshot {
    LoadSnapshot { node: node.into(), incarnation: 1, sequence, crashes, ..LoadSnapshot::default() }
}

#[test]
fn helper_that_refused_memory_is_asked_again_only_after_a_while() {
    let mut node = TestNode::with_engines(4);
    let mut reply = node.request_placement(150_000, NOW);
    let grant = granted(&mut reply);
    let holders = grant.helpers.iter().filter(|helper| helper.memory > 0);
    let refused =
        holders.map(|helper| helper.endpoint.clone()).next().expect("a helper with memory");
    drop(grant);
    node.process_commands(NOW);
    let command = ControlCommand::MemoryRefused { endpoint: refused.clone() };
    node.state.handle_command(command, NOW);
    for wait in [0, 100, 500] {
        let mut reply = node.request_placement(150_000, NOW + Duration::from_millis(wait));
        let grant = granted(&mut reply);
        assert_ne!(grant.endpoint, refused, "after {wait} ms");
        for helper in &grant.helpers {
            assert!(helper.endpoint != refused || helper.memory == 0, "after {wait} ms");
        }
        drop(grant);
        node.process_commands(NOW + Duration::from_millis(wait));
    }
    let mut reply = node.request_placement(380_000, NOW + Duration::from_secs(2));
    let grant = granted(&mut reply);
    let uses_refused = grant.endpoint == refused
        || grant.helpers.iter().any(|helper| helper.endpoint == refused && helper.memory > 0);
    assert!(uses_refused, "a prompt that needs all engines uses it again");
}

/// Returns whether the attempt of a grant may still be sent.
fn is_confirmed(node: &mut TestNode, attempt: u128, now: Duration) -> bool {
    let (reply, mut receiver) = tokio::sync::oneshot::channel();
    node.state.handle_command(ControlCommand::Confirm { attempt, reply }, now);
    receiver.try_recv().expect("an answer")
}

#[test]
fn grant_is_not_confirmed_once_its_endpoint_accepts_no_more_work() {
    let leaving = |entry: EndpointEntry| EndpointEntry { phase: EndpointPhase::Leaving, ..entry };
    let changes: [fn(EndpointEntry) -> RecordChange; 3] = [
        |entry| RecordChange::EndpointRemoved(entry.id),
        |entry| RecordChange::DataCentreEvacuated(entry.data_centre),
        |entry| RecordChange::EndpointAnnounced(entry),
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let mut node = TestNode::with_engines(1);
        let mut reply = node.request_placement(1_000, NOW);
        let grant = granted(&mut reply);
        let attempt = grant.guard.attempt();
        assert!(is_confirmed(&mut node, attempt, NOW));
        let later = NOW + Duration::from_millis(100);
        node.state.apply_changes(update_of(vec![change(leaving(entry(0)))]), later);
        assert!(!is_confirmed(&mut node, attempt, later), "change {index}");
    }
}
