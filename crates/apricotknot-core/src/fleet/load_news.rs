//! What a node tells the others of its work.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CrashNote;
use super::WorkItem;
use super::WorkPhase;
use super::WorkSize;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Describes one attempt that is under way at a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkNews {
    /// Endpoint that runs the attempt.
    pub endpoint: EndpointId,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens that the answer is expected to have.
    pub expected_output: u32,
    /// Most tokens that the answer may have.
    pub max_output: u32,
    /// Whether the answer has begun.
    pub is_writing: bool,
    /// Time in this phase, in milliseconds.
    pub age_ms: u32,
    /// Longest pause between events that is on time, in milliseconds.
    pub pause_limit_ms: u32,
}

impl WorkNews {
    /// Describes `work` as of `now`.
    pub fn new(work: &WorkItem, now: MonotonicTime) -> Self {
        Self {
            endpoint: Arc::clone(&work.endpoint),
            prompt: narrow(work.size.prompt),
            expected_output: narrow(work.size.expected_output),
            max_output: narrow(work.size.max_output),
            is_writing: work.phase == WorkPhase::Writing,
            age_ms: narrow(now.saturating_sub(work.since).as_millis()),
            pause_limit_ms: narrow(work.pause_limit.as_millis()),
        }
    }

    /// Returns the work as seen by a node that received the news at `now`.
    pub fn into_work(self, now: MonotonicTime) -> WorkItem {
        WorkItem {
            endpoint: self.endpoint,
            size: WorkSize {
                prompt: u64::from(self.prompt),
                expected_output: u64::from(self.expected_output),
                max_output: u64::from(self.max_output),
            },
            phase: if self.is_writing { WorkPhase::Writing } else { WorkPhase::Reading },
            since: now.saturating_sub(Duration::from_millis(u64::from(self.age_ms))),
            pause_limit: Duration::from_millis(u64::from(self.pause_limit_ms)),
        }
    }
}

/// Describes one request that waits at a node for an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitNews {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u32,
}

/// Holds all that a node tells; newer news replaces older news as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadNews {
    /// Node that tells.
    pub node: NodeId,
    /// Life of the node: grows with each start.
    pub incarnation: u64,
    /// Orders the news of one life.
    pub sequence: u64,
    /// Attempts under way.
    pub works: Vec<WorkNews>,
    /// Requests that wait for an endpoint.
    pub waits: Vec<WaitNews>,
    /// Crashes seen lately.
    pub crashes: Vec<CrashNote>,
}

fn narrow(value: impl TryInto<u32>) -> u32 {
    value.try_into().unwrap_or(u32::MAX)
}
