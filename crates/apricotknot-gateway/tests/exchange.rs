//! Tests of exchanges with endpoints that answer completely, partially, early or not at all.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread::JoinHandle;
use std::thread::spawn;
use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::ServiceConfig;
use actix_http::Uri;
use actix_rt::net::TcpStream;
use apricotknot_gateway::endpoint::EndpointConnection;
use apricotknot_gateway::endpoint::EndpointExchange;
use apricotknot_gateway::endpoint::EndpointRequest;
use apricotknot_gateway::endpoint::EventSplitter;
use apricotknot_gateway::endpoint::ExchangeError;
use bytes::Bytes;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

/// Size of the buffers of the tests' sockets.
///
/// The kernel may double it, and the receiver's and the sender's add up.
const SOCKET_BUFFER_BYTES: usize = 64 * 1_024;

/// How the endpoint of a test ends its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Closed,
    Reset,
    /// The output is closed, and the connection reset some time later.
    ClosedThenReset,
}

/// Starts an endpoint that reads `read` bytes of one request, sends `answer` and ends the
/// connection.
fn endpoint(
    answer: &'static str,
    read: usize,
    ending: Ending,
) -> (EndpointRequest, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("local listener");
    let address = listener.local_addr().expect("local address");
    SockRef::from(&listener).set_recv_buffer_size(SOCKET_BUFFER_BYTES).expect("a small buffer");
    let thread = spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepted connection");
        let mut request = vec![0; read];
        stream.read_exact(&mut request).expect("start of the request");
        stream.write_all(answer.as_bytes()).expect("answer sent");
        if ending == Ending::ClosedThenReset {
            stream.shutdown(std::net::Shutdown::Write).expect("output closed");
        }
        match ending {
            Ending::Reset | Ending::ClosedThenReset => {
                // Gives the client time to read the answer before the reset.
                std::thread::sleep(Duration::from_millis(100));
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("linger option set");
            },
            Ending::Closed => {
                stream.shutdown(std::net::Shutdown::Write).expect("output closed");
                let _ = stream.read_to_end(&mut request);
            },
        }
    });
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static("/x");
    let request = EndpointRequest {
        address,
        head,
        body: Bytes::from_static(b"body"),
        connect_timeout: Duration::from_secs(1),
    };
    (request, thread)
}

async fn exchange(request: EndpointRequest) -> Result<(u16, Vec<u8>), ExchangeError> {
    read_answer(EndpointExchange::open(&ServiceConfig::default(), request).await?).await
}

async fn read_answer(mut exchange: EndpointExchange) -> Result<(u16, Vec<u8>), ExchangeError> {
    let head = exchange.read_head().await?;
    let mut body = Vec::new();
    while let Some(part) = exchange.read_part().await? {
        body.extend_from_slice(&part);
    }
    Ok((head.status.as_u16(), body))
}

async fn answer_of(text: &'static str, ending: Ending) -> Result<(u16, Vec<u8>), ExchangeError> {
    let (request, thread) = endpoint(text, 10, ending);
    let result = exchange(request).await;
    thread.join().expect("endpoint thread ends");
    result
}

#[actix_rt::test]
async fn complete_answers_are_read() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", "whole"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole"),
        ("HTTP/1.1 200 OK\r\n\r\nwhole", "whole"),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", "whole"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""),
    ];
    for (text, body) in cases {
        let (status, found) = answer_of(text, Ending::Closed).await.expect(text);
        assert_eq!((status, found.as_slice()), (200, body.as_bytes()), "{text}");
    }
}

/// The complete answer and the end of the connection arrive before the client first reads.
#[actix_rt::test]
async fn answer_received_before_the_first_read_is_complete() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
    let (mut request, thread) = endpoint(text, 0, Ending::Closed);
    request.body = Bytes::new();
    let mut exchange =
        EndpointExchange::open(&ServiceConfig::default(), request).await.expect("open connection");
    // Blocks the thread of the runtime, so that nothing is read in the meantime.
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(exchange.read_head().await.expect("head of the answer").status.as_u16(), 200);
    assert_eq!(
        exchange.read_part().await.expect("part of the body").as_deref(),
        Some(&b"whole"[..])
    );
    drop(exchange);
    thread.join().expect("endpoint thread ends");
}

#[actix_rt::test]
async fn bytes_after_an_answer_are_ignored() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\nextra";
    let (_, body) = answer_of(text, Ending::Closed).await.expect("first answer");
    assert_eq!(body, b"whole");
}

#[actix_rt::test]
async fn truncated_answers_are_errors() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf", Ending::Closed),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n", Ending::Closed),
        ("HTTP/1.1 200 OK\r\n\r\nhalf", Ending::Reset),
        ("HTTP/1.1 200 OK\r\ncontent-le", Ending::Closed),
        ("no answer at all\r\n\r\n", Ending::Closed),
    ];
    for (text, ending) in cases {
        let error = answer_of(text, ending).await.expect_err(text);
        assert!(!error.is_unsent(), "{text}: {error}");
    }
}

