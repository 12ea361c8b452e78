//! Handshake and frames: only nodes that know a shared key are accepted, and altered, repeated or
//! missing frames are refused.

use std::io;
use std::sync::Arc;

use apricotknot_core::types::NodeId;
use apricotknot_wire::auth;
use apricotknot_wire::auth::FrameReader;
use apricotknot_wire::auth::FrameWriter;
use apricotknot_wire::auth::HandshakeError;
use apricotknot_wire::auth::HandshakeErrorKind;
use apricotknot_wire::auth::KeyError;
use apricotknot_wire::auth::KeyRing;
use apricotknot_wire::auth::PeerIdentity;
use apricotknot_wire::auth::SessionKeys;
use apricotknot_wire::auth::SharedKey;
use apricotknot_wire::auth::TrafficCounters;
use futures::io::AsyncReadExt;
use futures::io::AsyncWriteExt;
use tokio::io::AsyncWriteExt as _;
use tokio::io::DuplexStream;

type HandshakeResult = Result<(PeerIdentity, SessionKeys), HandshakeError>;

/// Returns a key ring whose key consists of the byte `fill`.
fn key_ring(fill: u8) -> Result<KeyRing, KeyError> {
    Ok(KeyRing::new(SharedKey::new(&[fill; 32])?))
}

fn identity(node: &str) -> PeerIdentity {
    PeerIdentity { node: NodeId::from(node), incarnation: 5 }
}

/// Performs the client's side of the handshake as node `a`.
async fn connect_end(
    mut stream: DuplexStream,
    expected: &str,
    key_ring: &KeyRing,
) -> HandshakeResult {
    let counters = TrafficCounters::default();
    auth::connect(&mut stream, &identity("a"), NodeId::from(expected), key_ring, &counters).await
}

/// Performs the server's side of the handshake as node `node`.
async fn accept_end(mut stream: DuplexStream, node: &str, key_ring: &KeyRing) -> HandshakeResult {
    let counters = TrafficCounters::default();
    auth::accept(&mut stream, &identity(node), key_ring, &counters).await
}

/// Performs both sides of a handshake; returns the client's result, then the server's.
async fn run_handshake(
    client: &KeyRing,
    server: &KeyRing,
    expected: &str,
    node: &str,
) -> (HandshakeResult, HandshakeResult) {
    let (client_stream, server_stream) = tokio::io::duplex(4_096);
    futures::future::join(
        connect_end(client_stream, expected, client),
        accept_end(server_stream, node, server),
    )
    .await
}

fn kind(result: HandshakeResult) -> Option<HandshakeErrorKind> {
    result.err().map(|error| error.kind())
}

#[actix_rt::test]
async fn both_ends_learn_the_identity_of_the_peer() {
    let key_ring = key_ring(1).unwrap();
    let (client, server) = run_handshake(&key_ring, &key_ring, "b", "b").await;
    assert_eq!(client.unwrap().0, identity("b"));
    assert_eq!(server.unwrap().0, identity("a"));
}

#[actix_rt::test]
async fn another_key_is_refused_at_both_ends() {
    let (client, server) =
        run_handshake(&key_ring(1).unwrap(), &key_ring(2).unwrap(), "b", "b").await;
    assert_eq!(kind(server), Some(HandshakeErrorKind::Unauthenticated));
    assert!(kind(client).is_some());
}

#[actix_rt::test]
async fn keys_rotate_one_node_at_a_time() {
    let old = key_ring(1).unwrap();
    let both = key_ring(2).unwrap().previous(SharedKey::new(&[1; 32]).unwrap());
    let new = key_ring(2).unwrap();
    for (client, server) in [(&old, &both), (&both, &old), (&both, &new), (&new, &both)] {
        let (client, server) = run_handshake(client, server, "b", "b").await;
        assert!(client.is_ok());
        assert!(server.is_ok());
    }
    assert!(run_handshake(&old, &new, "b", "b").await.1.is_err());
}

#[actix_rt::test]
async fn an_unexpected_peer_and_a_connection_to_itself_are_refused() {
    let key_ring = key_ring(1).unwrap();
    let (client, server) = run_handshake(&key_ring, &key_ring, "b", "c").await;
    assert_eq!(kind(client), Some(HandshakeErrorKind::WrongPeer));
    assert_eq!(kind(server), Some(HandshakeErrorKind::WrongPeer));
    let (client, _) = run_handshake(&key_ring, &key_ring, "", "a").await;
    assert_eq!(kind(client), Some(HandshakeErrorKind::WrongPeer));
}

