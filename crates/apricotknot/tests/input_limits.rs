//! Requests that a node refuses before any work, with the documented status and error code.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use actix_http::Method;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetAnswer;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const MODEL: &str = "standin";

const CHAT: &str = "/v1/chat/completions";

/// Timeout for the part of a request that a test sends without delay, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 30_000;

/// Timeout for the part of a request that a test withholds, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 300;

async fn start() -> FleetHarness {
    start_with(LONG_TIMEOUT_MS, LONG_TIMEOUT_MS).await
}

async fn start_with(header_timeout_ms: u64, body_timeout_ms: u64) -> FleetHarness {
    let settings = FleetSettings::default()
        .engine(EnginePlan::default().option("--step-ms", 1))
        .node_setting("callers", "max_body_bytes", 65_536)
        .node_setting("callers", "body_timeout_ms", body_timeout_ms)
        .node_setting("callers", "header_timeout_ms", header_timeout_ms);
    FleetHarness::start(settings).await.unwrap()
}

fn assert_refused(answer: &FleetAnswer, status: u16, code: &str) {
    let error = &answer.json()["error"];
    assert_eq!((answer.status, error["code"].as_str()), (status, Some(code)), "{error}");
    assert_eq!(answer.header("x-executed"), Some("no"));
    assert_eq!(error["executed"], "no");
    assert!(error["message"].is_string());
    assert!(answer.header("x-request-id").is_some());
}

async fn assert_nothing_ran(fleet: &FleetHarness) {
    let stats = fleet.engine_stats(0).await.unwrap();
    assert_eq!(stats["executions"], json!({}));
}

#[actix_rt::test]
async fn malformed_unknown_and_unauthorised_requests_are_refused() {
    let fleet = start().await;
    let node = fleet.nodes[0].callers;
    let account = FleetHarness::account_headers();
    let client = &fleet.client;
    let malformed = client.call(Method::POST, node, CHAT, &account, "{\"model\":").await.unwrap();
    assert_refused(&malformed, 400, "invalid_request");
    let body = chat_body("no-such-model", "hello", 5, false);
    let unknown_model = client.post(node, CHAT, &account, &body).await.unwrap();
    assert_refused(&unknown_model, 404, "not_found");
    let body = chat_body(MODEL, "hello", 5, false);
    let without_key = client.post(node, CHAT, &[], &body).await.unwrap();
    assert_refused(&without_key, 401, "invalid_credentials");
    let wrong_key = [("authorization", "Bearer clerk-kez")];
    let wrong_key = client.post(node, CHAT, &wrong_key, &body).await.unwrap();
    assert_refused(&wrong_key, 401, "invalid_credentials");
    let unknown_path = client.post(node, "/nowhere", &account, &body).await.unwrap();
    assert_refused(&unknown_path, 404, "not_found");
    assert_nothing_ran(&fleet).await;
}

#[actix_rt::test]
async fn large_bodies_and_prompts_are_refused() {
    let fleet = start().await;
    let node = fleet.nodes[0].callers;
    let account = FleetHarness::account_headers();
    let body = chat_body(MODEL, &"x".repeat(70_000), 5, false);
    let large = fleet.client.post(node, CHAT, &account, &body).await.unwrap();
    assert_refused(&large, 413, "request_too_large");
    let body = chat_body(MODEL, "hello", 500_000, false);
    let too_long = fleet.client.post(node, CHAT, &account, &body).await.unwrap();
    assert_refused(&too_long, 413, "prompt_too_large");
    assert_nothing_ran(&fleet).await;
}

#[actix_rt::test]
async fn body_that_does_not_arrive_in_time_is_refused() {
    let fleet = start_with(LONG_TIMEOUT_MS, SHORT_TIMEOUT_MS).await;
    let mut socket = TcpStream::connect(fleet.nodes[0].callers).await.unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\ncontent-length: 100\r\n\
        authorization: Bearer clerk-key\r\n\r\n{\"model\"";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let length = socket.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.to_lowercase().contains("x-executed: no"), "{answer}");
    assert_nothing_ran(&fleet).await;
}

#[actix_rt::test]
async fn head_that_does_not_arrive_in_time_ends_the_connection() {
    let fleet = start_with(SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS).await;
    let mut socket = TcpStream::connect(fleet.nodes[0].callers).await.unwrap();
    socket.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost:").await.unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[actix_rt::test]
async fn oversized_head_ends_the_connection() {
    let fleet = start().await;
    let mut socket = TcpStream::connect(fleet.nodes[0].callers).await.unwrap();
    let line = format!("GET /v1/models HTTP/1.1\r\nx-long: {}", "x".repeat(1 << 20));
    let _ = socket.write_all(line.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    let ready = fleet.client.get(fleet.nodes[0].operators, "/readyz").await.unwrap();
    assert_eq!(ready.status, 200);
}
