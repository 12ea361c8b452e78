//! Relays one connection to an endpoint for another node.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::TcpStream;
use apricotknot_core::types::EndpointId;
use slog::info;
use slog::warn;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;

use super::RelayEnd;
use super::RelayError;
use super::RelayRefusal;
use super::RelayedRequest;
use super::relay_message::EndMode;
use super::relay_message::ReceivedOpening;
use super::relay_message::receive_opening;
use super::relay_message::send_answer;
use super::relayed_stream::FRAME_HEAD_BYTES;
use crate::control::ControlCommand;
use crate::control::RelayPermit;
use crate::driver::TrafficContext;
use crate::endpoint::CONNECT_TIMEOUT;
use crate::endpoint::connect;
use crate::endpoint::set_socket_options;
use crate::intake::IntakeConnection;

/// Longest time until a node that connected has said what it wants.
const OPENING_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that are held for each direction of a connection.
const BUFFER_BYTES: usize = 8 * 1_024;

/// Longest time for which the input of a node is discarded after the end of the answer, so that it
/// can read the rest.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves one connection of another node.
pub struct RelaySession<P> {
    context: TrafficContext<P>,
    node: TcpStream,
    intake: IntakeConnection,
}

impl<P> RelaySession<P> {
    /// Creates the session of an accepted connection.
    pub fn new(context: TrafficContext<P>, node: TcpStream, intake: IntakeConnection) -> Self {
        Self { context, node, intake }
    }

    /// Relays until one of both ends closes its connection.
    pub async fn run(mut self) {
        let opening =
            tokio::time::timeout(OPENING_TIMEOUT, receive_from(&mut self.node, &self.context));
        let opening = tokio::select! {
            opening = opening => opening,
            () = self.intake.gave_way() => return,
        };
        match opening {
            Ok(Ok(received)) if self.intake.serve() => self.serve(received).await,
            Ok(Ok(_)) => {},
            Ok(Err(error)) => self.log_dropped(&error),
            Err(_) => self.log_dropped(&RelayError::Timeout(OPENING_TIMEOUT)),
        }
    }

    async fn serve(mut self, received: ReceivedOpening) {
        let endpoint = EndpointId::clone(&received.opening.endpoint);
        let connected = self.connect(&endpoint).await;
        let outcome = connected.as_ref().map(|_| ()).map_err(|refusal| *refusal);
        info!(
            self.context.logger, "relay: asked for an endpoint";
            "node" => &*received.opening.node, "endpoint" => &*endpoint,
            "cause" => outcome.err().map(|refusal| refusal.to_string()),
            "open" => self.context.metrics.open_relays.get()
        );
        let answered = send_answer(&mut self.node, &received, outcome).await;
        let (Ok((target, _permit)), Ok(())) = (connected, answered) else {
            return;
        };
        self.context.metrics.open_relays.inc();
        let request = RelayedRequest::new(received.end_mode);
        let (end, bytes) = relay(&mut self.node, target, &request).await;
        self.context.metrics.open_relays.dec();
        info!(
            self.context.logger, "relay: over";
            "node" => &*received.opening.node, "endpoint" => &*endpoint, "end" => end.name(),
            "bytes" => bytes, "held_back_for" => request.held_back_for()
        );
    }

    async fn connect(
        &self,
        endpoint: &EndpointId,
    ) -> Result<(TcpStream, RelayPermit), RelayRefusal> {
        if self.context.shared.is_stopping() {
            return Err(RelayRefusal::Stopping);
        }
        let permit = self.context.control.permit_relay(EndpointId::clone(endpoint)).await?;
        let connected = connect(permit.address, CONNECT_TIMEOUT).await;
        let is_reached = connected.is_ok();
        if !is_reached || self.context.shared.is_path_suspect() {
            let endpoint = EndpointId::clone(endpoint);
            self.context.control.send(ControlCommand::PathTried { endpoint, is_reached });
        }
        let stream = connected.map_err(|_| RelayRefusal::Unreached)?;
        Ok((stream, permit))
    }

