//! Requests that callers of `apricotknot run` send before the ones before them are answered.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MODEL: &str = "standin";

/// Time after which what has not come is taken not to come.
const MOMENT: Duration = Duration::from_millis(1_500);

/// A request and what its answer is like.
struct Call {
    bytes: Vec<u8>,
    status: u16,
    has_body: bool,
}

fn head(method: &str, path: &str, headers: &str) -> String {
    let key = FleetHarness::ACCOUNT_KEY;
    format!("{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n{headers}\r\n")
}

fn models() -> Call {
    Call { bytes: head("GET", "/v1/models", "").into_bytes(), status: 200, has_body: true }
}

fn models_head() -> Call {
    // The interface has no answer to it, but this one.
    Call { bytes: head("HEAD", "/v1/models", "").into_bytes(), status: 404, has_body: false }
}

fn chat(prompt: &str) -> Call {
    let body = chat_body(MODEL, prompt, 20, false).to_string();
    let headers = format!("content-length: {}\r\n", body.len());
    let head = head("POST", "/v1/chat/completions", &headers);
    Call { bytes: [head, body].concat().into_bytes(), status: 200, has_body: true }
}

fn chunked_chat(prompt: &str) -> Call {
    let body = chat_body(MODEL, prompt, 20, false).to_string();
    let (start, end) = body.split_at(body.len() / 2);
    let head = head("POST", "/v1/chat/completions", "transfer-encoding: chunked\r\n");
    let body = format!(
        "{:x};a=b\r\n{start}\r\n{:X}\r\n{end}\r\n0\r\nx-trailer: 1\r\n\r\n",
        start.len(),
        end.len()
    );
    Call { bytes: [head, body].concat().into_bytes(), status: 200, has_body: true }
}

/// Sends `calls` on one connection in parts of `size` bytes, and reads all that comes back.
async fn send_all(node: SocketAddr, calls: &[Call], size: usize, pause: Duration) -> Vec<u8> {
    let mut stream = TcpStream::connect(node).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let bytes: Vec<u8> = calls.iter().flat_map(|call| call.bytes.iter().copied()).collect();
    let mut received = Vec::new();
    for part in bytes.chunks(size) {
        stream.write_all(part).await.unwrap();
        tokio::time::sleep(pause).await;
    }
    while let Ok(Ok(1..)) = tokio::time::timeout(MOMENT, stream.read_buf(&mut received)).await {}
    received
}

/// Splits the body of an answer from what comes behind it.
fn split_body<'a>(head: &str, bytes: &'a [u8]) -> (Vec<u8>, &'a [u8]) {
    if let Some(length) = head.lines().find_map(|line| line.strip_prefix("content-length: ")) {
        let (body, rest) = bytes.split_at(length.parse::<usize>().unwrap().min(bytes.len()));
        return (body.to_vec(), rest);
    }
    let (mut body, mut rest) = (Vec::new(), bytes);
    while let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = usize::from_str_radix(&String::from_utf8_lossy(&rest[..end]), 16).unwrap_or(0);
        let chunk = &rest[end + 2..];
        body.extend_from_slice(&chunk[..size.min(chunk.len())]);
        rest = chunk.get(size + 2..).unwrap_or_default();
        if size == 0 {
            break;
        }
    }
    (body, rest)
}

/// Checks that each call has the answer that it asks for, in order, and that nothing else came.
fn check_answers(calls: &[Call], mut received: &[u8]) {
    for (number, call) in calls.iter().enumerate() {
        let text = String::from_utf8_lossy(received).into_owned();
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        let end = end.unwrap_or_else(|| panic!("no answer {number}: {text}")) + 4;
        let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
        assert!(head.starts_with(&format!("http/1.1 {}", call.status)), "{number}: {text}");
        assert!(!head.contains("connection: close"), "answer {number}: {text}");
        received = &received[end..];
        if call.has_body {
            let (body, rest) = split_body(&head, received);
            let body: Result<serde_json::Value, _> = serde_json::from_slice(&body);
            assert!(body.is_ok_and(|body| body.is_object()), "answer {number}: {text}");
            received = rest;
        }
    }
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(received));
}

/// Guards against an answer that takes its form from the request behind it, whose head the server has
/// read meanwhile: it loses its body to a HEAD.
#[actix_rt::test]
async fn an_answer_has_the_form_that_its_own_request_asks_for() {
    let plan = EnginePlan::default().option("--step-ms", 5);
    let fleet = FleetHarness::start(FleetSettings::default().engine(plan)).await.unwrap();
    let node = fleet.nodes[0].callers;
    let calls = [
        models(),
        models_head(),
        chat("a question"),
        models_head(),
        chunked_chat("another one"),
        models_head(),
        models(),
    ];
    for (size, pause) in [(usize::MAX, 0), (1_000, 10), (131, 2), (17, 1)] {
        let pause = Duration::from_millis(pause);
        let size = size.min(1 << 20);
        check_answers(&calls, &send_all(node, &calls, size, pause).await);
    }
}
