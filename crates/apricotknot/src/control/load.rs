//! Calls to engines for the pools that this node schedules: load, cache events, cancellation.

use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_core::types::AttemptId;
use apricotknot_core::types::BootId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::PoolId;
use tokio::sync::mpsc;

use crate::engine::CacheEvent;
use crate::engine::EngineClient;
use crate::engine::EngineError;
use crate::engine::LoadReport;

/// Time between two reads of one engine's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two requests to an engine to cancel the same attempt.
const CANCEL_INTERVAL: Duration = Duration::from_secs(1);

/// Carries an engine's answer to a load, cache or cancel call to the control thread.
#[derive(Debug)]
pub(super) enum EngineAnswer {
    /// The engine reported its load.
    Load {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Load that the engine reported, or why the call failed.
        report: Result<LoadReport, EngineError>,
    },
    /// Blocks of the engine's prefix cache changed.
    Cache {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// Changes, oldest first.
        events: Vec<CacheEvent>,
    },
    /// The engine holds no memory any more for an attempt that this node ran by a peer's grant, the
    /// endpoint is no longer configured, or the time limit for the cancellation has passed.
    PeerGrantReleased {
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// The engine holds no memory any more for an attempt that this node granted.
    Released {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
    },
}

/// Identifies an engine whose load is read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LoadTarget {
    pub(super) pool: PoolId,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
}

/// Reads an engine's load and cache events periodically until the receiver of `answers` is
/// dropped.
pub(super) async fn poll_load<E: EngineClient>(
    engine: E,
    target: LoadTarget,
    answers: mpsc::UnboundedSender<EngineAnswer>,
) {
    let mut reader = CacheReader::default();
    loop {
        let report = engine.load(target.address).await;
        let is_up = report.is_ok();
        let answer = EngineAnswer::Load {
            pool: target.pool.clone(),
            endpoint: target.endpoint.clone(),
            report,
        };
        if answers.send(answer).is_err() {
            return;
        }
        if is_up {
            let events = reader.read(&engine, target.address).await;
            let pool = target.pool.clone();
            let endpoint = target.endpoint.clone();
            if !events.is_empty() {
                let _ = answers.send(EngineAnswer::Cache { pool, endpoint, events });
            }
        }
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

/// Reads each of an engine's cache events once, and starts from the first with each new run of
/// the engine.
#[derive(Default)]
struct CacheReader {
    boot: Option<BootId>,
    last: u64,
}

impl CacheReader {
    async fn read<E: EngineClient>(&mut self, engine: &E, address: SocketAddr) -> Vec<CacheEvent> {
        let Ok(found) = engine.cache_events(address, self.last).await else {
            return Vec::new();
        };
        if self.boot.as_ref() != Some(&found.boot_id) {
            let is_restart = self.boot.is_some();
            self.boot = Some(found.boot_id);
            if is_restart {
                // The request named the last event of an earlier run, so its answer is incomplete.
                self.last = 0;
                return Vec::new();
            }
        }
        self.last = found.events.last().map_or(self.last, |event| event.seq);
        found.events
    }
}

/// Cancels an attempt, and reports that the engine holds no memory for it.
///
/// Reports nothing if the engine cannot be reached, because it may still hold memory.
pub(super) async fn cancel_attempt<E: EngineClient>(
    engine: E,
    address: SocketAddr,
    pool: PoolId,
    attempt: AttemptId,
    answers: mpsc::UnboundedSender<EngineAnswer>,
) {
    if engine.cancel(address, attempt).await.is_ok() {
        let _ = answers.send(EngineAnswer::Released { pool, attempt });
    }
}

/// Cancels an attempt that this node ran by another node's grant, and repeats the call until the
/// engine holds no memory for it or `limit` has passed; reports in both cases.
pub(super) async fn cancel_peer_grant<E: EngineClient>(
    engine: E,
    address: SocketAddr,
    attempt: AttemptId,
    limit: Duration,
    answers: mpsc::UnboundedSender<EngineAnswer>,
) {
    let cancel = async {
        while engine.cancel(address, attempt).await.is_err() {
            tokio::time::sleep(CANCEL_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(limit, cancel).await;
    let _ = answers.send(EngineAnswer::PeerGrantReleased { attempt });
}
