//! Nodes of the OpenAI interface under crowds of clients that nobody controls.
//!
//! Each test checks that the process lives within the smallest VM and its descriptors, that an
//! ordinary request is answered, and that nothing of the crowd has run. One runs at a time.

#![expect(clippy::expect_used, reason = "helpers of tests may panic")]

#[path = "support/crowd.rs"]
mod crowd;

use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;
use apricotknot_standin::fleet::eventually;

use crowd::ClientScript;
use crowd::Crowd;
use crowd::DescriptorWatch;
use crowd::MAX_BODY_BYTES;
use crowd::SMALLEST_VM_KILOBYTES;
use crowd::be_only_crowd;
use crowd::chunk;
use crowd::peak_kilobytes;
use crowd::wait_settled;

/// Clients that send bodies.
const SENDERS: usize = 64;

/// Clients that hold a connection each.
const HOLDERS: usize = 400;

/// Descriptors of a node in front of clients that hold connections.
const FEW_DESCRIPTORS: usize = 256;

/// Tries of an ordinary caller, which comes again after a refusal.
const CALLER_TRIES: usize = 4;

/// Time after which a refused caller comes again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest time until an ordinary caller is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

const CHAT: &str = "/v1/chat/completions";

/// Interface of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Interface {
    Callers,
    Operators,
    Peers,
}

impl Interface {
    fn address(self, fleet: &FleetHarness) -> SocketAddr {
        let node = &fleet.nodes[0];
        match self {
            Self::Callers => node.callers,
            Self::Operators => node.operators,
            Self::Peers => node.peers,
        }
    }

    /// Returns the head of a request with a body.
    fn head(self, extra_headers: &str) -> String {
        let (target, token) = match self {
            Self::Callers => (CHAT, FleetHarness::ACCOUNT_KEY),
            Self::Operators | Self::Peers => ("/api/services/x", FleetHarness::OPERATOR_TOKEN),
        };
        format!(
            "POST {target} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {token}\r\n\
             {extra_headers}\r\n"
        )
    }

    fn chunked_head(self) -> String {
        self.head("transfer-encoding: chunked\r\n")
    }

    /// A chunked body in chunks of 64 KiB that stops just short of its end.
    fn large_chunks(self) -> ClientScript {
        ClientScript::start(self.chunked_head()).repeat(chunk(65_536), MAX_BODY_BYTES / 65_536 - 1)
    }

    /// A body in chunks of one byte; each of them costs six bytes on the wire.
    fn one_byte_chunks(self) -> ClientScript {
        let block = chunk(1).repeat(1_024);
        ClientScript::start(self.chunked_head()).repeat(block, 256)
    }

    /// A body that is announced, and stops just short of its end.
    fn short_announced_body(self, extra_headers: &str) -> ClientScript {
        let start = self.head(&format!("content-length: {MAX_BODY_BYTES}\r\n{extra_headers}"));
        ClientScript::start(start).repeat([b'x'; 65_536], MAX_BODY_BYTES / 65_536 - 1)
    }

    /// A prompt of many small messages, which is complete and as large as is allowed.
    fn whole_prompt(self) -> ClientScript {
        let message = "{\"role\":\"user\",\"content\":\"x\"},";
        let begin = "{\"model\":\"no-such-model\",\"max_tokens\":4,\"messages\":[";
        let end = "{\"role\":\"user\",\"content\":\"x\"}]}";
        let count = (MAX_BODY_BYTES - 1_024) / message.len();
        let length = begin.len() + count * message.len() + end.len();
        let start = self.head(&format!("content-length: {length}\r\n")) + begin;
        ClientScript::start(start).repeat(message.repeat(count), 1).end(end)
    }

    /// A body of which a byte arrives now and then.
    fn slow_body(self) -> ClientScript {
        let start = self.head("content-length: 100000\r\n");
        ClientScript::start(start).repeat("x", 2_000).pause(Duration::from_millis(200))
    }

    fn endless_head(self) -> ClientScript {
        ClientScript::start(format!("GET {CHAT} HTTP/1.1\r\nx-filler: ")).repeat([b'x'; 4_096], 31)
    }

    fn over_limit(self) -> ClientScript {
        ClientScript::start(self.chunked_head()).repeat(chunk(65_536), 2 * MAX_BODY_BYTES / 65_536)
    }

    fn mixture(self) -> [ClientScript; 8] {
        [
            self.large_chunks(),
            self.one_byte_chunks(),
            self.short_announced_body(""),
            self.short_announced_body("expect: 100-continue\r\n"),
            self.slow_body(),
            ClientScript::start(""),
            self.endless_head(),
            self.over_limit(),
        ]
    }
}

