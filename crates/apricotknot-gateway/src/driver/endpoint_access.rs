//! Connections of one attempt to its endpoints, by the way that the control thread has chosen.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::fleet::BackoffStatement;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::NodeId;
use slog::warn;

use super::TrafficContext;
use crate::control::ControlCommand;
use crate::control::EndpointPath;
use crate::control::RelayPeer;
use crate::endpoint::CONNECT_TIMEOUT;
use crate::endpoint::EndpointConnection;
use crate::endpoint::ExchangeError;
use crate::endpoint::connect;
use crate::protocol::AnswerMetadata;
use crate::relay::RelayError;
use crate::relay::RelayRefusal;
use crate::relay::RelayedStream;

/// Connects to an endpoint by the way of the attempt.
///
/// # Errors
///
/// Returns an error for which [`ExchangeError::is_unsent`] holds.
pub(super) async fn connect_to<P>(
    context: &TrafficContext<P>,
    endpoint: &EndpointId,
    address: SocketAddr,
    path: &EndpointPath,
    timeout: Duration,
) -> Result<EndpointConnection, ExchangeError> {
    let EndpointPath::Relayed(peers) = path else {
        let stream = connect(address, timeout).await?;
        if context.shared.is_path_suspect() {
            let endpoint = Arc::clone(endpoint);
            context.control.send(ControlCommand::PathTried { endpoint, is_reached: true });
        }
        return Ok(EndpointConnection::Direct(stream));
    };
    let mut failure = RelayError::NoPeer;
    for peer in peers {
        match connect_through(context, endpoint, peer).await {
            Ok(stream) => {
                let peer = Arc::clone(&peer.node);
                return Ok(EndpointConnection::Relayed { stream, peer });
            },
            Err(error) => failure = error,
        }
        if failure.refusal().is_some_and(RelayRefusal::is_about_endpoint) {
            break;
        }
        context.control.send(ControlCommand::RelayFailed { node: Arc::clone(&peer.node) });
    }
    Err(failure.into())
}

/// Tries to connect to an endpoint without a peer, and reports whether that is possible again.
pub(super) fn probe<P>(context: &TrafficContext<P>, endpoint: &EndpointId, address: SocketAddr) {
    let (control, endpoint) = (context.control.clone(), Arc::clone(endpoint));
    actix_rt::spawn(async move {
        let is_reached = connect(address, CONNECT_TIMEOUT).await.is_ok();
        control.send(ControlCommand::PathTried { endpoint, is_reached });
    });
}

/// Reports to the control thread if an answer says that its endpoint leaves or asks for a backoff.
pub(super) fn report_notices<P>(
    context: &TrafficContext<P>,
    endpoint: &EndpointId,
    relayed_by: Option<&NodeId>,
    metadata: &AnswerMetadata,
) {
    if metadata.is_leaving {
        context.control.send(ControlCommand::LeavingStated { endpoint: Arc::clone(endpoint) });
    }
    if metadata.backoff != BackoffStatement::None {
        context.control.send(ControlCommand::BackoffRequested {
            endpoint: Arc::clone(endpoint),
            statement: metadata.backoff,
            relayed_by: relayed_by.cloned(),
        });
    }
}

async fn connect_through<P>(
    context: &TrafficContext<P>,
    endpoint: &EndpointId,
    peer: &RelayPeer,
) -> Result<RelayedStream, RelayError> {
    let seals = context.shared.peer_seals();
    let seal = seals.current().ok_or(RelayError::NoPeer)?;
    let (node, target) = (Arc::clone(&context.node), Arc::clone(endpoint));
    let opened = RelayedStream::open(peer.address, node, target, seal).await;
    match &opened {
        Ok(_) => {
            context.metrics.relayed_attempts.inc();
            let relayed = ControlCommand::EndpointRelayed { endpoint: Arc::clone(endpoint) };
            context.control.send(relayed);
        },
        Err(error) => warn!(
            context.logger, "relay: peer makes no connection; asking another one";
            "endpoint" => %endpoint, "peer" => &*peer.node, "error" => %error
        ),
    }
    opened
}