    fn log_dropped(&self, error: &RelayError) {
        let peer = self.node.peer_addr().ok().as_ref().map(SocketAddr::to_string);
        warn!(
            self.context.logger, "relay: dropping a connection";
            "peer" => peer, "error" => %error
        );
    }
}

/// Passes bytes on in both directions; returns how it ended, and the bytes of the answer.
async fn relay(
    node: &mut TcpStream,
    mut target: TcpStream,
    request: &RelayedRequest,
) -> (RelayEnd, u64) {
    let (mut from_node, to_node) = node.split();
    let (from_target, to_target) = target.split();
    let mut bytes = 0;
    let end = tokio::select! {
        () = send_request(&mut from_node, to_target, request) => RelayEnd::NodeClosed,
        end = return_answer(from_target, to_node, request, &mut bytes) => end,
    };
    if end != RelayEnd::NodeClosed {
        // Closing a connection with unread input resets it, and the node loses the answer.
        let _ = tokio::time::timeout(LINGER_TIMEOUT, discard(&mut from_node)).await;
    }
    (end, bytes)
}

/// Passes the bytes of the node on, until it closes its connection.
///
/// An endpoint may answer without reading the rest of the request, which is discarded then. Bytes
/// behind the request are discarded as well.
async fn send_request(
    from_node: &mut ReadHalf<'_>,
    mut to_target: WriteHalf<'_>,
    request: &RelayedRequest,
) {
    if request.end_mode() == EndMode::Confirmed {
        match from_node.read_u64().await {
            Ok(length) => request.set_length(length),
            Err(_) => return,
        }
    }
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from_node.read(&mut buffer).await {
        let count = request.bytes_within(count);
        if to_target.write_all(&buffer[..count]).await.is_err() {
            request.mark_broken();
            return discard(from_node).await;
        }
        request.count_sent(count);
    }
}

/// Passes the bytes of the endpoint on in frames, until it closes its connection.
///
/// The end of the connection is passed on as the end of the answer only if the endpoint took the
/// request, as far as this node knows it.
async fn return_answer(
    mut from_target: ReadHalf<'_>,
    mut to_node: WriteHalf<'_>,
    request: &RelayedRequest,
    bytes: &mut u64,
) -> RelayEnd {
    let mut frame = vec![0; FRAME_HEAD_BYTES + BUFFER_BYTES];
    loop {
        let read = from_target.read(&mut frame[FRAME_HEAD_BYTES..]).await;
        let broken = match read {
            Ok(0) => request.wait_taken(from_target.as_ref()).await.err(),
            Ok(_) => None,
            Err(_) => Some(RelayEnd::EndpointBroken),
        };
        if let Some(end) = broken {
            // Without an empty frame before it, this is not the end of the answer.
            let _ = to_node.shutdown().await;
            return end;
        }
        let count = read.unwrap_or_default();
        let length = u16::try_from(count).unwrap_or(u16::MAX);
        frame[..FRAME_HEAD_BYTES].copy_from_slice(&length.to_be_bytes());
        if write_frame(&mut to_node, &frame[..FRAME_HEAD_BYTES + count]).await.is_err() {
            return RelayEnd::NodeClosed;
        }
        if count == 0 {
            return RelayEnd::EndpointClosed;
        }
        *bytes += u64::from(length);
    }
}

async fn write_frame(to_node: &mut WriteHalf<'_>, frame: &[u8]) -> io::Result<()> {
    to_node.write_all(frame).await
}

async fn discard(input: &mut ReadHalf<'_>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(1..) = input.read(&mut buffer).await {}
}

/// Receives the message with which another node asks for an endpoint.
async fn receive_from<P>(
    node: &mut TcpStream,
    context: &TrafficContext<P>,
) -> Result<ReceivedOpening, RelayError> {
    set_socket_options(node)?;
    receive_opening(node, &context.shared.peer_seals()).await
}
