//! Wait of a caller's request for its first grant, in which its connection may have to give way.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::outcome::RequestEvent;

use super::ConnectionGuard;

/// Retry delay that callers are given if their connection is needed for others.
const GAVE_WAY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reports that a connection has to give way to other callers; its request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct GaveWay;

impl From<GaveWay> for RequestEvent {
    fn from(_: GaveWay) -> Self {
        let kind = CallerErrorKind::Overloaded;
        Self::GrantRefused { kind, retry_after: Some(GAVE_WAY_RETRY_AFTER) }
    }
}

/// Connection of a caller, until its request is first granted an endpoint.
#[derive(Debug, Default)]
pub(crate) struct GrantWait {
    connection: Option<Rc<ConnectionGuard>>,
}

/// Marks a request as one that waits, until it is dropped.
struct QueuedRequest(Rc<ConnectionGuard>);

impl QueuedRequest {
    fn new(connection: Rc<ConnectionGuard>, size: u64) -> Self {
        connection.queue(size);
        Self(connection)
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.0.leave_queue();
    }
}

impl GrantWait {
    /// Returns the wait of a request that has arrived completely.
    pub(super) fn of(request: &Request) -> Self {
        Self { connection: request.conn_data::<Rc<ConnectionGuard>>().cloned() }
    }

    /// Waits for the answer to the request for a grant; larger requests give way first.
    ///
    /// A request that is granted in the same moment runs, and its connection closes after the answer.
    /// Only the first wait may have to give way: a later one follows an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has to give way; the request must not run.
    pub(crate) async fn wait<T>(
        &mut self,
        size: u64,
        answer: impl Future<Output = T>,
    ) -> Result<T, GaveWay> {
        let Some(connection) = self.connection.take() else {
            return Ok(answer.await);
        };
        let queued = QueuedRequest::new(connection, size);
        tokio::select! {
            biased;
            answer = answer => Ok(answer),
            () = queued.0.gave_way() => Err(GaveWay),
        }
    }
}
