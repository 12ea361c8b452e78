//! Bytes of load snapshots.
//!
//! The fields of the first version come first, without names. Each later field follows in a section
//! of its own: a number that identifies it, its length and its value. A node skips sections that it
//! does not know, and a missing one leaves the field empty, so nodes of different versions read one
//! another's snapshots.

use apricotknot_core::fleet::LoadSnapshot;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::DatagramError;

/// Number of the section with the request rates of endpoints.
const RATES_SECTION: u8 = 1;

/// Number of the section with the snapshots of other nodes.
const RELAYED_SECTION: u8 = 2;

/// Number of the section with the node's part in relaying connections.
const RELAY_SECTION: u8 = 3;

/// Number of the section with backoffs that endpoints ask of relaying nodes.
const BACKOFFS_SECTION: u8 = 4;

/// Number of the section with endpoints that leave.
const LEAVING_SECTION: u8 = 5;

/// Number of the section with the time that the node's clock shows.
const CLOCK_SECTION: u8 = 6;

/// Number of the section with the ranks of the works.
const RANKS_SECTION: u8 = 7;

/// Number of the section with the waits that the price of engine time holds.
const PRICE_WAITS_SECTION: u8 = 8;

/// Bytes before the value of a section: its number and the length of the value.
const SECTION_HEAD_BYTES: usize = 5;

/// Returns the bytes of a snapshot.
///
/// # Errors
///
/// Returns an error if the snapshot cannot be encoded.
pub(super) fn encode_snapshot(snapshot: &LoadSnapshot) -> Result<Vec<u8>, DatagramError> {
    let mut bytes = postcard::to_allocvec(snapshot).map_err(|_| DatagramError::Malformed)?;
    if !snapshot.rates.is_empty() {
        push_section(&mut bytes, RATES_SECTION, &snapshot.rates)?;
    }
    if let Some(relay) = &snapshot.relay {
        push_section(&mut bytes, RELAY_SECTION, relay)?;
    }
    if !snapshot.backoffs.is_empty() {
        push_section(&mut bytes, BACKOFFS_SECTION, &snapshot.backoffs)?;
    }
    if !snapshot.leaving.is_empty() {
        push_section(&mut bytes, LEAVING_SECTION, &snapshot.leaving)?;
    }
    if snapshot.ranks.iter().any(|rank| *rank != 0) {
        push_section(&mut bytes, RANKS_SECTION, &snapshot.ranks)?;
    }
    if snapshot.price_waits.contains(&true) {
        push_section(&mut bytes, PRICE_WAITS_SECTION, &snapshot.price_waits)?;
    }
    if !snapshot.relayed.is_empty() {
        push_section(&mut bytes, RELAYED_SECTION, &snapshot.relayed)?;
    }
    if let Some(wall_clock_us) = &snapshot.wall_clock_us {
        push_section(&mut bytes, CLOCK_SECTION, wall_clock_us)?;
    }
    Ok(bytes)
}

/// Reads a snapshot of this or another version.
///
/// # Errors
///
/// Returns an error if the bytes are no snapshot.
pub fn decode_snapshot(bytes: &[u8]) -> Result<LoadSnapshot, DatagramError> {
    let (mut snapshot, mut rest): (LoadSnapshot, &[u8]) =
        postcard::take_from_bytes(bytes).map_err(|_| DatagramError::Malformed)?;
    while !rest.is_empty() {
        let (number, value, others) = split_section(rest)?;
        match number {
            RATES_SECTION => snapshot.rates = parse_value(value)?,
            RELAY_SECTION => snapshot.relay = Some(parse_value(value)?),
            BACKOFFS_SECTION => snapshot.backoffs = parse_value(value)?,
            LEAVING_SECTION => snapshot.leaving = parse_value(value)?,
            CLOCK_SECTION => snapshot.wall_clock_us = Some(parse_value(value)?),
            RANKS_SECTION => snapshot.ranks = parse_value(value)?,
            PRICE_WAITS_SECTION => snapshot.price_waits = parse_value(value)?,
            RELAYED_SECTION => snapshot.relayed = parse_value(value)?,
            _ => {},
        }
        rest = others;
    }
    Ok(snapshot)
}

fn push_section<T: Serialize>(
    bytes: &mut Vec<u8>,
    number: u8,
    field: &T,
) -> Result<(), DatagramError> {
    let value = postcard::to_allocvec(field).map_err(|_| DatagramError::Malformed)?;
    let length = u32::try_from(value.len()).map_err(|_| DatagramError::Malformed)?;
    bytes.push(number);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&value);
    Ok(())
}

/// Returns the number and the value of the first section, and the bytes after it.
fn split_section(bytes: &[u8]) -> Result<(u8, &[u8], &[u8]), DatagramError> {
    let (head, rest) =
        bytes.split_at_checked(SECTION_HEAD_BYTES).ok_or(DatagramError::Malformed)?;
    let [number, length @ ..] = head else {
        return Err(DatagramError::Malformed);
    };
    let length = length.try_into().map_err(|_| DatagramError::Malformed)?;
    let length = usize::try_from(u32::from_le_bytes(length)).unwrap_or(usize::MAX);
    let (value, others) = rest.split_at_checked(length).ok_or(DatagramError::Malformed)?;
    Ok((*number, value, others))
}

fn parse_value<T: DeserializeOwned>(value: &[u8]) -> Result<T, DatagramError> {
    postcard::from_bytes(value).map_err(|_| DatagramError::Malformed)
}
