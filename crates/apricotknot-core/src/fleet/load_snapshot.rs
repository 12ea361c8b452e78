//! Snapshot of a node's work that it sends to the other nodes.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::BackoffReport;
use super::CrashReport;
use super::LeavingReport;
use super::PartAnswerReport;
use super::PartCrashReport;
use super::RateReport;
use super::RelayStatus;
use super::RelayedSnapshot;
use super::WorkItem;
use super::WorkPhase;
use super::WorkRole;
use crate::types::EndpointId;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::PriorityRank;

/// Describes the work of one endpoint for an attempt of the sending node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkSnapshot {
    /// Endpoint that does the work.
    pub endpoint: EndpointId,
    /// Whether it is a helper of the endpoint that runs the attempt.
    pub is_helper: bool,
    /// Length of the whole prompt, in tokens.
    pub prompt: u32,
    /// Memory that the work occupies at the endpoint, in tokens.
    pub memory: u32,
    /// Time that the endpoint needs to prefill its part of the prompt, in milliseconds.
    pub read_ms: u32,
    /// Whether the first event of the answer has arrived.
    pub is_writing: bool,
    /// Time since the phase began, in milliseconds.
    pub age_ms: u32,
    /// Longest pause between two events that counts as on time, in milliseconds.
    pub pause_limit_ms: u32,
}

impl WorkSnapshot {
    /// Creates the description of `work` at `now`; values that exceed `u32` are capped.
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

    /// Returns the work item of a node that received the snapshot at `now`.
    pub fn into_work_item(self, rank: PriorityRank, now: MonotonicTime) -> WorkItem {
        WorkItem {
            endpoint: self.endpoint,
            role: if self.is_helper { WorkRole::Helper } else { WorkRole::Runner },
            prompt: u64::from(self.prompt),
            memory: u64::from(self.memory),
            prefill_time: milliseconds(self.read_ms),
            phase: if self.is_writing { WorkPhase::Decode } else { WorkPhase::Prefill },
            since: now.saturating_sub(milliseconds(self.age_ms)),
            pause_limit: milliseconds(self.pause_limit_ms),
            rank,
        }
    }
}

/// Describes a request that waits at the sending node for an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaitSnapshot {
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u32,
}

/// Snapshot of one node's load; a newer snapshot replaces an older one completely.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadSnapshot {
    /// Node that sends the snapshot.
    pub node: NodeId,
    /// Incarnation of the node; grows with each start.
    pub incarnation: u64,
    /// Orders the snapshots of one incarnation; larger is newer.
    pub sequence: u64,
    /// Work in progress, one item for each endpoint of each attempt.
    pub works: Vec<WorkSnapshot>,
    /// Requests that wait for an endpoint.
    pub waits: Vec<WaitSnapshot>,
    /// Endpoint crashes that the node detected recently.
    pub crashes: Vec<CrashReport>,
    /// Endpoint crashes that the node detected recently, with the parts of the prompts.
    pub part_crashes: Vec<PartCrashReport>,
    /// Parts that crashes make suspect, and that the node received answers to.
    pub part_answers: Vec<PartAnswerReport>,
    /// What endpoints stated about their request rates; sent in a section of its own.
    #[serde(skip)]
    pub rates: Vec<RateReport>,
    /// Whether the node can relay connections to endpoints, if its version does so; sent in a section
    /// of its own.
    #[serde(skip)]
    pub relay: Option<RelayStatus>,
    /// Endpoints that want no requests from nodes which relayed for this one; sent in a section of its
    /// own.
    #[serde(skip)]
    pub backoffs: Vec<BackoffReport>,
    /// Endpoints whose answers say that they leave; sent in a section of its own.
    #[serde(skip)]
    pub leaving: Vec<LeavingReport>,
    /// Time that the clock of the node shows, in microseconds since the start of 1970, if the nodes
    /// compare their clocks; sent in a section of its own.
    #[serde(skip)]
    pub wall_clock_us: Option<u64>,
    /// Rank of each of the works, in their order; sent in a section of its own.
    #[serde(skip)]
    pub ranks: Vec<PriorityRank>,
    /// Whether the price of engine time holds each of the waits, in their order; sent in a section of
    /// its own.
    #[serde(skip)]
    pub price_waits: Vec<bool>,
    /// Snapshots of other nodes that the sender passes on; sent in a section of its own.
    #[serde(skip)]
    pub relayed: Vec<RelayedSnapshot>,
}

fn saturating_u32(value: impl TryInto<u32>) -> u32 {
    value.try_into().unwrap_or(u32::MAX)
}

fn milliseconds(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
