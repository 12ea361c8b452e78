//! Resources as text.

use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::ServiceMode;
use serde_json::Value;

use super::TextTable;
use crate::client::ClientError;

/// Returns a table with one row for each record of `kind`.
pub(crate) fn record_table(kind: ResourceKind, records: &[ResourceRecord]) -> TextTable {
    let mut table = TextTable::new(["NAME", "GENERATION", summary_heading(kind)]);
    for record in records {
        let generation = record.generation.to_string();
        table.add_row([record.name.to_string(), generation, spec_summary(&record.spec)]);
    }
    table
}

/// Returns the heading of the column that holds [`spec_summary`].
fn summary_heading(kind: ResourceKind) -> &'static str {
    match kind {
        ResourceKind::Account => "LIMITS",
        ResourceKind::Admission => "SETTINGS",
        ResourceKind::DataCentre | ResourceKind::Endpoint => "STATE",
        ResourceKind::Service => "MODE",
    }
}

/// Returns the most important fields of a resource in one line.
pub(crate) fn spec_summary(spec: &ResourceSpec) -> String {
    match spec {
        ResourceSpec::Account(spec) => format!(
            "weight {}, at once {}, {} tokens/s, {} keys",
            spec.weight,
            spec.max_concurrent,
            rate_text(spec.tokens_per_second),
            spec.key_digests.len()
        ),
        ResourceSpec::Admission(spec) => format!(
            "queue {} for {} ms, requests {} ms",
            spec.max_queued, spec.queue_timeout_ms, spec.request_timeout_ms
        ),
        ResourceSpec::DataCentre(spec) => {
            format!("{}, region {}", duty_text(spec.duty), spec.region)
        },
        ResourceSpec::Endpoint(spec) => format!(
            "{}, {} in {} at {}, {} tokens, at once {}",
            duty_text(spec.duty),
            spec.service,
            spec.data_centre,
            spec.address,
            spec.memory_tokens,
            spec.max_concurrent
        ),
        ResourceSpec::Service(spec) => match &spec.mode {
            ServiceMode::Model { max_context_tokens } => {
                format!("model, {max_context_tokens} tokens, {} objectives", spec.objectives.len())
            },
            ServiceMode::Plain(policy) => {
                format!("plain at {}, {} once paths", policy.prefix, policy.once_paths.len())
            },
        },
    }
}

fn rate_text(rate: u64) -> String {
    if rate == 0 { "unlimited".to_owned() } else { rate.to_string() }
}

fn duty_text(duty: DutyState) -> &'static str {
    match duty {
        DutyState::In => "in duty",
        DutyState::Out => "drained",
    }
}

/// Returns every field of a resource with its path, one field on each line.
pub(crate) fn describe_record(record: &ResourceRecord) -> Result<String, ClientError> {
    let mut lines = Vec::new();
    flatten_json("", &serde_json::to_value(record)?, &mut lines);
    let width = lines.iter().map(|(path, _)| path.len()).max().unwrap_or_default();
    let lines = lines.into_iter().map(|(path, value)| format!("{path:<width$}  {value}\n"));
    Ok(lines.collect())
}

/// Appends the path and value of every scalar or empty field below `path`.
fn flatten_json(path: &str, value: &Value, lines: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let separator = if path.is_empty() { "" } else { "." };
                flatten_json(&format!("{path}{separator}{name}"), value, lines);
            }
        },
        Value::Array(items) if !items.is_empty() => {
            for (index, item) in items.iter().enumerate() {
                flatten_json(&format!("{path}[{index}]"), item, lines);
            }
        },
        Value::String(text) => lines.push((path.to_owned(), text.clone())),
        _ => lines.push((path.to_owned(), value.to_string())),
    }
}
