//! Memory of the answers of plain services, through the client of `apricotknot run`.

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
