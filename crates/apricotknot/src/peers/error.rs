//! Failures of calls to peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::types::NodeId;
use apricotknot_wire::auth::HandshakeError;
use apricotknot_wire::convert::ConvertError;
use thiserror::Error;

/// Classifies the failure of a call to a peer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerErrorKind {
    /// The peer is not a known member; nothing was sent.
    Unknown,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke or the peer refused the call; the call may have arrived.
    Broken,
    /// No answer came in time; the call may have arrived.
    TimedOut,
    /// The answer could not be decoded; the call arrived.
    Malformed,
}

/// Reports why a call to a peer failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The node is not a known member.
    #[error("node {node} is not a known member; wait for the next member list")]
    UnknownNode {
        /// Name of the node, as given.
        node: NodeId,
    },
    /// The address for peers could not be listened on.
    #[error("cannot listen for peers at {address}: {error}; check [peers] listen")]
    Listen {
        /// Address as given.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// No connection could be opened.
    #[error(
        "cannot connect to the peer at {address}: {error}; the next call retries after a delay"
    )]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The last attempt to connect failed, and its retry delay has not passed yet.
    #[error("the peer at {address} was unreachable; calls may retry in {retry_in:?}")]
    BackingOff {
        /// Address of the peer.
        address: SocketAddr,
        /// Time until the next attempt.
        retry_in: Duration,
    },
    /// The handshake failed, or the peer is not the expected node.
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    /// The call failed.
    #[error("call to the peer failed: {0}")]
    Call(#[from] capnp::Error),
    /// The answer could not be decoded.
    #[error("cannot decode the answer of the peer: {0}")]
    Answer(#[from] ConvertError),
    /// No answer came in time.
    #[error("no answer from the peer within {limit:?}")]
    TimedOut {
        /// Time limit that passed.
        limit: Duration,
    },
}

impl PeerError {
    /// Returns the class of the failure.
    pub fn kind(&self) -> PeerErrorKind {
        match self {
            Self::UnknownNode { .. } => PeerErrorKind::Unknown,
            Self::Listen { .. }
            | Self::Connect { .. }
            | Self::BackingOff { .. }
            | Self::Handshake(_) => PeerErrorKind::Unreachable,
            Self::Call(_) => PeerErrorKind::Broken,
            Self::Answer(_) => PeerErrorKind::Malformed,
            Self::TimedOut { .. } => PeerErrorKind::TimedOut,
        }
    }

    /// Returns whether the peer may have received the call and acted on it.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self.kind(), PeerErrorKind::Unknown | PeerErrorKind::Unreachable)
    }
}
