//! Fleets of six node processes: a node paused beyond its lease, killed nodes, and a drain during
//! an outage of the key-value service.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::ProcessSignal;
use apricotknot_standin::fleet::chat_body;
use apricotknot_standin::fleet::eventually;
use serde_json::Value;
use serde_json::json;

const NODES: usize = 6;

/// Time within which new work for a drained data centre must stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

const MODEL: &str = "standin";

const CHAT: &str = "/v1/chat/completions";

async fn start() -> FleetHarness {
    let plan = EnginePlan::default().option("--step-ms", 1);
    let settings =
        FleetSettings::default().nodes(NODES).engine(plan.clone()).engine(plan.data_centre("dc-2"));
    let fleet = FleetHarness::start(settings).await.unwrap();
    // A node knows itself before it is in the member list, so every node must know all others.
    for node in 0..NODES {
        assert!(
            eventually(async || nodes_in_force(&fleet, node).await == NODES).await,
            "node {node}"
        );
    }
    fleet
}

async fn status(fleet: &FleetHarness, node: usize) -> Value {
    let headers = FleetHarness::operator_headers();
    let address = fleet.nodes[node].operators;
    let call = fleet.client.call(Method::GET, address, "/api/v1/status", &headers, Vec::new());
    call.await.map(|answer| answer.json()).unwrap_or_default()
}

/// Returns the number of nodes on which the newest revision is in force, as `node` reports it.
async fn nodes_in_force(fleet: &FleetHarness, node: usize) -> usize {
    let status = status(fleet, node).await;
    let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
    nodes.iter().filter(|entry| entry["revision"] == status["revision"]).count()
}

/// Returns the entry of `other` in the status of `node`, if it is listed there.
async fn entry_of(fleet: &FleetHarness, node: usize, other: usize) -> Option<Value> {
    let status = status(fleet, node).await;
    let nodes = status["nodes"].as_array()?;
    nodes.iter().find(|entry| entry["node"] == fleet.nodes[other].name.as_str()).cloned()
}

/// Returns whether `node` reports that `other` has left, or does not list it.
async fn is_marked_left(fleet: &FleetHarness, node: usize, other: usize) -> bool {
    let entry = entry_of(fleet, node, other).await;
    entry.is_none_or(|entry| entry["reason"].as_str().is_some_and(|text| text.contains("left")))
}

async fn post_order(fleet: &FleetHarness, node: usize, path: &str) -> (u16, Value) {
    let headers = FleetHarness::operator_headers();
    let address = fleet.nodes[node].operators;
    let answer = fleet.client.post(address, path, &headers, &json!({})).await.unwrap();
    (answer.status, answer.json())
}

async fn prompt(fleet: &FleetHarness, node: usize) -> u16 {
    let body = chat_body(MODEL, "a short question", 4, false);
    let headers = FleetHarness::account_headers();
    let call = fleet.client.post(fleet.nodes[node].callers, CHAT, &headers, &body);
    call.await.map_or(0, |answer| answer.status)
}

#[actix_rt::test]
async fn paused_node_is_marked_left_and_catches_up_after_resuming() {
    let mut fleet = start().await;
    fleet.nodes[5].process.signal(ProcessSignal::Stop);
    let paused = Instant::now();
    assert!(eventually(async || is_marked_left(&fleet, 0, 5).await).await);
    println!("a paused node is marked as left after {:?}", paused.elapsed());
    let drained = Instant::now();
    let (code, answer) = post_order(&fleet, 1, "/api/v1/data-centre/dc-2/drain").await;
    assert_eq!(code, 200);
    let revision = answer["revision"].as_u64().unwrap();
    let has_revision =
        async |node: usize| status(&fleet, node).await["revision"].as_u64() >= Some(revision);
    assert!(
        eventually(async || has_revision(0).await && nodes_in_force(&fleet, 0).await == NODES - 1)
            .await
    );
    println!("a drain is in force on all running nodes after {:?}", drained.elapsed());
    fleet.nodes[5].process.signal(ProcessSignal::Continue);
    let resumed = Instant::now();
    assert!(eventually(async || nodes_in_force(&fleet, 0).await == NODES).await);
    assert!(status(&fleet, 5).await["revision"].as_u64() >= Some(revision));
    println!("the resumed node has it in force after {:?}", resumed.elapsed());
    assert!(eventually(async || prompt(&fleet, 5).await == 200).await);
    assert!(fleet.node_log_tail(5).contains("node was paused"));
}

#[actix_rt::test]
async fn killed_nodes_are_marked_left_and_rejoin_after_restart() {
    let mut fleet = start().await;
    for index in [3, 4] {
        fleet.nodes[index].process.signal(ProcessSignal::Kill);
    }
    let killed = Instant::now();
    assert!(
        eventually(
            async || is_marked_left(&fleet, 0, 3).await && is_marked_left(&fleet, 0, 4).await
        )
        .await
    );
    println!("two killed nodes are marked as left after {:?}", killed.elapsed());
    for index in 0..3 {
        assert!(eventually(async || prompt(&fleet, index).await == 200).await, "node {index}");
    }
    for index in [3, 4] {
        fleet.restart_node(index).unwrap();
    }
    let restarted = Instant::now();
    assert!(eventually(async || nodes_in_force(&fleet, 0).await == NODES).await);
    println!("the restarted nodes have rejoined after {:?}", restarted.elapsed());
}

/// Returns the number of requests that engine `index` has finished.
async fn finished(fleet: &FleetHarness, index: usize) -> u64 {
    fleet.engine_stats(index).await.unwrap()["finished"].as_u64().unwrap()
}

#[actix_rt::test]
async fn drain_during_a_store_outage_holds_on_running_and_starting_nodes() {
    let mut fleet = start().await;
    fleet.nodes[4].process.signal(ProcessSignal::Kill);
    fleet.set_fault(fleet.store.address, &json!({"mode": "down"})).await.unwrap();
    let (code, answer) = post_order(&fleet, 0, "/api/v1/data-centre/dc-2/drain").await;
    assert_eq!((code, &answer["durable"]), (202, &json!(false)), "{answer}");
    let drained = Instant::now();
    let mut last_work = Duration::ZERO;
    let mut seen = finished(&fleet, 1).await;
    while drained.elapsed() < DRAIN_LIMIT {
        for index in [0, 1, 2, 3, 5] {
            prompt(&fleet, index).await;
        }
        let now = finished(&fleet, 1).await;
        if now > seen {
            (seen, last_work) = (now, drained.elapsed());
        }
    }
    println!("a drain without the store: last new work after {last_work:?}");
    fleet.restart_node(4).unwrap();
    let restarted = Instant::now();
    assert!(
        eventually(async || prompt(&fleet, 4).await == 200).await,
        "{}",
        fleet.node_log_tail(4)
    );
    println!("a node that started without the store serves after {:?}", restarted.elapsed());
    let others = finished(&fleet, 0).await;
    for number in 0..60 {
        let index = number % NODES;
        assert_eq!(prompt(&fleet, index).await, 200, "{}", fleet.node_log_tail(index));
    }
    assert_eq!(finished(&fleet, 1).await, seen, "no new work for the drained data centre");
    assert_eq!(finished(&fleet, 0).await, others + 60);
    let is_in_force = eventually(async || nodes_in_force(&fleet, 4).await == NODES).await;
    assert!(is_in_force, "{:#}", status(&fleet, 4).await);
}
