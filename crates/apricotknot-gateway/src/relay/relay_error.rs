//! Reasons why a peer does not connect a node to an endpoint.

use std::io;
use std::time::Duration;

use thiserror::Error;

/// Reason that a peer gives; nothing was sent to the endpoint.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RelayRefusal {
    /// The peer cannot connect to the endpoint either.
    #[error("the peer cannot reach the endpoint either")]
    Unreached,
    /// The endpoint is not known to the peer, or gets no new requests from it.
    #[error("the peer sends nothing to this endpoint")]
    NotPermitted,
    /// The peer can reach no endpoint of the service.
    #[error("the peer is cut off from the service itself")]
    CutOff,
    /// The peer relays as many connections as it can.
    #[error("the peer relays too many connections")]
    Busy,
    /// The peer is about to stop.
    #[error("the peer is stopping")]
    Stopping,
}

/// All refusals, each at the index of its code on the wire less 1.
const REFUSALS: [RelayRefusal; 5] = [
    RelayRefusal::Unreached,
    RelayRefusal::NotPermitted,
    RelayRefusal::CutOff,
    RelayRefusal::Busy,
    RelayRefusal::Stopping,
];

impl RelayRefusal {
    /// Returns the code on the wire, from 1.
    pub(super) fn code(self) -> u8 {
        let index = REFUSALS.iter().position(|refusal| *refusal == self);
        u8::try_from(index.unwrap_or_default() + 1).unwrap_or(u8::MAX)
    }

    /// Returns the refusal with a code, or `None` if there is none.
    pub(super) fn from_code(code: u8) -> Option<Self> {
        REFUSALS.get(usize::from(code).checked_sub(1)?).copied()
    }

    /// Returns whether another peer would say the same, as the refusal is about the endpoint.
    pub fn is_about_endpoint(self) -> bool {
        matches!(self, Self::Unreached | Self::NotPermitted)
    }
}

/// Reports why no connection was made through a peer; nothing was sent to the endpoint.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The peer refuses.
    #[error("{0}")]
    Refused(RelayRefusal),
    /// The connection to the peer failed.
    #[error("the connection to the peer failed: {0}")]
    Broken(#[from] io::Error),
    /// The peer did not answer in time.
    #[error("no answer of the peer within {0:?}")]
    Timeout(Duration),
    /// The other end did not prove that it knows the secret of the fleet.
    #[error("the other end does not know the peer secret")]
    Unauthenticated,
    /// A message does not follow the protocol between nodes.
    #[error("a message of the peer is malformed")]
    Malformed,
    /// There is no peer to ask, or no secret to prove with.
    #[error("no peer can be asked")]
    NoPeer,
}

impl RelayError {
    /// Returns the refusal of the peer, if it gave one.
    pub fn refusal(&self) -> Option<RelayRefusal> {
        match self {
            Self::Refused(refusal) => Some(*refusal),
            _ => None,
        }
    }
}
