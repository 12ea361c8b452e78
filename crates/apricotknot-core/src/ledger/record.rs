//! Records of a shard and their JSON encoding.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CallId;
use super::CallKey;
use super::ContentDigest;
use super::WallTime;

/// Version of the encoding; a shard of any other version is rejected.
const FORMAT_VERSION: u32 = 1;

/// Time for which a record is kept after its expiry, because the clocks of nodes differ.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(5 * 60);

/// Error for a shard value that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum ShardDecodeError {
    /// The value is not JSON of the expected structure.
    #[error("the shard is not valid JSON of this format: {0}; restore or delete the shard's key")]
    Malformed(#[from] serde_json::Error),
    /// The value was written by a program with another format version.
    #[error("the shard has format {given}, allowed is {FORMAT_VERSION}; upgrade this node")]
    Version {
        /// Format version of the value.
        given: u32,
    },
}

/// Holds the recorded answer of a call that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<Arc<str>>,
    /// Body; none if it was too large to record.
    pub body: Option<Arc<[u8]>>,
}

/// Records the intent of one call, and its answer once it is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRecord {
    /// Digest of the request.
    pub content: ContentDigest,
    /// Attempt that may send the call.
    pub attempt: CallId,
    /// Moment from which the attempt may no longer send the call.
    pub send_by: WallTime,
    /// Moment after which the record may be dropped.
    pub expires: WallTime,
    /// Answer; none while the outcome is unknown.
    pub answer: Option<CallAnswer>,
}

impl CallRecord {
    /// Returns whether the record has expired, with a tolerance for clock differences.
    pub fn is_expired(&self, now: WallTime) -> bool {
        now > self.expires + CLOCK_TOLERANCE
    }
}

/// Holds the records of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardValue {
    records: BTreeMap<RecordKey, CallRecord>,
}

/// Key of a record in its encoded form: 32 hexadecimal digits.
type RecordKey = Arc<str>;

impl ShardValue {
    /// Drops the records that have expired, and returns whether there were any.
    pub fn prune(&mut self, now: WallTime) -> bool {
        let before = self.records.len();
        self.records.retain(|_, record| !record.is_expired(now));
        self.records.len() < before
    }

    /// Adds or replaces the record of `key`.
    pub fn insert(&mut self, key: CallKey, record: CallRecord) {
        self.records.insert(record_key(key), record);
    }

    /// Removes the record of `key`.
    pub fn remove(&mut self, key: CallKey) {
        self.records.remove(&record_key(key));
    }

    /// Returns the record of `key` for modification.
    pub fn get_mut(&mut self, key: CallKey) -> Option<&mut CallRecord> {
        self.records.get_mut(&record_key(key))
    }
}

impl ShardValue {
    /// Returns the record of `key`.
    pub fn get(&self, key: CallKey) -> Option<&CallRecord> {
        self.records.get(&record_key(key))
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the shard has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Encodes the records as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if a record cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, ShardDecodeError> {
        let records = self.records.iter().map(|(key, record)| (key.clone(), record.into()));
        let text = EncodedShard { format: FORMAT_VERSION, records: records.collect() };
        Ok(serde_json::to_vec(&text)?)
    }

    /// Decodes a stored value; an absent value yields no records.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is malformed or of another format.
    pub fn decode(value: Option<&[u8]>) -> Result<Self, ShardDecodeError> {
        let Some(value) = value else {
            return Ok(Self::default());
        };
        let text: EncodedShard = serde_json::from_slice(value)?;
        if text.format != FORMAT_VERSION {
            return Err(ShardDecodeError::Version { given: text.format });
        }
        let records = text.records.into_iter().map(|(key, record)| (key, record.into()));
        Ok(Self { records: records.collect() })
    }
}

fn record_key(key: CallKey) -> RecordKey {
    format!("{:032x}", key.digest()).into()
}

#[derive(Deserialize, Serialize)]
struct EncodedShard {
    format: u32,
    records: BTreeMap<RecordKey, EncodedRecord>,
}

/// Encoded form of a record; its field names are short because a shard holds thousands.
#[derive(Deserialize, Serialize)]
struct EncodedRecord {
    #[serde(rename = "c", with = "hex_number")]
    content: u128,
    #[serde(rename = "a", with = "hex_number")]
    attempt: u128,
    #[serde(rename = "s")]
    send_by_ms: u64,
    #[serde(rename = "e")]
    expires_ms: u64,
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    answer: Option<EncodedAnswer>,
}

#[derive(Deserialize, Serialize)]
struct EncodedAnswer {
    #[serde(rename = "s")]
    status: u16,
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    content_type: Option<Arc<str>>,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    hex: Option<String>,
}

impl From<&CallRecord> for EncodedRecord {
    fn from(record: &CallRecord) -> Self {
        Self {
            content: record.content,
            attempt: record.attempt,
            send_by_ms: record.send_by.as_millis() as u64,
            expires_ms: record.expires.as_millis() as u64,
            answer: record.answer.as_ref().map(EncodedAnswer::from),
        }
    }
}

impl From<EncodedRecord> for CallRecord {
    fn from(text: EncodedRecord) -> Self {
        Self {
            content: text.content,
            attempt: text.attempt,
            send_by: Duration::from_millis(text.send_by_ms),
            expires: Duration::from_millis(text.expires_ms),
            answer: text.answer.map(CallAnswer::from),
        }
    }
}

impl From<&CallAnswer> for EncodedAnswer {
    fn from(answer: &CallAnswer) -> Self {
        let body = answer.body.as_deref();
        let text = body.and_then(|body| std::str::from_utf8(body).ok()).map(str::to_owned);
        let hex = body.filter(|_| text.is_none()).map(hex::encode);
        Self { status: answer.status, content_type: answer.content_type.clone(), text, hex }
    }
}

impl From<EncodedAnswer> for CallAnswer {
    fn from(answer: EncodedAnswer) -> Self {
        let bytes = || answer.hex.and_then(|digits| hex::decode(digits).ok());
        let body = answer.text.map(String::into_bytes).or_else(bytes).map(Arc::from);
        Self { status: answer.status, content_type: answer.content_type, body }
    }
}

/// Encodes 128-bit numbers as 32 hexadecimal digits.
mod hex_number {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    pub(super) fn serialize<S: Serializer>(
        number: &u128,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{number:032x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
