//! Stops requests that crash the endpoints that run them.
//!
//! [`SuspectTable`] holds, on every node, which fingerprints were aboard endpoints that died; books
//! are merged between nodes and with the store, and come to the same verdict in any order.
//! [`FingerprintLimiter`] stands at the owner of a pool: it bounds how many endpoints an unproven
//! fingerprint is aboard at once, so that resent copies can't crash more than two.

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
