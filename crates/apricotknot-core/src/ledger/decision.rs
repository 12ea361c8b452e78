//! Decision about a call by the records of its shard.

use std::time::Duration;

use super::CallAnswer;
use super::CallId;
use super::LedgerTime;
use super::ShardValue;
use super::WallTime;
use super::call::PendingCall;
use crate::outcome::CallerError;
use crate::outcome::CallerErrorKind;
use crate::types::ExecutionCertainty;

/// Time after which a caller may retry a call whose outcome is not known yet.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Size of an encoded answer without its body and media type, in bytes.
const ANSWER_BYTES: usize = 64;

/// Decides how to proceed with a call.
#[derive(Clone, Debug)]
pub(super) enum CallDecision {
    /// No record has its key: write its intent.
    Admit,
    /// Its intent is durable: permit sending.
    Permit { send_by: WallTime },
    /// It must not be sent.
    Refuse(CallerError),
    /// It ran before: replay its answer.
    Replay(CallAnswer),
}

impl CallDecision {
    /// Most bytes that an intent adds to a shard.
    pub(super) const INTENT_BYTES: usize = 192;

    /// Returns the most bytes that `answer` adds to a shard.
    pub(super) fn answer_bytes(answer: &CallAnswer) -> usize {
        let text = answer.content_type.as_ref().map_or(0, |text| text.len());
        // A byte of a body takes at most six characters in its encoded form.
        ANSWER_BYTES + text + answer.body.as_ref().map_or(0, |body| 6 * body.len())
    }

    /// Decides a call by the records of its shard.
    pub(super) fn for_call(
        id: CallId,
        call: &PendingCall,
        value: &ShardValue,
        has_room: bool,
        time: LedgerTime,
    ) -> Self {
        let record = value.get(call.key).filter(|record| !record.is_expired(time.wall));
        let Some(record) = record else {
            if has_room {
                return Self::Admit;
            }
            return Self::Refuse(CallerError::not_run(CallerErrorKind::LedgerFull));
        };
        if record.attempt == id {
            return Self::Permit { send_by: record.send_by };
        }
        if record.content != call.content {
            return Self::Refuse(CallerError::not_run(CallerErrorKind::IdempotencyKeyReused));
        }
        if let Some(answer) = &record.answer {
            return Self::Replay(answer.clone());
        }
        let kind = CallerErrorKind::IdempotencyOutcomeUnknown;
        Self::Refuse(
            CallerError::new(kind, ExecutionCertainty::Unknown).retry_after(UNKNOWN_RETRY_AFTER),
        )
    }
}
