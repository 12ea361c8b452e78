//! HTTP connection of a caller: reads its requests and writes the answers.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::Request;
use actix_http::RequestHead;
use actix_http::Response;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_rt::net::TcpStream;
use apricotknot_core::routing::InputLimits;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::BodyProgress;
use super::ConnectionError;
use super::IncomingRequest;
use super::caller_codec::CallerCodec;
use super::message_size::declared_length;
use super::message_size::head_bytes;
use crate::endpoint::AnswerMemory;
use crate::intake::IntakeConnection;

/// Longest time to close a connection whose output has been written.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time in which a caller may read nothing of its answer.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Least rate, in bytes per second, at which a caller has to read its answer.
const MIN_READ_RATE: f64 = 32.0 * 1_024.0;

/// Longest time for which input is discarded, so that the caller can read an answer that was
/// sent before its request was read completely.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// As [`LINGER_TIMEOUT`], for connections that give way to others, as those wait meanwhile.
const GAVE_WAY_LINGER_TIME: Duration = Duration::from_millis(20);

/// Parts of a body that are read before other connections have their turn.
///
/// A part may be a single byte, and one read of the connection may bring a thousand of them.
const PARTS_PER_TURN: u64 = 32;

/// Longest head, in bytes, that needs no memory beside the buffers of the connection.
const BUFFERED_HEAD_BYTES: usize = 8 * 1_024;

/// Memory that is taken first for a body, in bytes, if it is not known to be smaller.
const FIRST_BODY_BYTES: usize = 16 * 1_024;

/// Bytes of input that are discarded at a time.
const DISCARD_CHUNK_BYTES: usize = 16 * 1_024;

/// Reads the requests of one connection and writes their answers, one after the other.
pub struct CallerConnection {
    pub(super) framed: Framed<TcpStream, CallerCodec>,
    intake: IntakeConnection,
    /// Request that arrived before the answer to the previous one was complete.
    pipelined: Option<Request>,
    pub(super) buffered_bytes: usize,
    /// Rest of a long part of the answer's body, which is encoded as the caller reads.
    pub(super) unencoded: Bytes,
    /// Memory of the answer that is being written.
    pub(super) answer_memory: Option<AnswerMemory>,
    has_unread_input: bool,
    /// Whether a later request has a head that is too large; nothing more is read then.
    is_input_refused: bool,
    pub(super) is_closing: bool,
    /// Longest time for which input is discarded at the end.
    linger_time: Duration,
}

impl CallerConnection {
    /// Creates the connection from an accepted stream, which occupies `intake`.
    pub fn new(stream: TcpStream, config: &ServiceConfig, intake: IntakeConnection) -> Self {
        // Without this option an event waits until the caller has acknowledged the previous one.
        let _ = stream.set_nodelay(true);
        let codec = CallerCodec::new(config.clone(), InputLimits::default().header_bytes);
        Self {
            framed: Framed::new(stream, codec),
            intake,
            pipelined: None,
            buffered_bytes: 0,
            unencoded: Bytes::new(),
            answer_memory: None,
            has_unread_input: false,
            is_input_refused: false,
            is_closing: false,
            linger_time: LINGER_TIMEOUT,
        }
    }

    /// Reads the next request.
    ///
    /// # Errors
    ///
    /// Returns why no request can be read. The connection can then only carry an answer that
    /// reports the error.
    pub async fn read_request(
        &mut self,
        limits: &InputLimits,
    ) -> Result<IncomingRequest, ConnectionError> {
        self.framed.codec_mut().set_head_limit(limits.header_bytes);
        let mut request = self.read_head(limits).await?;
        let head = std::mem::take(request.head_mut());
        if head_bytes(&head) > limits.header_bytes {
            self.has_unread_input = true;
            return Err(ConnectionError::HeadTooLarge);
        }
        let head_memory = self.take_head_memory(&head)?;
        let body = self.read_body(&head, head_memory, limits).await?;
        if !self.intake.serve() {
            return Err(ConnectionError::NoMemory);
        }
        Ok(IncomingRequest { head, body })
    }

    /// Takes memory for a long head, which is kept until its request ends; returns how much.
    fn take_head_memory(&mut self, head: &RequestHead) -> Result<usize, ConnectionError> {
        let bytes = Some(head_bytes(head)).filter(|bytes| *bytes > BUFFERED_HEAD_BYTES);
        let Some(bytes) = bytes else {
            return Ok(0);
        };
        self.intake.grow(bytes).map_err(|_| self.refuse_body())?;
        Ok(bytes)
    }

    /// Records that the request, of the given size, waits for an endpoint; from then on it may have to
    /// give way to other callers.
    pub fn queue(&self, size: u64) {
        self.intake.queue(size);
    }

    /// Records that the request waits no longer; returns whether it may run, or has to give way.
    pub fn leave_queue(&self) -> bool {
        self.intake.serve()
    }

    /// Returns the room of the request, whose body is needed beyond its answer.
    pub fn split_off_request(&self) -> IntakeConnection {
        self.intake.split_off()
    }

