//! Stream of the answers of a watch.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use apricotknot_core::types::RevisionNumber;
use awc::error::PayloadError;
use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;

use super::StoreError;
use super::WatchBatch;
use super::WatchEvent;
use super::etcd_messages::StreamedResponse;
use super::etcd_messages::WatchResponse;

/// Largest message of a watch, in bytes; a larger one ends the watch with an error.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Body of the response, as it arrives.
type PayloadStream = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// Yields the changes that one watch of the JSON gateway reports.
pub struct EtcdWatch {
    address: String,
    start_revision: RevisionNumber,
    payload: PayloadStream,
    buffer: BytesMut,
    is_ended: bool,
}

impl EtcdWatch {
    /// Creates a watch that starts at `start_revision` and reads its messages from `payload`.
    pub(super) fn new(
        address: String,
        start_revision: RevisionNumber,
        payload: PayloadStream,
    ) -> Self {
        Self { address, start_revision, payload, buffer: BytesMut::new(), is_ended: false }
    }

    /// Parses the next batch from the buffer; returns `None` if more bytes are needed.
    fn next_batch(&mut self) -> Result<Option<WatchBatch>, StoreError> {
        while let Some(answer) = self.next_answer()? {
            if answer.canceled {
                return Err(self.cancellation_error(&answer));
            }
            if answer.created {
                self.check_revision(answer.header.revision.revision())?;
            }
            if answer.created && answer.events.is_empty() {
                continue;
            }
            return parse_batch(answer).map(Some);
        }
        Ok(None)
    }

    /// Checks that the store has reached the revision before the start of the watch.
    ///
    /// A store that was restored to an older revision would send nothing until it reaches the start
    /// of the watch, so that all writes until then would be missed.
    fn check_revision(&self, found: RevisionNumber) -> Result<(), StoreError> {
        let held = self.start_revision.saturating_sub(1);
        if found > 0 && found < held {
            return Err(StoreError::Reverted { held, found });
        }
        Ok(())
    }

    /// Parses the next message from the buffer; returns `None` if more bytes are needed.
    fn next_answer(&mut self) -> Result<Option<WatchResponse>, StoreError> {
        let mut values =
            serde_json::Deserializer::from_slice(&self.buffer).into_iter::<StreamedResponse<_>>();
        let answer = match values.next() {
            None => return Ok(None),
            Some(Err(error)) if error.is_eof() => return self.check_buffer_size(),
            Some(Err(error)) => return Err(malformed_error(error.to_string())),
            Some(Ok(answer)) => answer,
        };
        let consumed = values.byte_offset();
        let _ = self.buffer.split_to(consumed);
        match (answer.result, answer.error) {
            (Some(result), _) => Ok(Some(result)),
            (None, Some(error)) => Err(self.broken_error(error.to_string())),
            (None, None) => {
                Err(malformed_error("the message has neither a result nor an error".to_owned()))
            },
        }
    }

    /// Returns an error if the message that is incomplete in the buffer is too large.
    fn check_buffer_size(&self) -> Result<Option<WatchResponse>, StoreError> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(malformed_error(format!("a message exceeds {MAX_MESSAGE_BYTES} bytes")));
        }
        Ok(None)
    }

    /// Returns why the store cancelled the watch.
    fn cancellation_error(&self, answer: &WatchResponse) -> StoreError {
        let oldest = answer.compact_revision.revision();
        if oldest > 0 {
            return StoreError::Compacted { revision: self.start_revision, oldest };
        }
        self.broken_error("the watch was cancelled".to_owned())
    }

    fn broken_error(&self, reason: String) -> StoreError {
        StoreError::Broken { address: self.address.clone(), reason }
    }
}

impl Stream for EtcdWatch {
    type Item = Result<WatchBatch, StoreError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let watch = &mut *self;
        loop {
            if watch.is_ended {
                return Poll::Ready(None);
            }
            match watch.next_batch() {
                Ok(Some(batch)) => return Poll::Ready(Some(Ok(batch))),
                Ok(None) => {},
                Err(error) => {
                    watch.is_ended = true;
                    return Poll::Ready(Some(Err(error)));
                },
            }
            match watch.payload.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(bytes))) => watch.buffer.extend_from_slice(&bytes),
                Poll::Ready(Some(Err(error))) => {
                    watch.is_ended = true;
                    return Poll::Ready(Some(Err(watch.broken_error(error.to_string()))));
                },
                Poll::Ready(None) => watch.is_ended = true,
            }
        }
    }
}

/// Converts an answer into a batch.
///
/// The revision in the header may be ahead of the events, so it counts only if there are none.
fn parse_batch(answer: WatchResponse) -> Result<WatchBatch, StoreError> {
    let mut batch = WatchBatch::default();
    if answer.events.is_empty() {
        batch.revision = answer.header.revision.revision();
    }
    for message in answer.events {
        let revision = message.kv.mod_revision.revision();
        batch.revision = batch.revision.max(revision);
        let event = match message.change.as_deref() {
            Some("DELETE") => WatchEvent::Delete { key: message.kv.key_text("watch")?, revision },
            _ => WatchEvent::Put(message.kv.into_entry("watch")?),
        };
        batch.events.push(event);
    }
    Ok(batch)
}

fn malformed_error(reason: String) -> StoreError {
    StoreError::Malformed { call: "watch", reason }
}
