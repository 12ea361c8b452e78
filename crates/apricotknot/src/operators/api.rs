//! Handlers of the operators' requests.

use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::operators::ApiErrorCode;
use apricotknot_core::operators::DeleteAnswer;
use apricotknot_core::operators::ErrorDetail;
use apricotknot_core::operators::ListAnswer;
use apricotknot_core::operators::WriteAnswer;
use apricotknot_core::resources::CapacityOutlook;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceError;
use apricotknot_core::resources::ResourceErrorKind;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::ExecutionCertainty;
use apricotknot_core::types::GenerationNumber;
use apricotknot_core::types::RevisionNumber;

use super::ApiAnswer;
use super::ApiRequest;
use super::FleetView;
use super::ResourceWriter;
use super::TokenDigests;
use super::WriteError;
use super::WriteReceipt;
use super::route::Route;
use crate::store::KeyValueStore;
use crate::store::RESOURCE_PREFIX;
use crate::store::StoreError;
use crate::store::WriteCertainty;

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 1_000_000;

/// Default time that a watch waits for changes, in milliseconds.
const DEFAULT_WATCH_TIMEOUT_MS: u64 = 30_000;

/// Longest time that a watch waits for changes, in milliseconds.
const MAX_WATCH_TIMEOUT_MS: u64 = 60_000;

/// Authenticates and answers the requests of operators on one node.
pub struct OperatorsApi<S, F> {
    store: S,
    writer: ResourceWriter<S>,
    fleet: F,
    tokens: TokenDigests,
}

impl<S: Clone + KeyValueStore, F: FleetView> OperatorsApi<S, F> {
    /// Creates the interface; `store` is cloned, so it is shared, for example as an `Rc`.
    pub fn new(store: S, fleet: F, tokens: TokenDigests) -> Self {
        Self { writer: ResourceWriter::new(store.clone()), store, fleet, tokens }
    }

    /// Answers one request; every failure is turned into an error answer.
    pub async fn handle(&self, request: ApiRequest) -> ApiAnswer {
        if !self.tokens.accepts(request.authorization.as_deref()) {
            return unauthorized_error().into();
        }
        if request.body.len() > MAX_BODY_BYTES {
            return too_large_error(request.body.len()).into();
        }
        match self.answer(&request).await {
            Ok(answer) => answer,
            Err(error) => error.into(),
        }
    }

    async fn answer(&self, request: &ApiRequest) -> Result<ApiAnswer, ErrorDetail> {
        match Route::parse(&request.method, &request.path)? {
            Route::List(kind) => self.list(kind, request).await,
            Route::Get(key) => self.get(&key, request).await,
            Route::Put(key) => self.put(&key, &request.body).await,
            Route::Delete(key) => self.delete(&key, number_parameter(request, "generation")?).await,
            Route::SetDuty(key, duty) => self.set_duty(&key, duty, request).await,
            Route::Burn => Ok(ApiAnswer::ok(&self.fleet.burn().await)),
            Route::Status => Ok(ApiAnswer::ok(&self.fleet.status().await)),
            Route::Watch => self.watch(request).await,
            Route::Explain(id) => self.explain(&id).await,
        }
    }

    async fn put(&self, key: &ResourceKey, body: &[u8]) -> Result<ApiAnswer, ErrorDetail> {
        let record = ResourceRecord::from_json(body).map_err(|fault| invalid_error(vec![fault]))?;
        check_key(key, &record)?;
        record.validate().map_err(invalid_error)?;
        self.check_references(&record).await?;
        let given = record.clone();
        let receipt = self.writer.put(record).await;
        let receipt = receipt.map_err(|error| write_error(error, Some(given)))?;
        if let Some(duty) = receipt.record.spec.duty() {
            self.replace_announced_duty(key, duty).await;
        }
        Ok(ApiAnswer::ok(&write_answer(receipt, Vec::new())))
    }

    async fn delete(
        &self,
        key: &ResourceKey,
        generation: Option<GenerationNumber>,
    ) -> Result<ApiAnswer, ErrorDetail> {
        if matches!(key.kind, ResourceKind::DataCentre | ResourceKind::Service) {
            self.load_snapshot(RESOURCE_PREFIX).await?.check_removal(key).map_err(|fault| {
                ErrorDetail::new(ApiErrorCode::InUse, fault.to_string()).faults([fault])
            })?;
        }
        let outcome = self.writer.delete(key, generation).await;
        outcome.map_err(|error| write_error(error, None))?;
        Ok(ApiAnswer::ok(&DeleteAnswer { key: key.clone() }))
    }

