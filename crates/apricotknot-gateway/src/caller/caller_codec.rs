//! Codec of a caller's connection, which bounds what is kept or skipped beside the body.

use std::io;

use actix_codec::Decoder;
use actix_codec::Encoder;
use actix_http::Request;
use actix_http::Response;
use actix_http::ServiceConfig;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use bytes::BytesMut;

/// Bytes of a head that its limit does not count: method, version and spaces.
const HEAD_SLACK_BYTES: usize = 1_024;

/// Decodes requests and encodes answers.
///
/// Decoding a head sets how the answer to it is encoded: without a body for HEAD, and by its version
/// and its wish to close. So each request has a codec of its own, also one that is read ahead.
pub(super) struct CallerCodec {
    config: ServiceConfig,
    /// Codec of the present request and its answer.
    present: Codec,
    /// Codec of the next request, if it is read before the present one is answered.
    ahead: Option<Codec>,
    /// Largest head, and most bytes of chunk extensions and trailers between two parts of a body.
    head_limit: usize,
    /// Bytes of the body's framing since its last part.
    framing: usize,
}

impl CallerCodec {
    /// Creates the codec of a new connection.
    pub(super) fn new(config: ServiceConfig, head_limit: usize) -> Self {
        let present = Codec::new(config.clone());
        Self { config, present, ahead: None, head_limit, framing: 0 }
    }

    /// Begins the next request, once the present one is answered.
    pub(super) fn begin_request(&mut self) {
        self.present = self.ahead.take().unwrap_or_else(|| Codec::new(self.config.clone()));
    }

    /// Decodes the next request from now on, while the present one is answered.
    pub(super) fn read_ahead(&mut self) {
        self.ahead.get_or_insert_with(|| Codec::new(self.config.clone()));
    }

    fn decoder(&mut self) -> &mut Codec {
        self.ahead.as_mut().unwrap_or(&mut self.present)
    }

    /// Sets the largest head of the next requests, in bytes.
    pub(super) fn set_head_limit(&mut self, bytes: usize) {
        self.head_limit = bytes;
    }

    fn decode_head(
        &mut self,
        input: &mut BytesMut,
    ) -> Result<Option<Message<Request>>, ParseError> {
        self.framing = 0;
        let message = self.decoder().decode(input)?;
        if message.is_none() && input.len() > self.head_limit + HEAD_SLACK_BYTES {
            return Err(ParseError::TooLarge);
        }
        Ok(message)
    }

    fn decode_body(
        &mut self,
        input: &mut BytesMut,
    ) -> Result<Option<Message<Request>>, ParseError> {
        let before = input.len();
        let message = self.decoder().decode(input)?;
        if matches!(message, Some(Message::Chunk(_))) {
            self.framing = 0;
            return Ok(message);
        }
        self.framing += before - input.len();
        if self.framing > self.head_limit + HEAD_SLACK_BYTES {
            return Err(ParseError::TooLarge);
        }
        Ok(message)
    }
}

impl CallerCodec {
    /// Returns whether the connection can carry another request.
    pub(super) fn keep_alive(&self) -> bool {
        self.present.keep_alive()
    }

    /// Returns how the body of the present request is framed.
    pub(super) fn message_type(&self) -> MessageType {
        self.present.message_type()
    }
}

impl Decoder for CallerCodec {
    type Item = Message<Request>;
    type Error = ParseError;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        match self.decoder().message_type() {
            MessageType::None => self.decode_head(input),
            _ => self.decode_body(input),
        }
    }
}

impl Encoder<Message<(Response<()>, BodySize)>> for CallerCodec {
    type Error = io::Error;

    fn encode(
        &mut self,
        message: Message<(Response<()>, BodySize)>,
        output: &mut BytesMut,
    ) -> Result<(), Self::Error> {
        self.present.encode(message, output)
    }
}