#[actix_rt::test]
async fn malformed_and_oversized_messages_are_refused() {
    let key_ring = key_ring(1).unwrap();
    for (bytes, expected) in [
        (&b"\xff\xffGET / HTTP/1.1"[..], HandshakeErrorKind::Oversized),
        (&b"\x00\x04GET "[..], HandshakeErrorKind::Malformed),
        (&b"\x00\x04AKP1"[..], HandshakeErrorKind::Malformed),
    ] {
        let (mut client_stream, server_stream) = tokio::io::duplex(4_096);
        client_stream.write_all(bytes).await.unwrap();
        assert_eq!(kind(accept_end(server_stream, "b", &key_ring).await), Some(expected));
    }
}

#[actix_rt::test]
async fn a_recorded_handshake_cannot_be_replayed() {
    let key_ring = key_ring(1).unwrap();
    let (client_stream, mut client_side) = tokio::io::duplex(4_096);
    let (mut server_side, server_stream) = tokio::io::duplex(4_096);
    let mut recorded = Vec::new();
    let copy = async {
        let mut bytes = [0; 512];
        // The client's hello, the server's hello and proof, the client's proof.
        for from_client in [true, false, true] {
            let (source, sink) = match from_client {
                true => (&mut client_side, &mut server_side),
                false => (&mut server_side, &mut client_side),
            };
            actix_rt::task::yield_now().await;
            let count = tokio::io::AsyncReadExt::read(source, &mut bytes).await?;
            if from_client {
                recorded.extend_from_slice(&bytes[..count]);
            }
            sink.write_all(&bytes[..count]).await?;
        }
        let mut both = (client_side, server_side);
        tokio::io::copy_bidirectional(&mut both.0, &mut both.1).await
    };
    let ends = futures::future::join(
        connect_end(client_stream, "b", &key_ring),
        accept_end(server_stream, "b", &key_ring),
    );
    let ((client, server), _) = futures::future::join(ends, copy).await;
    assert!(client.is_ok());
    assert!(server.is_ok());
    let (mut client_stream, server_stream) = tokio::io::duplex(4_096);
    client_stream.write_all(&recorded).await.unwrap();
    let replayed = accept_end(server_stream, "b", &key_ring).await;
    assert_eq!(kind(replayed), Some(HandshakeErrorKind::Unauthenticated));
}

/// Returns two frames sealed with `keys`, and the length of the first in bytes.
async fn encode_frames(keys: &SessionKeys) -> io::Result<(Vec<u8>, usize)> {
    let mut bytes = Vec::new();
    let mut writer = FrameWriter::new(&mut bytes, keys, Arc::default());
    writer.write_all(b"first").await?;
    writer.flush().await?;
    writer.write_all(b"second").await?;
    writer.flush().await?;
    drop(writer);
    Ok((bytes, 4 + 5 + 16))
}

/// Returns the payload, or `None` if the read failed, and the number of refused frames.
async fn read_frames(bytes: &[u8], keys: &SessionKeys) -> (Option<Vec<u8>>, u64) {
    let counters = Arc::new(TrafficCounters::default());
    let mut reader = FrameReader::new(bytes, keys, Arc::clone(&counters));
    let mut payload = Vec::new();
    let result = reader.read_to_end(&mut payload).await;
    (result.ok().map(|_| payload), counters.refused_frames())
}

#[actix_rt::test]
async fn altered_repeated_or_missing_frames_are_refused() {
    let key_ring = key_ring(1).unwrap();
    let (client, server) = run_handshake(&key_ring, &key_ring, "b", "b").await;
    let (sender, receiver) = (client.unwrap().1, server.unwrap().1);
    let (bytes, first_frame_bytes) = encode_frames(&sender).await.unwrap();
    assert_eq!(read_frames(&bytes, &receiver).await, (Some(b"firstsecond".to_vec()), 0));
    let replayed = [&bytes[..first_frame_bytes], &bytes[..first_frame_bytes]].concat();
    assert_eq!(read_frames(&replayed, &receiver).await, (None, 1));
    assert_eq!(read_frames(&bytes[first_frame_bytes..], &receiver).await, (None, 1));
    assert_eq!(read_frames(&bytes, &sender).await, (None, 1));
    for index in 0..bytes.len() {
        let mut altered = bytes.clone();
        altered[index] ^= 1;
        assert_eq!(read_frames(&altered, &receiver).await.0, None, "byte {index}");
    }
}
