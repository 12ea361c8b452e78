//! Tests of the quarantine of prompt parts over several nodes.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::PartCrashReport;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::routing::ServiceProfile;
use apricotknot_gateway::control::ControlCommand;
use apricotknot_gateway::control::ControlHandle;
use apricotknot_gateway::control::ControlState;
use apricotknot_gateway::control::EndpointGrant;
use apricotknot_gateway::control::FleetLimits;
use apricotknot_gateway::control::NodeRecord;
use apricotknot_gateway::control::PlacementRequest;
use apricotknot_gateway::control::RegistryChange;
use apricotknot_gateway::control::StoreUpdate;
use apricotknot_gateway::protocol::RecordChange;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use support::engine_entry;
use support::placement_request;

const START: Duration = Duration::from_secs(100);

/// Part that crashes each endpoint that begins to answer a prompt with it.
const BAD: PromptPartId = 666;

/// Interval between two requests at the whole fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the start of an attempt until it is answered or its endpoint crashes.
const ATTEMPT_TIME: Duration = Duration::from_millis(200);

/// One request in this many has the bad part.
const BAD_INTERVAL: u64 = 20;

/// Number of common parts; each request has one of them.
const COMMON_PARTS: u64 = 12;

/// Other requests that a crash cuts off, at most.
const CUT_OFF_REQUESTS: usize = 6;

struct TestNode {
    state: ControlState,
    /// Receives the commands of dropped grants.
    commands: mpsc::UnboundedReceiver<ControlCommand>,
}

impl TestNode {
    fn new(name: &str) -> Self {
        let (sender, commands) = mpsc::unbounded_channel();
        let retries = RetryPolicy { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
        let mut state = ControlState::new(
            ControlHandle::new(sender),
            name.into(),
            1,
            BTreeMap::from([("north".into(), "here".into())]),
            FleetLimits { retries },
        );
        let records = (0..8).map(|index| RecordChange::EndpointAnnounced(entry(index)));
        let services = BTreeMap::from([("model".into(), ServiceProfile::default())]);
        let desired = DesiredState { version: 1, services, ..DesiredState::default() };
        let configuration = RecordChange::Configuration(Box::new(desired));
        let record_changes = records.chain([configuration]).collect();
        state.apply_snapshot(StoreUpdate { record_changes, ..StoreUpdate::default() }, START);
        Self { state, commands }
    }

    /// Requests an endpoint; returns `None` if the request is refused.
    fn place(&mut self, request: &TestRequest, now: Duration) -> Option<EndpointGrant> {
        let placement = PlacementRequest {
            may_wait: false,
            shared_parts: Arc::clone(&request.parts),
            ..placement_request(request.id, RequestSize::default(), now)
        };
        let (reply, mut receiver) = oneshot::channel();
        let command = ControlCommand::Place { request: Box::new(placement), reply };
        self.state.handle_command(command, now);
        receiver.try_recv().expect("answer to the request").ok()
    }

    fn tick(&mut self, now: Duration) {
        while let Ok(command) = self.commands.try_recv() {
            self.state.handle_command(command, now);
        }
        self.state.tick(now);
    }
}

fn entry(index: usize) -> EndpointEntry {
    engine_entry(index, 16)
}

#[derive(Clone)]
struct TestRequest {
    id: u64,
    node: usize,
    parts: Arc<[PromptPartId]>,
    began: Duration,
}

impl TestRequest {
    fn new(id: u64, node: usize, began: Duration) -> Self {
        let common = id * 7 % COMMON_PARTS;
        let parts: Vec<PromptPartId> =
            if id.is_multiple_of(BAD_INTERVAL) { vec![common, BAD] } else { vec![common] };
        Self { id, node, parts: parts.into(), began }
    }

