//! Gateway nodes in front of an endpoint that sends bytes without end, or ends its answers with
//! the connection.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with the tests of the gateway")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use serde_json::json;

use gateway_fleet::Answer;
use gateway_fleet::Fleet;
use gateway_fleet::expected_stream_body;
use gateway_fleet::lookup_request;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Largest memory of a node while an endpoint sends without end, in kilobytes.
const MAX_NODE_KILOBYTES: u64 = 200_000;

/// Memory of the smallest VMs that nodes run on, in kilobytes.
const SMALLEST_VM_KILOBYTES: u64 = 160_000;

/// Calls of one node that get endless answers at the same time.
const ENDLESS_CALLS: usize = 64;

/// Connections and bytes of one endpoint.
#[derive(Debug, Default)]
struct ConnectionCounts {
    opened: AtomicUsize,
    closed: AtomicUsize,
}

/// What the endpoint sends after it has read a request.
#[derive(Clone, Copy, Debug)]
struct AnswerScript {
    /// Sent once; `REQUEST` stands for the id of the request.
    start: &'static str,
    /// Sent until the gateway closes the connection; if it is empty, the endpoint closes it.
    repeated: &'static str,
    /// Time between two of them; if it is zero, many are sent at once.
    pause: Duration,
}

/// Starts an endpoint that answers each request by `script`.
fn start_endpoint(script: AnswerScript) -> (SocketAddr, Arc<ConnectionCounts>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("local listener");
    let address = listener.local_addr().expect("local address");
    let counts = Arc::new(ConnectionCounts::default());
    let thread_counts = Arc::clone(&counts);
    spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let counts = Arc::clone(&thread_counts);
            spawn(move || {
                counts.opened.fetch_add(1, Ordering::SeqCst);
                answer(stream, script);
                counts.closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, counts)
}

/// Answers one request; returns when either side has closed the connection.
fn answer(mut stream: TcpStream, script: AnswerScript) {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default();
    if stream.write_all(script.start.replace("REQUEST", id).as_bytes()).is_err() {
        return;
    }
    let count = if script.pause.is_zero() { 4_096 / script.repeated.len().max(1) } else { 1 };
    let block = script.repeated.repeat(count);
    while !block.is_empty() && stream.write_all(block.as_bytes()).is_ok() {
        sleep(script.pause);
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
    // Waits until the gateway has read everything.
    let _ = stream.read_to_end(&mut Vec::new());
}

/// Starts one node whose only endpoints of both services answer by `script`.
fn start_fleet(name: &str, script: AnswerScript) -> (Fleet, Arc<ConnectionCounts>) {
    let fleet = Fleet::start(name, 1);
    let (address, counts) = start_endpoint(script);
    for id in ["engine-1", "engine-2", "desk-1", "desk-2"] {
        fleet.store.remove(&format!("servers/{id}"));
    }
    for (id, service) in [("raw-engine", "model"), ("raw-desk", "desk")] {
        let entry = json!({
            "service": service, "addr": address.to_string(), "zone": "north", "slots": 4,
            "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": 1,
        });
        fleet.store.put(&format!("servers/{id}"), &entry);
    }
    wait_until("the node knows the endpoints", || {
        let lines = fleet.nodes[0].log_lines();
        let has = |msg: &str, id: &str| {
            lines.iter().any(|line| line["msg"] == msg && line["endpoint"] == id)
        };
        has("control: endpoint announced", "raw-desk")
            && has("control: endpoint removed", "desk-2")
            && has("control: endpoint removed", "engine-2")
    });
    (fleet, counts)
}

/// Sends a request that the caller gives little time.
fn send_briefly(fleet: &Fleet, request: &str) -> Answer {
    fleet.nodes[0].send(&request.replace("request-deadline: 8000", "request-deadline: 1500"))
}

/// Checks that calls end although the endpoint sends without end, and that the node serves on.
fn check_endless(name: &str, script: AnswerScript) {
    let (fleet, counts) = start_fleet(name, script);
    let lookup = send_briefly(&fleet, &lookup_request("lookup"));
    assert!(matches!(lookup.status, 502 | 504), "{name}: {} {}", lookup.status, lookup.head);
    let stream = send_briefly(&fleet, &stream_request("stream", 1_000));
    let is_whole_success = stream.status == 200 && stream.is_complete;
    assert!(!is_whole_success, "{name}: {} {}", stream.status, stream.head);
    wait_until("the node closes its connections to the endpoint", || {
        let opened = counts.opened.load(Ordering::SeqCst);
        opened >= 2 && counts.closed.load(Ordering::SeqCst) == opened
    });
    assert!(fleet.nodes[0].is_ready(), "{name}: the node serves on");
    let memory = fleet.nodes[0].peak_kilobytes();
    assert!(memory < MAX_NODE_KILOBYTES, "{name}: {memory} kB");
}

#[test]
fn head_without_end_ends_with_the_call() {
    check_endless(
        "endless-head",
        AnswerScript {
            start: "HTTP/1.1 200 OK\r\nx-filler: ",
            repeated: "a",
            pause: Duration::ZERO,
        },
    );
}

#[test]
fn header_lines_without_end_end_with_the_call() {
    check_endless(
        "endless-lines",
        AnswerScript {
            start: "HTTP/1.1 200 OK\r\n",
            repeated: "x-filler: a\r\n",
            pause: Duration::ZERO,
        },
    );
}

#[test]
fn informational_heads_without_end_end_with_the_call() {
    check_endless(
        "endless-hints",
        AnswerScript {
            start: "",
            repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
            pause: Duration::ZERO,
        },
    );
}

#[test]
fn bytes_that_are_no_answer_end_with_the_call() {
    check_endless(
        "endless-noise",
        AnswerScript { start: "", repeated: "\u{1}noise", pause: Duration::ZERO },
    );
}

#[test]
fn body_without_end_ends_with_the_call() {
    check_endless(
        "endless-body",
        AnswerScript {
            start: "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\r\n",
            repeated: "filler",
            pause: Duration::ZERO,
        },
    );
}

#[test]
fn chunks_without_end_end_with_the_call() {
    check_endless(
        "endless-chunks",
        AnswerScript {
            start: "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\
                    transfer-encoding: chunked\r\n\r\n",
            repeated: "6\r\nfiller\r\n",
            pause: Duration::ZERO,
        },
    );
}

#[test]
fn events_without_end_end_with_the_call() {
    check_endless(
        "endless-events",
        AnswerScript {
            start: "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\r\n",
            repeated: "data: x\n\n",
            pause: Duration::ZERO,
        },
    );
}

/// Returns the head of a chunked answer, and a chunk of 16 KiB.
fn chunked_answer(filler: &str) -> (&'static str, &'static str) {
    let start = "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\
                 transfer-encoding: chunked\r\n\r\n";
    (start, format!("4000\r\n{}\r\n", filler.repeat(0x4000 / filler.len())).leak())
}

/// Registers endpoints that answer by `script`, each with room for 16 calls.
fn announce_faulty(fleet: &Fleet, service: &str, script: AnswerScript) {
    for index in 0..ENDLESS_CALLS / 16 {
        let (address, _) = start_endpoint(script);
        let entry = json!({
            "service": service, "addr": address.to_string(), "zone": "north", "slots": 16,
            "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": 1,
        });
        fleet.store.put(&format!("servers/faulty-{index}"), &entry);
    }
}

/// Returns a request to one of both services.
fn request_for(service: &str, id: &str) -> String {
    if service == "desk" { lookup_request(id) } else { stream_request(id, 1_000) }
}

/// Checks that a node keeps serving, and keeps within the smallest VM, while many calls of one
/// service get answers by `script` and other calls go to a sound service.
fn check_many_endless(name: &str, service: &str, script: AnswerScript) {
    let fleet = Fleet::start(name, 1);
    let ids = if service == "desk" { ["desk-1", "desk-2"] } else { ["engine-1", "engine-2"] };
    ids.iter().for_each(|id| fleet.store.remove(&format!("servers/{id}")));
    announce_faulty(&fleet, service, script);
    wait_until("the node knows the endpoints", || {
        let lines = fleet.nodes[0].log_lines();
        lines.iter().any(|line| line["endpoint"] == "faulty-3")
    });
    let faulty = |id: &str| request_for(service, id);
    let sound_service = if service == "desk" { "model" } else { "desk" };
    std::thread::scope(|scope| {
        let fleet = &fleet;
        for index in 0..ENDLESS_CALLS {
            scope.spawn(move || {
                let request = faulty(&format!("faulty-{index}"));
                let request = request.replace("deadline: 8000", "deadline: 3000");
                let answer = fleet.nodes[0].send(&request);
                let is_whole_success = answer.status == 200 && answer.is_complete;
                assert!(!is_whole_success, "{name}: {} {}", answer.status, answer.head);
                let may_have_run = matches!(answer.status, 0 | 200 | 502 | 504);
                let is_refused_truly = answer.body.contains("\"executed\":\"no\"");
                assert!(may_have_run || is_refused_truly, "{name}: {answer:?}");
            });
        }
        for index in 0..20 {
            sleep(Duration::from_millis(150));
            let answer =
                fleet.nodes[0].send(&request_for(sound_service, &format!("sound-{index}")));
            assert_eq!((answer.status, answer.is_complete), (200, true), "{name}: {answer:?}");
        }
    });
    assert!(fleet.nodes[0].is_ready(), "{name}: the node serves on");
    let memory = fleet.nodes[0].peak_kilobytes();
    assert!(memory < SMALLEST_VM_KILOBYTES, "{name}: {memory} kB");
    println!("{name}: {memory} kB at most");
}

// Guards against a node that ends, with the calls of other clients, because it keeps what faulty
// endpoints send to many calls at once.
#[test]
fn endless_bodies_of_many_calls_leave_memory_for_others() {
    let (start, repeated) = chunked_answer("filler..");
    let pause = Duration::from_millis(8);
    check_many_endless("many-bodies", "desk", AnswerScript { start, repeated, pause });
}

#[test]
fn endless_events_of_many_calls_leave_memory_for_others() {
    let (start, repeated) = chunked_answer("data: ..");
    let pause = Duration::from_millis(20);
    check_many_endless("many-events", "model", AnswerScript { start, repeated, pause });
}

#[test]
fn endless_heads_of_many_calls_leave_memory_for_others() {
    let repeated = "x".repeat(16_384).leak();
    let start = "HTTP/1.1 200 OK\r\nx-filler: ";
    let pause = Duration::from_millis(8);
    check_many_endless("many-heads", "desk", AnswerScript { start, repeated, pause });
}

#[test]
fn chunk_extension_without_end_ends_with_the_call() {
    check_endless(
        "endless-extension",
        AnswerScript {
            start: "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\
                    transfer-encoding: chunked\r\n\r\n1;",
            repeated: "extension",
            pause: Duration::ZERO,
        },
    );
}

#[test]
fn status_line_without_end_ends_with_the_call() {
    check_endless(
        "endless-status",
        AnswerScript { start: "HTTP/1.1 200 ", repeated: "OK", pause: Duration::ZERO },
    );
}

#[test]
fn trailers_without_end_end_with_the_call() {
    check_endless(
        "endless-trailers",
        AnswerScript {
            start: "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\
                    transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
            repeated: "x-filler: a\r\n",
            pause: Duration::ZERO,
        },
    );
}

#[test]
fn stream_without_length_that_ends_after_an_event_is_complete() {
    let start = "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\r\n\
                 id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    let (fleet, _) =
        start_fleet("until-close", AnswerScript { start, repeated: "", pause: Duration::ZERO });
    let answer = send_briefly(&fleet, &stream_request("stream", 1_000));
    assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    let lookup = send_briefly(&fleet, &lookup_request("lookup"));
    assert_eq!((lookup.status, lookup.is_complete), (200, true), "{lookup:?}");
}

#[test]
fn stream_without_length_that_ends_inside_an_event_is_truncated() {
    let start = "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: s\r\n\r\n\
                 id: 0\ndata: a\n\nid: 1\ndata";
    let (fleet, _) =
        start_fleet("inside-event", AnswerScript { start, repeated: "", pause: Duration::ZERO });
    let answer = send_briefly(&fleet, &stream_request("stream", 1_000));
    assert!(!answer.is_complete, "{answer:?}");
    assert!(!answer.body.contains("id: 1"), "no part of a broken event is forwarded: {answer:?}");
}

#[test]
fn stream_of_which_a_byte_arrives_now_and_then_goes_on_at_another_endpoint() {
    let script = AnswerScript {
        start: "HTTP/1.1 200 OK\r\nrequest-id: REQUEST\r\nresponse-seal: sealed\r\n\
                content-type: text/event-stream\r\n\r\nid: 0\ndata: piece 0\n\n",
        repeated: ":",
        pause: Duration::from_millis(200),
    };
    let (fleet, counts) = start_fleet("dribble", script);
    fleet.announce("engine-1", "model", &fleet.engines[0], "ready");
    wait_until("a stream begins at the endpoint that dribbles", || {
        let stream = fleet.nodes[0].send(&stream_request("dribble", 1_000));
        assert_eq!((stream.status, stream.is_complete), (200, true), "{stream:?}");
        assert_eq!(stream.body, expected_stream_body());
        counts.opened.load(Ordering::SeqCst) > 0
    });
}