#[actix_rt::test]
async fn answer_may_precede_the_end_of_the_request() {
    let text = "HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno";
    let (mut request, thread) = endpoint(text, 10, Ending::Closed);
    request.body = Bytes::from(vec![b'x'; 4 * 1_024 * 1_024]);
    let (status, body) = exchange(request).await.expect("early answer");
    thread.join().expect("endpoint thread ends");
    assert_eq!((status, body.as_slice()), (413, &b"no"[..]));
}

/// Sends a request whose upload is still being written when the answer ends as `ending` says.
///
/// The socket has little room for it, so that this holds on any machine.
async fn answer_during_upload(
    text: &'static str,
    ending: Ending,
) -> Result<(u16, Vec<u8>), ExchangeError> {
    let (request, thread) = endpoint(text, 10, ending);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).expect("a small buffer");
    socket.connect(&request.address.into()).expect("a connection");
    socket.set_nonblocking(true).expect("an option");
    let stream = TcpStream::from_std(socket.into()).expect("a stream of the runtime");
    let connection = EndpointConnection::Direct(stream);
    let body = Bytes::from(vec![b'x'; 32 * SOCKET_BUFFER_BYTES]);
    let config = ServiceConfig::default();
    let opened = EndpointExchange::start(&config, connection, request.head, &body);
    let result = read_answer(opened.expect("a request that can be sent")).await;
    thread.join().expect("endpoint thread ends");
    result
}

/// Guards against a part of an answer that passes as whole: the kernel reports a reset once, here to
/// the sender of the upload, and the receiver sees an orderly end.
#[actix_rt::test]
async fn answer_that_is_reset_during_the_upload_is_not_complete() {
    let texts = [
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: half\n\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for text in texts {
        for ending in [Ending::Reset, Ending::ClosedThenReset] {
            let error = answer_during_upload(text, ending).await.expect_err(text);
            assert!(!error.is_unsent(), "{text}: {error}");
        }
    }
}

#[actix_rt::test]
async fn whole_answer_during_the_upload_is_complete() {
    let lengthless = answer_during_upload("HTTP/1.1 200 OK\r\n\r\nwhole", Ending::Closed).await;
    assert_eq!(lengthless.expect("the endpoint read all").1, b"whole");
    for ending in [Ending::Closed, Ending::Reset, Ending::ClosedThenReset] {
        let text = "HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno";
        let (status, body) = answer_during_upload(text, ending).await.expect("a length");
        assert_eq!((status, body.as_slice()), (413, &b"no"[..]), "{ending:?}");
    }
}

/// Guards against an answer whose status is none: HTTP has statuses of three digits from 100 on.
#[actix_rt::test]
async fn answers_without_a_valid_status_are_errors() {
    for status in ["000", "001", "099", "20", "2000", "2 0", "-20", "", "abc"] {
        for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
            let text = format!("{interim}HTTP/1.1 {status} OK\r\ncontent-length: 5\r\n\r\nwhole");
            let found = answer_of(String::leak(text), Ending::Closed).await;
            assert!(found.is_err(), "{interim}{status}: {found:?}");
        }
        let text = format!("HTTP/1.1 {status} Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole");
        let found = answer_of(String::leak(text), Ending::Closed).await;
        assert!(found.is_err(), "interim {status}: {found:?}");
    }
}

#[actix_rt::test]
async fn refused_connection_sends_nothing() {
    let (mut request, _) = endpoint("", 0, Ending::Closed);
    // No process listens on this address.
    request.address = ([127, 0, 0, 3], 1).into();
    let error = exchange(request).await.expect_err("no listener");
    assert!(error.is_unsent(), "{error}");
}

/// Guards against streams whose lines end with CR LF or CR, of which no event was found.
#[test]
fn events_are_complete_for_any_chunking_and_line_end() {
    arbtest::arbtest(|source| {
        let text = "id: 4\ndata: a\n\nversion: 2\nid: 5\ndata: b\n\ndata: c\n\nid: 6\ndata: ha";
        let line_end = *source.choose(&["\n", "\r\n", "\r"])?;
        let text = text.replace('\n', line_end);
        let mut splitter = EventSplitter::default();
        let mut rest = text.as_bytes();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        while !rest.is_empty() {
            let length = source.int_in_range(1..=rest.len())?;
            splitter.push(&rest[..length]);
            rest = &rest[length..];
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, [Some(4), Some(5), None]);
        assert_eq!(splitter.len(), format!("id: 6{line_end}data: ha").len());
        assert!(text.as_bytes().starts_with(&bytes));
        Ok(())
    });
}

// Guards against answers without a body that look complete, as their head was broken off.
#[actix_rt::test]
async fn answer_broken_off_anywhere_is_not_complete() {
    let answers = [
        "HTTP/1.1 200 OK\r\nresponse-seal: s\r\ncontent-length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         5\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nresponse-seal: s\r\n\r\n",
    ];
    for answer in answers {
        for length in 0..answer.len() {
            for ending in [Ending::Closed, Ending::Reset] {
                if ending == Ending::Reset && length % 16 != 0 {
                    continue;
                }
                let found = answer_of(&answer[..length], ending).await;
                assert!(found.is_err(), "{ending:?} after {:?}: {found:?}", &answer[..length]);
            }
        }
    }
}
