//! Conversion of configuration batches.

use apricotknot_core::membership::ConfigurationBatch;
use apricotknot_core::membership::ConfigurationRecord;

use super::ConvertError;
use super::limits::MAX_BATCH_RECORDS;
use super::limits::MAX_BODY_BYTES;
use super::scalar::check_length;
use super::scalar::read_name;
use super::scalar::read_text;
use crate::generated::peer_capnp::configuration_batch;
use crate::generated::peer_capnp::configuration_record;

fn read_record(
    reader: configuration_record::Reader<'_>,
) -> Result<ConfigurationRecord, ConvertError> {
    Ok(ConfigurationRecord {
        key: read_name("record.key", reader.get_key()?)?,
        revision: reader.get_revision(),
        body: read_text("record.body", reader.get_body()?, MAX_BODY_BYTES)?,
    })
}

/// Reads a configuration batch.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema, or if a list or text is longer than
/// its limit.
pub fn read_configuration_batch(
    reader: configuration_batch::Reader<'_>,
) -> Result<ConfigurationBatch, ConvertError> {
    let records = reader.get_records()?;
    check_length("records", records.len() as usize, MAX_BATCH_RECORDS)?;
    Ok(ConfigurationBatch {
        since: reader.get_since(),
        through: reader.get_through(),
        newest: reader.get_newest(),
        records: records.iter().map(read_record).collect::<Result<_, _>>()?,
    })
}

/// Writes a configuration batch.
pub fn write_configuration_batch(
    batch: &ConfigurationBatch,
    mut builder: configuration_batch::Builder<'_>,
) {
    builder.set_since(batch.since);
    builder.set_through(batch.through);
    builder.set_newest(batch.newest);
    let mut records = builder.init_records(batch.records.len() as u32);
    for (index, record) in (0u32..).zip(&batch.records) {
        let mut item = records.reborrow().get(index);
        item.set_key(&*record.key);
        item.set_revision(record.revision);
        item.set_body(&*record.body);
    }
}
