//! Gateway nodes as processes that report usage: what callers see is what is reported, once.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

use apricotknot_standin::users_platform::DutyApiServer;
use apricotknot_standin::users_platform::DutyFault;
use apricotknot_standin::users_platform::EndpointFault;
use serde_json::Value;

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use gateway_fleet::Fleet;
use gateway_fleet::LEASE_TIME;
use gateway_fleet::Node;
use gateway_fleet::lookup_request;
use gateway_fleet::order_request;
use gateway_fleet::send_request;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Time in which reports on all earlier requests have arrived while nothing fails.
const REPORT_TIME: Duration = Duration::from_secs(3);

fn api(fleet: &Fleet) -> &DutyApiServer {
    fleet.duty_api.as_ref().expect("an API")
}

/// Returns the requests of the client account in the accepted reports on all windows.
fn reported_requests(fleet: &Fleet) -> u64 {
    let calls = api(fleet).calls();
    let accepted = calls.iter().filter(|call| call.path == "/usage" && call.status == 200);
    let windows: BTreeMap<u64, u64> = accepted
        .map(|call| {
            let requests = call.body["counts"]["office"].as_u64().unwrap_or(0);
            (call.body["window"].as_u64().expect("a window"), requests)
        })
        .collect();
    windows.values().sum()
}

/// Waits until a node reports usage, and returns its index.
fn wait_for_reporter(fleet: &Fleet) -> usize {
    let mut holder = None;
    wait_until("usage is reported", || {
        let calls = api(fleet).calls();
        holder = calls.iter().rfind(|call| call.path == "/usage").map(|call| call.holder.clone());
        holder.is_some()
    });
    let name = holder.expect("a holder");
    name.strip_prefix("node-").and_then(|index| index.parse().ok()).expect("an index")
}

/// Sends a call of each kind to a node; each runs once.
fn send_calls(node: &Node, name: &str) {
    let stream = stream_request(&format!("stream-{name}"), 1_000);
    let order = order_request(&format!("order-{name}"));
    for request in [stream, order, lookup_request(&format!("lookup-{name}"))] {
        wait_until("the call is answered", || {
            let status = node.send(&request).status;
            // On a busy machine a node may refuse calls, truly not run, until it has read the store.
            assert!([200, 503].contains(&status), "{status} for {request}");
            status == 200
        });
    }
}

/// Returns the requests in the windows that a node has closed.
fn closed_requests(node: &Node) -> u64 {
    let lines = node.log_lines();
    let closed = lines.iter().filter(|line| line["msg"] == "usage: window closed");
    closed.map(|line| line["requests"].as_u64().expect("a number")).sum()
}

// Guards against requests that are not counted, counted twice, or counted though they did not run.
#[test]
fn calls_through_all_nodes_are_reported_once() {
    let fleet = Fleet::start_with_duties("usage-all", 3);
    wait_for_reporter(&fleet);
    for (index, node) in fleet.nodes.iter().enumerate() {
        send_calls(node, &index.to_string());
    }
    fleet.set_plain_fault(EndpointFault::Full);
    assert_eq!(fleet.nodes[0].send(&order_request("refused")).status, 503);
    fleet.set_plain_fault(EndpointFault::DropAnswer);
    assert_eq!(fleet.nodes[1].send(&order_request("lost")).status, 502);
    fleet.set_plain_fault(EndpointFault::None);
    wait_until("all requests are reported", || reported_requests(&fleet) >= 10);
    sleep(REPORT_TIME);
    assert_eq!(reported_requests(&fleet), 10);
    assert_eq!(api(&fleet).violations(LEASE_TIME), Vec::<String>::new());
}

// Guards against a second, different report, and against none.
#[test]
fn successor_reports_what_a_killed_holder_has_decided() {
    let fleet = Fleet::start_with_duties("usage-kill", 3);
    let holder = wait_for_reporter(&fleet);
    api(&fleet).set_fault(DutyFault::Status(500));
    let others: Vec<usize> = (0..3).filter(|index| *index != holder).collect();
    for index in &others {
        send_calls(&fleet.nodes[*index], &index.to_string());
    }
    wait_until("the windows are closed", || closed_requests(&fleet.nodes[holder]) == 6);
    assert_eq!(reported_requests(&fleet), 0);
    fleet.nodes[holder].signal("-KILL");
    api(&fleet).set_fault(DutyFault::None);
    wait_until("another node has reported them", || reported_requests(&fleet) == 6);
    sleep(REPORT_TIME);
    assert_eq!(reported_requests(&fleet), 6);
    assert_eq!(api(&fleet).violations(LEASE_TIME), Vec::<String>::new());
}

// Guards against a report that is sent again with other counts, or that the platform gets late only.
#[test]
fn calls_that_are_carried_out_late_change_nothing() {
    let fleet = Fleet::start_with_duties("usage-late", 3);
    wait_for_reporter(&fleet);
    api(&fleet).set_fault(DutyFault::Late(Duration::from_secs(2)));
    send_calls(&fleet.nodes[0], "late");
    sleep(REPORT_TIME);
    send_calls(&fleet.nodes[1], "later");
    api(&fleet).set_fault(DutyFault::None);
    wait_until("all requests are reported", || reported_requests(&fleet) == 6);
    sleep(REPORT_TIME);
    assert_eq!(reported_requests(&fleet), 6);
    assert_eq!(api(&fleet).violations(LEASE_TIME), Vec::<String>::new());
}

#[test]
fn operators_see_the_last_windows() {
    let fleet = Fleet::start_with_duties("usage-status", 2);
    wait_for_reporter(&fleet);
    let usage = |node: &Node| -> Value {
        let answer =
            send_request(node.operations_address, "GET /usage HTTP/1.1\r\nhost: node\r\n\r\n");
        serde_json::from_str(&answer.body).unwrap_or_default()
    };
    for node in &fleet.nodes {
        wait_until("the node shows a window", || usage(node)["windows"][0]["window"].is_u64());
        assert_eq!(usage(node)["clocks"], 2);
    }
    let plain = Fleet::start("usage-none", 1);
    assert_eq!(usage(&plain.nodes[0]), Value::Null);
}
