//! What a node tells the others of its work.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CrashReport;
use super::WorkItem;
use super::WorkPhase;
use super::WorkRole;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Describes what one endpoint does for an attempt of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkSnapshot {
    /// Endpoint that does it.
    pub endpoint: EndpointId,
    /// Whether it helps another endpoint.
    pub is_helper: bool,
    /// Tokens of the whole prompt.
    pub prompt: u32,
    /// Memory that it holds, in tokens.
    pub memory: u32,
    /// Time that it takes to read its part, in milliseconds.
    pub read_ms: u32,
    /// Whether the answer has begun.
    pub is_writing: bool,
    /// Time in this phase, in milliseconds.
    pub age_ms: u32,
    /// Longest pause between events that is on time, in milliseconds.
    pub pause_limit_ms: u32,
}

impl WorkSnapshot {
    /// Describes `work` as of `now`.
    pub fn new(work: &WorkItem, now: MonotonicTime) -> Self {
        Self {
            endpoint: Arc::clone(&work.endpoint),
            is_helper: work.role == WorkRole::Helper,
            prompt: saturating_u32(work.prompt),
            memory: saturating_u32(work.memory),
            read_ms: saturating_u32(work.prefill_time.as_millis()),
            is_writing: work.phase == WorkPhase::Decode,
            age_ms: saturating_u32(now.saturating_sub(work.since).as_millis()),
            pause_limit_ms: saturating_u32(work.pause_limit.as_millis()),
        }
    }

    /// Returns the work as seen by a node that received the news at `now`.
    pub fn into_work_item(self, now: MonotonicTime) -> WorkItem {
        WorkItem {
            endpoint: self.endpoint,
            role: if self.is_helper { WorkRole::Helper } else { WorkRole::Runner },
            prompt: u64::from(self.prompt),
            memory: u64::from(self.memory),
            prefill_time: milliseconds(self.read_ms),
            phase: if self.is_writing { WorkPhase::Decode } else { WorkPhase::Prefill },
            since: now.saturating_sub(milliseconds(self.age_ms)),
            pause_limit: milliseconds(self.pause_limit_ms),
        }
    }
}

/// Describes one request that waits at a node for an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitSnapshot {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u32,
}

/// Holds all that a node tells; newer news replaces older news as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSnapshot {
    /// Node that tells.
    pub node: NodeId,
    /// Life of the node: grows with each start.
    pub incarnation: u64,
    /// Orders the news of one life.
    pub sequence: u64,
    /// Attempts under way.
    pub works: Vec<WorkSnapshot>,
    /// Requests that wait for an endpoint.
    pub waits: Vec<WaitSnapshot>,
    /// Crashes seen lately.
    pub crashes: Vec<CrashReport>,
}

fn saturating_u32(value: impl TryInto<u32>) -> u32 {
    value.try_into().unwrap_or(u32::MAX)
}

fn milliseconds(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
