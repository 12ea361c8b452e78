//! Planned stops of gateway nodes as processes, with calls that outlast the time to stop.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use apricotknot_standin::users_platform::EndpointFault;

use gateway_fleet::Fleet;
use gateway_fleet::lookup_request;
use gateway_fleet::order_request;
use gateway_fleet::read_answer;
use gateway_fleet::wait_until;

fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.nodes[0].caller_address).expect("a connection")
}

#[test]
fn call_that_is_not_answered_in_the_time_to_stop_gets_an_answer() {
    let mut fleet = Fleet::start("unanswered", 1);
    fleet.set_plain_fault(EndpointFault::Silent);
    let mut order = connect(&fleet);
    order.write_all(order_request("order").as_bytes()).expect("the request is sent");
    wait_until("an endpoint runs the call", || fleet.plain_runs().len() == 1);
    fleet.nodes[0].signal("-TERM");
    let answer = read_answer(&mut order);
    assert_eq!((answer.status, answer.is_complete), (504, true), "{answer:?}");
    assert!(answer.body.contains("\"executed\":\"unknown\""), "{answer:?}");
    fleet.nodes[0].wait_for_exit();
    assert_eq!(fleet.plain_runs().len(), 1);
}

#[test]
fn call_that_may_not_be_repeated_is_not_taken_late_in_a_stop() {
    let mut fleet = Fleet::start("late-order", 1);
    let (mut order, mut lookup) = (connect(&fleet), connect(&fleet));
    fleet.nodes[0].signal("-TERM");
    wait_until("the node is about to stop", || !fleet.nodes[0].is_ready());
    sleep(Duration::from_millis(500));
    // Its caller waits for up to 8 s, and the node ends before.
    order.write_all(order_request("order").as_bytes()).expect("the request is sent");
    lookup.write_all(lookup_request("lookup").as_bytes()).expect("the request is sent");
    let answer = read_answer(&mut order);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("\"executed\":\"no\""), "{answer:?}");
    assert_eq!(read_answer(&mut lookup).status, 200, "a call that may be repeated is served");
    assert!(fleet.plain_runs().iter().all(|run| run.request_id != "order"));
    assert_eq!(fleet.nodes[0].wait_for_exit(), Some(0));
}

/// Requests that are refused, each with a line in the log: together more than a pipe takes.
const LOGGED_REQUESTS: usize = 2_000;

/// Guards against a process that does not end, as nobody reads its log.
#[test]
fn node_whose_log_nobody_reads_ends_in_time() {
    let mut fleet = Fleet::start("unread-log", 1);
    fleet.nodes[0].restart_with_unread_log();
    let request = "GET /nowhere/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: r\r\n\r\n";
    let mut stream = connect(&fleet);
    for _ in 0..LOGGED_REQUESTS {
        stream.write_all(request.as_bytes()).expect("the request is sent");
        assert_eq!(read_answer(&mut stream).status, 404);
    }
    drop(stream);
    fleet.nodes[0].signal("-TERM");
    assert_eq!(fleet.nodes[0].wait_for_exit(), Some(0));
}