    async fn set_duty(
        &self,
        key: &ResourceKey,
        duty: DutyState,
        request: &ApiRequest,
    ) -> Result<ApiAnswer, ErrorDetail> {
        let outlook = match duty {
            DutyState::Out => self.fleet.snapshot().outlook_without(key),
            DutyState::In => Vec::new(),
        };
        if request.parameter("dry_run") == Some("true") {
            return self.preview_duty(key, outlook).await;
        }
        match self.writer.set_duty(key, duty).await {
            Ok(receipt) => {
                self.replace_announced_duty(key, duty).await;
                Ok(ApiAnswer::ok(&write_answer(receipt, outlook)))
            },
            Err(error @ (WriteError::NotWritten(_) | WriteError::Unknown(_))) => {
                self.announce_drain(key, duty, outlook, error).await
            },
            Err(error) => Err(write_error(error, None)),
        }
    }

    /// Announces the stored duty if another one was announced while the store was unavailable.
    async fn replace_announced_duty(&self, key: &ResourceKey, duty: DutyState) {
        if self.fleet.announced_duty(key).is_some_and(|announced| announced != duty) {
            self.fleet.announce_duty(key, duty).await;
        }
    }

    /// Announces a drain to the nodes without the store; other changes are refused with `error`.
    async fn announce_drain(
        &self,
        key: &ResourceKey,
        duty: DutyState,
        outlook: Vec<CapacityOutlook>,
        error: WriteError,
    ) -> Result<ApiAnswer, ErrorDetail> {
        let snapshot = self.fleet.snapshot();
        let found = snapshot.get(key).filter(|_| duty == DutyState::Out);
        let Some(found) = found else {
            return Err(write_error(error, None));
        };
        if !self.fleet.announce_duty(key, duty).await {
            return Err(write_error(error, None));
        }
        let record = (*found.record).clone();
        let receipt = WriteReceipt { record, revision: found.revision, changed: true };
        let mut answer = write_answer(receipt, outlook);
        answer.durable = false;
        answer.warnings.push(
            "the store does not answer, so the nodes told one another of the drain; it is not \
             stored: drain again once the store answers"
                .into(),
        );
        Ok(ApiAnswer::not_durable(&answer))
    }

    /// Answers a dry run with the capacity that would be left; changes nothing.
    async fn preview_duty(
        &self,
        key: &ResourceKey,
        outlook: Vec<CapacityOutlook>,
    ) -> Result<ApiAnswer, ErrorDetail> {
        let snapshot = self.fleet.snapshot();
        let found = snapshot.get(key).ok_or_else(|| missing_error(key))?;
        let record = (*found.record).clone();
        let receipt = WriteReceipt { record, revision: found.revision, changed: false };
        Ok(ApiAnswer::ok(&write_answer(receipt, outlook)))
    }

    async fn list(
        &self,
        kind: ResourceKind,
        request: &ApiRequest,
    ) -> Result<ApiAnswer, ErrorDetail> {
        let snapshot = self.read_snapshot(request, kind).await?;
        let records = snapshot.of_kind(kind).map(|(_, found)| (*found.record).clone());
        let items = records.collect();
        Ok(ApiAnswer::ok(&ListAnswer { revision: snapshot.revision(), items }))
    }

    async fn get(&self, key: &ResourceKey, request: &ApiRequest) -> Result<ApiAnswer, ErrorDetail> {
        let snapshot = self.read_snapshot(request, key.kind).await?;
        let found = snapshot.get(key).ok_or_else(|| missing_error(key))?;
        let items = vec![(*found.record).clone()];
        Ok(ApiAnswer::ok(&ListAnswer { revision: snapshot.revision(), items }))
    }

    async fn watch(&self, request: &ApiRequest) -> Result<ApiAnswer, ErrorDetail> {
        let after: RevisionNumber = number_parameter(request, "after")?.unwrap_or_default();
        let wait = number_parameter(request, "timeout_ms")?.unwrap_or(DEFAULT_WATCH_TIMEOUT_MS);
        let wait = Duration::from_millis(wait.min(MAX_WATCH_TIMEOUT_MS));
        let _ = actix_rt::time::timeout(wait, self.fleet.wait_newer_than(after)).await;
        Ok(ApiAnswer::ok(&self.fleet.changes_after(after)))
    }

    async fn explain(&self, id: &str) -> Result<ApiAnswer, ErrorDetail> {
        let explanation = self.fleet.explain(id).await.ok_or_else(|| {
            let message = format!(
                "this node does not know request {id}; ask the node that answered it, soon after"
            );
            ErrorDetail::new(ApiErrorCode::NotFound, message)
        })?;
        Ok(ApiAnswer::ok(&explanation))
    }

    /// Checks references against the resources in force, and if that fails, against those stored.
    async fn check_references(&self, record: &ResourceRecord) -> Result<(), ErrorDetail> {
        if self.fleet.snapshot().check_references(record).is_ok() {
            return Ok(());
        }
        self.load_snapshot(RESOURCE_PREFIX).await?.check_references(record).map_err(invalid_error)
    }

