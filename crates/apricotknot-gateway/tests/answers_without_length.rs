//! Tests of answers that end with their connection: they are complete only if their endpoint took the
//! whole request.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::ServiceConfig;
use actix_http::Uri;
use actix_rt::net::TcpStream;
use apricotknot_gateway::endpoint::EndpointConnection;
use apricotknot_gateway::endpoint::EndpointExchange;
use apricotknot_gateway::endpoint::ExchangeError;
use bytes::Bytes;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Room of the node's socket, which takes a whole upload.
const SEND_BUFFER_BYTES: usize = 256 * 1_024;

/// Room of the endpoint's socket, which takes a small part of an upload.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1_024;

const UPLOAD_BYTES: usize = 96 * 1_024;

/// Time for which a test looks at an answer that must not end.
const WATCH_TIME: Duration = Duration::from_millis(300);

/// Time from the end of an answer to the reset, or until the rest of the upload is read.
const PAUSE: Duration = Duration::from_millis(100);

const ANSWERS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n\r\nanswer",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nanswer",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: answer\n\n",
    // No bytes can be a part as well.
    "HTTP/1.1 200 OK\r\n\r\n",
];

/// Returns an exchange for an upload of `length` bytes, and the endpoint's side of its connection.
async fn open(length: usize) -> (EndpointExchange, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("an option");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).expect("an option");
    socket.connect(&listener.local_addr().expect("its address").into()).expect("a connection");
    socket.set_nonblocking(true).expect("an option");
    let stream = TcpStream::from_std(socket.into()).expect("a stream of the runtime");
    let (endpoint, _) = listener.accept().await.expect("the other side");
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static("/upload");
    let body = Bytes::from(vec![b'u'; length]);
    let connection = EndpointConnection::Direct(stream);
    let started = EndpointExchange::start(&ServiceConfig::default(), connection, head, &body);
    (started.expect("a request that can be sent"), endpoint)
}

async fn read_answer(exchange: &mut EndpointExchange) -> Result<Vec<u8>, ExchangeError> {
    exchange.read_head().await?;
    let mut body = Vec::new();
    while let Some(part) = exchange.read_part().await? {
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// Reads the head and the body of a request.
async fn read_request(endpoint: &mut TcpStream, length: usize) {
    let mut received = Vec::new();
    loop {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        if end.is_some_and(|end| received.len() - end - 4 == length) {
            return;
        }
        assert!(endpoint.read_buf(&mut received).await.expect("the request") > 0, "it is whole");
    }
}

fn body_of(answer: &str) -> &[u8] {
    answer.split_once("\r\n\r\n").map(|(_, body)| body.as_bytes()).unwrap_or_default()
}

/// Guards against a part of an answer that passes as whole: the node's kernel has taken the upload, the
/// endpoint's process ends before it has read it, and the reset follows the end of the connection.
#[actix_rt::test]
async fn answer_whose_upload_was_not_taken_is_not_complete() {
    for answer in ANSWERS {
        let (mut exchange, mut endpoint) = open(UPLOAD_BYTES).await;
        let crashing = actix_rt::spawn(async move {
            endpoint.write_all(answer.as_bytes()).await.expect("the answer is sent");
            endpoint.shutdown().await.expect("its end is sent");
            tokio::time::sleep(PAUSE).await;
            SockRef::from(&endpoint).set_linger(Some(Duration::ZERO)).expect("an option");
        });
        let found = read_answer(&mut exchange).await;
        let is_told = matches!(
            found,
            Err(ExchangeError::RequestNotTaken { outstanding_bytes, .. }) if outstanding_bytes > 0
        );
        assert!(is_told, "{answer:?}: {found:?}");
        crashing.await.expect("the endpoint");
    }
}

/// Guards against sound answers that are lost with the unsound ones: an endpoint may answer an upload
/// before it has read it, and read on.
#[actix_rt::test]
async fn early_answer_of_an_endpoint_that_reads_on_is_complete() {
    for answer in ANSWERS {
        for (length, is_half_closed) in
            [(0, false), (0, true), (1, true), (UPLOAD_BYTES, false), (UPLOAD_BYTES, true)]
        {
            let (mut exchange, mut endpoint) = open(length).await;
            let answering = actix_rt::spawn(async move {
                endpoint.write_all(answer.as_bytes()).await.expect("the answer is sent");
                if is_half_closed {
                    endpoint.shutdown().await.expect("its end is sent");
                }
                tokio::time::sleep(PAUSE).await;
                read_request(&mut endpoint, length).await;
            });
            let found = read_answer(&mut exchange).await.expect("a sound answer");
            assert_eq!(found, body_of(answer), "{length} bytes, half-closed: {is_half_closed}");
            answering.await.expect("the endpoint");
        }
    }
}

/// An endpoint that is cut off acknowledges nothing and resets nothing; the call's own limits end the
/// wait, and what is held back is known.
#[actix_rt::test]
async fn end_of_an_answer_is_held_back_while_the_upload_is_outstanding() {
    let (mut exchange, mut endpoint) = open(UPLOAD_BYTES).await;
    endpoint.write_all(ANSWERS[0].as_bytes()).await.expect("the answer is sent");
    endpoint.shutdown().await.expect("its end is sent");
    let found = tokio::time::timeout(WATCH_TIME, read_answer(&mut exchange)).await;
    assert!(found.is_err(), "{found:?}");
    assert!(exchange.held_back_for().is_some_and(|bytes| bytes > 0));
}
