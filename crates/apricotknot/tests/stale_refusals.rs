//! Endpoints that write an earlier refusal once more on a connection that is in use again.
//!
//! Read as the answer to the next request, it would tell a caller that the request was not run
//! while the endpoint runs it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use apricotknot::engine::AttemptRequest;
use apricotknot::engine::CallPath;
use apricotknot::engine::EngineClient;
use apricotknot::engine::EngineErrorKind;
use apricotknot::engine::HttpEngineClient;
use apricotknot::plain::HttpPlainClient;
use apricotknot::plain::PlainClient;
use apricotknot::plain::PlainErrorKind;
use apricotknot::plain::PlainRequest;
use apricotknot_core::types::AttemptId;
use apricotknot_gateway::endpoint::AnswerBudget;
use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Attempt that the endpoint refuses.
const REFUSED: AttemptId = 1;

/// Attempt that the endpoint runs.
const RUN: AttemptId = 2;

fn answer_budget() -> Arc<AnswerBudget> {
    Arc::new(AnswerBudget::new(1_024 * 1_024))
}

/// An endpoint that refuses the first request and runs all others.
struct FaultyEndpoint {
    address: SocketAddr,
    runs: Rc<Cell<u32>>,
    connections: Rc<Cell<u32>>,
}

/// Returns the refusal of the attempt `echoed`, or one that names no attempt.
fn refusal(echoed: Option<AttemptId>) -> String {
    let echo = echoed.map(|attempt| format!("x-attempt-id: {attempt:032x}\r\n"));
    let echo = echo.unwrap_or_default();
    format!("HTTP/1.1 503 Busy\r\nx-executed: no\r\n{echo}content-length: 0\r\n\r\n")
}

impl FaultyEndpoint {
    /// Starts the endpoint; before it runs a request, it writes the refusal of [`REFUSED`] again.
    async fn start(echoed: Option<AttemptId>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (runs, connections) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let endpoint =
            Self { address, runs: Rc::clone(&runs), connections: Rc::clone(&connections) };
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                actix_rt::spawn(serve(stream, echoed, Rc::clone(&runs)));
            }
        });
        Ok(endpoint)
    }
}

/// Serves one connection until it ends.
async fn serve(mut stream: TcpStream, echoed: Option<AttemptId>, runs: Rc<Cell<u32>>) {
    let mut buffer = vec![0; 16 * 1_024];
    let mut has_refused = false;
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
        let is_refused = text.contains(&format!("x-attempt-id: {REFUSED:032x}"));
        if is_refused || has_refused {
            // The second copy comes while the next request is under way.
            let _ = stream.write_all(refusal(echoed).as_bytes()).await;
        }
        if is_refused {
            has_refused = true;
            continue;
        }
        runs.set(runs.get() + 1);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer =
            format!("HTTP/1.1 200 OK\r\nx-attempt-id: {RUN:032x}\r\ncontent-length: 2\r\n\r\n{{}}");
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

fn engine_request(address: SocketAddr, attempt: AttemptId) -> AttemptRequest {
    AttemptRequest {
        address,
        attempt,
        path: CallPath::Completions,
        body: Bytes::new(),
        priority: 1,
        fencing_number: 1,
        head_timeout: Duration::from_secs(5),
    }
}

fn plain_request(address: SocketAddr, attempt: AttemptId) -> PlainRequest {
    PlainRequest {
        address,
        attempt,
        method: Method::POST,
        target: "/orders".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
    }
}

/// Starts an endpoint that answers one request with `answer`, and then closes the connection.
async fn start_answering(answer: &'static str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(async move {
        if let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    Ok(address)
}

// Guards against an answer that ends early and looks complete.
#[actix_rt::test]
async fn answer_of_a_plain_service_that_ends_early_is_lost() -> std::io::Result<()> {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nten bytes.",
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nten bytes.\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nten",
    ] {
        let address = start_answering(answer).await?;
        let client = HttpPlainClient::new(answer_budget());
        let outcome = client.call(plain_request(address, RUN)).await;
        assert_eq!(
            outcome.map_err(|error| error.kind()).err(),
            Some(PlainErrorKind::Lost),
            "{answer}"
        );
    }
    Ok(())
}

/// Starts an endpoint that answers with a part of a body at once, without a length, and resets the
/// connection while the request is still being written.
async fn start_resetting() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    socket2::SockRef::from(&listener).set_recv_buffer_size(4_096)?;
    let address = listener.local_addr()?;
    actix_rt::spawn(async move {
        if let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 16]).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"half\": 1}").await;
            // Gives the client time to read the part before the reset.
            tokio::time::sleep(Duration::from_millis(100)).await;
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    Ok(address)
}

