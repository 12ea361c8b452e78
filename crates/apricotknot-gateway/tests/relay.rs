//! Tests of connections to endpoints that a node relays for another one.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use apricotknot_core::fleet::EndpointPhase;
use apricotknot_gateway::peers::DatagramSeal;
use apricotknot_gateway::relay::RelayError;
use apricotknot_gateway::relay::RelayRefusal;
use apricotknot_gateway::relay::RelayedStream;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use support::relaying_node::Relay;
use support::relaying_node::SECRET;

/// Answer of an endpoint, without a length: it ends with its connection.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nwhole answer";

fn refusal(opened: Result<RelayedStream, RelayError>) -> Option<RelayRefusal> {
    opened.err().and_then(|error| error.refusal())
}

#[actix_rt::test]
async fn request_and_answer_pass_unchanged() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    let request: Vec<u8> = (0..100_000_u32).map(|number| number.to_le_bytes()[0]).collect();
    let (mut stream, mut endpoint) = relay.open_both(request.len()).await;
    let sent = request.clone();
    let answering = actix_rt::spawn(async move {
        let mut received = vec![0; sent.len()];
        endpoint.read_exact(&mut received).await.expect("the request");
        endpoint.write_all(&received).await.expect("the answer is sent");
        received == sent
    });
    let mut answer = Vec::new();
    stream.write_all(&request).await.expect("the request is sent");
    stream.read_to_end(&mut answer).await.expect("a complete answer");
    assert!(answering.await.expect("the endpoint") && answer == request);
}

#[actix_rt::test]
async fn end_of_the_relaying_node_is_not_the_end_of_an_answer() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    let (mut stream, mut endpoint) = relay.open_both(0).await;
    endpoint.write_all(ANSWER).await.expect("the answer is sent");
    let mut answer = vec![0; ANSWER.len()];
    stream.read_exact(&mut answer).await.expect("the bytes of the answer");
    relay.sessions.abort();
    let end = stream.read(&mut answer).await;
    assert!(end.is_err(), "{end:?}");
}

#[actix_rt::test]
async fn answer_that_an_endpoint_breaks_off_does_not_end_as_complete() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    let (mut stream, mut endpoint) = relay.open_both(0).await;
    endpoint.write_all(ANSWER).await.expect("the answer is sent");
    let mut answer = vec![0; ANSWER.len()];
    stream.read_exact(&mut answer).await.expect("the bytes of the answer");
    socket2::SockRef::from(&endpoint).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(endpoint);
    let end = stream.read(&mut answer).await;
    assert!(end.is_err(), "{end:?}");
}

/// Guards against a part of an answer that passes as whole: the peer is told of the reset as it sends
/// the request on, and reads an orderly end after that. Which half is told first differs by chance.
#[actix_rt::test]
async fn answer_that_is_reset_during_the_request_does_not_end_as_complete() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    socket2::SockRef::from(&relay.endpoint).set_recv_buffer_size(4_096).expect("an option");
    for round in 0..16 {
        let request = vec![b'x'; 16 * 1_024 * 1_024];
        let (stream, mut endpoint) = relay.open_both(request.len()).await;
        let (mut input, mut output) = tokio::io::split(stream);
        let sending = actix_rt::spawn(async move { output.write_all(&request).await });
        endpoint.write_all(ANSWER).await.expect("the answer is sent");
        let mut answer = vec![0; ANSWER.len()];
        input.read_exact(&mut answer).await.expect("the bytes of the answer");
        socket2::SockRef::from(&endpoint).set_linger(Some(Duration::ZERO)).expect("an option");
        drop(endpoint);
        let end = input.read(&mut answer).await;
        assert!(end.is_err(), "round {round}: {end:?}");
        sending.abort();
    }
}

#[actix_rt::test]
async fn endpoint_learns_at_once_that_the_node_has_left() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    let (mut stream, mut endpoint) = relay.open_both(18).await;
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("the request is sent");
    let mut received = [0; 18];
    endpoint.read_exact(&mut received).await.expect("the request");
    assert_eq!(relay.metrics.open_relays.get(), 1);
    drop(stream);
    let end = endpoint.read(&mut received).await;
    assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
}

#[actix_rt::test]
async fn endpoint_that_leaves_gets_nothing_through_a_peer() {
    let relay = Relay::start(EndpointPhase::Leaving).await;
    assert_eq!(refusal(relay.open().await), Some(RelayRefusal::NotPermitted));
    let unknown = relay.open_with(SECRET, "engine-9").await;
    assert_eq!(refusal(unknown), Some(RelayRefusal::NotPermitted));
}

#[actix_rt::test]
async fn node_that_stops_relays_nothing_new() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    let (mut stream, mut endpoint) = relay.open_both(0).await;
    relay.shared.mark_stopping(Duration::from_secs(1));
    assert_eq!(refusal(relay.open().await), Some(RelayRefusal::Stopping));
    endpoint.write_all(ANSWER).await.expect("the answer is sent");
    drop(endpoint);
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("what has begun goes on");
    assert_eq!(answer, ANSWER);
}

#[actix_rt::test]
async fn stranger_gets_no_connection() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    let opened = relay.open_with(b"another secret", "engine-0").await;
    assert!(opened.is_err_and(|error| error.refusal().is_none()));
    let accepted = tokio::time::timeout(Duration::from_millis(200), relay.endpoint.accept()).await;
    assert!(accepted.is_err(), "the endpoint gets no connection");
}

#[actix_rt::test]
async fn node_that_does_not_know_the_secret_is_not_trusted() {
    let stranger = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = stranger.local_addr().expect("its address");
    actix_rt::spawn(async move {
        let (mut stream, _) = stranger.accept().await.expect("a connection");
        stream.write_all(&[7; 16]).await.expect("a challenge");
        // Code 0 states a connection; the tag is wrong.
        stream.write_all(&[0; 17]).await.expect("an answer");
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let seal = DatagramSeal::new(SECRET).expect("a seal");
    let opened = RelayedStream::open(address, "node".into(), "engine-0".into(), &seal).await;
    assert!(matches!(opened, Err(RelayError::Unauthenticated)));
}

#[actix_rt::test]
async fn endpoint_that_the_peer_cannot_reach_either_is_named() {
    let relay = Relay::start(EndpointPhase::Ready).await;
    let Relay { address, endpoint, .. } = relay;
    drop(endpoint);
    let seal = DatagramSeal::new(SECRET).expect("a seal");
    let opened = RelayedStream::open(address, "node".into(), "engine-0".into(), &seal).await;
    assert_eq!(refusal(opened), Some(RelayRefusal::Unreached));
    let opened = RelayedStream::open(address, "node".into(), "engine-0".into(), &seal).await;
    assert_eq!(refusal(opened), Some(RelayRefusal::CutOff), "its only endpoint stands for a cut");
}
