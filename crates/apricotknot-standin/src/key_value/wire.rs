//! JSON encoding of the etcd gateway: base64 for bytes, strings for 64-bit numbers.

use apricotknot_core::types::RevisionNumber;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use super::store::KeyRange;
use super::store::StoreBytes;
use super::store::StoreChange;
use super::store::StoredValue;

/// Returns the field `name`, given in snake case or in camel case; null if it is missing.
pub(super) fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    let plain = &value[name];
    if !plain.is_null() {
        return plain;
    }
    let mut camel = String::with_capacity(name.len());
    for part in name.split('_') {
        match part.chars().next() {
            Some(first) if !camel.is_empty() => {
                camel.push(first.to_ascii_uppercase());
                camel.push_str(&part[first.len_utf8()..]);
            },
            _ => camel.push_str(part),
        }
    }
    &value[camel.as_str()]
}

/// Returns a number given as a string or a number; 0 if it is missing.
pub(super) fn number(value: &Value, name: &str) -> u64 {
    let value = field(value, name);
    value.as_str().and_then(|text| text.parse().ok()).or_else(|| value.as_u64()).unwrap_or(0)
}

/// Returns bytes given in base64; empty if they are missing or not base64.
pub(super) fn bytes(value: &Value, name: &str) -> StoreBytes {
    field(value, name).as_str().and_then(|text| STANDARD.decode(text).ok()).unwrap_or_default()
}

/// Returns the range that a request selects.
pub(super) fn range(request: &Value) -> KeyRange {
    KeyRange { key: bytes(request, "key"), end: bytes(request, "range_end") }
}

/// Returns the header of an answer at `revision`.
pub(super) fn header(revision: RevisionNumber) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// Returns the JSON form of a key, without its value if `keys_only` is set.
pub(super) fn key_value(key: &[u8], stored: &StoredValue, keys_only: bool) -> Value {
    let mut entry = Map::new();
    entry.insert("key".into(), STANDARD.encode(key).into());
    entry.insert("create_revision".into(), stored.create_revision.to_string().into());
    entry.insert("mod_revision".into(), stored.mod_revision.to_string().into());
    entry.insert("version".into(), stored.version.to_string().into());
    if !keys_only {
        entry.insert("value".into(), STANDARD.encode(&stored.value).into());
    }
    if stored.lease != 0 {
        entry.insert("lease".into(), stored.lease.to_string().into());
    }
    Value::Object(entry)
}

/// Returns a change as an event of a watch; as in etcd's gateway, the event of a put has no type.
pub(super) fn event(change: &StoreChange) -> Value {
    match &change.value {
        Some(stored) => json!({"kv": key_value(&change.key, stored, false)}),
        None => json!({"type": "DELETE", "kv": {"key": STANDARD.encode(&change.key),
            "mod_revision": change.revision.to_string()}}),
    }
}
