//! Writing of an answer to the output buffer of a caller's connection.

use std::pin::Pin;

use actix_http::ConnectionType;
use actix_http::Response;
use actix_http::ResponseHead;
use actix_http::body::BodySize;
use actix_http::h1::Message;
use bytes::Bytes;

use super::CallerConnection;
use super::ConnectionError;
use crate::endpoint::AnswerMemory;

/// Bytes of a long part of an answer's body that are encoded at a time.
const ENCODED_BYTES: usize = 64 * 1_024;

impl CallerConnection {
    /// Writes the head of an answer whose body has `size`.
    ///
    /// # Errors
    ///
    /// Returns an error if the head cannot be encoded.
    pub fn begin_answer(
        &mut self,
        head: &ResponseHead,
        size: BodySize,
    ) -> Result<(), ConnectionError> {
        let mut response = Response::new(head.status).drop_body();
        *response.headers_mut() = head.headers.clone();
        if self.is_closing {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.encode(Message::Item((response, size)))
    }

    /// Adds a part of the answer's body to the output buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the part cannot be encoded.
    pub fn write_part(&mut self, part: Bytes) -> Result<(), ConnectionError> {
        self.buffered_bytes += part.len();
        self.encode(Message::Chunk(Some(part)))
    }

    /// Marks the answer's body as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the end of the body cannot be encoded.
    pub fn finish_answer(&mut self) -> Result<(), ConnectionError> {
        self.encode(Message::Chunk(None))
    }

    /// Writes a complete answer to the output buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be encoded.
    pub fn write_answer(
        &mut self,
        head: &ResponseHead,
        body: Bytes,
    ) -> Result<(), ConnectionError> {
        let size = BodySize::Sized(u64::try_from(body.len()).unwrap_or(u64::MAX));
        self.begin_answer(head, size)?;
        self.write_long_part(body)
    }

    /// Adds a long part of the answer's body, of which the output buffer takes a little at a time.
    ///
    /// Nothing may be written after it until it is flushed.
    ///
    /// # Errors
    ///
    /// Returns an error if the part cannot be encoded.
    pub fn write_long_part(&mut self, part: Bytes) -> Result<(), ConnectionError> {
        self.buffered_bytes += part.len();
        self.unencoded = part;
        self.encode_next()
    }

    /// Keeps the memory of an answer until the caller has read what is buffered of it.
    pub fn hold_memory(&mut self, memory: AnswerMemory) {
        self.answer_memory = Some(memory).filter(|_| self.buffered_bytes > 0);
    }

    pub(super) fn encode(
        &mut self,
        message: Message<(Response<()>, BodySize)>,
    ) -> Result<(), ConnectionError> {
        Pin::new(&mut self.framed).write(message).map_err(|_| ConnectionError::Closed)
    }

    /// Encodes the next bytes of a long part, if there is one.
    ///
    /// The output buffer copies what is encoded, and keeps its size.
    pub(super) fn encode_next(&mut self) -> Result<(), ConnectionError> {
        let length = self.unencoded.len().min(ENCODED_BYTES);
        match self.unencoded.split_to(length) {
            part if part.is_empty() => Ok(()),
            part => self.encode(Message::Chunk(Some(part))),
        }
    }
}
