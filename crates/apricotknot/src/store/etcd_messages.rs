//! Messages of the etcd v3 JSON gateway.

use std::sync::Arc;

use apricotknot_core::types::RevisionNumber;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;

use super::ExpectedRevision;
use super::StoreEntry;
use super::StoreError;
use super::SwapRequest;

/// Holds bytes that are serialized as base64 text.
#[derive(Clone, Debug, Default)]
pub(super) struct Base64Bytes(pub(super) Vec<u8>);

impl Serialize for Base64Bytes {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// Holds a number that is serialized as a string; a plain number is accepted as well.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct QuotedNumber(pub(super) i64);

impl Serialize for QuotedNumber {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

/// Formats in which the gateway writes a number.
#[derive(Deserialize)]
#[serde(untagged)]
enum NumberForm {
    Number(i64),
    Text(String),
}

impl<'de> Deserialize<'de> for QuotedNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match NumberForm::deserialize(deserializer)? {
            NumberForm::Number(number) => Ok(Self(number)),
            NumberForm::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

impl QuotedNumber {
    /// Converts a revision; one that does not fit becomes the largest number.
    pub(super) fn from_revision(revision: RevisionNumber) -> Self {
        Self(i64::try_from(revision).unwrap_or(i64::MAX))
    }

    fn is_zero(&self) -> bool {
        self.0 == 0
    }

    /// Converts the number to a revision; a negative one becomes 0.
    pub(super) fn revision(self) -> RevisionNumber {
        RevisionNumber::try_from(self.0).unwrap_or_default()
    }
}

/// Header of a response, with the store's revision.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseHeader {
    pub(super) revision: QuotedNumber,
}

/// Key and value, with the revision of the last write of the key.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    pub(super) key: Base64Bytes,
    pub(super) value: Base64Bytes,
    pub(super) mod_revision: QuotedNumber,
}

impl KeyValue {
    /// Returns the key as text; a key that is not UTF-8 makes the answer to `call` malformed.
    pub(super) fn key_text(&self, call: &'static str) -> Result<Arc<str>, StoreError> {
        std::str::from_utf8(&self.key.0)
            .map(Arc::from)
            .map_err(|error| StoreError::Malformed { call, reason: error.to_string() })
    }

    /// Converts the pair into an entry, with the same error as for the key's text.
    pub(super) fn into_entry(self, call: &'static str) -> Result<StoreEntry, StoreError> {
        let key = self.key_text(call)?;
        Ok(StoreEntry { key, value: self.value.0, mod_revision: self.mod_revision.revision() })
    }
}

/// Request of `kv/range`: one key, or the keys before `range_end`.
///
/// `revision` 0 stands for the newest one.
#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Base64Bytes>,
    pub(super) limit: QuotedNumber,
    pub(super) revision: QuotedNumber,
}

/// Response of `kv/range`; `more` is set if the limit cut the result short.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: ResponseHeader,
    pub(super) kvs: Vec<KeyValue>,
    pub(super) more: bool,
}

/// Comparison of a key's revision, on which a transaction depends; revision 0 stands for no key.
#[derive(Debug, Serialize)]
pub(super) struct KeyCompare {
    key: Base64Bytes,
    target: &'static str,
    result: &'static str,
    mod_revision: QuotedNumber,
}

/// Operation that writes a key and binds it to a lease, if one is given.
#[derive(Debug, Serialize)]
struct PutRequest {
    key: Base64Bytes,
    value: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<QuotedNumber>,
}

/// Operation that reads or deletes one key.
#[derive(Debug, Serialize)]
struct KeyRequest {
    key: Base64Bytes,
}

/// Operation of a transaction.
#[derive(Debug, Serialize)]
enum RequestOp {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(KeyRequest),
    #[serde(rename = "request_range")]
    Range(KeyRequest),
}

/// Request of `kv/txn`: the operations in `success` run if all comparisons hold, else those in
/// `failure`.
#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: Vec<KeyCompare>,
    success: Vec<RequestOp>,
    failure: Vec<RequestOp>,
}

impl TxnRequest {
    /// Creates a transaction that writes or deletes the key if it is at the expected revision, and
    /// reads it otherwise.
    pub(super) fn from_swap(request: &SwapRequest) -> Self {
        let key = Base64Bytes(request.key.as_bytes().to_vec());
        let mod_revision = match request.expected {
            ExpectedRevision::Absent => QuotedNumber(0),
            ExpectedRevision::At(revision) => QuotedNumber::from_revision(revision),
        };
        let compare = KeyCompare { key: key.clone(), target: "MOD", result: "EQUAL", mod_revision };
        let success = match &request.value {
            Some(value) => RequestOp::Put(PutRequest {
                key: key.clone(),
                value: Base64Bytes(value.clone()),
                lease: request.lease.map(QuotedNumber),
            }),
            None => RequestOp::Delete(KeyRequest { key: key.clone() }),
        };
        Self {
            compare: vec![compare],
            success: vec![success],
            failure: vec![RequestOp::Range(KeyRequest { key })],
        }
    }
}

/// Result of one operation of a transaction; only results of reads are kept.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseOp {
    pub(super) response_range: Option<RangeResponse>,
}

/// Response of `kv/txn`; `succeeded` states whether the comparisons held.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: ResponseHeader,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<ResponseOp>,
}

/// Request and response of the lease calls; the time to live is in seconds.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct LeaseMessage {
    #[serde(rename = "ID")]
    pub(super) id: QuotedNumber,
    #[serde(rename = "TTL", skip_serializing_if = "QuotedNumber::is_zero")]
    pub(super) ttl: QuotedNumber,
}

/// One message of a streamed response: a result or an error.
#[derive(Debug, Deserialize)]
pub(super) struct StreamedResponse<T> {
    pub(super) result: Option<T>,
    #[serde(default)]
    pub(super) error: Option<serde_json::Value>,
}

/// Watch to create, on the keys from `key` up to `range_end` (exclusive).
#[derive(Debug, Serialize)]
pub(super) struct WatchCreateRequest {
    pub(super) key: Base64Bytes,
    pub(super) range_end: Base64Bytes,
    pub(super) start_revision: QuotedNumber,
    pub(super) progress_notify: bool,
}

/// Request of `watch`.
#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreateRequest,
}

/// Change of one key; `change` is `DELETE` for a deletion, and a write otherwise.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct EventMessage {
    #[serde(rename = "type")]
    pub(super) change: Option<String>,
    pub(super) kv: KeyValue,
}

/// Message of a watch.
///
/// `compact_revision` is the oldest revision that the store keeps; it is set if the watch was
/// cancelled because its start had been compacted.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) header: ResponseHeader,
    pub(super) created: bool,
    pub(super) canceled: bool,
    pub(super) compact_revision: QuotedNumber,
    pub(super) events: Vec<EventMessage>,
}

/// Returns the first key after all keys that start with `prefix`.
///
/// The result is a zero byte, which stands for the end of all keys, if there is no such key.
pub(super) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
