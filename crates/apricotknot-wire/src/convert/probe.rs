//! Conversion of probe messages.

use apricotknot_core::membership::NodeSummary;
use apricotknot_core::membership::ProbeKind;
use apricotknot_core::membership::ProbeMessage;

use super::ConvertError;
use super::drain::read_drain_notices;
use super::drain::write_drain_notices;
use super::limits::MAX_COVERAGE_BYTES;
use super::limits::MAX_PROBE_NOTICES;
use super::limits::MAX_PROBE_UPDATES;
use super::member::read_update;
use super::member::read_updates;
use super::member::write_update;
use super::member::write_updates;
use super::scalar::check_length;
use super::scalar::read_address;
use super::scalar::read_name;
use crate::generated::peer_capnp;
use crate::generated::peer_capnp::node_summary;
use crate::generated::peer_capnp::probe_message;

fn read_summary(reader: node_summary::Reader<'_>) -> Result<NodeSummary, ConvertError> {
    let coverage = reader.get_coverage()?;
    check_length("summary.coverage", coverage.len(), MAX_COVERAGE_BYTES)?;
    Ok(NodeSummary {
        epoch: reader.get_epoch(),
        revision: reader.get_revision(),
        digest: reader.get_digest(),
        coverage_revision: reader.get_coverage_revision(),
        coverage_epoch: reader.get_coverage_epoch(),
        coverage: coverage.to_vec(),
        drain_digest: reader.get_drain_digest(),
        configuration_digest: reader.get_configuration_digest(),
    })
}

fn write_summary(summary: &NodeSummary, mut builder: node_summary::Builder<'_>) {
    builder.set_epoch(summary.epoch);
    builder.set_revision(summary.revision);
    builder.set_digest(summary.digest);
    builder.set_coverage_revision(summary.coverage_revision);
    builder.set_coverage_epoch(summary.coverage_epoch);
    builder.set_coverage(&summary.coverage);
    builder.set_drain_digest(summary.drain_digest);
    builder.set_configuration_digest(summary.configuration_digest);
}

/// Reads a probe message.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema, or if a list or name is longer than
/// its limit.
pub fn read_probe(reader: probe_message::Reader<'_>) -> Result<ProbeMessage, ConvertError> {
    let kind = match reader.get_kind()? {
        peer_capnp::ProbeKind::Ping => ProbeKind::Ping,
        peer_capnp::ProbeKind::Ack => ProbeKind::Ack,
        peer_capnp::ProbeKind::IndirectPing => ProbeKind::IndirectPing,
        peer_capnp::ProbeKind::Leave => ProbeKind::Leave,
    };
    let target_address = match reader.has_target_address() {
        true => Some(read_address("targetAddress", reader.get_target_address()?)?),
        false => None,
    };
    Ok(ProbeMessage {
        kind,
        sequence: reader.get_sequence(),
        sender: read_update(reader.get_sender()?)?,
        target: read_name("target", reader.get_target()?)?,
        target_address,
        summary: read_summary(reader.get_summary()?)?,
        updates: read_updates(reader.get_news()?, MAX_PROBE_UPDATES)?,
        notices: read_drain_notices(reader.get_notices()?, MAX_PROBE_NOTICES)?,
    })
}

/// Writes a probe message.
pub fn write_probe(message: &ProbeMessage, mut builder: probe_message::Builder<'_>) {
    builder.set_kind(match message.kind {
        ProbeKind::Ping => peer_capnp::ProbeKind::Ping,
        ProbeKind::Ack => peer_capnp::ProbeKind::Ack,
        ProbeKind::IndirectPing => peer_capnp::ProbeKind::IndirectPing,
        ProbeKind::Leave => peer_capnp::ProbeKind::Leave,
    });
    builder.set_sequence(message.sequence);
    write_update(&message.sender, builder.reborrow().init_sender());
    if !message.target.is_empty() {
        builder.set_target(&*message.target);
    }
    if let Some(address) = message.target_address {
        builder.set_target_address(address.to_string().as_str());
    }
    write_summary(&message.summary, builder.reborrow().init_summary());
    if !message.updates.is_empty() {
        let list = builder.reborrow().init_news(message.updates.len() as u32);
        write_updates(&message.updates, list);
    }
    if !message.notices.is_empty() {
        let list = builder.init_notices(message.notices.len() as u32);
        write_drain_notices(&message.notices, list);
    }
}