    /// Gives back the memory of the request that was answered.
    pub fn finish_request(&mut self) {
        self.intake.finish();
    }

    /// Aborts an incomplete answer: the connection is closed without the end of the body, so that
    /// the caller cannot mistake the answer for a complete one.
    pub fn abort(&mut self) {
        self.is_closing = true;
        self.has_unread_input = false;
        // The caller need not read the rest of an answer that is of no use to it.
        self.buffered_bytes = 0;
        self.unencoded.clear();
    }

    /// Closes the connection after the next answer, and announces it in the answer's head.
    pub fn close_after_answer(&mut self) {
        self.is_closing = true;
    }

    /// Writes the buffered output to the connection, however long that takes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn flush(&mut self) -> Result<(), ConnectionError> {
        poll_fn(|context| self.poll_flush(context)).await
    }

    /// Writes the buffered output of a complete answer to the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke, or if the caller hardly reads.
    pub async fn finish_output(&mut self) -> Result<(), ConnectionError> {
        let earned = Duration::from_secs_f64(self.buffered_bytes as f64 / MIN_READ_RATE);
        let flushed = tokio::time::timeout(UNREAD_TIMEOUT + earned, self.flush()).await;
        flushed.unwrap_or(Err(ConnectionError::Closed))
    }

    /// Writes the buffered output, and returns only when the caller has closed the connection.
    ///
    /// Also returns if the connection breaks, the caller sends bytes that are not a request, or a
    /// request that waits for an endpoint has to give way. A pipelined request is kept for the next
    /// call of [`CallerConnection::read_request`]; from then on a close is noticed only if writing
    /// fails.
    pub async fn wait_closed(&mut self) {
        poll_fn(|context| self.poll_closed(context)).await;
    }

    /// Writes the buffered output and closes the connection; each step has a time limit.
    pub async fn close(mut self) {
        let _ = self.finish_output().await;
        if self.has_unread_input {
            // Closing a connection with unread input resets it, and the caller loses the answer.
            self.has_unread_input = false;
            let _ = tokio::time::timeout(self.linger_time, self.discard_input()).await;
        }
        let close = poll_fn(|context| {
            Pin::new(&mut self.framed).close::<Message<(Response<()>, BodySize)>>(context)
        });
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, close).await;
    }

    async fn discard_input(&mut self) {
        let mut scratch = BytesMut::with_capacity(DISCARD_CHUNK_BYTES);
        while let Ok(count) = self.framed.io_mut().read_buf(&mut scratch).await {
            if count == 0 {
                return;
            }
            scratch.clear();
        }
    }

    async fn read_head(&mut self, limits: &InputLimits) -> Result<Request, ConnectionError> {
        self.framed.codec_mut().begin_request();
        if let Some(request) = self.pipelined.take() {
            return Ok(request);
        }
        if self.framed.is_read_buf_empty() {
            self.wait_readable(limits.idle_timeout).await?;
        }
        self.intake.begin();
        let head_end = Instant::now() + limits.header_timeout;
        match timeout_at(head_end, self.next_message()).await {
            Err(_) => Err(ConnectionError::HeadTimeout),
            Ok(Ok(Message::Item(request))) => Ok(request),
            Ok(Ok(Message::Chunk(_))) => Err(ConnectionError::Malformed),
            Ok(Err(error)) => Err(error),
        }
    }

    async fn wait_readable(&mut self, idle_timeout: Duration) -> Result<(), ConnectionError> {
        let idle_end = Instant::now() + idle_timeout;
        let readable = timeout_at(idle_end, self.framed.io_ref().readable());
        let readable = tokio::select! {
            readable = readable => readable,
            () = self.intake.gave_way() => return Err(ConnectionError::GaveWay),
        };
        readable.map_err(|_| ConnectionError::IdleTimeout)?.map_err(|_| ConnectionError::Closed)
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        head_memory: usize,
        limits: &InputLimits,
    ) -> Result<Bytes, ConnectionError> {
        if self.framed.codec_ref().message_type() != MessageType::Payload {
            return Ok(Bytes::new());
        }
        let declared = declared_length(&head.headers);
        if declared.is_some_and(|length| length > limits.body_bytes) {
            self.has_unread_input = true;
            return Err(ConnectionError::BodyTooLarge);
        }
        if head.expect() {
            let continue_response = Response::new(StatusCode::CONTINUE).drop_body();
            self.encode(Message::Item((continue_response, BodySize::None)))?;
            self.flush_continue(limits.idle_timeout).await?;
        }
        let mut body = Vec::new();
        let most = declared.unwrap_or(limits.body_bytes);
        let began = Instant::now();
        let mut progress = BodyProgress::new(limits.idle_timeout);
        let mut parts = 0;
        loop {
            parts += 1;
            if parts % PARTS_PER_TURN == 0 {
                tokio::task::yield_now().await;
            }
            let part_end = Instant::now() + progress.time_left(began.elapsed());
            match timeout_at(part_end, self.next_message()).await {
                Err(_) => return Err(ConnectionError::BodyTimeout),
                Ok(Ok(Message::Chunk(Some(part)))) => {
                    progress.record(part.len());
                    if body.len() + part.len() > limits.body_bytes {
                        self.has_unread_input = true;
                        return Err(ConnectionError::BodyTooLarge);
                    }
                    self.make_room(&mut body, part.len(), most, head_memory)?;
                    body.extend_from_slice(&part);
                },
                Ok(Ok(Message::Chunk(None))) => return Ok(body.into()),
                Ok(Ok(Message::Item(_))) => return Err(ConnectionError::Malformed),
                Ok(Err(ConnectionError::GaveWay)) => {
                    self.linger_time = GAVE_WAY_LINGER_TIME;
                    return Err(self.refuse_body());
                },
                Ok(Err(error)) => return Err(error),
            }
        }
    }

    /// Writes the answer that asks for the body; a caller that does not read it may have to give way.
    async fn flush_continue(&mut self, time_limit: Duration) -> Result<(), ConnectionError> {
        let written = poll_fn(|context| match self.intake.poll_gave_way(context) {
            Poll::Ready(()) => Poll::Ready(Err(ConnectionError::GaveWay)),
            Poll::Pending => self.poll_flush(context),
        });
        match tokio::time::timeout(time_limit, written).await {
            Ok(Err(ConnectionError::GaveWay)) => Err(self.refuse_body()),
            Ok(written) => written,
            Err(_) => Err(ConnectionError::Closed),
        }
    }

    /// Takes memory for `bytes` more bytes of a body that may have `most`, beside that of the head.
    fn make_room(
        &mut self,
        body: &mut Vec<u8>,
        bytes: usize,
        most: usize,
        head_memory: usize,
    ) -> Result<(), ConnectionError> {
        self.intake.record(bytes);
        let needed = body.len() + bytes;
        if needed <= body.capacity() {
            return Ok(());
        }
        let doubled = (2 * body.capacity()).max(FIRST_BODY_BYTES);
        let capacity = doubled.min(most).max(needed);
        self.intake.grow(head_memory + capacity).map_err(|_| self.refuse_body())?;
        body.reserve_exact(capacity - body.len());
        Ok(())
    }

    /// Leaves the rest of a body unread, and returns the error for it.
    fn refuse_body(&mut self) -> ConnectionError {
        self.has_unread_input = true;
        ConnectionError::NoMemory
    }

    async fn next_message(&mut self) -> Result<Message<Request>, ConnectionError> {
        let (framed, intake) = (&mut self.framed, &self.intake);
        let next = poll_fn(|context| match intake.poll_gave_way(context) {
            Poll::Ready(()) => Poll::Ready(Err(ConnectionError::GaveWay)),
            Poll::Pending => Pin::new(&mut *framed).next_item(context).map(Ok),
        });
        match next.await? {
            None => Err(ConnectionError::Closed),
            Some(Ok(message)) => Ok(message),
            Some(Err(ParseError::Io(_))) => Err(ConnectionError::Closed),
            Some(Err(ParseError::TooLarge)) => {
                self.has_unread_input = true;
                Err(ConnectionError::HeadTooLarge)
            },
            Some(Err(_)) => {
                self.has_unread_input = true;
                Err(ConnectionError::Malformed)
            },
        }
    }

    fn poll_flush(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectionError>> {
        loop {
            let flushed =
                Pin::new(&mut self.framed).flush::<Message<(Response<()>, BodySize)>>(context);
            let flushed = ready!(flushed).map_err(|_| ConnectionError::Closed);
            if flushed.is_err() || self.unencoded.is_empty() {
                self.buffered_bytes = 0;
                self.answer_memory = None;
                return Poll::Ready(flushed);
            }
            self.encode_next()?;
        }
    }

    fn poll_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let is_broken = matches!(self.poll_flush(context), Poll::Ready(Err(_)));
        if is_broken || self.intake.poll_gave_way(context).is_ready() {
            return Poll::Ready(());
        }
        if self.pipelined.is_some() || self.is_input_refused {
            return Poll::Pending;
        }
        self.framed.codec_mut().read_ahead();
        match Pin::new(&mut self.framed).next_item(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(Message::Item(request)))) => {
                self.pipelined = Some(request);
                Poll::Pending
            },
            // The request in progress is answered before the connection closes.
            Poll::Ready(Some(Err(ParseError::TooLarge))) => {
                (self.is_input_refused, self.has_unread_input) = (true, true);
                self.is_closing = true;
                Poll::Pending
            },
            // The end of the input, a broken connection, or bytes that are not a request.
            Poll::Ready(_) => Poll::Ready(()),
        }
    }
}

impl CallerConnection {
    /// Returns whether the connection can carry another request.
    pub fn is_reusable(&self) -> bool {
        !self.is_closing && !self.has_unread_input && self.framed.codec_ref().keep_alive()
    }

    /// Returns the number of body bytes that were added since the last complete flush.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }
}
