//! Gateway nodes as processes, in front of an endpoint that answers uploads before it reads them.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;
#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/upload_endpoint.rs"]
mod upload_endpoint;

use serde_json::json;

use gateway_fleet::Fleet;
use gateway_fleet::KEY;
use gateway_fleet::order_request;
use gateway_fleet::wait_until;
use upload_endpoint::Fate;
use upload_endpoint::Framing;
use upload_endpoint::Plan;
use upload_endpoint::UploadEndpoint;
use upload_endpoint::whole_answer;

/// Length of an upload; more than the buffers of two sockets take.
const UPLOAD_BYTES: usize = 8 * 1_024 * 1_024;

/// Starts a fleet of one node that takes uploads, in front of an endpoint that answers them with `status`
/// at once, keeps the connection and reads on.
fn start_fleet(name: &str, status: &'static str) -> (Fleet, [UploadEndpoint; 1]) {
    let mut fleet = Fleet::start_with(name, 1, "revoke_ms = 3000\nmemory_mb = 400");
    fleet.limit_input(&json!({
        "maxHeaderBytes": 4096, "maxBodyBytes": UPLOAD_BYTES, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }));
    let plan = Plan { status, framing: Framing::Length, fate: Fate::AnswersFirst, is_early: true };
    let endpoint = [UploadEndpoint::start(0, move || plan)];
    UploadEndpoint::announce(&endpoint, &fleet.store);
    wait_until("the node uses the endpoint", || {
        fleet.nodes[0].send(&order_request("first")).body == "ready"
    });
    (fleet, endpoint)
}

/// Sends an upload, and returns the status of its answer, which is whole.
fn send_upload(fleet: &Fleet, id: &str) -> u16 {
    let body = "u".repeat(UPLOAD_BYTES);
    let answer = fleet.nodes[0].send(&format!(
        "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\nx-api-key: {KEY}\r\n\
         content-length: {UPLOAD_BYTES}\r\n\r\n{body}"
    ));
    assert_eq!(answer.body, whole_answer(id));
    answer.status
}

/// Returns how much of an upload the endpoint got until its connection ended.
fn received(endpoint: &UploadEndpoint, id: &str) -> usize {
    let mut run = None;
    wait_until("the endpoint's connection has ended", || {
        run = endpoint.run_of(id);
        run.is_some()
    });
    run.map_or(0, |run| run.received)
}

/// Guards against an upload that its caller is told is accepted, and of which the endpoint gets only
/// what fits the buffers: the rest was dropped with the connection as soon as the answer was complete.
#[test]
fn accepted_upload_arrives_whole_at_an_endpoint_that_answers_first() {
    let (fleet, [endpoint]) = start_fleet("accepted", "200 OK");
    let ids = [0, 1, 2].map(|number| format!("accepted-{number}"));
    for id in &ids {
        assert_eq!(send_upload(&fleet, id), 200);
    }
    assert_eq!(ids.map(|id| received(&endpoint, &id)), [UPLOAD_BYTES; 3]);
    wait_until("the node notes that it has sent them", || {
        let lines = fleet.nodes[0].log_lines();
        lines.iter().filter(|line| line["msg"] == "call: rest of the request sent").count() == 3
    });
}

/// A stopping node ends only once an accepted upload has arrived.
#[test]
fn accepted_upload_arrives_whole_from_a_node_that_stops() {
    let (mut fleet, [endpoint]) = start_fleet("stops", "200 OK");
    assert_eq!(send_upload(&fleet, "stops"), 200);
    fleet.nodes[0].signal("-TERM");
    assert_eq!(fleet.nodes[0].wait_for_exit(), Some(0));
    assert_eq!(received(&endpoint, "stops"), UPLOAD_BYTES);
}

/// The rest of an upload that its endpoint refuses is not sent: nobody was told that it is accepted.
#[test]
fn rest_of_a_refused_upload_is_not_sent() {
    let (fleet, [endpoint]) = start_fleet("refused", "413 Too Large");
    assert_eq!(send_upload(&fleet, "refused"), 413);
    assert!(received(&endpoint, "refused") < UPLOAD_BYTES);
}
