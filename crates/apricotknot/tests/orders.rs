//! Non-repeatable orders through real processes, while nodes, services or the store fail.

#![allow(clippy::expect_used, clippy::unwrap_used)]

#[path = "support/order_log.rs"]
mod order_log;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use apricotknot_standin::fleet::FleetClient;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::ProcessSignal;
use serde_json::json;

use order_log::OrderCounts;
use order_log::OrderLog;
use order_log::ReportedOutcome;

async fn start_fleet() -> FleetHarness {
    let settings =
        FleetSettings::default().nodes(3).plain_services(2).non_repeatable_path("/orders");
    FleetHarness::start(settings).await.unwrap()
}

fn caller_addresses(fleet: &FleetHarness) -> Vec<SocketAddr> {
    fleet.nodes.iter().map(|node| node.callers).collect()
}

/// Sets the time that each plain service takes for an answer.
async fn delay_services(fleet: &FleetHarness, milliseconds: u64) {
    for service in &fleet.plain {
        let fault = json!({"delay_ms": milliseconds});
        fleet.set_fault(service.address, &fault).await.unwrap();
    }
}

/// Asserts that no order ran twice, ran despite a refusal, or got a wrong answer.
fn assert_safe(counts: OrderCounts) {
    assert_eq!(counts.executed_twice, 0);
    assert_eq!(counts.refused_but_executed, 0);
    assert_eq!(counts.wrong_answers, 0);
    assert_eq!(counts.sent, counts.answered + counts.refused + counts.unknown);
}

#[actix_rt::test]
async fn order_resent_through_all_nodes_runs_once() {
    let fleet = start_fleet().await;
    let nodes = caller_addresses(&fleet);
    let log = OrderLog::default();
    for _ in 0..3 {
        log.send_all(&fleet.client, &nodes, "order", 100).await;
    }
    // Until the answers are recorded, other nodes report the outcome of a resent order as unknown.
    for rotation in 0..3 {
        let mut rotated = nodes.clone();
        rotated.rotate_left(rotation);
        log.send_all(&fleet.client, &rotated, "order", 100).await;
    }
    let counts = log.summarize("resent through all nodes", &fleet).await;
    assert_safe(counts);
    assert_eq!((counts.answered, counts.executed), (100, 100));
    let metrics = fleet.client.get(fleet.nodes[0].operators, "/metrics").await.unwrap();
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains("apricotknot_ledger_store_total{kind=\"write\"}"), "{metrics}");
}

#[actix_rt::test]
async fn different_request_with_the_same_key_is_refused() {
    let fleet = start_fleet().await;
    let headers = [("authorization", "Bearer clerk-key"), ("idempotency-key", "same")];
    let node = fleet.nodes[0].callers;
    let other = fleet.nodes[1].callers;
    let first = fleet.client.post(node, "/booking/orders", &headers, &json!({"n": 1})).await;
    assert_eq!(first.unwrap().status, 200);
    let second = fleet.client.post(other, "/booking/orders", &headers, &json!({"n": 2})).await;
    let second = second.unwrap();
    assert_eq!(second.status, 422);
    assert_eq!(second.json()["error"]["code"], "idempotency_key_reused");
    assert_eq!(second.header("x-executed"), Some("no"));
}

