//! Conversion of configuration between the resource table and the messages between nodes.

use std::sync::Arc;

use apricotknot_core::membership::ConfigurationBatch;
use apricotknot_core::membership::ConfigurationRecord;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::resources::UpdateState;
use apricotknot_core::types::RevisionNumber;

/// Returns the updates in `batch` as records, oldest first.
///
/// Records of a complete batch go to `ClusterState::load_configuration` at `batch.revision`.
/// Records of any other batch go through [`batch_of`] to `ClusterState::apply_writes`.
///
/// # Errors
///
/// Returns an error if a resource cannot be serialized as JSON.
pub fn records_of(batch: &UpdateBatch) -> Result<Vec<ConfigurationRecord>, serde_json::Error> {
    let mut records = batch
        .updates
        .iter()
        .map(|update| {
            let body = match &update.state {
                UpdateState::Removed => String::new(),
                state => serde_json::to_string(state)?,
            };
            Ok(ConfigurationRecord {
                key: Arc::from(update.key.to_string()),
                revision: update.revision,
                body: Arc::from(body),
            })
        })
        .collect::<Result<Vec<_>, serde_json::Error>>()?;
    records.sort_by_key(|record| record.revision);
    Ok(records)
}

/// Returns `records`, which must be those of `batch`, as a batch of writes after `batch.base`.
pub fn batch_of(batch: &UpdateBatch, records: Vec<ConfigurationRecord>) -> ConfigurationBatch {
    let through = batch.revision;
    let since = batch.base.unwrap_or_default();
    ConfigurationBatch { since, through, newest: through, records }
}

/// Returns applied records as updates for the resource table.
///
/// A record that this version cannot read becomes an unreadable update, and the resource's last
/// valid version stays in force. A record whose key is invalid is left out.
pub fn updates_of(records: &[ConfigurationRecord], revision: RevisionNumber) -> UpdateBatch {
    let updates = records.iter().filter_map(update_of).collect();
    UpdateBatch::incremental(0, revision, updates)
}

fn update_of(record: &ConfigurationRecord) -> Option<ResourceUpdate> {
    let key = record.key.parse().ok()?;
    if record.is_deleted() {
        return Some(ResourceUpdate::removed(key, record.revision));
    }
    let state = serde_json::from_str(&record.body).unwrap_or(UpdateState::Unreadable);
    Some(ResourceUpdate { key, revision: record.revision, state })
}