    fn is_bad(&self) -> bool {
        self.parts.contains(&BAD)
    }
}

/// Counts of one run of the fleet.
#[derive(Default)]
struct RunCounts {
    bad_sent: usize,
    sound_sent: usize,
    sound_refused: usize,
}

/// Runs nodes that tell one another of crashes and answers, for `length`.
fn run_fleet(nodes: &mut [TestNode], length: Duration) -> RunCounts {
    let mut counts = RunCounts::default();
    let mut open: Vec<(TestRequest, EndpointGrant)> = Vec::new();
    let mut now = START;
    let mut id = 0;
    while now < START + length {
        now += REQUEST_INTERVAL;
        id += 1;
        let node = usize::try_from(id * 5 % 11).expect("a small number") % nodes.len();
        let request = TestRequest::new(id, node, now);
        match (nodes[node].place(&request, now), request.is_bad()) {
            (Some(grant), is_bad) => {
                counts.bad_sent += usize::from(is_bad);
                counts.sound_sent += usize::from(!is_bad);
                open.push((request, grant));
            },
            (None, true) => {},
            (None, false) => counts.sound_refused += 1,
        }
        let (ended, others) =
            open.into_iter().partition(|(request, _)| request.began + ATTEMPT_TIME <= now);
        open = others;
        end_attempts(nodes, ended, &mut open, now);
        exchange_snapshots(nodes, now);
    }
    counts
}

/// Answers sound requests; bad ones crash their endpoints and cut off others there.
fn end_attempts(
    nodes: &mut [TestNode],
    ended: Vec<(TestRequest, EndpointGrant)>,
    open: &mut Vec<(TestRequest, EndpointGrant)>,
    now: Duration,
) {
    for (request, grant) in ended {
        if !request.is_bad() {
            let command = ControlCommand::RequestAnswered {
                fingerprint: request.id,
                shared_parts: Arc::clone(&request.parts),
            };
            nodes[request.node].state.handle_command(command, now);
            continue;
        }
        let mut cut = vec![request];
        let mut index = 0;
        while index < open.len() && cut.len() <= CUT_OFF_REQUESTS {
            if open[index].1.endpoint == grant.endpoint {
                cut.push(open.swap_remove(index).0);
            } else {
                index += 1;
            }
        }
        for request in cut {
            let command = ControlCommand::PromptBroken(PartCrashReport {
                attempt: u128::from(request.id),
                endpoint: Arc::clone(&grant.endpoint),
                request: request.id,
                parts: request.parts.to_vec(),
                age_ms: 0,
            });
            nodes[request.node].state.handle_command(command, now);
        }
    }
}

fn exchange_snapshots(nodes: &mut [TestNode], now: Duration) {
    let snapshots: Vec<_> = nodes.iter_mut().map(|node| node.state.next_snapshot(now)).collect();
    for node in nodes {
        for snapshot in &snapshots {
            node.state.apply_peer_snapshot(snapshot.clone(), now);
        }
        node.tick(now);
    }
}

// Guards against requests of one kind that crash one endpoint after the other.
#[test]
fn part_that_crashes_endpoints_reaches_few_of_them() {
    let mut nodes: Vec<TestNode> =
        (0..8).map(|index| TestNode::new(&format!("node-{index}"))).collect();
    let counts = run_fleet(&mut nodes, Duration::from_secs(30));
    assert!((3..=5).contains(&counts.bad_sent), "{} requests reached endpoints", counts.bad_sent);
    assert!(counts.sound_sent > 1_300, "{} sound requests were sent", counts.sound_sent);
    assert_eq!(counts.sound_refused, 0, "prompts that share other parts are served");
    let notices: Vec<_> = nodes.iter_mut().flat_map(|node| node.state.take_notices()).collect();
    assert!(notices.iter().all(|notice| notice.part == BAD), "{notices:?}");
    assert!(notices.iter().any(|notice| notice.is_own), "one node records the part");
}

#[test]
fn node_that_starts_later_refuses_a_recorded_part() {
    let mut node = TestNode::new("late");
    let recorded = vec![RegistryChange::PartQuarantined(BAD)];
    let update = StoreUpdate { registry_changes: recorded, ..StoreUpdate::default() };
    node.state.apply_changes(update, START);
    let bad = TestRequest::new(BAD_INTERVAL, 0, START);
    assert!(node.place(&bad, START).is_none());
    assert!(node.place(&TestRequest::new(1, 0, START), START).is_some());
    let released = vec![RegistryChange::PartReleased(BAD)];
    let update = StoreUpdate { registry_changes: released, ..StoreUpdate::default() };
    node.state.apply_changes(update, START);
    assert!(node.place(&bad, START).is_some());
}

#[test]
fn restored_store_releases_no_quarantined_part() {
    let mut node = TestNode::new("own");
    let recorded = vec![RegistryChange::PartQuarantined(BAD)];
    let update = StoreUpdate { registry_changes: recorded, ..StoreUpdate::default() };
    node.state.apply_changes(update, START);
    let record_changes =
        (0..8).map(|index| RecordChange::EndpointAnnounced(entry(index))).collect();
    let restored = StoreUpdate { record_changes, is_restored: true, ..StoreUpdate::default() };
    node.state.apply_snapshot(restored, START);
    let bad = TestRequest::new(BAD_INTERVAL, 0, START);
    assert!(node.place(&bad, START).is_none());
    assert!(node.place(&TestRequest::new(1, 0, START), START).is_some());
}

#[test]
fn few_nodes_record_quarantined_parts_again() {
    let recorders = ["a", "b", "c", "d"].into_iter().filter(|name| {
        let mut node = TestNode::new(name);
        let record = NodeRecord {
            address: ([127, 0, 0, 1], 9_100).into(),
            incarnation: 1,
            data_centre: None,
        };
        let nodes = ["a", "b", "c", "d"]
            .map(|name| RegistryChange::NodeAnnounced(name.into(), record.clone()));
        let registry_changes = [RegistryChange::PartQuarantined(BAD)].into_iter().chain(nodes);
        let registry_changes = registry_changes.collect();
        let update = StoreUpdate { registry_changes, ..StoreUpdate::default() };
        node.state.apply_changes(update, START);
        node.state.parts_to_record_again() == [BAD]
    });
    assert_eq!(recorders.count(), 2);
}
