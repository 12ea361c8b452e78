//! Keeps non-repeatable calls to at most one execution.
//!
//! [`IdempotencyLedger`] writes an intent under the caller's key into a shard of the key-value
//! service before it permits a call to be sent, and the answer after. Shards change only by
//! compare-and-swap, so that safety rests on no lease: whoever finds an intent of another attempt
//! answers that the outcome is unknown and never runs the call. Many intents share one write.

mod action;
mod call;
mod decision;
mod event;
mod flush;
mod idempotency_ledger;
mod key;
mod policy;
mod record;
mod shard;

pub use action::LedgerAction;
pub use call::CallId;
pub use event::LedgerEvent;
pub use idempotency_ledger::IdempotencyLedger;
pub use idempotency_ledger::LedgerCounts;
pub use key::CallKey;
pub use key::ContentDigest;
pub use key::ShardIndex;
pub use key::content_digest;
pub use policy::LedgerPolicy;
pub use policy::LedgerTime;
pub use policy::SendPermit;
pub use policy::WallTime;
pub use record::CallAnswer;
pub use record::CallRecord;
pub use record::ShardDecodeError;
pub use record::ShardValue;
pub use shard::IoNumber;
