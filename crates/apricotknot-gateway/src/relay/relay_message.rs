//! Messages with which a relayed connection begins.
//!
//! 1. The peer that accepted sends a challenge.
//! 2. The node that connected sends its opening, with a tag over the challenge and the opening.
//! 3. The peer sends its answer, a byte, with a tag over all of it.
//!
//! Challenge and opening are new for each connection, so a recorded one cannot be used again.

use apricotknot_core::types::EndpointId;
use apricotknot_core::types::NodeId;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::RelayError;
use super::RelayRefusal;
use crate::peers::DatagramSeal;
use crate::peers::PeerSeals;
use crate::peers::TAG_BYTES;

/// Length of a challenge, in bytes.
const CHALLENGE_BYTES: usize = 16;

/// Longest opening, in bytes.
const MAX_OPENING_BYTES: usize = 1_024;

/// Code of the answer that a connection was made.
const CONNECTED_CODE: u8 = 0;

// Each label separates one use of the secret from the others.
const OPENING_LABEL: &[u8] = b"apricotknot relay opening";
const ANSWER_LABEL: &[u8] = b"apricotknot relay answer";

/// Random bytes that make a tag valid for one connection only.
type Challenge = [u8; CHALLENGE_BYTES];

/// Asks a peer for a connection to an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct RelayOpening {
    /// Node that asks.
    pub(super) node: NodeId,
    /// Endpoint that it means.
    pub(super) endpoint: EndpointId,
    /// Random number of this opening.
    pub(super) nonce: u128,
}

/// An opening whose tag is valid, and what is needed to answer it.
pub(super) struct ReceivedOpening {
    pub(super) opening: RelayOpening,
    challenge: Challenge,
    bytes: Vec<u8>,
    seal: DatagramSeal,
}

/// Asks the peer at the other end of `stream`, and waits for its answer.
pub(super) async fn send_opening(
    stream: &mut TcpStream,
    opening: &RelayOpening,
    seal: &DatagramSeal,
) -> Result<(), RelayError> {
    let mut challenge: Challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut challenge).await?;
    let bytes = postcard::to_allocvec(opening).map_err(|_| RelayError::Malformed)?;
    let length = u16::try_from(bytes.len()).map_err(|_| RelayError::Malformed)?;
    let mut message = length.to_be_bytes().to_vec();
    message.extend_from_slice(&bytes);
    message.extend_from_slice(&seal.tag(&[OPENING_LABEL, &challenge, &bytes]));
    stream.write_all(&message).await?;
    let mut answer = [0; 1 + TAG_BYTES];
    stream.read_exact(&mut answer).await?;
    let (code, tag) = answer.split_at(1);
    if !seal.verifies(&[ANSWER_LABEL, &challenge, &bytes, code], tag) {
        return Err(RelayError::Unauthenticated);
    }
    match code[0] {
        CONNECTED_CODE => Ok(()),
        code => {
            Err(RelayRefusal::from_code(code).map_or(RelayError::Malformed, RelayError::Refused))
        },
    }
}

/// Waits for the opening of the node at the other end of `stream`.
pub(super) async fn receive_opening(
    stream: &mut TcpStream,
    seals: &PeerSeals,
) -> Result<ReceivedOpening, RelayError> {
    let challenge: Challenge = rand::random();
    stream.write_all(&challenge).await?;
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_OPENING_BYTES {
        return Err(RelayError::Malformed);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    let seal = seals
        .find(|seal| seal.verifies(&[OPENING_LABEL, &challenge, &bytes], &tag))
        .ok_or(RelayError::Unauthenticated)?
        .clone();
    let opening = postcard::from_bytes(&bytes).map_err(|_| RelayError::Malformed)?;
    Ok(ReceivedOpening { opening, challenge, bytes, seal })
}

/// Answers an opening.
pub(super) async fn send_answer(
    stream: &mut TcpStream,
    received: &ReceivedOpening,
    answer: Result<(), RelayRefusal>,
) -> Result<(), RelayError> {
    let code = [answer.map_or_else(RelayRefusal::code, |()| CONNECTED_CODE)];
    let parts = [ANSWER_LABEL, &received.challenge, &received.bytes, &code];
    let mut message = code.to_vec();
    message.extend_from_slice(&received.seal.tag(&parts));
    Ok(stream.write_all(&message).await?)
}
