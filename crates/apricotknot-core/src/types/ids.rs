//! Type aliases for identifiers, versions and quantities.

use std::sync::Arc;
use std::time::Duration;

/// Names a client account.
pub type AccountId = Arc<str>;

/// Identifies one attempt to run a request on one endpoint; unique across nodes and restarts.
pub type AttemptId = u128;

/// Identifies one run of an endpoint's process; a new value means that the process restarted cold.
pub type BootId = Arc<str>;

/// Names a data centre.
pub type DataCentreId = Arc<str>;

/// Names an endpoint: one model engine or one plain service process.
pub type EndpointId = Arc<str>;

/// Counts versions of the member list; grows by one with each change.
pub type EpochNumber = u64;

/// Counts how often the key-value service has come back from an older copy.
///
/// Each time it loses what it acknowledged since the copy. Revisions and ids of leases are given out
/// again, so they identify something only within one era.
pub type EraNumber = u64;

/// Orders the successive holders of one role, such as the owner of a pool; a larger number
/// supersedes a smaller one.
pub type FencingNumber = u64;

/// Orders the versions of one resource: the revision of the write that created the version.
pub type GenerationNumber = u64;

/// Counts the incarnations of one node; grows when the node restarts or refutes a suspicion.
pub type IncarnationNumber = u64;

/// Time since an arbitrary origin that is fixed while the process runs.
pub type MonotonicTime = Duration;

/// Names a node of the serving layer: one VM.
pub type NodeId = Arc<str>;

/// Names a pool: endpoints of one service whose requests one owner node schedules.
pub type PoolId = Arc<str>;

/// Names a region: data centres that share a failure and latency domain.
pub type RegionId = Arc<str>;

/// Identifies one request of one caller; unique across nodes and restarts.
pub type RequestId = u128;

/// Orders all accepted writes of the configuration; assigned by the key-value service.
pub type RevisionNumber = u64;

/// Names a service: one model or one plain service.
pub type ServiceId = Arc<str>;

/// Counts tokens of prompt, answer or key-value cache.
pub type TokenCount = u64;

/// Numbers the windows of time for which usage is reported; each follows the one before.
pub type WindowNumber = u64;

/// Time since the start of 1970.
pub type UnixTime = Duration;
