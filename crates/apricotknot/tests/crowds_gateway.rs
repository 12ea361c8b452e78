//! Gateway nodes under crowds of clients that nobody controls.
//!
//! Each test checks that the process lives within the smallest VM and its descriptors, that an
//! ordinary request is answered, and that nothing of the crowd has run. One runs at a time.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with the tests of the gateway")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

#[path = "support/crowd.rs"]
mod crowd;

use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_standin::users_platform::EndpointFault;
use apricotknot_standin::users_platform::EndpointServer;
use serde_json::json;

use crowd::ClientScript;
use crowd::Crowd;
use crowd::DescriptorWatch;
use crowd::MAX_BODY_BYTES;
use crowd::SMALLEST_VM_KILOBYTES;
use crowd::be_only_crowd;
use crowd::chunk;
use crowd::peak_kilobytes;
use crowd::wait_settled;
use gateway_fleet::Fleet;
use gateway_fleet::KEY;
use gateway_fleet::lookup_request;
use gateway_fleet::order_request;
use gateway_fleet::stream_request;

/// Clients that send bodies.
const SENDERS: usize = 64;

/// Clients that hold a connection each.
const HOLDERS: usize = 400;

/// Prompt of which an engine holds one at a time, in tokens.
const LONG_PROMPT: u64 = 60_000;

/// Descriptors of a node in front of clients that hold connections.
const FEW_DESCRIPTORS: usize = 256;

/// Tries of an ordinary caller, which comes again after a refusal.
const CALLER_TRIES: usize = 4;

/// Time after which a refused caller comes again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Statuses that promise that a request has not run.
const NOT_RUN: [u16; 5] = [408, 413, 421, 429, 503];

/// Prefix of the ids of requests of the crowd.
const CROWD_ID: &str = "crowd-";

/// Returns the head of a request of the crowd.
fn head(extra_headers: &str) -> String {
    format!(
        "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {CROWD_ID}CLIENT\r\n\
         request-deadline: 8000\r\nx-api-key: {KEY}\r\n{extra_headers}\r\n"
    )
}

fn chunked_head() -> String {
    head("transfer-encoding: chunked\r\n")
}

/// A chunked body in chunks of 64 KiB that stops just short of its end.
fn large_chunks() -> ClientScript {
    ClientScript::start(chunked_head()).repeat(chunk(65_536), MAX_BODY_BYTES / 65_536 - 1)
}

/// A body in chunks of one byte; each of them costs six bytes on the wire.
fn one_byte_chunks() -> ClientScript {
    let block = chunk(1).repeat(1_024);
    ClientScript::start(chunked_head()).repeat(block, 256)
}

/// A body that is announced, and stops just short of its end.
fn announced_body() -> ClientScript {
    let start = head(&format!("content-length: {MAX_BODY_BYTES}\r\n"));
    ClientScript::start(start).repeat([b'x'; 65_536], MAX_BODY_BYTES / 65_536).end("")
}

/// As [`announced_body`], without the last block.
fn short_announced_body(extra_headers: &str) -> ClientScript {
    let start = head(&format!("content-length: {MAX_BODY_BYTES}\r\n{extra_headers}"));
    ClientScript::start(start).repeat([b'x'; 65_536], MAX_BODY_BYTES / 65_536 - 1)
}

/// A body of which a byte arrives now and then.
fn slow_body() -> ClientScript {
    let start = head("content-length: 100000\r\n");
    ClientScript::start(start).repeat("x", 2_000).pause(Duration::from_millis(200))
}

fn silent() -> ClientScript {
    ClientScript::start("")
}

/// Starts one node with the limits of the users' pages.
fn start_fleet(name: &str) -> Fleet {
    let mut fleet = Fleet::start(name, 1);
    let limits = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 60_000,
        "idleTimeoutMs": 60_000,
    });
    fleet.limit_input(&limits);
    fleet
}

/// Checks that an ordinary caller is answered.
fn check_ordinary(fleet: &Fleet, request: &str) {
    let mut answer = fleet.nodes[0].send(request);
    for _ in 1..CALLER_TRIES {
        if answer.status != 503 {
            break;
        }
        std::thread::sleep(RETRY_DELAY);
        answer = fleet.nodes[0].send(request);
    }
    assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
}

/// Returns the ids of the requests that endpoints ran.
fn executed_ids(fleet: &Fleet) -> Vec<String> {
    let endpoints = fleet.plain_endpoints.iter().chain(&fleet.engines);
    endpoints.flat_map(EndpointServer::executions).map(|run| run.request_id).collect()
}

