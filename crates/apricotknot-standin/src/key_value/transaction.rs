//! Range, put, delete and transaction requests.

use std::cmp::Ordering;

use apricotknot_core::types::RevisionNumber;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::store::KeyStore;
use super::store::PutError;
use super::store::StoredValue;
use super::wire::bytes;
use super::wire::field;
use super::wire::header;
use super::wire::key_value;
use super::wire::number;
use super::wire::range;

/// Answers a range request.
pub(super) fn run_range(store: &KeyStore, request: &Value) -> Value {
    let found = store.select(&range(request));
    let limit = match number(request, "limit") {
        0 => usize::MAX,
        limit => usize::try_from(limit).unwrap_or(usize::MAX),
    };
    let keys_only = field(request, "keys_only").as_bool().unwrap_or(false);
    let count_only = field(request, "count_only").as_bool().unwrap_or(false);
    let mut answer = json!({"header": header(store.revision())});
    if !found.is_empty() {
        answer["count"] = found.len().to_string().into();
    }
    if !count_only && !found.is_empty() {
        let entries: Vec<Value> = found
            .iter()
            .take(limit)
            .map(|(key, stored)| key_value(key, stored, keys_only))
            .collect();
        answer["kvs"] = entries.into();
        if found.len() > limit {
            answer["more"] = true.into();
        }
    }
    answer
}

/// Answers a put.
pub(super) fn run_put(store: &mut KeyStore, request: &Value) -> Result<Value, PutError> {
    check_put(store, request)?;
    let revision = store.next_revision();
    put_at(store, request, revision);
    Ok(json!({"header": header(revision)}))
}

/// Answers a delete.
pub(super) fn run_delete(store: &mut KeyStore, request: &Value) -> Value {
    let range = range(request);
    if store.select(&range).is_empty() {
        return json!({"header": header(store.revision())});
    }
    let revision = store.next_revision();
    let deleted = store.delete(&range, revision);
    json!({"header": header(revision), "deleted": deleted.to_string()})
}

/// Answers a transaction; either all of its writes take effect at one revision, or none does.
pub(super) fn run_transaction(store: &mut KeyStore, request: &Value) -> Result<Value, PutError> {
    let compares = request["compare"].as_array();
    let succeeded = compares.into_iter().flatten().all(|compare| compare_succeeds(store, compare));
    let branch = if succeeded { "success" } else { "failure" };
    let operations = request[branch].as_array().cloned().unwrap_or_default();
    for operation in &operations {
        let put = field(operation, "request_put");
        if !put.is_null() {
            check_put(store, put)?;
        }
    }
    let writes = operations.iter().any(|operation| !is_read(store, operation));
    let revision = if writes { store.next_revision() } else { store.revision() };
    let responses: Vec<Value> =
        operations.iter().map(|operation| run_operation(store, operation, revision)).collect();
    let mut answer = Map::new();
    answer.insert("header".into(), header(revision));
    if succeeded {
        answer.insert("succeeded".into(), true.into());
    }
    if !responses.is_empty() {
        answer.insert("responses".into(), responses.into());
    }
    Ok(Value::Object(answer))
}

fn is_read(store: &KeyStore, operation: &Value) -> bool {
    let delete = field(operation, "request_delete_range");
    if !delete.is_null() {
        return store.select(&range(delete)).is_empty();
    }
    field(operation, "request_put").is_null()
}

fn check_put(store: &KeyStore, request: &Value) -> Result<(), PutError> {
    store.check_put(&bytes(request, "value"), number(request, "lease"))
}

fn put_at(store: &mut KeyStore, request: &Value, revision: RevisionNumber) {
    let lease = number(request, "lease");
    store.put(bytes(request, "key"), bytes(request, "value"), lease, revision);
}

fn run_operation(store: &mut KeyStore, operation: &Value, revision: RevisionNumber) -> Value {
    let put = field(operation, "request_put");
    if !put.is_null() {
        put_at(store, put, revision);
        return json!({"response_put": {"header": header(revision)}});
    }
    let delete = field(operation, "request_delete_range");
    if !delete.is_null() {
        let deleted = store.delete(&range(delete), revision).to_string();
        return json!({"response_delete_range": {"header": header(revision), "deleted": deleted}});
    }
    json!({"response_range": run_range(store, field(operation, "request_range"))})
}

fn compare_succeeds(store: &KeyStore, compare: &Value) -> bool {
    let key = bytes(compare, "key");
    let absent = StoredValue::default();
    let stored = store.get(&key);
    let current = stored.unwrap_or(&absent);
    let ordering = match compare["target"].as_str().unwrap_or("VERSION") {
        "CREATE" => current.create_revision.cmp(&number(compare, "create_revision")),
        "MOD" => current.mod_revision.cmp(&number(compare, "mod_revision")),
        "LEASE" => current.lease.cmp(&number(compare, "lease")),
        "VALUE" if stored.is_none() => return false,
        "VALUE" => current.value.cmp(&bytes(compare, "value")),
        _ => current.version.cmp(&number(compare, "version")),
    };
    match compare["result"].as_str().unwrap_or("EQUAL") {
        "GREATER" => ordering == Ordering::Greater,
        "LESS" => ordering == Ordering::Less,
        "NOT_EQUAL" => ordering != Ordering::Equal,
        _ => ordering == Ordering::Equal,
    }
}
