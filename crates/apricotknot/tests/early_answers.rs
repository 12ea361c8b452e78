//! Gateway nodes as processes, in front of an endpoint that answers uploads before it reads them.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use serde_json::json;
use socket2::SockRef;

use gateway_fleet::Fleet;
use gateway_fleet::KEY;
use gateway_fleet::order_request;
use gateway_fleet::wait_until;

/// Length of an upload; more than the buffers of two sockets take.
const UPLOAD_BYTES: usize = 8 * 1_024 * 1_024;

/// Size of the receive buffer of the endpoint's sockets, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1_024;

/// Time from the answer until the endpoint reads on.
const PAUSE: Duration = Duration::from_millis(300);

/// What an endpoint got of each upload, in bytes, in the order of their ends.
type ReceivedBodies = Arc<Mutex<Vec<usize>>>;

/// Starts an endpoint that answers each request with `status` before it reads the body, keeps the
/// connection and reads on.
fn start_early_endpoint(fleet: &Fleet, status: &'static str) -> ReceivedBodies {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("an option");
    for id in ["desk-1", "desk-2"] {
        fleet.store.remove(&format!("servers/{id}"));
    }
    let address = listener.local_addr().expect("its address");
    let entry = json!({
        "service": "desk", "addr": address.to_string(), "zone": "north", "slots": 4,
        "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": 1,
    });
    fleet.store.put("servers/early", &entry);
    let received = ReceivedBodies::default();
    let bodies = Arc::clone(&received);
    spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let bodies = Arc::clone(&bodies);
            spawn(move || answer_early(stream, status, &bodies));
        }
    });
    received
}

/// Answers one request at once, and reads its body later.
fn answer_early(mut stream: TcpStream, status: &str, bodies: &ReceivedBodies) {
    let mut received = Vec::new();
    let mut buffer = vec![0; 16 * 1_024];
    let head_end = loop {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => received.extend_from_slice(&buffer[..count]),
            _ => return,
        }
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let value = |name| head.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    let (id, declared) = (value("request-id: "), value("content-length: "));
    let declared: usize = declared.parse().unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 {status}\r\nrequest-id: {id}\r\nresponse-seal: sealed\r\ncontent-length: 8\r\n\r\n\
         accepted"
    );
    stream.write_all(answer.as_bytes()).expect("the answer is sent");
    sleep(PAUSE);
    let mut length = received.len() - head_end;
    while length < declared {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => length += count,
            _ => break,
        }
    }
    if declared == UPLOAD_BYTES {
        locked(bodies).push(length);
    }
}

fn locked(bodies: &ReceivedBodies) -> MutexGuard<'_, Vec<usize>> {
    bodies.lock().unwrap_or_else(PoisonError::into_inner)
}

fn upload_request(id: &str) -> String {
    let body = "u".repeat(UPLOAD_BYTES);
    format!(
        "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\nx-api-key: {KEY}\r\n\
         content-length: {UPLOAD_BYTES}\r\n\r\n{body}"
    )
}

/// Starts a fleet of one node that takes uploads, in front of an endpoint that answers early.
fn start_fleet(name: &str, status: &'static str) -> (Fleet, ReceivedBodies) {
    let mut fleet = Fleet::start_with(name, 1, "revoke_ms = 3000\nmemory_mb = 400");
    fleet.limit_input(&json!({
        "maxHeaderBytes": 4096, "maxBodyBytes": UPLOAD_BYTES, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }));
    let bodies = start_early_endpoint(&fleet, status);
    wait_until("the node uses the endpoint", || {
        fleet.nodes[0].send(&order_request("first")).body == "accepted"
    });
    (fleet, bodies)
}

/// Guards against an upload that its caller is told is accepted, and of which the endpoint gets only
/// what fits the buffers: the rest was dropped with the connection as soon as the answer was complete.
#[test]
fn accepted_upload_arrives_whole_at_an_endpoint_that_answers_first() {
    let (fleet, bodies) = start_fleet("accepted", "200 OK");
    for number in 0..3 {
        let answer = fleet.nodes[0].send(&upload_request(&format!("accepted-{number}")));
        assert_eq!((answer.status, answer.body.as_str()), (200, "accepted"));
    }
    wait_until("the endpoint has read all uploads", || locked(&bodies).len() == 3);
    assert_eq!(*locked(&bodies), [UPLOAD_BYTES; 3]);
    wait_until("the node notes that it has sent them", || {
        let lines = fleet.nodes[0].log_lines();
        lines.iter().filter(|line| line["msg"] == "call: rest of the request sent").count() == 3
    });
}

/// A stopping node ends only once an accepted upload has arrived.
#[test]
fn accepted_upload_arrives_whole_from_a_node_that_stops() {
    let (mut fleet, bodies) = start_fleet("stops", "200 OK");
    let answer = fleet.nodes[0].send(&upload_request("stops-0"));
    assert_eq!(answer.status, 200);
    fleet.nodes[0].signal("-TERM");
    assert_eq!(fleet.nodes[0].wait_for_exit(), Some(0));
    wait_until("the endpoint has read the upload", || locked(&bodies).len() == 1);
    assert_eq!(*locked(&bodies), [UPLOAD_BYTES]);
}

/// The rest of an upload that its endpoint refuses is not sent: nobody was told that it is accepted.
#[test]
fn rest_of_a_refused_upload_is_not_sent() {
    let (fleet, bodies) = start_fleet("refused", "413 Too Large");
    let answer = fleet.nodes[0].send(&upload_request("refused-0"));
    assert_eq!(answer.status, 413);
    wait_until("the endpoint's connection has ended", || locked(&bodies).len() == 1);
    assert!(locked(&bodies)[0] < UPLOAD_BYTES, "{:?}", locked(&bodies));
}
