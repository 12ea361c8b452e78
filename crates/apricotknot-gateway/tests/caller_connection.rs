//! Tests of a caller's connection while a request is in progress.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use actix_http::ServiceConfig;
use apricotknot_core::intake::IntakeLimits;
use apricotknot_core::routing::InputLimits;
use apricotknot_gateway::caller::CallerConnection;
use apricotknot_gateway::intake::IntakeControl;
use apricotknot_gateway::intake::IntakeMetrics;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Returns both ends of a connection.
async fn connect() -> (CallerConnection, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let client = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("the other end");
    let limits = IntakeLimits::new(1_000_000, 10);
    let logger = Logger::root(Discard, o!());
    let control = IntakeControl::new("test", limits, IntakeMetrics::default(), logger);
    (CallerConnection::new(stream, &ServiceConfig::default(), control.open()), client)
}

/// Sends a request, and then `rest`; returns whether the caller then counts as gone.
async fn counts_as_gone(rest: &[u8]) -> bool {
    let (mut connection, mut client) = connect().await;
    client.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("written");
    connection.read_request(&InputLimits::default()).await.expect("a request");
    client.write_all(rest).await.expect("written");
    tokio::time::timeout(Duration::from_millis(300), connection.wait_closed()).await.is_ok()
}

#[actix_rt::test]
async fn a_later_head_that_is_too_large_does_not_end_the_request_in_progress() {
    let head = [b"GET / HTTP/1.1\r\nfiller: ".as_slice(), &[b'a'; 40_000]].concat();
    assert!(!counts_as_gone(&head).await);
}

#[actix_rt::test]
async fn bytes_that_are_no_request_end_the_request_in_progress() {
    assert!(counts_as_gone(b"\x00\x01 nonsense\r\n\r\n").await);
}
