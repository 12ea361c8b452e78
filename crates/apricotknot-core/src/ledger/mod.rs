//! Limits each non-repeatable call to at most one execution.
//!
//! Before [`IdempotencyLedger`] permits a call to be sent, it writes an intent under the caller's
//! idempotency key into a shard in the key-value service; afterwards, it records the answer there.
//! Shards change only by compare-and-swap, so safety does not depend on a lease: a node that finds
//! an intent of another attempt without an answer reports that the outcome is unknown, and never
//! runs the call. Many intents share one write.

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
