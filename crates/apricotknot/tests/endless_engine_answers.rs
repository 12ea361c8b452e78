//! Nodes of the OpenAI interface in front of endpoints that send without end.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use actix_http::Method;
use apricotknot_core::resources::DataCentreSpec;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::EndpointSpec;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::ServiceMode;
use apricotknot_core::resources::ServiceSpec;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetNode;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";

/// Service of the endpoints that send without end.
const FAULTY_MODEL: &str = "faulty";

/// Service of a sound engine.
const SOUND_MODEL: &str = "standin";

/// Memory of the VMs in the users' example of settings, in kilobytes.
const VM_KILOBYTES: u64 = 260_000;

/// Calls that get endless answers at the same time.
const ENDLESS_CALLS: usize = 32;

/// Starts an endpoint that answers each request with `start`, and then with `repeated` until the
/// connection closes, with pauses of `pause`.
fn start_endpoint(start: &'static str, repeated: String, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    actix_rt::spawn(async move {
        let listener = tokio::net::TcpListener::from_std(listener).unwrap();
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer(stream, start, repeated.clone(), pause));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, start: &'static str, repeated: String, pause: Duration) {
    let mut request = vec![0; 65_536];
    let count = stream.read(&mut request).await.unwrap_or_default();
    let head = String::from_utf8_lossy(&request[..count]).to_ascii_lowercase();
    let attempt = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    let start = start.replace("ATTEMPT", attempt.unwrap_or_default());
    let mut is_open = stream.write_all(start.as_bytes()).await.is_ok();
    while is_open {
        tokio::time::sleep(pause).await;
        is_open = stream.write_all(repeated.as_bytes()).await.is_ok();
    }
}

/// Returns the resources of the service with the endpoint at `address`.
fn faulty_resources(address: SocketAddr) -> [ResourceRecord; 3] {
    let mode = ServiceMode::Model { max_context_tokens: 200_000 };
    let service = ServiceSpec { mode, objectives: Vec::new() };
    let centre = DataCentreSpec { region: "region-1".into(), duty: DutyState::In };
    let endpoint = EndpointSpec {
        service: FAULTY_MODEL.into(),
        data_centre: "faulty-centre".into(),
        address,
        memory_tokens: 10_000_000,
        max_concurrent: 64,
        cold_memory_tokens: 10_000_000,
        cold_concurrent: 64,
        duty: DutyState::In,
    };
    [
        ResourceRecord::new(FAULTY_MODEL, ResourceSpec::Service(service)),
        ResourceRecord::new("faulty-centre", ResourceSpec::DataCentre(centre)),
        ResourceRecord::new("faulty-engine", ResourceSpec::Endpoint(endpoint)),
    ]
}

fn peak_kilobytes(node: &FleetNode) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.process.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Checks that one node serves sound calls, and keeps within its VM, while an endpoint of another
/// service sends without end in the answers to many calls.
async fn check_endless(is_stream: bool, start: &'static str, repeated: String) {
    let address = start_endpoint(start, repeated, Duration::from_millis(4));
    let engine = EnginePlan::default().model(SOUND_MODEL).option("--step-ms", 1);
    let mut settings = FleetSettings::default().engine(engine);
    for record in faulty_resources(address) {
        settings = settings.resource(record);
    }
    let fleet = FleetHarness::start(settings).await.unwrap();
    let node = fleet.nodes[0].callers;
    let account = FleetHarness::account_headers();
    let headers = [account[0], ("x-request-timeout-ms", "4000")];
    let faulty = (0..ENDLESS_CALLS).map(|index| {
        let body = chat_body(FAULTY_MODEL, &format!("question {index}"), 10, is_stream);
        let (client, headers) = (&fleet.client, &headers);
        async move { client.call(Method::POST, node, CHAT, headers, body.to_string()).await }
    });
    let sound = async {
        for index in 0..15 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let body = chat_body(SOUND_MODEL, &format!("sound {index}"), 10, false);
            let answer = fleet.client.post(node, CHAT, &account, &body).await.unwrap();
            assert_eq!(answer.status, 200, "{:?}", answer.json());
        }
    };
    let (answers, ()) = futures::join!(futures::future::join_all(faulty), sound);
    for answer in answers.into_iter().flatten() {
        let text = answer.json().to_string();
        let is_success = answer.status == 200 && !is_stream;
        assert!(!is_success, "{text}");
        let is_told = ["no", "unknown"].map(|word| format!("\"executed\":\"{word}\""));
        assert!(is_told.iter().any(|told| text.contains(told)), "{} {text}", answer.status);
    }
    let memory = peak_kilobytes(&fleet.nodes[0]);
    println!("{memory} kB at most");
    assert!(memory < VM_KILOBYTES, "{memory} kB");
}

fn chunk(filler: &str) -> String {
    format!("10000\r\n{}\r\n", filler.repeat(0x10000 / filler.len()))
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: ATTEMPT\r\ncontent-type: application/json\r\n\
                    transfer-encoding: chunked\r\n\r\n";

// Guards against a node that ends because it reads endless answers of many calls as one JSON text
// each.
#[actix_rt::test]
async fn endless_json_of_many_calls_leaves_memory_for_others() {
    check_endless(false, HEAD, chunk("[[[[[[[[")).await;
}

#[actix_rt::test]
async fn endless_event_of_many_streams_leaves_memory_for_others() {
    check_endless(true, HEAD, chunk("data: ..")).await;
}

#[actix_rt::test]
async fn endless_head_of_many_calls_leaves_memory_for_others() {
    check_endless(false, "HTTP/1.1 200 OK\r\nx-filler: ", "x".repeat(65_536)).await;
}
