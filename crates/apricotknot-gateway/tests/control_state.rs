//! What a node believes, and how it decides, while stores and endpoints come and go.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::EngineModel;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::fleet::WaitSnapshot;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::routing::ServiceProfile;
use apricotknot_gateway::control::ControlCommand;
use apricotknot_gateway::control::ControlHandle;
use apricotknot_gateway::control::ControlState;
use apricotknot_gateway::control::EndpointGrant;
use apricotknot_gateway::control::NodeRecord;
use apricotknot_gateway::control::PlacementRefusal;
use apricotknot_gateway::control::PlacementRequest;
use apricotknot_gateway::control::RegistryChange;
use apricotknot_gateway::control::StateLimits;
use apricotknot_gateway::control::StoreNews;
use apricotknot_gateway::protocol::RecordChange;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

const NOW: Duration = Duration::from_secs(100);

type Reply = oneshot::Receiver<Result<EndpointGrant, PlacementRefusal>>;

struct Node {
    state: ControlState,
    commands: mpsc::UnboundedReceiver<ControlCommand>,
    next_attempt: u128,
}

impl Node {
    fn new() -> Self {
        let (sender, commands) = mpsc::unbounded_channel();
        let retries = RetryPolicy { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
        let state = ControlState::new(
            ControlHandle::new(sender),
            "own".into(),
            1,
            BTreeMap::from([("north".into(), "here".into())]),
            StateLimits { retries },
        );
        Self { state, commands, next_attempt: 0 }
    }

    fn with_engines(count: usize) -> Self {
        let mut node = Self::new();
        let records = (0..count).map(|index| RecordChange::Endpoint(entry(index)));
        let desired = RecordChange::Configuration(Box::new(desired(1)));
        node.state.load(news_of(records.chain([desired]).collect()), NOW);
        node
    }

    fn ask(&mut self, prompt: u64, now: Duration) -> Reply {
        self.ask_with(prompt, now, |_| {})
    }

    fn ask_with(
        &mut self,
        prompt: u64,
        now: Duration,
        change: impl FnOnce(&mut PlacementRequest),
    ) -> Reply {
        self.next_attempt += 1;
        let mut request = PlacementRequest {
            attempt: self.next_attempt,
            ask: PlacementQuery {
                service: "model".into(),
                size: RequestSize { prompt, expected_output: 100, max_output: 100 },
                regions: None,
                excluded: Vec::new(),
                arrived: now,
                target_latency: Duration::from_millis(300),
                pause_limit: Duration::from_millis(250),
                deadline: now + Duration::from_secs(10),
            },
            is_repeat: false,
            may_wait: true,
            fingerprint: 7,
        };
        change(&mut request);
        let (reply, receiver) = oneshot::channel();
        self.state.handle(ControlCommand::Place { request: Box::new(request), reply }, now);
        receiver
    }

    /// Takes in what dropped grants have told.
    fn settle(&mut self, now: Duration) {
        while let Ok(command) = self.commands.try_recv() {
            self.state.handle(command, now);
        }
        self.state.tick(now);
    }
}

fn entry(index: usize) -> EndpointEntry {
    EndpointEntry {
        id: format!("engine-{index}").into(),
        incarnation: 1,
        service: "model".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "north".into(),
        slots: 2,
        phase: EndpointPhase::Ready,
        cold_until: Duration::ZERO,
    }
}

fn desired(version: u64) -> DesiredState {
    let engine = EngineModel {
        slots: 2,
        memory: 100_000,
        step_ms: 1.0,
        stream_ms: 0.0,
        context_ms: 0.0,
        prefill_rate: 200.0,
        attention_ms: 0.1,
        steps_per_event: 40,
    };
    let profile =
        ServiceProfile { cold_time: Duration::ZERO, cold_rate: 0.0, engine: Some(engine) };
    let services = BTreeMap::from([("model".into(), profile)]);
    DesiredState { version, services, ..DesiredState::default() }
}

fn news_of(records: Vec<RecordChange>) -> StoreNews {
    StoreNews { records, ..StoreNews::default() }
}

fn registry_news(registry: Vec<RegistryChange>) -> StoreNews {
    StoreNews { registry, ..StoreNews::default() }
}

fn granted(reply: &mut Reply) -> EndpointGrant {
    reply.try_recv().expect("an answer").expect("a grant")
}

#[test]
fn a_grant_that_nobody_takes_is_given_back() {
    let mut node = Node::with_engines(1);
    for _ in 0..20 {
        // The caller leaves at the same moment as the grant is made.
        drop(node.ask(1_000, NOW));
        let mut reply = node.ask(1_000, NOW);
        drop(granted(&mut reply));
        node.settle(NOW);
    }
    assert_eq!(node.state.board().work_items(NOW).count(), 0);
    assert_eq!(node.state.take_news(NOW).works.len(), 0);
}

#[test]
fn a_request_waits_for_a_place_and_gets_it() {
    let mut node = Node::with_engines(1);
    let mut first = node.ask(1_000, NOW);
    let mut second = node.ask(1_000, NOW);
    let held = (granted(&mut first), granted(&mut second));
    let mut third = node.ask(1_000, NOW);
    assert!(third.try_recv().is_err(), "both places are taken");
    assert_eq!(node.state.take_news(NOW).waits.len(), 1);
    drop(held);
    node.settle(NOW + Duration::from_millis(50));
    granted(&mut third);
}

#[test]
fn those_that_can_be_on_time_go_first() {
    let mut node = Node::with_engines(1);
    let (mut first, mut second) = (node.ask(1_000, NOW), node.ask(1_000, NOW));
    let (one, two) = (granted(&mut first), granted(&mut second));
    let mut old = node.ask(1_000, NOW);
    let later = NOW + Duration::from_millis(400);
    let mut young = node.ask(1_000, later);
    drop(one);
    node.settle(later);
    granted(&mut young);
    assert!(old.try_recv().is_err());
    drop(two);
    node.settle(later);
    granted(&mut old);
}

#[test]
fn a_short_request_that_finds_no_room_is_refused_in_time() {
    let mut node = Node::with_engines(1);
    let (mut first, mut second) = (node.ask(1_000, NOW), node.ask(1_000, NOW));
    let _held = (granted(&mut first), granted(&mut second));
    let mut third = node.ask(1_000, NOW);
    node.settle(NOW + Duration::from_millis(1_000));
    let refusal = third.try_recv().expect("an answer").expect_err("no room");
    assert!(refusal.retry_after > Duration::ZERO);
    let mut now_or_never = node.ask_with(1_000, NOW, |request| request.may_wait = false);
    now_or_never.try_recv().expect("an answer").expect_err("it may not wait");
}

#[test]
fn an_older_configuration_is_never_put_in_force() {
    let mut node = Node::with_engines(1);
    let apply = |node: &mut Node, version| {
        let record = RecordChange::Configuration(Box::new(desired(version)));
        node.state.apply(news_of(vec![record]), NOW).map(|desired| desired.version)
    };
    assert_eq!(apply(&mut node, 9), Some(9));
    assert_eq!(apply(&mut node, 8), None);
    assert_eq!(apply(&mut node, 9), None);
    let record = RecordChange::Configuration(Box::new(desired(5)));
    assert!(node.state.load(news_of(vec![record]), NOW).is_none());
}

#[test]
fn endpoints_may_announce_themselves_again_after_an_outage() {
    let mut node = Node::with_engines(2);
    assert!(node.state.lose_store());
    assert!(!node.state.lose_store(), "it is told once");
    let back = NOW + Duration::from_secs(5);
    node.state.load(news_of(vec![RecordChange::Endpoint(entry(0))]), back);
    assert_eq!(node.state.board().endpoints().count(), 2, "it may be back in a moment");
    let announced = RecordChange::Endpoint(entry(1));
    node.state.apply(news_of(vec![announced]), back + Duration::from_secs(1));
    node.settle(back + Duration::from_secs(4));
    assert_eq!(node.state.board().endpoints().count(), 2, "it is back");
    let gone = RecordChange::EndpointGone("engine-1".into());
    node.state.apply(news_of(vec![gone]), back + Duration::from_secs(4));
    assert_eq!(node.state.board().endpoints().count(), 1, "it left while the store was there");
}

#[test]
fn endpoints_that_stay_missing_after_an_outage_are_gone() {
    let mut node = Node::with_engines(2);
    node.state.lose_store();
    let back = NOW + Duration::from_secs(5);
    node.state.load(news_of(vec![RecordChange::Endpoint(entry(0))]), back);
    node.settle(back + Duration::from_secs(3));
    assert_eq!(node.state.board().endpoints().count(), 1);
}

#[test]
fn a_data_centre_that_is_back_is_seen_in_a_new_reading() {
    let mut node = Node::with_engines(1);
    node.state.apply(news_of(vec![RecordChange::CentreOut("north".into())]), NOW);
    assert!(node.state.board().is_evacuated("north"));
    node.state.load(news_of(vec![RecordChange::Endpoint(entry(0))]), NOW);
    assert!(!node.state.board().is_evacuated("north"));
}

#[test]
fn a_data_centre_that_lost_all_endpoints_is_seen_to_be_back_too() {
    let mut node = Node::with_engines(1);
    node.state.apply(news_of(vec![RecordChange::CentreOut("north".into())]), NOW);
    let gone = RecordChange::EndpointGone("engine-0".into());
    node.state.apply(news_of(vec![gone]), NOW);
    node.state.load(news_of(Vec::new()), NOW);
    assert!(!node.state.board().is_evacuated("north"));
    let announced = RecordChange::Endpoint(entry(0));
    node.state.apply(news_of(vec![announced]), NOW);
    granted(&mut node.ask(1_000, NOW));
}

#[test]
fn crashes_that_other_nodes_saw_condemn_a_request() {
    let mut node = Node::with_engines(1);
    let crashes =
        ["a", "b", "c"].map(|endpoint| CrashReport { fingerprint: 7, endpoint: endpoint.into() });
    node.state.learn(news("peer", 1, crashes.to_vec()), NOW);
    let refusal = node.ask(1_000, NOW).try_recv().expect("an answer").expect_err("condemned");
    assert_eq!(refusal.reason, "crashes endpoints");
    let mut other = node.ask_with(1_000, NOW, |request| request.fingerprint = 8);
    granted(&mut other);
}

/// Answers are lost now and then by endpoints that are well.
#[test]
fn a_broken_connection_alone_condemns_nobody() {
    let mut node = Node::with_engines(4);
    let crashed = |index: usize| ControlCommand::Crashed {
        fingerprint: 7,
        endpoint: format!("engine-{index}").into(),
    };
    for index in 0..3 {
        node.state.handle(crashed(index), NOW);
    }
    granted(&mut node.ask(1_000, NOW));
    node.settle(NOW);
    for index in 0..3 {
        let gone = RecordChange::EndpointGone(format!("engine-{index}").into());
        node.state.apply(news_of(vec![gone]), NOW);
    }
    let refusal = node.ask(1_000, NOW).try_recv().expect("an answer").expect_err("condemned");
    assert_eq!(refusal.reason, "crashes endpoints");
    assert_eq!(node.state.take_news(NOW).crashes.len(), 3);
}

#[test]
fn repeats_end_with_the_budget() {
    let mut node = Node::with_engines(1);
    let allowed = (0..50)
        .filter(|_| {
            let mut reply = node.ask_with(1_000, NOW, |request| request.is_repeat = true);
            let is_granted = matches!(reply.try_recv(), Ok(Ok(_)));
            node.settle(NOW);
            is_granted
        })
        .count();
    assert!((1..=10).contains(&allowed), "{allowed}");
}

#[test]
fn an_older_long_request_elsewhere_goes_first() {
    let mut node = Node::with_engines(4);
    let mut waits = news("peer", 1, Vec::new());
    waits.waits.push(WaitSnapshot { prompt: 30_000, age_ms: 500 });
    node.state.learn(waits, NOW);
    let mut long = node.ask_with(40_000, NOW, |request| {
        request.ask.target_latency = Duration::from_secs(3);
        request.ask.pause_limit = Duration::from_secs(1);
    });
    assert!(long.try_recv().is_err(), "the other node's request is older and smaller");
    node.state.learn(news("peer", 2, Vec::new()), NOW);
    node.settle(NOW);
    granted(&mut long);
}

#[test]
fn news_of_a_node_that_is_silent_is_forgotten() {
    let mut node = Node::with_engines(1);
    let mut peer = news("peer", 1, Vec::new());
    let mut reply = node.ask(1_000, NOW);
    let _grant = granted(&mut reply);
    peer.works = node.state.take_news(NOW).works;
    node.state.learn(peer.clone(), NOW);
    node.state.learn(peer, NOW);
    assert_eq!(node.state.board().work_items(NOW).count(), 2);
    node.settle(NOW + Duration::from_secs(5));
    assert_eq!(node.state.board().work_items(NOW + Duration::from_secs(5)).count(), 1);
}

#[test]
fn nodes_that_left_count_for_a_while() {
    let mut node = Node::new();
    let record = NodeRecord { address: ([127, 0, 0, 1], 9_100).into(), incarnation: 1 };
    let nodes = ["own", "peer"].map(|name| RegistryChange::Node(name.into(), record.clone()));
    node.state.load(registry_news(nodes.to_vec()), NOW);
    assert_eq!(node.state.registry().count(), 2);
    assert_eq!(node.state.registry().peers("own").count(), 1);
    node.state.apply(registry_news(vec![RegistryChange::NodeGone("peer".into())]), NOW);
    node.settle(NOW);
    assert_eq!(node.state.registry().count(), 2, "what it has used still counts");
    node.settle(NOW + Duration::from_secs(11));
    assert_eq!(node.state.registry().count(), 1);
}

#[test]
fn an_endpoint_that_cannot_be_reached_gets_no_work_for_a_while() {
    let mut node = Node::with_engines(2);
    let mut reply = node.ask(1_000, NOW);
    let mut grant = granted(&mut reply);
    let lost = grant.endpoint.clone();
    grant.guard.set_end(AttemptEnd::Unreachable);
    drop(grant);
    node.settle(NOW);
    for _ in 0..2 {
        let mut reply = node.ask(1_000, NOW);
        assert_ne!(granted(&mut reply).endpoint, lost);
        node.settle(NOW);
    }
}

fn news(node: &str, sequence: u64, crashes: Vec<CrashReport>) -> LoadSnapshot {
    LoadSnapshot {
        node: node.into(),
        incarnation: 1,
        sequence,
        works: Vec::new(),
        waits: Vec::new(),
        crashes,
    }
}