// Guards against a part of an answer that passes as whole, as only the sender is told of the reset.
#[actix_rt::test]
async fn answer_that_is_reset_during_the_request_is_lost() -> std::io::Result<()> {
    let body = Bytes::from(vec![b'x'; 16 * 1_024 * 1_024]);
    for _ in 0..4 {
        let mut call = plain_request(start_resetting().await?, RUN);
        call.body = body.clone();
        let outcome = HttpPlainClient::new(answer_budget()).call(call).await;
        let error = outcome.map_err(|error| error.kind()).err();
        assert_eq!(error, Some(PlainErrorKind::Lost));
        let mut prompt = engine_request(start_resetting().await?, RUN);
        prompt.body = body.clone();
        let answer = HttpEngineClient::new().start(prompt).await;
        let error = answer.map_err(|error| error.kind()).err();
        assert_eq!(error, Some(EngineErrorKind::Lost));
    }
    Ok(())
}

// Guards against an answer whose status is none.
#[actix_rt::test]
async fn answer_without_a_valid_status_is_lost() -> std::io::Result<()> {
    for answer in [
        "HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 099 Low\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 20 Short\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 2000 Long\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 000 Early\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    ] {
        let client = HttpPlainClient::new(answer_budget());
        let outcome = client.call(plain_request(start_answering(answer).await?, RUN)).await;
        let error = outcome.map_err(|error| error.kind()).err();
        assert_eq!(error, Some(PlainErrorKind::Lost), "{answer}");
        let request = engine_request(start_answering(answer).await?, RUN);
        let answered = HttpEngineClient::new().start(request).await;
        let error = answered.map_err(|error| error.kind()).err();
        assert_eq!(error, Some(EngineErrorKind::Lost), "{answer}");
    }
    Ok(())
}

#[actix_rt::test]
async fn second_copy_of_a_refusal_does_not_refuse_the_next_prompt() {
    for echoed in [Some(REFUSED), None] {
        let endpoint = FaultyEndpoint::start(echoed).await.expect("a listener");
        let client = HttpEngineClient::new();
        let first = client.start(engine_request(endpoint.address, REFUSED)).await;
        assert!(first.is_err());
        let second = client.start(engine_request(endpoint.address, RUN)).await;
        assert_eq!(endpoint.runs.get(), 1, "the endpoint runs the second request");
        if let Err(error) = second {
            assert_ne!(error.kind(), EngineErrorKind::Refused, "echoed {echoed:?}");
        }
    }
}

#[actix_rt::test]
async fn second_copy_of_a_refusal_does_not_refuse_the_next_call() {
    for echoed in [Some(REFUSED), None] {
        let endpoint = FaultyEndpoint::start(echoed).await.expect("a listener");
        let client = HttpPlainClient::new(answer_budget());
        let first = client.call(plain_request(endpoint.address, REFUSED)).await;
        let first = first.map_err(|error| error.kind()).map(|answer| answer.status);
        assert_eq!(first, Err(PlainErrorKind::Refused));
        let second = client.call(plain_request(endpoint.address, RUN)).await;
        assert_eq!(endpoint.runs.get(), 1, "the endpoint runs the second call");
        let own = second.is_ok_and(|answer| answer.echoed == Some(RUN) && answer.status == 200);
        assert!(own, "echoed {echoed:?}: the answer is not the call's own");
    }
}

#[actix_rt::test]
async fn refusal_of_another_prompt_does_not_prove_that_the_prompt_was_not_run() {
    // On a connection of its own, an endpoint mixes up two requests.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(refusal(Some(REFUSED)).as_bytes()).await;
        }
    });
    let answer = HttpEngineClient::new().start(engine_request(address, RUN)).await;
    assert!(answer.is_err_and(|error| error.kind() != EngineErrorKind::Refused));
}

#[actix_rt::test]
async fn each_prompt_and_call_has_a_connection_of_its_own() {
    let endpoint = FaultyEndpoint::start(None).await.expect("a listener");
    let (engine, plain) = (HttpEngineClient::new(), HttpPlainClient::new(answer_budget()));
    for _ in 0..2 {
        let _ = engine.start(engine_request(endpoint.address, RUN)).await;
        let _ = plain.call(plain_request(endpoint.address, RUN)).await;
    }
    assert_eq!(endpoint.connections.get(), 4);
}
