//! Conversion of texts, names, ids and durations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use capnp::text;
use capnp::text_list;

use super::ConvertError;
use super::limits::MAX_NAME_BYTES;
use crate::generated::peer_capnp::wide_id;

/// Returns an error if `given` items or bytes are more than `allowed`.
pub(super) fn check_length(
    field: &'static str,
    given: usize,
    allowed: usize,
) -> Result<(), ConvertError> {
    if given > allowed {
        return Err(ConvertError::TooLong { field, given, allowed });
    }
    Ok(())
}

/// Reads a text of at most `allowed` bytes.
pub(super) fn read_text(
    field: &'static str,
    reader: text::Reader<'_>,
    allowed: usize,
) -> Result<Arc<str>, ConvertError> {
    check_length(field, reader.len(), allowed)?;
    let text = reader
        .to_str()
        .map_err(|error| capnp::Error::failed(format!("{field} is not text: {error}")))?;
    Ok(Arc::from(text))
}

/// Reads a name of at most [`MAX_NAME_BYTES`] bytes.
pub(super) fn read_name(
    field: &'static str,
    reader: text::Reader<'_>,
) -> Result<Arc<str>, ConvertError> {
    read_text(field, reader, MAX_NAME_BYTES)
}

/// Reads a socket address in the format `IP:PORT`.
pub(super) fn read_address(
    field: &'static str,
    reader: text::Reader<'_>,
) -> Result<SocketAddr, ConvertError> {
    let text = read_name(field, reader)?;
    text.parse().map_err(|_| ConvertError::UnknownValue { field, given: text.to_string() })
}

/// Reads a list of at most `allowed` names.
pub(super) fn read_names(
    field: &'static str,
    reader: text_list::Reader<'_>,
    allowed: usize,
) -> Result<Vec<Arc<str>>, ConvertError> {
    check_length(field, reader.len() as usize, allowed)?;
    reader.iter().map(|name| read_name(field, name?)).collect()
}

/// Reads an id of 128 bits.
pub(super) fn read_wide_id(reader: wide_id::Reader<'_>) -> u128 {
    (u128::from(reader.get_high()) << 64) | u128::from(reader.get_low())
}

/// Writes an id of 128 bits.
pub(super) fn write_wide_id(id: u128, mut builder: wide_id::Builder<'_>) {
    builder.set_high((id >> 64) as u64);
    builder.set_low(id as u64);
}

/// Returns `duration` in whole milliseconds, at most `u64::MAX`.
pub(super) fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns `duration` in nanoseconds, at most `u64::MAX`.
pub(super) fn saturating_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
