//! Exchange of one request and its answer with one endpoint, on a connection for it alone.
//!
//! A connection is never reused, so bytes that an endpoint sends late, twice or unrequested cannot
//! be mistaken for the answer to another request.

use std::future::poll_fn;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::TRANSFER_ENCODING;
use apricotknot_core::types::NodeId;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use super::DELIVERY_CHECK_INTERVAL;
use super::Delivery;
use super::EndpointConnection;
use super::ExchangeError;
use super::connect;

/// Bytes that are read from the connection at a time.
const READ_CHUNK_BYTES: usize = 8 * 1_024;

/// Largest heads of one answer together, informational ones included, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// Describes a request to an endpoint.
#[derive(Debug)]
pub struct EndpointRequest {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Longest time to establish the connection.
    pub connect_timeout: Duration,
}

/// Describes how the end of an answer's body is found.
enum BodyFraming {
    /// The head has not arrived yet.
    AwaitingHead(ClientCodec),
    /// The body is complete.
    Complete,
    /// The body has a length or is chunked.
    Framed(ClientPayloadCodec),
    /// The body ends with the connection.
    UntilClose,
}

/// Sends one request and reads its answer.
pub struct EndpointExchange {
    connection: EndpointConnection,
    input: BytesMut,
    /// Rest of the request's head; its memory is given back once it is sent.
    head_left: Bytes,
    /// Rest of the request's body, which is shared with the call and not copied.
    body_left: Bytes,
    has_body: bool,
    framing: BodyFraming,
    /// Bytes of the heads that were decoded.
    head_bytes: usize,
    /// Error with which the connection took no more of the request.
    ///
    /// The kernel reports a reset once: after the sender was told, the receiver sees an orderly end.
    send_error: Option<io::Error>,
    /// Whether the other side has closed the connection.
    has_ended: bool,
    /// Bytes that the endpoint had not acknowledged when the end of its answer was last looked at.
    outstanding_bytes: u64,
    /// Time until they are looked at again, while the end of the answer is held back for them.
    next_check: Option<Pin<Box<Sleep>>>,
}

impl EndpointExchange {
    /// Connects to the endpoint and encodes the request.
    ///
    /// The request is sent while the answer is read.
    ///
    /// # Errors
    ///
    /// Returns an error for which [`ExchangeError::is_unsent`] holds.
    pub async fn open(
        config: &ServiceConfig,
        request: EndpointRequest,
    ) -> Result<Self, ExchangeError> {
        let stream = connect(request.address, request.connect_timeout).await?;
        let connection = EndpointConnection::Direct(stream);
        Self::start(config, connection, request.head, &request.body)
    }

