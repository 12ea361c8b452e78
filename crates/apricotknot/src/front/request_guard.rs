//! What a connection and its present request occupy.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::TRANSFER_ENCODING;
use apricotknot_core::intake::IntakeRefusal;
use apricotknot_gateway::intake::IntakeConnection;

/// Most bytes of a head that are read at a time.
///
/// A request of few bytes costs kilobytes once it is parsed, and all that have been read are parsed
/// at once.
const HEAD_READ_BYTES: usize = 1_024;

/// Most bytes of a body that are read at a time, for the same reason.
const BODY_READ_BYTES: usize = 4 * 1_024;

/// Bytes of a head that need no memory beside the buffer of the connection.
const BUFFERED_HEAD_BYTES: usize = 8 * 1_024;

/// Headers of a request that has a body.
const BODY_HEADERS: [HeaderName; 2] = [CONTENT_LENGTH, TRANSFER_ENCODING];

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestFraming {
    /// There is no body.
    #[default]
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
}

impl RequestFraming {
    fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            return Self::Chunked;
        }
        let length = headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
        length.and_then(|length| length.trim().parse().ok()).map_or(Self::None, Self::Length)
    }
}

/// What the server has made of the requests of a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestProgress {
    /// Requests whose heads were read.
    pub begun: u64,
    /// Requests that were answered.
    pub ended: u64,
    /// How the body of the last request ends.
    pub framing: RequestFraming,
}

/// Room of one connection, shared by its stream and by its requests.
#[derive(Debug)]
pub struct ConnectionGuard {
    intake: IntakeConnection,
    has_request: Cell<bool>,
    has_unread_body: Cell<bool>,
    /// Bytes that arrived since the last request ended, or since its body was read.
    unserved_bytes: Cell<usize>,
    progress: Cell<RequestProgress>,
    /// Wakes the connection when it may read again.
    reader: RefCell<Option<Waker>>,
}

impl ConnectionGuard {
    /// Creates the guard of an accepted connection.
    pub fn new(intake: IntakeConnection) -> Rc<Self> {
        Rc::new(Self {
            intake,
            has_request: Cell::new(false),
            has_unread_body: Cell::new(false),
            unserved_bytes: Cell::new(0),
            progress: Cell::default(),
            reader: RefCell::default(),
        })
    }

    /// Records that `bytes` bytes have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for the head that they belong to.
    pub fn record_input(&self, bytes: usize) -> Result<(), IntakeRefusal> {
        let sum = self.unserved_bytes.get() + bytes;
        self.unserved_bytes.set(sum);
        if self.has_request.get() || sum <= BUFFERED_HEAD_BYTES {
            return Ok(());
        }
        self.intake.grow(sum)
    }

    /// Returns the most bytes of the present request that are read at a time.
    pub fn input_limit(&self) -> usize {
        if self.has_request.get() { BODY_READ_BYTES } else { HEAD_READ_BYTES }
    }

    /// Returns what the server has made of the requests so far.
    pub fn progress(&self) -> RequestProgress {
        self.progress.get()
    }

    /// Wakes the task of `context` when there is progress.
    pub fn wait_progress(&self, context: &Context<'_>) {
        self.reader.replace(Some(context.waker().clone()));
    }

    fn set_progress(&self, progress: RequestProgress) {
        self.progress.set(progress);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Polls whether the connection has to close for others; a request that has begun is answered
    /// first.
    pub fn poll_close(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.has_request.get() {
            return Poll::Pending;
        }
        self.intake.poll_gave_way(context)
    }

    /// Records that the body has been read; returns whether the request may run.
    pub(super) fn finish_body(&self) -> bool {
        self.has_unread_body.set(false);
        self.unserved_bytes.set(0);
        self.intake.serve()
    }

    /// Records that the request, of the given size, waits for an endpoint; its connection may have to
    /// give way to other callers.
    pub(super) fn queue(&self, size: u64) {
        self.intake.queue(size);
    }

    /// Waits until the connection has to give way.
    pub(super) async fn gave_way(&self) {
        self.intake.gave_way().await;
    }

    /// Records that the request waits no longer; returns whether it may run, or has to give way.
    pub(super) fn leave_queue(&self) -> bool {
        self.intake.serve()
    }

    /// Returns the room of the connection.
    pub(super) fn intake(&self) -> &IntakeConnection {
        &self.intake
    }
}

/// Marks a request as in progress, and gives back its memory when it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Option<Rc<ConnectionGuard>>,
}

impl RequestGuard {
    /// Begins a request whose head has arrived.
    pub fn begin(request: &Request) -> Self {
        let connection = request.conn_data::<Rc<ConnectionGuard>>().cloned();
        if let Some(connection) = &connection {
            connection.has_request.set(true);
            let headers = request.headers();
            let has_body = BODY_HEADERS.iter().any(|name| headers.contains_key(name));
            let progress = connection.progress();
            let framing = RequestFraming::of(headers);
            let begun = progress.begun + 1;
            connection.set_progress(RequestProgress { begun, framing, ..progress });
            connection.has_unread_body.set(has_body);
            connection.unserved_bytes.set(0);
            connection.intake.begin();
        }
        Self { connection }
    }
}

impl RequestGuard {
    /// Returns whether the connection has to close: for others, or as a part of the body has not been
    /// read.
    pub fn has_to_close(&self) -> bool {
        self.connection.as_ref().is_some_and(|connection| {
            connection.has_unread_body.get() || connection.intake.has_to_give_way()
        })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.has_request.set(false);
            connection.unserved_bytes.set(0);
            connection.intake.finish();
            let progress = connection.progress();
            connection.set_progress(RequestProgress { ended: progress.ended + 1, ..progress });
        }
    }
}
