//! Gateway nodes as processes that hold duties: killed, frozen and stopped holders.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

use apricotknot_core::duty::DutyKind;
use serde_json::Value;

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use gateway_fleet::Fleet;
use gateway_fleet::LEASE_TIME;
use gateway_fleet::Node;
use gateway_fleet::send_request;
use gateway_fleet::wait_until;

/// Returns what a node knows about a duty.
fn status(node: &Node, kind: DutyKind) -> Value {
    let request = "GET /duties HTTP/1.1\r\nhost: node\r\n\r\n";
    let body = send_request(node.operations_address, request).body;
    let duties: Vec<Value> = serde_json::from_str(&body).unwrap_or_default();
    duties.into_iter().find(|duty| duty["duty"] == kind.name()).unwrap_or_default()
}

/// Waits until one of `nodes` acts; returns its index and its fencing number.
fn wait_for_holder(fleet: &Fleet, nodes: &[usize], kind: DutyKind) -> (usize, u64) {
    let mut found = None;
    wait_until("a node acts", || {
        found = nodes.iter().find_map(|index| {
            let status = status(&fleet.nodes[*index], kind);
            let fence = status["fence"].as_u64().filter(|_| status["acts_here"] == true)?;
            Some((*index, fence))
        });
        found.is_some()
    });
    found.expect("a holder")
}

fn has_ended_term(node: &Node, fence: u64) -> bool {
    let is_end = |line: &Value| {
        line["msg"].as_str().is_some_and(|text| text.starts_with("duty: term over"))
            && line["fence"] == fence
    };
    node.log_lines().iter().any(is_end)
}

fn others_than(holder: usize) -> Vec<usize> {
    (0..3).filter(|index| *index != holder).collect()
}

/// Waits until a holder whose number is at least `fence` reports usage, and checks all calls so far.
fn check_calls(fleet: &Fleet, fence: u64) {
    let api = fleet.duty_api.as_ref().expect("an API");
    wait_until("usage is reported", || {
        api.calls().iter().any(|call| call.path == "/usage" && call.fence >= fence)
    });
    assert_eq!(api.violations(LEASE_TIME), Vec::<String>::new());
}

// Guards against a duty that nobody performs, or under a number that the platform refuses.
#[test]
fn a_killed_holder_is_followed_under_a_larger_number() {
    let mut fleet = Fleet::start_with_duties("duty-kill", 3);
    let mut last_fence = 0;
    for kind in DutyKind::ALL {
        let (holder, fence) = wait_for_holder(&fleet, &[0, 1, 2], kind);
        fleet.nodes[holder].restart();
        // The new process may be the one that follows.
        let (next, next_fence) = wait_for_holder(&fleet, &[0, 1, 2], kind);
        assert!(next_fence > fence, "node-{next} acts under {next_fence}, after {fence}");
        wait_until("the node is ready again", || fleet.nodes[holder].is_ready());
        last_fence = next_fence;
    }
    check_calls(&fleet, last_fence);
}

// Guards against a holder that goes on where it was suspended, beside its successor.
#[test]
fn a_frozen_holder_wakes_up_without_its_term() {
    let fleet = Fleet::start_with_duties("duty-freeze", 3);
    let (holder, fence) = wait_for_holder(&fleet, &[0, 1, 2], DutyKind::UsageReport);
    fleet.nodes[holder].signal("-STOP");
    let others = others_than(holder);
    let (_, next_fence) = wait_for_holder(&fleet, &others, DutyKind::UsageReport);
    fleet.nodes[holder].signal("-CONT");
    wait_until("the frozen node ends its term", || has_ended_term(&fleet.nodes[holder], fence));
    let (_, later_fence) = wait_for_holder(&fleet, &others, DutyKind::UsageReport);
    assert_eq!(later_fence, next_fence, "the successor keeps the duty");
    check_calls(&fleet, next_fence);
}

// Guards against a planned stop after which the lease has to end first.
#[test]
fn a_stopping_holder_marks_its_record_as_released() {
    let mut fleet = Fleet::start_with_duties("duty-stop", 3);
    let kind = DutyKind::Autoscale;
    let (holder, fence) = wait_for_holder(&fleet, &[0, 1, 2], kind);
    fleet.nodes[holder].signal("-TERM");
    wait_until("the term ends", || has_ended_term(&fleet.nodes[holder], fence));
    let (_, next_fence) = wait_for_holder(&fleet, &others_than(holder), kind);
    assert!(next_fence > fence);
    let lines = fleet.nodes[holder].log_lines();
    let causes: Vec<_> = lines.iter().filter(|line| line["fence"] == fence).collect();
    assert!(causes.iter().any(|line| line["cause"] == "node stops"), "{causes:?}");
    fleet.nodes[holder].wait_for_exit();
    check_calls(&fleet, 1);
}

#[test]
fn a_store_that_came_back_from_a_copy_gets_a_holder_with_a_larger_number() {
    let fleet = Fleet::start_with_duties("duty-copy", 3);
    let empty = fleet.store.copy().without("apricotknot/duties");
    let (_, fence) = wait_for_holder(&fleet, &[0, 1, 2], DutyKind::UsageReport);
    fleet.store.restore(empty);
    let mut next = fence;
    wait_until("a node acts in the new era", || {
        next = wait_for_holder(&fleet, &[0, 1, 2], DutyKind::UsageReport).1;
        next != fence
    });
    assert!(next > fence, "{next} after {fence}");
    check_calls(&fleet, next);
}

#[test]
fn a_deployment_without_duties_writes_no_record_of_them() {
    let fleet = Fleet::start("duty-none", 2);
    // Longer than the time in which nodes that have duties take them.
    std::thread::sleep(2 * LEASE_TIME);
    assert_eq!(fleet.store.keys("apricotknot/duties"), Vec::<String>::new());
    for node in &fleet.nodes {
        assert_eq!(status(node, DutyKind::UsageReport), Value::Null);
    }
    assert_eq!(fleet.store.granted_leases(), 2, "each node announces itself, and no more");
}
