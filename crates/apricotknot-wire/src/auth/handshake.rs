//! Mutual proof that both ends of a connection know a shared key.
//!
//! 1. The client sends its hello: identity, nonce, whom it wants to reach, ids of its keys.
//! 2. The server sends its hello, which names one of those keys, and its proof over both hellos.
//! 3. The client sends its proof over both hellos and the server's proof.
//!
//! A recorded handshake is worth nothing later, since both nonces are new each time.

use std::io;

use apricotknot_core::types::NodeId;
use hmac::KeyInit;
use hmac::Mac;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use super::TrafficCounters;
use super::hello::Hello;
use super::hello::NONCE_BYTES;
use super::hello::PeerIdentity;
use super::key::KeyError;
use super::key::KeyRing;
use super::key::KeyedMac;
use super::key::PROOF_BYTES;
use super::key::SharedKey;

/// Longest message of a handshake, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 1_024;

const SERVER_LABEL: &[u8] = b"apricotknot server proof";
const CLIENT_LABEL: &[u8] = b"apricotknot client proof";
const SERVER_FRAMES_LABEL: &[u8] = b"apricotknot frames to client";
const CLIENT_FRAMES_LABEL: &[u8] = b"apricotknot frames to server";

/// Says why a connection was refused, for counting.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HandshakeErrorKind {
    /// The connection broke.
    Broken,
    /// A message does not follow the protocol.
    Malformed,
    /// A message is longer than is read.
    Oversized,
    /// The other end does not know a key of ours.
    Unauthenticated,
    /// The other end is not the node that was wanted.
    WrongPeer,
}

/// Refuses a connection.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection broke.
    #[error("connection broke during the handshake: {0}")]
    Broken(#[from] io::Error),
    /// A message does not follow the protocol.
    #[error("handshake refused: the message {0}; only nodes may connect to this address")]
    Malformed(&'static str),
    /// A message is longer than is read.
    #[error("handshake refused: message of {given} bytes, at most {MAX_HANDSHAKE_BYTES} are read")]
    Oversized {
        /// Length as announced, in bytes.
        given: usize,
    },
    /// The other end knows none of our keys.
    #[error("handshake refused: no key in common; set the same current or previous peer key")]
    UnknownKey,
    /// The other end's proof is wrong.
    #[error("handshake refused: wrong proof; the other end does not know the peer key")]
    WrongProof,
    /// The other end is another node than was wanted.
    #[error(
        "handshake refused: wanted node {expected}, met node {actual}; check the peers' addresses"
    )]
    WrongPeer {
        /// Node that was wanted.
        expected: NodeId,
        /// Node that was met.
        actual: NodeId,
    },
    /// A session key could not be made.
    #[error("handshake failed: {0}")]
    Key(#[from] KeyError),
}

impl HandshakeError {
    /// Returns the kind, for counting.
    pub fn kind(&self) -> HandshakeErrorKind {
        match self {
            Self::Broken(_) => HandshakeErrorKind::Broken,
            Self::Malformed(_) => HandshakeErrorKind::Malformed,
            Self::Oversized { .. } => HandshakeErrorKind::Oversized,
            Self::UnknownKey | Self::WrongProof | Self::Key(_) => {
                HandshakeErrorKind::Unauthenticated
            },
            Self::WrongPeer { .. } => HandshakeErrorKind::WrongPeer,
        }
    }
}

/// Holds the keys that seal the frames of one connection, one for each direction.
#[derive(Clone)]
pub struct SessionKeys {
    /// Seals the frames that this end sends.
    pub(super) outgoing: KeyedMac,
    /// Checks the frames that this end receives.
    pub(super) incoming: KeyedMac,
}

/// Carries out the handshake at the end that opened the connection.
///
/// An empty `expected` accepts whichever node listens at the address.
///
/// # Errors
///
/// Refuses an end that does not know a key of `ring`, that is not `expected`, or that does not
/// follow the protocol. The caller bounds the time.
pub async fn connect<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    identity: &PeerIdentity,
    expected: NodeId,
    ring: &KeyRing,
    counters: &TrafficCounters,
) -> Result<(PeerIdentity, SessionKeys), HandshakeError> {
    let client_hello = Hello {
        identity: identity.clone(),
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
        expected,
        keys: ring.ids(),
    };
    let client_bytes = client_hello.encode();
    send_message(stream, &client_bytes, counters).await?;
    let server_bytes = receive_message(stream, counters).await?;
    let server_hello = Hello::decode(&server_bytes)?;
    check_peer(&client_hello.expected, identity, &server_hello.identity)?;
    let key = ring.find(&server_hello.keys).ok_or(HandshakeError::UnknownKey)?;
    let server_proof = receive_message(stream, counters).await?;
    check_proof(key.transcript_mac(SERVER_LABEL, &[&client_bytes, &server_bytes]), &server_proof)?;
    let client_proof = key
        .transcript_mac(CLIENT_LABEL, &[&client_bytes, &server_bytes, &server_proof])
        .finalize()
        .into_bytes();
    send_message(stream, &client_proof, counters).await?;
    let transcript = [&client_bytes[..], &server_bytes[..], &server_proof[..]];
    let session = SessionKeys {
        outgoing: derive_frame_key(key, CLIENT_FRAMES_LABEL, &transcript)?,
        incoming: derive_frame_key(key, SERVER_FRAMES_LABEL, &transcript)?,
    };
    Ok((server_hello.identity, session))
}

