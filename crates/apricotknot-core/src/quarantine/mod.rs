//! Quarantine of requests that crash the endpoints that run them.
//!
//! [`SuspectTable`] holds, on every node, the fingerprints of requests that were running when an
//! endpoint crashed. Tables are merged between nodes and with the store, and reach the same status
//! in any order of merging. [`FingerprintLimiter`] runs at the owner of a pool: it limits the
//! concurrent attempts of an unproven fingerprint, so that copies of one request crash at most two
//! endpoints.

mod fingerprint_limiter;
mod record;
mod suspect_table;

pub use fingerprint_limiter::AttemptDecision;
pub use fingerprint_limiter::FingerprintLimiter;
pub use record::CrashDigest;
pub use record::QuarantineRecord;
pub use record::QuarantineStatus;
pub use record::WallTime;
pub use record::crash_digest;
pub use suspect_table::SuspectTable;
