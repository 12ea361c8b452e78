//! Bytes of counts.
//!
//! The content of the other datagrams begins with the length of a name. Counts begin with bytes that
//! are no such length, so versions that do not know them drop the datagram.

use apricotknot_core::usage::CountSnapshot;

use super::DatagramError;

/// First bytes of counts: an integer of more bits than a length has, and the version of the encoding.
const COUNTS_MARK: [u8; 11] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1];

/// Returns the bytes of counts.
///
/// # Errors
///
/// Returns an error if they cannot be encoded.
pub(super) fn encode_counts(counts: &CountSnapshot) -> Result<Vec<u8>, DatagramError> {
    let mut bytes = COUNTS_MARK.to_vec();
    let content = postcard::to_allocvec(counts).map_err(|_| DatagramError::Malformed)?;
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Reads counts; returns `None` if the bytes are another message.
///
/// Bytes after the known fields are skipped: later versions may add some.
///
/// # Errors
///
/// Returns an error if the bytes begin as counts do, but are none.
pub fn decode_counts(bytes: &[u8]) -> Result<Option<CountSnapshot>, DatagramError> {
    let Some(content) = bytes.strip_prefix(&COUNTS_MARK) else {
        return Ok(None);
    };
    let (counts, _) = postcard::take_from_bytes(content).map_err(|_| DatagramError::Malformed)?;
    Ok(Some(counts))
}
