//! Gateway nodes as processes, in front of endpoints that ask for a backoff or say that they leave.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::EndpointServer;

use gateway_fleet::Answer;
use gateway_fleet::Fleet;
use gateway_fleet::lookup_request;
use gateway_fleet::order_request;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Time after the first refusal from which a backoff is kept.
const LEARNING_TIME: Duration = Duration::from_millis(500);

/// Time after an endpoint says that it leaves from which it gets nothing.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Requests that a node may send to an endpoint during its backoff.
const ALLOWED: usize = 2;

/// Sends requests of all kinds to all nodes for `length`, two at a time to each; returns the answers.
fn send_load(fleet: &Fleet, name: &str, length: Duration) -> Vec<Answer> {
    let end = Instant::now() + length;
    let call = |node: usize, caller: usize| {
        let mut answers = Vec::new();
        for round in 0.. {
            if Instant::now() >= end {
                break;
            }
            let id = format!("{name}-{node}-{caller}-{round}");
            answers.push(fleet.nodes[node].send(&match round % 3 {
                0 => stream_request(&id, 1_000),
                1 => order_request(&id),
                _ => lookup_request(&id),
            }));
            sleep(Duration::from_millis(5));
        }
        answers
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..fleet.nodes.len())
            .flat_map(|node| [(node, 0), (node, 1)])
            .map(|(node, caller)| scope.spawn(move || call(node, caller)))
            .collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    })
}

/// Returns how many requests arrived at `endpoint` in a span of time that began at `since`.
fn arrivals_between(endpoint: &EndpointServer, since: Instant, until: Instant) -> usize {
    endpoint.arrivals().iter().filter(|arrival| **arrival >= since && **arrival < until).count()
}

#[test]
fn endpoint_that_asks_for_a_backoff_gets_no_more_than_two_requests_from_each_node() {
    let fleet = Fleet::start("backoff", 2);
    for endpoint in [&fleet.engines[0], &fleet.plain_endpoints[0]] {
        endpoint.set_retry_after(Some("3"));
    }
    let began = Instant::now();
    let answers = send_load(&fleet, "backoff", Duration::from_millis(2_800));
    for endpoint in [&fleet.engines[0], &fleet.plain_endpoints[0]] {
        let refused = endpoint.arrivals();
        assert!(!refused.is_empty(), "the endpoint was asked");
        let late = arrivals_between(endpoint, began + LEARNING_TIME * 2, began + 5 * DRAIN_TIME);
        let allowed = ALLOWED * fleet.nodes.len();
        assert!(late <= allowed, "{late} requests during the backoff, {allowed} allowed");
    }
    let failed: Vec<&Answer> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(failed.is_empty(), "the other endpoints serve: {failed:?}");
    for (first, other) in [(&fleet.engines[0], &fleet.engines[1]), desks(&fleet)] {
        first.set_retry_after(None);
        other.set_retry_after(Some("3"));
    }
    for (first, _) in [(&fleet.engines[0], &fleet.engines[1]), desks(&fleet)] {
        wait_until("the endpoint is used again after its backoff", || {
            send_load(&fleet, "after", Duration::from_millis(100));
            !first.executions().is_empty()
        });
    }
}

fn desks(fleet: &Fleet) -> (&EndpointServer, &EndpointServer) {
    (&fleet.plain_endpoints[0], &fleet.plain_endpoints[1])
}

#[test]
fn callers_hear_at_once_when_all_endpoints_ask_for_a_backoff() {
    let fleet = Fleet::start("all-backoff", 1);
    for endpoint in fleet.engines.iter().chain(&fleet.plain_endpoints) {
        endpoint.set_retry_after(Some("2.5"));
    }
    let node = &fleet.nodes[0];
    for id in ["first", "second"] {
        node.send(&order_request(id));
        node.send(&stream_request(id, 1_000));
    }
    let before: usize = fleet.engines.iter().map(|engine| engine.arrivals().len()).sum();
    let refusals: Vec<Answer> =
        (0..8).map(|number| node.send(&stream_request(&format!("all-{number}"), 1_000))).collect();
    let after: usize = fleet.engines.iter().map(|engine| engine.arrivals().len()).sum();
    assert_eq!(after, before, "no endpoint is asked");
    let mut delays = Vec::new();
    for refusal in &refusals {
        assert_eq!(refusal.status, 503, "{refusal:?}");
        assert!(refusal.body.contains("\"executed\":\"no\""), "{refusal:?}");
        let delay = refusal.head.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let delay: f64 = delay.and_then(|text| text.trim().parse().ok()).expect("a retry delay");
        assert!((0.1..=10.0).contains(&delay), "{refusal:?}");
        delays.push(delay);
    }
    let first = delays[0];
    assert!(delays.iter().any(|delay| (delay - first).abs() > 0.05), "one moment: {delays:?}");
}

#[test]
fn endpoint_that_says_in_its_answers_that_it_leaves_gets_nothing_more() {
    let fleet = Fleet::start("leaving", 2);
    fleet.engines[0].set_leaving(true);
    fleet.plain_endpoints[0].set_leaving(true);
    send_load(&fleet, "leaving", DRAIN_TIME + Duration::from_millis(200));
    let drained = Instant::now();
    let answers = send_load(&fleet, "left", Duration::from_secs(1));
    for endpoint in [&fleet.engines[0], &fleet.plain_endpoints[0]] {
        assert!(!endpoint.arrivals().is_empty(), "the endpoint was asked");
        assert_eq!(arrivals_between(endpoint, drained, Instant::now()), 0);
    }
    assert!(answers.iter().all(|answer| answer.status == 200), "the other endpoints serve");
}
