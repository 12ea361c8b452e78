//! 200 callers that read slowly: the node's memory stays bounded, the engine is paused, and all
//! answers are complete.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::SocketAddr;
use std::time::Instant;

use apricotknot_standin::engine::verify_answer;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::StreamSummary;
use apricotknot_standin::fleet::chat_body;
use apricotknot_standin::fleet::eventually;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const MODEL: &str = "standin";

/// Number of callers that read slowly.
const READER_COUNT: usize = 200;

/// Tokens of each answer; a token takes about 1,200 bytes on the wire.
const ANSWER_TOKENS: u64 = 1_500;

/// Most memory that the node may hold for each slow reader, in bytes.
///
/// An answer is about thirteen times as large.
const MAX_BYTES_PER_READER: u64 = 128 * 1_024;

/// Size of the socket receive buffer of a slow reader, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1_024;

/// Sends a request and reads none of its answer.
///
/// With HTTP/1.0 the end of the connection marks the end of the body.
async fn send_request(node: SocketAddr, prompt: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(node).await.unwrap();
    let body = chat_body(MODEL, prompt, ANSWER_TOKENS, true).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\n\r\n",
        FleetHarness::ACCOUNT_KEY,
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    stream
}

/// Returns whether all answers are still in progress and the engine generates none of them further.
async fn is_paused(fleet: &FleetHarness) -> bool {
    let before = fleet.engine_stats(0).await.unwrap()["load"].clone();
    actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
    let after = fleet.engine_stats(0).await.unwrap()["load"].clone();
    before == after && after["running"] == READER_COUNT
}

#[actix_rt::test]
async fn slow_readers_hold_bounded_memory_and_get_whole_answers() {
    let plan = EnginePlan::default()
        .option("--step-ms", 1)
        .option("--output-window", 64)
        .option("--chunk-padding", 1_000)
        .max_concurrent(256)
        .cold_limits(4_000_000, 256)
        .memory_tokens(4_000_000);
    let fleet = FleetHarness::start(FleetSettings::default().engine(plan)).await.unwrap();
    let node = fleet.nodes[0].callers;
    let before = fleet.nodes[0].process.resident_bytes();
    let sent = Instant::now();
    let mut streams = Vec::new();
    for number in 0..READER_COUNT {
        let prompt = format!("flood archive {number}");
        let stream = send_request(node, &prompt).await;
        streams.push((prompt, stream));
    }
    assert!(
        eventually(async || is_paused(&fleet).await).await,
        "the engine pauses while the callers do not read"
    );
    let held = fleet.nodes[0].process.resident_bytes().saturating_sub(before);
    println!("held for {READER_COUNT} slow readers: {held} bytes");
    assert!(held < READER_COUNT as u64 * MAX_BYTES_PER_READER, "{held} bytes");
    futures::future::join_all(streams.into_iter().map(async |(prompt, mut stream)| {
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        let total = StreamSummary::parse(&answer, sent);
        assert!(total.done);
        assert_eq!(verify_answer(MODEL, &prompt, &total.text, ANSWER_TOKENS as usize), Ok(()));
    }))
    .await;
    let stats = fleet.engine_stats(0).await.unwrap();
    assert_eq!(stats["finished"], READER_COUNT);
    assert_eq!(stats["cancelled"], 0);
}
