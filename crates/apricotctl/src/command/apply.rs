//! The command `apply`, which creates or changes the resources of a file.

use std::collections::BTreeMap;
use std::io::Read;

use apricotknot_core::operators::ListAnswer;
use apricotknot_core::operators::WriteAnswer;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use awc::http::Method;
use serde::Serialize;

use crate::client::ApiClient;
use crate::client::ClientError;
use crate::output::OutputFormat;
use crate::output::TextTable;
use crate::output::print_json;

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Describes the result for one record.
#[derive(Debug, Serialize)]
struct AppliedRecord {
    kind: ResourceKind,
    name: String,
    action: &'static str,
    generation: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Applies all records of a file, referenced kinds before those that refer to them.
///
/// A record that fails does not stop the others.
///
/// # Errors
///
/// Returns an error if the file is invalid, in which case nothing is changed, or if some records
/// were not applied.
pub(super) async fn apply(
    client: &ApiClient,
    path: &str,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let mut records = read_records(path)?;
    records.sort_by_key(|record| apply_order(record.spec.kind()));
    let current = read_current(client, &records).await?;
    let total = records.len();
    let (mut applied, mut failed, mut status) = (Vec::new(), 0, 0);
    for record in records {
        let key = record_key(&record);
        let outcome = apply_one(client, record, current.get(&key)).await;
        applied.push(outcome.unwrap_or_else(|error| {
            failed += 1;
            status = status.max(error.exit_code());
            let (kind, name) = (key.kind, key.name.to_string());
            let error = Some(error.to_string());
            AppliedRecord { kind, name, action: "failed", generation: 0, error }
        }));
    }
    print_applied(&applied, format)?;
    if failed > 0 {
        return Err(ClientError::Partial { failed, total, status });
    }
    Ok(())
}

fn read_records(path: &str) -> Result<Vec<ResourceRecord>, ClientError> {
    let mut text = Vec::new();
    let read = match path {
        STANDARD_INPUT => std::io::stdin().read_to_end(&mut text).map(drop),
        _ => std::fs::read(path).map(|bytes| text = bytes),
    };
    read.map_err(|source| ClientError::File { path: path.to_owned(), source })?;
    let fault = |fault| ClientError::Resource { path: path.to_owned(), fault };
    let records = ResourceRecord::list_from_json(&text).map_err(fault)?;
    for record in &records {
        if let Some(first) = record.validate().err().and_then(|faults| faults.into_iter().next()) {
            let field = format!("{}: {}", record_key(record), first.field);
            return Err(fault(apricotknot_core::resources::ResourceError {
                field: field.into(),
                ..first
            }));
        }
    }
    Ok(records)
}

/// Returns the position of a kind in the order of application, so that references exist.
fn apply_order(kind: ResourceKind) -> u8 {
    match kind {
        ResourceKind::DataCentre => 0,
        ResourceKind::Service => 1,
        ResourceKind::Admission => 2,
        ResourceKind::Account => 3,
        ResourceKind::Endpoint => 4,
    }
}

/// Reads the current records of all kinds that `records` contains.
async fn read_current(
    client: &ApiClient,
    records: &[ResourceRecord],
) -> Result<BTreeMap<ResourceKey, ResourceRecord>, ClientError> {
    let mut current = BTreeMap::new();
    for kind in ResourceKind::ALL {
        if !records.iter().any(|record| record.spec.kind() == kind) {
            continue;
        }
        let path = format!("{kind}?consistent=true");
        let list: ListAnswer = client.call(Method::GET, &path, Vec::new()).await?;
        current.extend(list.items.into_iter().map(|record| (record_key(&record), record)));
    }
    Ok(current)
}

/// Writes one record, unless the current one is equal already.
///
/// A record without a generation is written only if the generation is still that of `current`.
async fn apply_one(
    client: &ApiClient,
    mut record: ResourceRecord,
    current: Option<&ResourceRecord>,
) -> Result<AppliedRecord, ClientError> {
    let (kind, name) = (record.spec.kind(), record.name.to_string());
    let has_expected_generation = |current: &ResourceRecord| {
        record.generation == 0 || current.generation == record.generation
    };
    let unchanged =
        current.filter(|current| current.spec == record.spec && has_expected_generation(current));
    if let Some(current) = unchanged {
        let generation = current.generation;
        return Ok(AppliedRecord { kind, name, action: "unchanged", generation, error: None });
    }
    let action = if current.is_some() { "changed" } else { "created" };
    if record.generation == 0 {
        record.generation = current.map_or(0, |current| current.generation);
    }
    let body = serde_json::to_vec(&record)?;
    let answer: WriteAnswer =
        client.call(Method::PUT, &record_key(&record).to_string(), body).await?;
    let generation = answer.record.generation;
    Ok(AppliedRecord { kind, name, action, generation, error: None })
}

fn record_key(record: &ResourceRecord) -> ResourceKey {
    ResourceKey::new(record.spec.kind(), record.name.clone())
}

fn print_applied(applied: &[AppliedRecord], format: OutputFormat) -> Result<(), ClientError> {
    if format == OutputFormat::Json {
        return print_json(&applied);
    }
    let mut table = TextTable::new(["KIND", "NAME", "ACTION", "GENERATION"]);
    for record in applied {
        table.add_row([
            record.kind.to_string(),
            record.name.clone(),
            record.action.to_owned(),
            record.generation.to_string(),
        ]);
    }
    print!("{table}");
    for record in applied {
        if let Some(error) = &record.error {
            eprintln!("error: {}/{}: {error}", record.kind, record.name);
        }
    }
    Ok(())
}
