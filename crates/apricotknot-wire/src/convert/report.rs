//! Conversion of reports to the owner of a pool.

use std::time::Duration;

use apricotknot_core::admission::TokenUsage;
use apricotknot_core::types::AttemptOutcome;
use capnp::struct_list;

use super::ConvertError;
use super::limits::MAX_REPORTS;
use super::scalar::check_length;
use super::scalar::read_name;
use super::scalar::read_wide_id;
use super::scalar::saturating_millis;
use super::scalar::write_wide_id;
use crate::generated::peer_capnp;
use crate::generated::peer_capnp::pool_report;
use crate::generated::peer_capnp::token_usage;
use crate::message::PoolReport;
use crate::message::ReportKind;

/// Reads a list of reports.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema, or if a list or name is longer than
/// its limit.
pub fn read_reports(
    reader: struct_list::Reader<'_, pool_report::Owned>,
) -> Result<Vec<PoolReport>, ConvertError> {
    check_length("reports", reader.len() as usize, MAX_REPORTS)?;
    reader.iter().map(read_report).collect()
}

/// Writes a list of reports; `builder` must have the length of `reports`.
pub fn write_reports(
    reports: &[PoolReport],
    mut builder: struct_list::Builder<'_, pool_report::Owned>,
) {
    for (index, report) in (0u32..).zip(reports) {
        write_report(report, builder.reborrow().get(index));
    }
}

fn read_report(reader: pool_report::Reader<'_>) -> Result<PoolReport, ConvertError> {
    let kind = match reader.which()? {
        pool_report::Which::Withdrawn(group) => ReportKind::Withdrawn {
            request: read_wide_id(group.get_request()?),
            attempt: read_wide_id(group.get_attempt()?),
        },
        pool_report::Which::Started(attempt) => {
            ReportKind::Started { attempt: read_wide_id(attempt?) }
        },
        pool_report::Which::FirstToken(group) => ReportKind::FirstToken {
            attempt: read_wide_id(group.get_attempt()?),
            after: Duration::from_millis(group.get_after_ms()),
        },
        pool_report::Which::Ended(group) => ReportKind::Ended {
            attempt: read_wide_id(group.get_attempt()?),
            outcome: decode_outcome(group.get_outcome()?),
            confirmed_free: group.get_confirmed_free(),
            usage: match group.has_usage() {
                true => Some(read_usage(group.get_usage()?)),
                false => None,
            },
        },
        pool_report::Which::ConnectionReset(endpoint) => {
            ReportKind::ConnectionReset { endpoint: read_name("endpoint", endpoint?)? }
        },
        pool_report::Which::BootSeen(group) => ReportKind::BootSeen {
            endpoint: read_name("endpoint", group.get_endpoint()?)?,
            boot: read_name("boot", group.get_boot()?)?,
        },
        pool_report::Which::Died(group) => ReportKind::Crashed {
            attempt: read_wide_id(group.get_attempt()?),
            endpoint: read_name("endpoint", group.get_endpoint()?)?,
            boot: read_name("boot", group.get_boot()?)?,
        },
    };
    Ok(PoolReport { pool: read_name("pool", reader.get_pool()?)?, kind })
}

fn write_report(report: &PoolReport, mut builder: pool_report::Builder<'_>) {
    builder.set_pool(&*report.pool);
    match &report.kind {
        ReportKind::Withdrawn { request, attempt } => {
            let mut group = builder.init_withdrawn();
            write_wide_id(*request, group.reborrow().init_request());
            write_wide_id(*attempt, group.init_attempt());
        },
        ReportKind::Started { attempt } => write_wide_id(*attempt, builder.init_started()),
        ReportKind::FirstToken { attempt, after } => {
            let mut group = builder.init_first_token();
            group.set_after_ms(saturating_millis(*after));
            write_wide_id(*attempt, group.init_attempt());
        },
        ReportKind::Ended { attempt, outcome, confirmed_free, usage } => {
            let mut group = builder.init_ended();
            write_wide_id(*attempt, group.reborrow().init_attempt());
            group.set_outcome(encode_outcome(*outcome));
            group.set_confirmed_free(*confirmed_free);
            if let Some(usage) = usage {
                write_usage(usage, group.init_usage());
            }
        },
        ReportKind::ConnectionReset { endpoint } => builder.set_connection_reset(&**endpoint),
        ReportKind::BootSeen { endpoint, boot } => {
            let mut group = builder.init_boot_seen();
            group.set_endpoint(&**endpoint);
            group.set_boot(&**boot);
        },
        ReportKind::Crashed { attempt, endpoint, boot } => {
            let mut group = builder.init_died();
            write_wide_id(*attempt, group.reborrow().init_attempt());
            group.set_endpoint(&**endpoint);
            group.set_boot(&**boot);
        },
    }
}

fn read_usage(reader: token_usage::Reader<'_>) -> TokenUsage {
    TokenUsage {
        prompt_tokens: reader.get_prompt_tokens(),
        completion_tokens: reader.get_completion_tokens(),
        cached_tokens: reader.get_cached_tokens(),
    }
}

fn write_usage(usage: &TokenUsage, mut builder: token_usage::Builder<'_>) {
    builder.set_prompt_tokens(usage.prompt_tokens);
    builder.set_completion_tokens(usage.completion_tokens);
    builder.set_cached_tokens(usage.cached_tokens);
}

fn decode_outcome(outcome: peer_capnp::AttemptOutcome) -> AttemptOutcome {
    match outcome {
        peer_capnp::AttemptOutcome::Answered => AttemptOutcome::Answered,
        peer_capnp::AttemptOutcome::Refused => AttemptOutcome::Refused,
        peer_capnp::AttemptOutcome::NotSent => AttemptOutcome::NotSent,
        peer_capnp::AttemptOutcome::Lost => AttemptOutcome::Lost,
        peer_capnp::AttemptOutcome::Failed => AttemptOutcome::Failed,
        peer_capnp::AttemptOutcome::Cancelled => AttemptOutcome::Cancelled,
    }
}

fn encode_outcome(outcome: AttemptOutcome) -> peer_capnp::AttemptOutcome {
    match outcome {
        AttemptOutcome::Answered => peer_capnp::AttemptOutcome::Answered,
        AttemptOutcome::Refused => peer_capnp::AttemptOutcome::Refused,
        AttemptOutcome::NotSent => peer_capnp::AttemptOutcome::NotSent,
        AttemptOutcome::Lost => peer_capnp::AttemptOutcome::Lost,
        AttemptOutcome::Failed => peer_capnp::AttemptOutcome::Failed,
        AttemptOutcome::Cancelled => peer_capnp::AttemptOutcome::Cancelled,
    }
}
