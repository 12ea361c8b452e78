//! Calls of plain services, and the ledger of those that may not be repeated.
//!
//! A [`PlainClient`] speaks with the services; a [`LedgerTask`] runs the node's
//! idempotency ledger over a [`LedgerStore`]; one `PlainDriver` takes each call to its outcome.

mod adapter;
mod call;
mod driver;
mod exchange;
mod grant;
mod ledger_handle;
mod ledger_store;
mod ledger_task;
mod protocol;

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