    /// Returns the resources in force, or those in the store if the request asks for consistency.
    async fn read_snapshot(
        &self,
        request: &ApiRequest,
        kind: ResourceKind,
    ) -> Result<Arc<ResourceSnapshot>, ErrorDetail> {
        if request.parameter("consistent") == Some("true") {
            return self.load_snapshot(&format!("{RESOURCE_PREFIX}{kind}/")).await;
        }
        Ok(self.fleet.snapshot())
    }

    /// Loads the resources under `prefix` from the store, without records that cannot be parsed.
    async fn load_snapshot(&self, prefix: &str) -> Result<Arc<ResourceSnapshot>, ErrorDetail> {
        let range = self.store.range(prefix).await.map_err(|error| read_error(&error))?;
        let entries = range.entries.iter();
        let updates = entries.filter_map(|entry| {
            let record: ResourceRecord = serde_json::from_slice(&entry.value).ok()?;
            Some(ResourceUpdate::present(record, entry.mod_revision))
        });
        let mut table = ResourceTable::new();
        let batch = UpdateBatch::complete(range.revision.max(1), updates.collect());
        let _ = table.apply(&batch);
        Ok(table.snapshot())
    }
}

/// Creates the answer to an accepted write, with warnings about the capacity that is left.
fn write_answer(receipt: WriteReceipt, outlook: Vec<CapacityOutlook>) -> WriteAnswer {
    let warnings = outlook.iter().filter_map(CapacityOutlook::warning).collect();
    let WriteReceipt { record, revision, changed } = receipt;
    WriteAnswer { record, revision, changed, durable: true, outlook, warnings }
}

/// Returns an error unless the record has the kind and name that the path names.
fn check_key(key: &ResourceKey, record: &ResourceRecord) -> Result<(), ErrorDetail> {
    let given = ResourceKey::new(record.spec.kind(), record.name.clone());
    if given == *key {
        return Ok(());
    }
    let fault = ResourceError::new(ResourceErrorKind::BadValue, "name")
        .given(given)
        .allowed(key.to_string())
        .next_step("send the record to the path of its own kind and name");
    Err(invalid_error(vec![fault]))
}

/// Returns a query parameter as a number, or `None` if it is absent.
fn number_parameter(request: &ApiRequest, name: &str) -> Result<Option<u64>, ErrorDetail> {
    let Some(text) = request.parameter(name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        let message = format!("{name} is {text:?}; give a whole number, 0 or more");
        ErrorDetail::new(ApiErrorCode::Invalid, message)
    })
}

/// Converts the error of a write; a conflict shows the given and the current record.
fn write_error(error: WriteError, given: Option<ResourceRecord>) -> ErrorDetail {
    let message = error.to_string();
    match error {
        WriteError::Conflict { current, certainty, .. } => {
            ErrorDetail::new(ApiErrorCode::Conflict, message)
                .executed(execution_certainty(certainty))
                .given(given)
                .current(current.map(|record| *record))
        },
        WriteError::Missing { .. } => ErrorDetail::new(ApiErrorCode::NotFound, message),
        WriteError::Unreadable { .. } => ErrorDetail::new(ApiErrorCode::Conflict, message),
        WriteError::NotWritten(_) => ErrorDetail::new(ApiErrorCode::StoreUnavailable, message),
        WriteError::Unknown(_) => {
            let detail = ErrorDetail::new(ApiErrorCode::StoreUnknown, message);
            detail.executed(ExecutionCertainty::Unknown)
        },
    }
}

fn execution_certainty(certainty: WriteCertainty) -> ExecutionCertainty {
    match certainty {
        WriteCertainty::NotWritten => ExecutionCertainty::No,
        WriteCertainty::Unknown => ExecutionCertainty::Unknown,
    }
}

fn invalid_error(faults: Vec<ResourceError>) -> ErrorDetail {
    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    ErrorDetail::new(ApiErrorCode::Invalid, texts.join("\n")).faults(faults)
}

fn missing_error(key: &ResourceKey) -> ErrorDetail {
    let error = WriteError::Missing { key: key.clone() };
    ErrorDetail::new(ApiErrorCode::NotFound, error.to_string())
}

fn read_error(error: &StoreError) -> ErrorDetail {
    let message = format!("nothing was changed, because the resources cannot be read: {error}");
    ErrorDetail::new(ApiErrorCode::StoreUnavailable, message)
}

fn unauthorized_error() -> ErrorDetail {
    let message = "the token is missing or wrong; send `Authorization: Bearer TOKEN`";
    ErrorDetail::new(ApiErrorCode::Unauthorized, message)
}

fn too_large_error(size: usize) -> ErrorDetail {
    let message = format!("the body has {size} bytes; at most {MAX_BODY_BYTES} are allowed");
    ErrorDetail::new(ApiErrorCode::TooLarge, message)
}
