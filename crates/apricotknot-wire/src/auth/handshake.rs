//! Mutual authentication of both ends of a connection by a shared key.
//!
//! 1. The client sends its hello: identity, nonce, expected server and ids of its keys.
//! 2. The server sends its hello, which names one of those keys, and its proof over both hellos.
//! 3. The client sends its proof over both hellos and the server's proof.
//!
//! A recorded handshake cannot be replayed, because both nonces are new in each handshake.

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

/// Maximum size of a handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 1_024;

// Each label separates one use of the shared key from the others.
const SERVER_LABEL: &[u8] = b"apricotknot server proof";
const CLIENT_LABEL: &[u8] = b"apricotknot client proof";
const SERVER_FRAMES_LABEL: &[u8] = b"apricotknot frames to client";
const CLIENT_FRAMES_LABEL: &[u8] = b"apricotknot frames to server";

/// Classifies handshake errors for metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HandshakeErrorKind {
    /// The connection failed during the handshake.
    Broken,
    /// A message does not follow the protocol.
    Malformed,
    /// A message is longer than allowed.
    Oversized,
    /// The peer did not prove that it knows a shared key.
    Unauthenticated,
    /// The connection reached another node than expected, or the node itself.
    WrongPeer,
}

/// Reports why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed during the handshake.
    #[error("connection failed during the handshake: {0}")]
    Broken(#[from] io::Error),
    /// A message does not follow the protocol.
    #[error("handshake refused: the message {0}; only nodes may connect to this address")]
    Malformed(&'static str),
    /// A message is longer than allowed.
    #[error(
        "handshake refused: message of {given} bytes; at most {MAX_HANDSHAKE_BYTES} are allowed"
    )]
    Oversized {
        /// Length that the message declares, in bytes.
        given: usize,
    },
    /// The peer names none of this node's keys.
    #[error("handshake refused: no key in common; set the same current or previous peer key")]
    UnknownKey,
    /// The peer's proof is wrong.
    #[error("handshake refused: wrong proof; the other end does not know the peer key")]
    WrongProof,
    /// The server is another node than expected, or the node that opened the connection.
    #[error(
        "handshake refused: expected node {expected}, reached node {actual}; check peer addresses"
    )]
    WrongPeer {
        /// Node that the client expected; empty when it accepts any node.
        expected: NodeId,
        /// Node that accepted the connection.
        actual: NodeId,
    },
    /// A session key could not be derived.
    #[error("handshake failed: {0}")]
    Key(#[from] KeyError),
}

impl HandshakeError {
    /// Returns the kind of the error, for metrics.
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

/// Holds the session keys of one connection, one for each direction.
#[derive(Clone)]
pub struct SessionKeys {
    /// Key that seals the frames that this end sends.
    pub(super) outgoing: KeyedMac,
    /// Key that verifies the frames that this end receives.
    pub(super) incoming: KeyedMac,
}

/// Performs the handshake as the client, the end that opened the connection.
///
/// Returns the identity of the server and the session keys. An empty `expected` accepts any node
/// that listens at the address.
///
/// # Errors
///
/// Returns an error if the server does not know a key of `ring`, is not `expected` or does not
/// follow the protocol, or if the connection fails. There is no timeout: the caller must set one.
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

/// Performs the handshake as the server, the end that accepted the connection.
///
/// Returns the identity of the client and the session keys.
///
/// # Errors
///
/// Returns an error if the client does not know a key of `ring`, expects another node or does not
/// follow the protocol, or if the connection fails. There is no timeout: the caller must set one.
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

/// Refuses a server other than the expected node, and a node that connected to itself.
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

/// Verifies a proof in constant time.
fn check_proof(mac: KeyedMac, given: &[u8]) -> Result<(), HandshakeError> {
    if given.len() != PROOF_BYTES {
        return Err(HandshakeError::Malformed("has a proof of the wrong length"));
    }
    mac.verify_slice(given).map_err(|_| HandshakeError::WrongProof)
}

/// Derives the key that seals the frames of one direction.
fn derive_frame_key(
    key: &SharedKey,
    label: &[u8],
    transcript: &[&[u8]],
) -> Result<KeyedMac, HandshakeError> {
    let secret = key.transcript_mac(label, transcript).finalize().into_bytes();
    Ok(KeyedMac::new_from_slice(&secret).map_err(KeyError::from)?)
}

/// Sends a message with its length as a prefix of two bytes, big-endian.
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

/// Receives a message and refuses it by its declared length before it is read.
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