#[actix_rt::test]
async fn killed_node_causes_no_duplicate_orders() {
    let mut fleet = start_fleet().await;
    let nodes = caller_addresses(&fleet);
    delay_services(&fleet, 200).await;
    let log = OrderLog::default();
    let in_flight = {
        let (log, client, nodes) = (log.clone(), fleet.client.clone(), nodes.clone());
        actix_rt::spawn(async move { log.send_all(&client, &nodes, "order", 120).await })
    };
    actix_rt::time::sleep(Duration::from_millis(250)).await;
    fleet.nodes[0].process.signal(ProcessSignal::Kill);
    in_flight.await.unwrap();
    delay_services(&fleet, 0).await;
    let mut counts = OrderCounts::default();
    for _ in 0..20 {
        log.send_all(&fleet.client, &nodes[1..], "order", 120).await;
        counts = log.summarize("node killed during orders", &fleet).await;
        assert_safe(counts);
        if counts.answered >= 80 {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(counts.answered >= 80, "orders sent to the running nodes are answered");
}

#[actix_rt::test]
async fn frozen_node_sends_no_order_after_its_permit_expires() {
    let mut fleet = start_fleet().await;
    let nodes = caller_addresses(&fleet);
    // Reads end after 200 ms and writes after 400 ms, so that the writes are in progress at 300 ms.
    fleet.set_fault(fleet.store.address, &json!({"mode": "slow", "delay_ms": 200})).await.unwrap();
    let log = OrderLog::default();
    let in_flight = {
        let (log, client) = (log.clone(), fleet.client.clone());
        let frozen = [nodes[0]];
        actix_rt::spawn(async move { log.send_all(&client, &frozen, "order", 200).await })
    };
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fleet.nodes[0].process.signal(ProcessSignal::Stop);
    fleet.set_fault(fleet.store.address, &json!({"mode": "none"})).await.unwrap();
    for _ in 0..2 {
        log.send_all(&fleet.client, &nodes[1..], "order", 200).await;
    }
    // Longer than a permit to send is valid.
    actix_rt::time::sleep(Duration::from_millis(5_500)).await;
    fleet.nodes[0].process.signal(ProcessSignal::Continue);
    in_flight.await.unwrap();
    for _ in 0..2 {
        log.send_all(&fleet.client, &nodes, "order", 200).await;
    }
    let counts = log.summarize("node frozen for 5.5 s", &fleet).await;
    assert_safe(counts);
}

#[actix_rt::test]
async fn lost_store_answers_cause_no_duplicate_orders() {
    let fleet = start_fleet().await;
    let nodes = caller_addresses(&fleet);
    let log = OrderLog::default();
    for round in 0..4 {
        let fault = json!({"mode": "lose_write_answers", "count": 6});
        fleet.set_fault(fleet.store.address, &fault).await.unwrap();
        log.send_all(&fleet.client, &nodes, &format!("order-{round}"), 60).await;
    }
    fleet.set_fault(fleet.store.address, &json!({"mode": "none"})).await.unwrap();
    let counts = log.summarize("store loses answers to writes", &fleet).await;
    assert_safe(counts);
    for round in 0..4 {
        for _ in 0..2 {
            log.send_all(&fleet.client, &nodes, &format!("order-{round}"), 60).await;
        }
    }
    let counts = log.summarize("all orders sent again", &fleet).await;
    assert_safe(counts);
    assert_eq!((counts.answered, counts.executed), (240, 240));
}

#[actix_rt::test]
async fn orders_are_refused_while_the_store_is_down_and_run_afterwards() {
    let fleet = start_fleet().await;
    let nodes = caller_addresses(&fleet);
    let log = OrderLog::default();
    fleet.set_fault(fleet.store.address, &json!({"mode": "down"})).await.unwrap();
    log.send_all(&fleet.client, &nodes, "order", 60).await;
    let counts = log.summarize("store down", &fleet).await;
    assert_safe(counts);
    assert_eq!((counts.refused, counts.executed), (60, 0));
    fleet.set_fault(fleet.store.address, &json!({"mode": "none"})).await.unwrap();
    let client = &fleet.client;
    let mut reported = ReportedOutcome::Refused;
    for _ in 0..200 {
        reported = log.send(client, nodes[0], "order-0").await;
        if reported == ReportedOutcome::Answered {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        reported,
        ReportedOutcome::Answered,
        "orders run again once the store is reachable again"
    );
    assert_safe(log.summarize("store reachable again", &fleet).await);
}

#[actix_rt::test]
async fn late_answer_is_recorded_and_the_order_is_not_repeated() {
    let fleet = start_fleet().await;
    delay_services(&fleet, 600).await;
    let headers = [
        ("authorization", "Bearer clerk-key"),
        ("idempotency-key", "late"),
        ("x-request-timeout-ms", "300"),
    ];
    let body = json!({"order": "late"});
    let mut codes = Vec::new();
    for node in caller_addresses(&fleet) {
        let answer = fleet.client.post(node, "/booking/orders", &headers, &body).await.unwrap();
        assert_eq!(answer.header("x-executed"), Some("unknown"));
        codes.push(answer.json()["error"]["code"].clone());
    }
    assert_eq!(codes[0], "deadline_exceeded");
    assert_eq!(codes[1..], ["idempotency_outcome_unknown", "idempotency_outcome_unknown"]);
    // The answer that arrives too late for its caller is recorded and replayed when the order is
    // sent again.
    let mut reported = Vec::new();
    for _ in 0..100 {
        let node = fleet.nodes[1].callers;
        let answer = fleet.client.post(node, "/booking/orders", &headers, &body).await.unwrap();
        reported.push(answer.status);
        if answer.status == 200 {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(reported.last(), Some(&200));
    let mut executed = 0;
    for service in &fleet.plain {
        let report = fleet.client.get(service.address, "/standin/executions").await.unwrap();
        executed += report.json()["executed"].as_u64().unwrap();
    }
    assert_eq!(executed, 1);
}

#[actix_rt::test]
async fn rolling_replacement_aborts_loses_and_duplicates_no_order() {
    let mut fleet = start_fleet().await;
    delay_services(&fleet, 50).await;
    let log = OrderLog::default();
    let is_running = Rc::new(Cell::new(true));
    let mut tasks = Vec::new();
    for caller in 0..8 {
        let (log, client, is_running) = (log.clone(), fleet.client.clone(), is_running.clone());
        let nodes: Vec<_> = fleet.nodes.iter().map(|node| (node.callers, node.operators)).collect();
        tasks.push(actix_rt::spawn(async move {
            let mut number = 0;
            while is_running.get() {
                let key = format!("order-{caller}-{number}");
                let node = ready_node(&client, &nodes, caller + number).await;
                log.send(&client, node, &key).await;
                number += 1;
            }
        }));
    }
    for index in 0..fleet.nodes.len() {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        fleet.nodes[index].process.signal(ProcessSignal::Terminate);
        let status = loop {
            match fleet.nodes[index].process.exit_status() {
                Some(status) => break status,
                None => actix_rt::time::sleep(Duration::from_millis(10)).await,
            }
        };
        assert!(status.success(), "node {index} aborted requests: {}", fleet.node_log_tail(index));
        fleet.restart_node(index).unwrap();
        fleet.wait_ready(index).await.unwrap();
    }
    is_running.set(false);
    for task in tasks {
        task.await.unwrap();
    }
    let counts = log.summarize("rolling replacement", &fleet).await;
    assert_safe(counts);
    assert_eq!((counts.unknown, counts.refused), (0, 0));
    assert_eq!(counts.answered, counts.executed);
}

/// Returns a node whose readiness check succeeds, as the platform's balancer would choose it.
async fn ready_node(
    client: &FleetClient,
    nodes: &[(SocketAddr, SocketAddr)],
    first: usize,
) -> SocketAddr {
    for turn in first.. {
        let (callers, operators) = nodes[turn % nodes.len()];
        if client.get(operators, "/readyz").await.is_ok_and(|answer| answer.status == 200) {
            return callers;
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    nodes[0].0
}

#[actix_rt::test]
async fn order_without_a_key_is_sent_at_most_once() {
    let fleet = start_fleet().await;
    for service in &fleet.plain {
        fleet.set_fault(service.address, &json!({"drop_every": 1})).await.unwrap();
    }
    let headers = FleetHarness::account_headers();
    let node = fleet.nodes[0].callers;
    let body = json!({"n": 1});
    let answer = fleet.client.post(node, "/booking/orders", &headers, &body).await.unwrap();
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("x-executed"), Some("unknown"));
    let mut executed = 0;
    for service in &fleet.plain {
        let report = fleet.client.get(service.address, "/standin/executions").await.unwrap();
        executed += report.json()["executed"].as_u64().unwrap();
    }
    assert_eq!(executed, 1);
}