/// Carries out the handshake at the end that accepted the connection.
///
/// # Errors
///
/// Refuses an end that does not know a key of `ring`, that wanted another node, or that does not
/// follow the protocol. The caller bounds the time.
pub async fn accept<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    identity: &PeerIdentity,
    ring: &KeyRing,
    counters: &TrafficCounters,
) -> Result<(PeerIdentity, SessionKeys), HandshakeError> {
    let client_bytes = receive_message(stream, counters).await?;
    let client_hello = Hello::decode(&client_bytes)?;
    let key = ring.find(&client_hello.keys).ok_or(HandshakeError::UnknownKey)?;
    let server_hello = Hello {
        identity: identity.clone(),
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
        expected: client_hello.identity.node.clone(),
        keys: vec![key.id()],
    };
    let server_bytes = server_hello.encode();
    send_message(stream, &server_bytes, counters).await?;
    let server_proof =
        key.transcript_mac(SERVER_LABEL, &[&client_bytes, &server_bytes]).finalize().into_bytes();
    send_message(stream, &server_proof, counters).await?;
    check_peer(&client_hello.expected, &client_hello.identity, identity)?;
    let client_proof = receive_message(stream, counters).await?;
    check_proof(
        key.transcript_mac(CLIENT_LABEL, &[&client_bytes, &server_bytes, &server_proof]),
        &client_proof,
    )?;
    let transcript = [&client_bytes[..], &server_bytes[..], &server_proof[..]];
    let session = SessionKeys {
        outgoing: derive_frame_key(key, SERVER_FRAMES_LABEL, &transcript)?,
        incoming: derive_frame_key(key, CLIENT_FRAMES_LABEL, &transcript)?,
    };
    Ok((client_hello.identity, session))
}

/// Refuses a server that is not the wanted node, and a node that reached itself.
fn check_peer(
    expected: &NodeId,
    client: &PeerIdentity,
    server: &PeerIdentity,
) -> Result<(), HandshakeError> {
    let is_expected = expected.is_empty() || *expected == server.node;
    if !is_expected || client.node == server.node {
        return Err(HandshakeError::WrongPeer {
            expected: expected.clone(),
            actual: server.node.clone(),
        });
    }
    Ok(())
}

fn check_proof(mac: KeyedMac, given: &[u8]) -> Result<(), HandshakeError> {
    if given.len() != PROOF_BYTES {
        return Err(HandshakeError::Malformed("has a proof of the wrong length"));
    }
    mac.verify_slice(given).map_err(|_| HandshakeError::WrongProof)
}

fn derive_frame_key(
    key: &SharedKey,
    label: &[u8],
    transcript: &[&[u8]],
) -> Result<KeyedMac, HandshakeError> {
    let secret = key.transcript_mac(label, transcript).finalize().into_bytes();
    Ok(KeyedMac::new_from_slice(&secret).map_err(KeyError::from)?)
}

async fn send_message<S: AsyncWrite + Unpin>(
    stream: &mut S,
    bytes: &[u8],
    counters: &TrafficCounters,
) -> Result<(), HandshakeError> {
    let mut message = (bytes.len() as u16).to_be_bytes().to_vec();
    message.extend(bytes);
    stream.write_all(&message).await?;
    stream.flush().await?;
    counters.count_sent(1, message.len());
    Ok(())
}

async fn receive_message<S: AsyncRead + Unpin>(
    stream: &mut S,
    counters: &TrafficCounters,
) -> Result<Vec<u8>, HandshakeError> {
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_HANDSHAKE_BYTES {
        return Err(HandshakeError::Oversized { given: length });
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    counters.count_received(1, length + size_of::<u16>());
    Ok(bytes)
}
