//! Messages with which a relayed connection begins.
//!
//! 1. The peer that accepted sends a challenge.
//! 2. The node that connected sends its opening, with a tag over the challenge and the opening.
//! 3. The peer sends its answer, a byte, with a tag over all of it.
//! 4. If the answer agrees to [`EndMode::Confirmed`], the node sends the length of its request.
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

/// Code of the answer that a connection was made, in [`EndMode::Immediate`].
const CONNECTED_CODE: u8 = 0;

/// Code of the answer that a connection was made, in [`EndMode::Confirmed`].
const CONFIRMING_CODE: u8 = 128;

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

/// What a node offers behind its opening; nodes of earlier builds send none, and their peers skip it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct OpeningOffer {
    /// Whether the node sends the length of its request to a peer that agrees.
    states_request_length: bool,
}

/// When a peer passes on the end of an endpoint's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndMode {
    /// Once the endpoint has closed its connection: one of both nodes is of an earlier build, so the
    /// peer does not know where the request ends.
    Immediate,
    /// Once the endpoint has also acknowledged the whole request.
    Confirmed,
}

/// An opening whose tag is valid, and what is needed to answer it.
pub(super) struct ReceivedOpening {
    pub(super) opening: RelayOpening,
    pub(super) end_mode: EndMode,
    challenge: Challenge,
    bytes: Vec<u8>,
    seal: DatagramSeal,
}

/// Asks the peer at the other end of `stream`, and waits for its answer.
pub(super) async fn send_opening(
    stream: &mut TcpStream,
    opening: &RelayOpening,
    seal: &DatagramSeal,
) -> Result<EndMode, RelayError> {
    let mut challenge: Challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut challenge).await?;
    let offer = OpeningOffer { states_request_length: true };
    let bytes = postcard::to_allocvec(&(opening, offer)).map_err(|_| RelayError::Malformed)?;
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
        CONNECTED_CODE => Ok(EndMode::Immediate),
        CONFIRMING_CODE => Ok(EndMode::Confirmed),
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
    let (opening, offer) = decode_opening(&bytes)?;
    let end_mode = match offer.states_request_length {
        true => EndMode::Confirmed,
        false => EndMode::Immediate,
    };
    Ok(ReceivedOpening { opening, end_mode, challenge, bytes, seal })
}

fn decode_opening(bytes: &[u8]) -> Result<(RelayOpening, OpeningOffer), RelayError> {
    let decoded = postcard::take_from_bytes(bytes);
    let (opening, offer) = decoded.map_err(|_| RelayError::Malformed)?;
    if offer.is_empty() {
        return Ok((opening, OpeningOffer::default()));
    }
    let offer = postcard::from_bytes(offer).map_err(|_| RelayError::Malformed)?;
    Ok((opening, offer))
}

/// Answers an opening.
pub(super) async fn send_answer(
    stream: &mut TcpStream,
    received: &ReceivedOpening,
    answer: Result<(), RelayRefusal>,
) -> Result<(), RelayError> {
    let connected = match received.end_mode {
        EndMode::Immediate => CONNECTED_CODE,
        EndMode::Confirmed => CONFIRMING_CODE,
    };
    let code = [answer.map_or_else(RelayRefusal::code, |()| connected)];
    let parts = [ANSWER_LABEL, &received.challenge, &received.bytes, &code];
    let mut message = code.to_vec();
    message.extend_from_slice(&received.seal.tag(&parts));
    Ok(stream.write_all(&message).await?)
}