    /// Encodes the request for a connection that was established.
    ///
    /// The request is sent while the answer is read.
    ///
    /// # Errors
    ///
    /// Returns an error for which [`ExchangeError::is_unsent`] holds.
    pub fn start(
        config: &ServiceConfig,
        mut connection: EndpointConnection,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<Self, ExchangeError> {
        let mut codec = ClientCodec::new(config.clone());
        let head_left = encode_head(&mut codec, head, body.len())?;
        let length = u64::try_from(head_left.len() + body.len()).unwrap_or(u64::MAX);
        connection.state_request_length(length);
        let input = BytesMut::new();
        let framing = BodyFraming::AwaitingHead(codec);
        Ok(Self {
            connection,
            input,
            head_left,
            body_left: body.clone(),
            has_body: !body.is_empty(),
            framing,
            head_bytes: 0,
            send_error: None,
            has_ended: false,
            outstanding_bytes: 0,
            next_check: None,
        })
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns why no head was received; the request may have run.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        poll_fn(|context| self.poll_head(context)).await
    }

    /// Waits for the next part of the answer's body; returns `None` once the body is complete.
    ///
    /// # Errors
    ///
    /// Returns why the body is incomplete; the request may have run.
    pub async fn read_part(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        poll_fn(|context| self.poll_part(context)).await
    }

    /// Returns the node that relays the connection, if one does.
    pub fn relayed_by(&self) -> Option<&NodeId> {
        self.connection.relayed_by()
    }

    /// Returns the bytes of the request that this node's kernel has not taken.
    pub fn unsent_bytes(&self) -> usize {
        self.head_left.len() + self.body_left.len()
    }

    /// Sends the rest of the request after a complete answer, and waits until the other side of the
    /// connection has acknowledged it.
    ///
    /// What the endpoint sends meanwhile is discarded: to close a connection with unread input resets
    /// it, and the rest of the request is lost.
    ///
    /// # Errors
    ///
    /// Returns why the connection took no more.
    pub async fn finish_request(&mut self) -> Result<(), ExchangeError> {
        poll_fn(|context| self.poll_finish(context)).await
    }

    /// Returns the bytes of the request for which the end of the answer is held back.
    ///
    /// Returns `None` if no end is held back. See [`Self::poll_delivered`].
    pub fn held_back_for(&self) -> Option<u64> {
        self.next_check.is_some().then_some(self.outstanding_bytes)
    }

    fn poll_head(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<ResponseHead, ExchangeError>> {
        loop {
            if let Some(head) = self.decode_head()? {
                return Poll::Ready(Ok(head));
            }
            // An endpoint may answer and close before it has read the whole request.
            let _ = self.poll_send(context);
            match self.poll_receive(context)? {
                Poll::Ready(true) => {},
                Poll::Ready(false) => return Poll::Ready(Err(ExchangeError::Truncated)),
                Poll::Pending => {
                    let error = self.send_error.take();
                    return error.map_or(Poll::Pending, |error| {
                        Poll::Ready(Err(ExchangeError::Broken(error)))
                    });
                },
            }
        }
    }

    /// Decodes the head of the final answer, if it has arrived completely.
    fn decode_head(&mut self) -> Result<Option<ResponseHead>, ExchangeError> {
        let BodyFraming::AwaitingHead(codec) = &mut self.framing else {
            return Ok(None);
        };
        // Informational heads (1xx) may arrive together with the final one.
        let head = loop {
            let available = self.input.len();
            let decoded = codec.decode(&mut self.input).map_err(ExchangeError::Malformed)?;
            self.head_bytes += available - self.input.len();
            match decoded {
                Some(head) if !head.status.is_informational() => break head,
                // The decoder alone takes any number of informational heads.
                _ if self.head_bytes + self.input.len() > MAX_HEAD_BYTES => {
                    return Err(ExchangeError::HeadTooLarge { limit: MAX_HEAD_BYTES });
                },
                Some(_) => {},
                None => return Ok(None),
            }
        };
        let framing = std::mem::replace(&mut self.framing, BodyFraming::Complete);
        if let BodyFraming::AwaitingHead(codec) = framing {
            self.framing = framing_of(codec, &head);
        }
        Ok(Some(head))
    }

    fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, ExchangeError>> {
        loop {
            match &mut self.framing {
                BodyFraming::AwaitingHead(_) | BodyFraming::Complete => {
                    return Poll::Ready(Ok(None));
                },
                BodyFraming::UntilClose if !self.input.is_empty() => {
                    return Poll::Ready(Ok(Some(self.input.split().freeze())));
                },
                BodyFraming::UntilClose => {},
                BodyFraming::Framed(codec) => {
                    let item = codec.decode(&mut self.input);
                    match item.map_err(|_| ExchangeError::MalformedBody)? {
                        Some(Some(part)) => return Poll::Ready(Ok(Some(part))),
                        Some(None) => {
                            self.framing = BodyFraming::Complete;
                            return Poll::Ready(Ok(None));
                        },
                        None => {},
                    }
                },
            }
            let sending = self.poll_send(context);
            if ready!(self.poll_receive(context))? {
                continue;
            }
            if !matches!(self.framing, BodyFraming::UntilClose) {
                return Poll::Ready(Err(ExchangeError::Truncated));
            }
            // Only an end of the connection on which nothing has failed is the end of the answer.
            ready!(sending);
            if let Some(error) = self.send_error.take() {
                return Poll::Ready(Err(ExchangeError::Broken(error)));
            }
            ready!(self.poll_delivered(context))?;
            self.framing = BodyFraming::Complete;
            return Poll::Ready(Ok(None));
        }
    }

    /// Sends more of the request; ready once all of it is sent, or [`Self::send_error`] is set.
    fn poll_send(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.send_error.is_none() && self.unsent_bytes() > 0 {
            let parts = [IoSlice::new(&self.head_left), IoSlice::new(&self.body_left)];
            let connection = Pin::new(&mut self.connection);
            match ready!(connection.poll_write_vectored(context, &parts)) {
                Ok(count) => self.count_sent(count),
                Err(error) => self.send_error = Some(error),
            }
        }
        Poll::Ready(())
    }

    /// Waits until the endpoint has acknowledged the whole request, which was sent.
    ///
    /// An endpoint that ends an answer without a length as in order has received the request. One whose
    /// process ended before it read the request also ends the connection, and resets it when more of
    /// the request arrives; until then only the missing acknowledgement differs. The wait is ended by
    /// the acknowledgement, by an error of the connection, or by the caller of the exchange.
    fn poll_delivered(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ExchangeError>> {
        self.poll_acknowledged(context, EndpointConnection::delivery)
    }

    fn poll_finish(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ExchangeError>> {
        let sending = self.poll_send(context);
        if let Some(error) = self.send_error.take() {
            return Poll::Ready(Err(ExchangeError::Broken(error)));
        }
        while !self.has_ended {
            self.input.clear();
            match self.poll_receive(context)? {
                Poll::Ready(is_open) => self.has_ended = !is_open,
                Poll::Pending => break,
            }
        }
        ready!(sending);
        self.poll_acknowledged(context, EndpointConnection::sent_delivery)
    }

    /// Waits until all bytes that were sent are acknowledged, as `look` tells it.
    fn poll_acknowledged(
        &mut self,
        context: &mut Context<'_>,
        look: impl Fn(&EndpointConnection) -> io::Result<Delivery>,
    ) -> Poll<Result<(), ExchangeError>> {
        loop {
            match look(&self.connection) {
                Ok(Delivery::Acknowledged) => {
                    self.next_check = None;
                    return Poll::Ready(Ok(()));
                },
                Ok(Delivery::Outstanding { bytes }) => self.outstanding_bytes = bytes,
                Ok(Delivery::Unknown) if self.has_body => {
                    return Poll::Ready(Err(ExchangeError::UnconfirmedEnd));
                },
                // An endpoint that answers a request has read its head, and there is no more of it.
                Ok(Delivery::Unknown) => return Poll::Ready(Ok(())),
                Err(error) => return Poll::Ready(Err(self.end_undelivered(error))),
            }
            let check = self
                .next_check
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(DELIVERY_CHECK_INTERVAL)));
            ready!(check.as_mut().poll(context));
            self.next_check = None;
        }
    }

    /// Returns the error of an exchange whose connection failed after the end of the answer.
    fn end_undelivered(&self, error: io::Error) -> ExchangeError {
        match self.outstanding_bytes {
            0 => ExchangeError::Broken(error),
            outstanding_bytes => ExchangeError::RequestNotTaken { outstanding_bytes, error },
        }
    }

    fn count_sent(&mut self, bytes: usize) {
        let of_head = bytes.min(self.head_left.len());
        self.head_left.advance(of_head);
        self.body_left.advance(bytes - of_head);
        if self.head_left.is_empty() {
            self.head_left = Bytes::new();
        }
    }

    /// Reads more input; returns `false` if the connection has ended.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<Result<bool, ExchangeError>> {
        // An exchange that waits holds no buffer.
        let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let mut chunk = ReadBuf::uninit(&mut chunk);
        let read = Pin::new(&mut self.connection).poll_read(context, &mut chunk);
        ready!(read).map_err(ExchangeError::Broken)?;
        self.input.extend_from_slice(chunk.filled());
        Poll::Ready(Ok(!chunk.filled().is_empty()))
    }
}

/// Encodes the head of a request whose body has `body_length` bytes.
fn encode_head(
    codec: &mut ClientCodec,
    head: RequestHead,
    body_length: usize,
) -> Result<Bytes, ExchangeError> {
    let size = match body_length {
        0 => BodySize::None,
        length => BodySize::Sized(u64::try_from(length).unwrap_or(u64::MAX)),
    };
    let mut output = BytesMut::new();
    let head = RequestHeadType::Owned(head);
    codec.encode(Message::Item((head, size)), &mut output).map_err(ExchangeError::Encoding)?;
    Ok(output.freeze())
}

fn framing_of(codec: ClientCodec, head: &ResponseHead) -> BodyFraming {
    if codec.message_type() != MessageType::None {
        return BodyFraming::Framed(codec.into_payload_codec());
    }
    // The codec treats an answer without a length as an empty one.
    let is_framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if is_framed || has_no_body { BodyFraming::Complete } else { BodyFraming::UntilClose }
}
