//! Tests of a caller's connection while a request is in progress.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use apricotknot_core::intake::IntakeLimits;
use apricotknot_core::routing::InputLimits;
use apricotknot_gateway::caller::CallerConnection;
use apricotknot_gateway::intake::IntakeControl;
use apricotknot_gateway::intake::IntakeMetrics;
use bytes::Bytes;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time after which what has not come is taken not to come.
const MOMENT: Duration = Duration::from_millis(300);

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
    tokio::time::timeout(MOMENT, connection.wait_closed()).await.is_ok()
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

/// Reads what the caller gets within a moment.
async fn received(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while let Ok(Ok(1..)) = tokio::time::timeout(MOMENT, client.read_buf(&mut bytes)).await {}
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against an answer that takes its form from the request behind it: the answer to a GET lost
/// its body to a HEAD, and the connection its life to a wish to close that was meant for later.
#[actix_rt::test]
async fn an_answer_has_the_form_that_its_own_request_asks_for() {
    let later_heads = [
        "HEAD /b HTTP/1.1\r\nhost: a\r\n\r\n",
        "HEAD /b HTTP/1.0\r\nhost: a\r\n\r\n",
        "GET /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        "POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody",
    ];
    let head = ResponseHead::new(StatusCode::OK);
    for later in later_heads {
        let (mut connection, mut client) = connect().await;
        let limits = InputLimits::default();
        client.write_all(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("written");
        connection.read_request(&limits).await.expect("a request");
        client.write_all(later.as_bytes()).await.expect("written");
        let _ = tokio::time::timeout(MOMENT, connection.wait_closed()).await;
        connection.write_answer(&head, Bytes::from_static(b"whole")).expect("an answer");
        connection.finish_output().await.expect("written");
        let first = received(&mut client).await;
        assert!(
            first.starts_with("HTTP/1.1 200 OK") && first.ends_with("\r\n\r\nwhole"),
            "{first}"
        );
        assert!(connection.is_reusable(), "{later}");
        let request = connection.read_request(&limits).await.expect("the later request");
        assert!(later.starts_with(request.head.method.as_str()), "{later}");
        assert_eq!(&request.body[..], if later.starts_with("POST") { &b"body"[..] } else { b"" });
        connection.write_answer(&head, Bytes::from_static(b"whole")).expect("an answer");
        connection.finish_output().await.expect("written");
        let second = received(&mut client).await;
        assert!(second.contains("content-length: 5"), "{second}");
        assert_eq!(second.ends_with("whole"), !later.starts_with("HEAD"), "{second}");
    }
}

/// Guards against a refusal without its body, as the request before it was a HEAD.
#[actix_rt::test]
async fn the_answer_to_an_unreadable_head_has_a_body() {
    let (mut connection, mut client) = connect().await;
    let limits = InputLimits::default();
    client.write_all(b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("written");
    connection.read_request(&limits).await.expect("a request");
    let head = ResponseHead::new(StatusCode::OK);
    connection.write_answer(&head, Bytes::from_static(b"whole")).expect("an answer");
    connection.finish_output().await.expect("written");
    assert!(received(&mut client).await.ends_with("\r\n\r\n"));
    client.write_all(b"\x00\x01 nonsense\r\n\r\n").await.expect("written");
    assert!(connection.read_request(&limits).await.is_err());
    let head = ResponseHead::new(StatusCode::BAD_REQUEST);
    connection.write_answer(&head, Bytes::from_static(b"why")).expect("an answer");
    connection.finish_output().await.expect("written");
    assert!(received(&mut client).await.ends_with("\r\n\r\nwhy"));
}