/// Returns the status of the first answer that a client received.
fn status_of(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

/// Checks that no request ran whose caller was told that it has not.
fn check_refusals(fleet: &Fleet, answers: &[String]) {
    let executed = executed_ids(fleet);
    for (number, answer) in answers.iter().enumerate() {
        let is_refused = status_of(answer).is_some_and(|status| NOT_RUN.contains(&status));
        let has_run = executed.contains(&format!("{CROWD_ID}{number}"));
        assert!(!is_refused || !has_run, "client {number} was refused, and its request ran");
    }
}

/// Plays a crowd at `address` of the node, and checks what must hold for the node.
fn check_crowd_at(fleet: &mut Fleet, address: SocketAddr, count: usize, scripts: &[ClientScript]) {
    let process = fleet.nodes[0].process_id();
    let descriptors = DescriptorWatch::start(process);
    let crowd = Crowd::start(address, count, scripts);
    crowd.wait_sent();
    wait_settled(process);
    check_ordinary(fleet, &lookup_request("ordinary-beside"));
    assert!(fleet.nodes[0].is_ready(), "the operations address answers");
    let answers = crowd.release();
    check_ordinary(fleet, &order_request("ordinary-after"));
    check_refusals(fleet, &answers);
    assert!(!fleet.nodes[0].has_exited(), "the process lives");
    let memory = peak_kilobytes(process).expect("memory of the process");
    let most = descriptors.stop();
    println!("{memory} kB and {most} descriptors at most");
    assert!(memory < SMALLEST_VM_KILOBYTES, "{memory} kB");
    assert!(most < count * scripts.len() + FEW_DESCRIPTORS, "{most} descriptors");
}

/// Plays a crowd of callers.
fn check_crowd(name: &str, count: usize, scripts: &[ClientScript]) {
    let _only = be_only_crowd();
    let mut fleet = start_fleet(name);
    let callers = fleet.nodes[0].caller_address;
    check_crowd_at(&mut fleet, callers, count, scripts);
}

/// Plays a crowd that holds connections of a node with few descriptors.
fn check_holders(name: &str, pick: impl Fn(&Fleet) -> SocketAddr, script: ClientScript) {
    let _only = be_only_crowd();
    let mut fleet = start_fleet(name);
    fleet.nodes[0].restart_with_descriptors(FEW_DESCRIPTORS);
    let address = pick(&fleet);
    check_crowd_at(&mut fleet, address, HOLDERS, &[script]);
}

#[test]
fn chunked_bodies_in_large_chunks() {
    check_crowd("crowd-large-chunks", SENDERS, &[large_chunks()]);
}

#[test]
fn chunked_bodies_in_one_byte_chunks() {
    check_crowd("crowd-byte-chunks", SENDERS, &[one_byte_chunks()]);
}

#[test]
fn announced_bodies_that_stop_short() {
    check_crowd("crowd-announced", SENDERS, &[short_announced_body("")]);
}

#[test]
fn bodies_after_an_expected_continue() {
    check_crowd("crowd-expect", SENDERS, &[short_announced_body("expect: 100-continue\r\n")]);
}

#[test]
fn whole_bodies_inside_the_limit() {
    check_crowd("crowd-whole", SENDERS, &[announced_body()]);
}

#[test]
fn bodies_far_over_the_limit() {
    let announced = ClientScript::start(head("content-length: 1000000000\r\n"))
        .repeat([b'x'; 65_536], 4 * MAX_BODY_BYTES / 65_536);
    let sent =
        ClientScript::start(chunked_head()).repeat(chunk(65_536), 4 * MAX_BODY_BYTES / 65_536);
    check_crowd("crowd-over", SENDERS / 2, &[announced, sent]);
}

#[test]
fn chunk_extensions_and_trailers_without_end() {
    let extension = ClientScript::start(format!("{}1;", chunked_head()))
        .repeat([b'e'; 65_536], MAX_BODY_BYTES / 65_536);
    let trailers = ClientScript::start(format!("{}1\r\nx\r\n0\r\n", chunked_head()))
        .repeat("x-trailer: x\r\n".repeat(4_096), MAX_BODY_BYTES / 65_536);
    check_crowd("crowd-extensions", SENDERS / 2, &[extension, trailers]);
}

#[test]
fn heads_that_trickle_or_never_end() {
    let endless =
        ClientScript::start("GET /lookup/x HTTP/1.1\r\nx-filler: ").repeat([b'x'; 4_096], 31);
    let trickling = ClientScript::start("GET /lookup/x HTTP/1.1\r\nx-filler: ")
        .repeat("x", 2_000)
        .pause(Duration::from_millis(200));
    check_crowd("crowd-heads", HOLDERS / 2, &[endless, trickling]);
}

#[test]
fn requests_pipelined_behind_a_body_that_is_not_read() {
    let lookups = lookup_request("crowd-pipelined").repeat(256);
    let script = ClientScript::start(head("content-length: 1000000000\r\n")).repeat(lookups, 64);
    check_crowd("crowd-pipelined", SENDERS, &[script]);
}

#[test]
fn answers_that_are_never_read() {
    let _only = be_only_crowd();
    let fleet = start_fleet("crowd-unread");
    fleet.set_plain_fault(EndpointFault::LargeAnswer(MAX_BODY_BYTES - 1_024));
    let callers = fleet.nodes[0].caller_address;
    let script = ClientScript::start(lookup_request("crowd-CLIENT"));
    let process = fleet.nodes[0].process_id();
    let crowd = Crowd::start(callers, SENDERS, &[script]);
    crowd.wait_sent();
    gateway_fleet::wait_until("the answers were made", || {
        executed_ids(&fleet).len() >= SENDERS / 4
    });
    wait_settled(process);
    let memory = peak_kilobytes(process).expect("memory of the process");
    drop(crowd.release());
    fleet.set_plain_fault(EndpointFault::None);
    check_ordinary(&fleet, &order_request("ordinary-after"));
    println!("{memory} kB at most");
    assert!(memory < SMALLEST_VM_KILOBYTES, "{memory} kB");
}

#[test]
fn slow_bodies_beside_many() {
    check_crowd("crowd-slow", SENDERS / 2, &[slow_body(), large_chunks()]);
}

#[test]
fn connections_of_callers_that_say_nothing() {
    check_holders("crowd-silent", |fleet| fleet.nodes[0].caller_address, silent());
}

#[test]
fn heads_that_trickle_on_all_descriptors() {
    let trickling = ClientScript::start("GET /lookup/x HTTP/1.1\r\nx-filler: ")
        .repeat("x", 2_000)
        .pause(Duration::from_millis(200));
    check_holders("crowd-trickle", |fleet| fleet.nodes[0].caller_address, trickling);
}

#[test]
fn bodies_that_drip_on_all_descriptors() {
    check_holders("crowd-drip", |fleet| fleet.nodes[0].caller_address, slow_body());
}

/// Guards against a node that says it is ready and takes no client, as prompts that wait for an engine
/// hold all connections until their deadlines.
#[test]
fn prompts_that_wait_on_all_descriptors() {
    let _only = be_only_crowd();
    let mut fleet = start_fleet("crowd-waiting");
    fleet.nodes[0].restart_with_descriptors(FEW_DESCRIPTORS);
    for engine in &fleet.engines {
        engine.set_fault(EndpointFault::Silent);
    }
    let callers = fleet.nodes[0].caller_address;
    let script = ClientScript::start(stream_request("crowd-CLIENT", LONG_PROMPT));
    check_crowd_at(&mut fleet, callers, HOLDERS, &[script]);
}

#[test]
fn connections_of_the_operations_address_that_say_nothing() {
    check_holders("crowd-operations", |fleet| fleet.nodes[0].operations_address, silent());
}

#[test]
fn connections_of_peers_that_say_nothing() {
    check_holders("crowd-peers", |fleet| fleet.nodes[0].peer_address, silent());
}

#[test]
fn bodies_at_the_operations_address() {
    let _only = be_only_crowd();
    let mut fleet = start_fleet("crowd-operations-bodies");
    let operations = fleet.nodes[0].operations_address;
    let scripts = [large_chunks(), short_announced_body("")];
    check_crowd_at(&mut fleet, operations, SENDERS / 2, &scripts);
}

fn mixture() -> [ClientScript; 8] {
    [
        large_chunks(),
        one_byte_chunks(),
        short_announced_body(""),
        short_announced_body("expect: 100-continue\r\n"),
        slow_body(),
        silent(),
        ClientScript::start("GET /lookup/x HTTP/1.1\r\nx-filler: ").repeat([b'x'; 4_096], 31),
        ClientScript::start(chunked_head()).repeat(chunk(65_536), 2 * MAX_BODY_BYTES / 65_536),
    ]
}

#[test]
fn mixture_of_clients() {
    check_crowd("crowd-mixture", 12, &mixture());
}

#[test]
#[ignore = "a thousand connections; run by hand"]
fn mixture_from_a_thousand_connections_by_hand() {
    check_crowd("crowd-thousand", 125, &mixture());
}