/// Starts one node with the largest body of the users' pages, and a body timeout so long that only
/// the node's memory limits a crowd.
async fn start_fleet() -> FleetHarness {
    let settings = FleetSettings::default()
        .engine(EnginePlan::default().option("--step-ms", 1))
        .node_setting("callers", "max_body_bytes", MAX_BODY_BYTES)
        .node_setting("callers", "body_timeout_ms", 120_000);
    FleetHarness::start(settings).await.expect("the fleet starts")
}

/// Checks that an ordinary caller is answered.
async fn check_ordinary(fleet: &FleetHarness) {
    let body = chat_body("standin", "hello", 5, false);
    let mut status = None;
    for _ in 0..CALLER_TRIES {
        let account = FleetHarness::account_headers();
        let sent = fleet.client.post(fleet.nodes[0].callers, CHAT, &account, &body);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, sent).await.expect("an answer in time");
        status = answer.map(|answer| answer.status).ok();
        if status != Some(503) {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    assert_eq!(status, Some(200), "{}", fleet.node_log_tail(0));
}

/// Plays a crowd, and checks what must hold for the node.
async fn play_crowd(
    fleet: &mut FleetHarness,
    interface: Interface,
    count: usize,
    scripts: &[ClientScript],
) {
    let process = fleet.nodes[0].process.id();
    let descriptors = DescriptorWatch::start(process);
    let crowd = Crowd::start(interface.address(fleet), count, scripts);
    let crowd = tokio::task::spawn_blocking(move || {
        crowd.wait_sent();
        wait_settled(process);
        crowd
    });
    let crowd = crowd.await.expect("the crowd sends");
    check_ordinary(fleet).await;
    let ready = fleet.client.get(fleet.nodes[0].operators, "/readyz");
    let ready = tokio::time::timeout(ANSWER_TIMEOUT, ready).await.expect("an answer in time");
    assert_eq!(ready.expect("an answer of the operators' interface").status, 200);
    drop(tokio::task::spawn_blocking(|| crowd.release()).await);
    check_ordinary(fleet).await;
    assert!(fleet.nodes[0].process.exit_status().is_none(), "the process lives");
    let memory = peak_kilobytes(process).expect("memory of the process");
    let most = descriptors.stop();
    println!("{memory} kB and {most} descriptors at most");
    assert!(memory < SMALLEST_VM_KILOBYTES, "{memory} kB");
    assert!(most < count * scripts.len() + FEW_DESCRIPTORS, "{most} descriptors");
    let stats = fleet.engine_stats(0).await.expect("statistics of the engine");
    assert_eq!(stats["finished"], 2, "only the ordinary requests ran: {stats}");
}

#[expect(clippy::await_holding_lock, reason = "each test has a thread of its own")]
async fn check_crowd(interface: Interface, count: usize, scripts: &[ClientScript]) {
    let _only = be_only_crowd();
    let mut fleet = start_fleet().await;
    play_crowd(&mut fleet, interface, count, scripts).await;
}

/// Plays a crowd that holds connections of a node with few descriptors.
#[expect(clippy::await_holding_lock, reason = "each test has a thread of its own")]
async fn check_holders(interface: Interface, script: ClientScript) {
    let _only = be_only_crowd();
    let settings = FleetSettings::default()
        .engine(EnginePlan::default().option("--step-ms", 1))
        .max_descriptors(FEW_DESCRIPTORS);
    let mut fleet = FleetHarness::start(settings).await.expect("the fleet starts");
    play_crowd(&mut fleet, interface, HOLDERS, &[script]).await;
}

#[actix_rt::test]
async fn chunked_bodies_in_large_chunks() {
    check_crowd(Interface::Callers, SENDERS, &[Interface::Callers.large_chunks()]).await;
}

#[actix_rt::test]
async fn chunked_bodies_in_one_byte_chunks() {
    check_crowd(Interface::Callers, SENDERS, &[Interface::Callers.one_byte_chunks()]).await;
}

#[actix_rt::test]
async fn one_byte_chunks_that_nobody_reads() {
    let mut script = Interface::Callers.one_byte_chunks();
    script.start = script.start.replace(FleetHarness::ACCOUNT_KEY, "unknown");
    check_crowd(Interface::Callers, SENDERS, &[script]).await;
}

#[actix_rt::test]
async fn announced_bodies_that_stop_short() {
    let script = Interface::Callers.short_announced_body("");
    check_crowd(Interface::Callers, SENDERS, &[script]).await;
}

#[actix_rt::test]
async fn bodies_after_an_expected_continue() {
    let script = Interface::Callers.short_announced_body("expect: 100-continue\r\n");
    check_crowd(Interface::Callers, SENDERS, &[script]).await;
}

#[actix_rt::test]
async fn whole_prompts_inside_the_limit() {
    check_crowd(Interface::Callers, SENDERS, &[Interface::Callers.whole_prompt()]).await;
}

#[actix_rt::test]
async fn bodies_far_over_the_limit() {
    let announced = ClientScript::start(Interface::Callers.head("content-length: 1000000000\r\n"))
        .repeat([b'x'; 65_536], 4 * MAX_BODY_BYTES / 65_536);
    let scripts = [announced, Interface::Callers.over_limit()];
    check_crowd(Interface::Callers, SENDERS / 2, &scripts).await;
}

#[actix_rt::test]
async fn chunk_extensions_and_trailers_without_end() {
    let head = Interface::Callers.chunked_head();
    let extension =
        ClientScript::start(format!("{head}1;")).repeat([b'e'; 65_536], MAX_BODY_BYTES / 65_536);
    let trailers = ClientScript::start(format!("{head}1\r\nx\r\n0\r\n"))
        .repeat("x-trailer: x\r\n".repeat(4_096), MAX_BODY_BYTES / 65_536);
    check_crowd(Interface::Callers, SENDERS / 2, &[extension, trailers]).await;
}

#[actix_rt::test]
async fn heads_that_trickle_or_never_end() {
    let trickling = ClientScript::start(format!("GET {CHAT} HTTP/1.1\r\nx-filler: "))
        .repeat("x", 2_000)
        .pause(Duration::from_millis(200));
    let scripts = [Interface::Callers.endless_head(), trickling];
    check_crowd(Interface::Callers, HOLDERS / 2, &scripts).await;
}

#[actix_rt::test]
async fn requests_pipelined_behind_a_body_that_is_not_read() {
    let head = Interface::Callers.head("content-length: 1000000000\r\n");
    let lookups = "GET /v1/models HTTP/1.1\r\nhost: node\r\n\r\n".repeat(1_024);
    let script = ClientScript::start(head).repeat(lookups, 64);
    check_crowd(Interface::Callers, SENDERS, &[script]).await;
}

#[actix_rt::test]
async fn pipelined_requests_whose_answers_are_never_read() {
    let lookups = "GET /v1/models HTTP/1.1\r\nhost: node\r\n\r\n".repeat(1_024);
    let script = ClientScript::start("").repeat(lookups, 64);
    check_crowd(Interface::Callers, SENDERS, &[script]).await;
}

#[actix_rt::test]
async fn slow_bodies_beside_many() {
    let scripts = [Interface::Callers.slow_body(), Interface::Callers.large_chunks()];
    check_crowd(Interface::Callers, SENDERS / 2, &scripts).await;
}

#[actix_rt::test]
async fn connections_of_callers_that_say_nothing() {
    check_holders(Interface::Callers, ClientScript::start("")).await;
}

#[actix_rt::test]
async fn bodies_that_drip_on_all_descriptors() {
    check_holders(Interface::Callers, Interface::Callers.slow_body()).await;
}

#[actix_rt::test]
async fn connections_of_operators_that_say_nothing() {
    check_holders(Interface::Operators, ClientScript::start("")).await;
}

#[actix_rt::test]
async fn connections_of_peers_that_say_nothing() {
    check_holders(Interface::Peers, ClientScript::start("")).await;
}

#[actix_rt::test]
async fn bodies_at_the_operators_interface() {
    let operators = Interface::Operators;
    let scripts = [operators.large_chunks(), operators.short_announced_body("")];
    check_crowd(operators, SENDERS / 2, &scripts).await;
}

#[actix_rt::test]
async fn bytes_at_the_interface_between_nodes() {
    let noise = ClientScript::start("").repeat([0xff; 65_536], MAX_BODY_BYTES / 65_536);
    check_crowd(Interface::Peers, SENDERS, &[noise]).await;
}

#[actix_rt::test]
async fn mixture_of_clients() {
    check_crowd(Interface::Callers, 12, &Interface::Callers.mixture()).await;
}

#[actix_rt::test]
#[ignore = "a thousand connections; run by hand"]
async fn mixture_from_a_thousand_connections_by_hand() {
    check_crowd(Interface::Callers, 125, &Interface::Callers.mixture()).await;
}

/// Starts a node with few descriptors and a plain service that answers `concurrent` calls at a time,
/// each after `delay_ms` milliseconds.
async fn start_slow_service(concurrent: u32, delay_ms: u64) -> FleetHarness {
    let settings = FleetSettings::default()
        .engine(EnginePlan::default())
        .plain_services(1)
        .plain_concurrent(concurrent)
        .max_descriptors(FEW_DESCRIPTORS);
    let fleet = FleetHarness::start(settings).await.expect("the fleet starts");
    let faults = serde_json::json!({"delay_ms": delay_ms});
    let path = "/standin/fault";
    let set = fleet.client.post(fleet.plain[0].address, path, &Vec::new(), &faults).await;
    assert_eq!(set.expect("an answer of the service").status, 200);
    fleet
}

/// Starts callers of the plain service on all connections that the node takes.
async fn start_plain_callers(fleet: &FleetHarness, count: usize) -> Crowd {
    let call = format!(
        "GET /booking/x HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n\r\n",
        FleetHarness::ACCOUNT_KEY
    );
    Crowd::start(fleet.nodes[0].callers, count, &[ClientScript::start(call)])
}

async fn status_of(fleet: &FleetHarness, address: SocketAddr, path: &str) -> Option<u16> {
    let account = FleetHarness::account_headers();
    let call = fleet.client.call(actix_http::Method::GET, address, path, &account, "");
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await.expect("an answer in time");
    answer.map(|answer| answer.status).ok()
}

/// Guards against a node that takes no client, as calls of a plain service that wait for a grant hold
/// all connections until their deadlines.
#[actix_rt::test]
#[expect(clippy::await_holding_lock, reason = "each test has a thread of its own")]
async fn plain_calls_that_wait_on_all_descriptors() {
    let _only = be_only_crowd();
    let fleet = start_slow_service(1, 2_000).await;
    let crowd = start_plain_callers(&fleet, HOLDERS).await;
    let crowd = tokio::task::spawn_blocking(move || {
        crowd.wait_sent();
        crowd
    });
    let crowd = crowd.await.expect("the crowd sends");
    let status = status_of(&fleet, fleet.nodes[0].callers, "/v1/models").await;
    drop(tokio::task::spawn_blocking(|| crowd.release()).await);
    assert_eq!(status, Some(200), "{}", fleet.node_log_tail(0));
}

/// Guards against a node that says it is ready while none of its connections gives way to another one.
#[actix_rt::test]
#[expect(clippy::await_holding_lock, reason = "each test has a thread of its own")]
async fn node_without_room_for_callers_is_not_ready() {
    let _only = be_only_crowd();
    let fleet = start_slow_service(HOLDERS as u32, 4_000).await;
    let (callers, operators) = (fleet.nodes[0].callers, fleet.nodes[0].operators);
    assert_eq!(status_of(&fleet, operators, "/readyz").await, Some(200));
    let crowd = start_plain_callers(&fleet, HOLDERS).await;
    let is_full = async || status_of(&fleet, operators, "/readyz").await == Some(503);
    assert!(eventually(is_full).await, "all connections run calls");
    let answers = tokio::task::spawn_blocking(|| crowd.release()).await;
    drop(answers);
    let has_room = async || status_of(&fleet, operators, "/readyz").await == Some(200);
    assert!(eventually(has_room).await, "{}", fleet.node_log_tail(0));
    assert_eq!(status_of(&fleet, callers, "/readyz").await, Some(200));
}

/// Guards against a node that says it is ready and takes no client, as prompts that wait for an engine
/// hold all connections until their deadlines.
#[actix_rt::test]
#[expect(clippy::await_holding_lock, reason = "each test has a thread of its own")]
async fn prompts_that_wait_on_all_descriptors() {
    let _only = be_only_crowd();
    let plan = EnginePlan::default().option("--step-ms", 1_000).max_concurrent(1);
    let settings = FleetSettings::default().engine(plan).max_descriptors(FEW_DESCRIPTORS);
    let fleet = FleetHarness::start(settings).await.expect("the fleet starts");
    let body = chat_body("standin", "a long story", 1_000, true).to_string();
    let head = Interface::Callers.head(&format!("content-length: {}\r\n", body.len()));
    let crowd = Crowd::start(fleet.nodes[0].callers, HOLDERS, &[ClientScript::start(head + &body)]);
    let crowd = tokio::task::spawn_blocking(move || {
        crowd.wait_sent();
        crowd
    });
    let crowd = crowd.await.expect("the crowd sends");
    let account = FleetHarness::account_headers();
    let call = fleet.client.call(
        actix_http::Method::GET,
        fleet.nodes[0].callers,
        "/v1/models",
        &account,
        "",
    );
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
    drop(tokio::task::spawn_blocking(|| crowd.release()).await);
    let status = answer.expect("an answer in time").map(|answer| answer.status).ok();
    assert_eq!(status, Some(200), "{}", fleet.node_log_tail(0));
}
