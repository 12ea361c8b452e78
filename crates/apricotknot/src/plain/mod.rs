//! Calls of plain services, and the ledger of non-repeatable calls.
//!
//! One [`PlainDriver`] drives each call to its outcome and sends its attempts through a
//! [`PlainClient`]. A [`LedgerTask`] runs the idempotency ledger of the node over a
//! [`LedgerStore`].

mod adapter;
mod call;
mod driver;
mod exchange;
mod grant;
mod ledger_handle;
mod ledger_store;
mod ledger_task;
mod protocol;
mod upload_rest;

pub use adapter::HttpPlainClient;
pub use call::PlainCall;
pub use driver::PlainDriver;
pub use driver::PlainOutcome;
pub use ledger_handle::LedgerCall;
pub use ledger_handle::LedgerCommand;
pub use ledger_handle::LedgerDecision;
pub use ledger_handle::LedgerHandle;
pub use ledger_store::KeyValueLedgerStore;
pub use ledger_store::LedgerStore;
pub use ledger_store::ShardContent;
pub use ledger_store::ShardWriteOutcome;
pub use ledger_task::LedgerTask;
pub use protocol::PlainAnswer;
pub use protocol::PlainClient;
pub use protocol::PlainError;
pub use protocol::PlainErrorKind;
pub use protocol::PlainRequest;
