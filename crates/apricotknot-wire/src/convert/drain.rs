//! Conversion of drain notices.

use apricotknot_core::membership::DrainNotice;
use apricotknot_core::membership::DrainSubject;
use capnp::struct_list;

use super::ConvertError;
use super::scalar::check_length;
use super::scalar::read_name;
use crate::generated::peer_capnp;
use crate::generated::peer_capnp::drain_notice;

/// Reads a drain notice.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema or a name is longer than its limit.
pub fn read_drain_notice(reader: drain_notice::Reader<'_>) -> Result<DrainNotice, ConvertError> {
    let subject = match reader.get_subject()? {
        peer_capnp::DrainSubject::DataCentre => DrainSubject::DataCentre,
        peer_capnp::DrainSubject::Endpoint => DrainSubject::Endpoint,
        peer_capnp::DrainSubject::Node => DrainSubject::Node,
    };
    Ok(DrainNotice {
        subject,
        name: read_name("notice.name", reader.get_name()?)?,
        out: reader.get_out(),
        version: reader.get_version(),
        origin: read_name("notice.origin", reader.get_origin()?)?,
    })
}

/// Writes a drain notice.
pub fn write_drain_notice(notice: &DrainNotice, mut builder: drain_notice::Builder<'_>) {
    builder.set_subject(match notice.subject {
        DrainSubject::DataCentre => peer_capnp::DrainSubject::DataCentre,
        DrainSubject::Endpoint => peer_capnp::DrainSubject::Endpoint,
        DrainSubject::Node => peer_capnp::DrainSubject::Node,
    });
    builder.set_name(&*notice.name);
    builder.set_out(notice.out);
    builder.set_version(notice.version);
    builder.set_origin(&*notice.origin);
}

/// Reads a list of at most `allowed` drain notices.
pub(super) fn read_drain_notices(
    reader: struct_list::Reader<'_, drain_notice::Owned>,
    allowed: usize,
) -> Result<Vec<DrainNotice>, ConvertError> {
    check_length("notices", reader.len() as usize, allowed)?;
    reader.iter().map(read_drain_notice).collect()
}

/// Writes a list of drain notices; `builder` must have the length of `notices`.
pub(super) fn write_drain_notices(
    notices: &[DrainNotice],
    mut builder: struct_list::Builder<'_, drain_notice::Owned>,
) {
    for (index, notice) in (0u32..).zip(notices) {
        write_drain_notice(notice, builder.reborrow().get(index));
    }
}
