//! Memory of a gateway node with calls in progress, beside the bodies that it counts.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use apricotknot_standin::users_platform::EndpointFault;
use serde_json::json;

use gateway_fleet::Fleet;
use gateway_fleet::KEY;
use gateway_fleet::wait_until;

/// Calls that are in progress at a time.
const CALLS: usize = 400;

/// Length of the headers of a call, just below the limit of the users' platform.
const HEADER_BYTES: usize = 15_600;

/// Length of the body of a call, and of each chunk in which it comes.
const BODY_BYTES: usize = 28_000;
const CHUNK_BYTES: usize = 500;

/// Memory that such a request is counted with, in bytes: its head, and a body that has grown to it.
const COUNTED_BYTES: u64 = 15_600 + 32 * 1_024;

/// Memory that a connection may occupy beside what its request is counted with, in bytes.
const CONNECTION_BYTES: u64 = 48 * 1_024;

fn order(number: usize) -> String {
    let filler = "c".repeat(HEADER_BYTES / 4);
    let headers: String = (0..4).map(|index| format!("x-context-{index}: {filler}\r\n")).collect();
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
    format!(
        "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: call-{number}\r\n\
         x-api-key: {KEY}\r\n{headers}transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk.repeat(BODY_BYTES / CHUNK_BYTES)
    )
}

/// Guards against calls that hold far more than is counted for them: a copy of the head and the body for
/// the endpoint, as long as the call runs, and buffers for answers that have not begun.
#[test]
fn calls_in_progress_stay_within_the_memory_of_their_connections() {
    let mut fleet = Fleet::start("memory", 1);
    fleet.limit_input(&json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }));
    fleet.set_plain_fault(EndpointFault::Pause(0, Duration::from_secs(6)));
    let node = &fleet.nodes[0];
    let before = node.peak_kilobytes();
    let streams: Vec<TcpStream> = (0..CALLS)
        .map(|number| {
            let mut stream = TcpStream::connect(node.caller_address).expect("a connection");
            stream.write_all(order(number).as_bytes()).expect("the request is sent");
            stream
        })
        .collect();
    wait_until("all calls run", || fleet.plain_runs().len() == CALLS);
    let grown = (node.peak_kilobytes() - before) * 1_024;
    let per_call = grown / u64::try_from(CALLS).expect("a number");
    println!("{per_call} bytes a call");
    assert!(per_call < CONNECTION_BYTES + COUNTED_BYTES, "{per_call} bytes");
    drop(streams);
}
