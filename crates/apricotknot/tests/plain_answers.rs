//! Memory of the answers of plain services, and uploads that they answer before they read them, through
//! the client of `apricotknot run`.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use apricotknot::plain::HttpPlainClient;
use apricotknot::plain::PlainClient;
use apricotknot::plain::PlainErrorKind;
use apricotknot::plain::PlainRequest;
use apricotknot_gateway::endpoint::AnswerBudget;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const ANSWER_BYTES: usize = 1_000_000;

/// Memory for two answers and a half.
const BUDGET_BYTES: usize = 2_500_000;

/// Starts a service whose answers have [`ANSWER_BYTES`] bytes.
async fn start_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; ANSWER_BYTES]).await;
        }
    });
    address
}

fn request(address: SocketAddr) -> PlainRequest {
    PlainRequest {
        address,
        attempt: 1,
        method: Method::POST,
        target: "/orders".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
    }
}

/// Guards against answers that wait for slow callers and count for nobody.
#[actix_rt::test]
async fn an_answer_counts_as_long_as_it_is_held() {
    let address = start_service().await;
    let budget = Arc::new(AnswerBudget::new(BUDGET_BYTES));
    let client = HttpPlainClient::new(Arc::clone(&budget));
    let first = client.call(request(address)).await.expect("an answer");
    let second = client.call(request(address)).await.expect("an answer");
    assert!(budget.used() > ANSWER_BYTES, "{} bytes", budget.used());
    let third = client.call(request(address)).await;
    assert_eq!(third.err().map(|error| error.kind()), Some(PlainErrorKind::TooLarge));
    let copy = first.clone();
    drop(first);
    assert!(budget.used() > ANSWER_BYTES, "a copy holds the same bytes");
    drop((copy, second));
    assert_eq!(budget.used(), 0);
    assert!(client.call(request(address)).await.is_ok());
}

/// Length of an upload; more than the buffers of two sockets take.
const UPLOAD_BYTES: usize = 8 * 1_024 * 1_024;

/// Starts a service that answers an upload at once, and sends its length once it has read it.
async fn start_early_service() -> (SocketAddr, oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let (sender, receiver) = oneshot::channel();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        let head_end = loop {
            stream.read_buf(&mut received).await.expect("the request");
            if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
        };
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\naccepted";
        stream.write_all(answer).await.expect("the answer is sent");
        tokio::time::sleep(Duration::from_millis(300)).await;
        while received.len() - head_end < UPLOAD_BYTES
            && stream.read_buf(&mut received).await.is_ok_and(|count| count > 0)
        {}
        let _ = sender.send(received.len() - head_end);
    });
    (address, receiver)
}

/// Guards against an upload that its caller is told is accepted, and of which the service gets only what
/// fits the buffers; what is sent later counts as held.
#[actix_rt::test]
async fn accepted_upload_arrives_whole_at_a_service_that_answers_first() {
    let (address, received) = start_early_service().await;
    let budget = Arc::new(AnswerBudget::new(2 * UPLOAD_BYTES));
    let client = HttpPlainClient::new(Arc::clone(&budget));
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let answer = client.call(PlainRequest { body, ..request(address) }).await.expect("an answer");
    assert_eq!((answer.status, &answer.body[..]), (200, &b"accepted"[..]));
    assert!(budget.used() > UPLOAD_BYTES / 2, "{} bytes", budget.used());
    assert_eq!(received.await, Ok(UPLOAD_BYTES));
    while budget.used() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
