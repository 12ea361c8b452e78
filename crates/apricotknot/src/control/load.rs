//! Reading of engines' load for the pools that this node schedules.

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

/// Time between two readings of one engine's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two questions whether an attempt still holds memory.
const CANCEL_INTERVAL: Duration = Duration::from_secs(1);

/// Tells the control thread what an engine answered to a side call.
#[derive(Debug)]
pub(super) enum EngineAnswer {
    /// The engine reported its load.
    Load {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// What it reported, or how the call failed.
        report: Result<LoadReport, EngineError>,
    },
    /// Blocks of the engine's prefix cache changed.
    Cache {
        /// Pool that the endpoint belongs to.
        pool: PoolId,
        /// Names the endpoint.
        endpoint: EndpointId,
        /// What changed.
        events: Vec<CacheEvent>,
    },
    /// The engine holds nothing any more for an attempt that this node ran.
    PeerGrantReleased {
        /// Identifies the attempt.
        attempt: AttemptId,
    },
    /// The engine holds nothing for an attempt any more.
    Released {
        /// Pool that made the grant.
        pool: PoolId,
        /// Identifies the attempt.
        attempt: AttemptId,
    },
}

/// Names an engine whose load is read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LoadTarget {
    pub(super) pool: PoolId,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
}

/// Reads an engine's load again and again until the answers are no longer wanted.
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

/// Reads an engine's cache events once each, and starts anew with each run of the engine.
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
                // The events after `last` of an earlier run say nothing about this one.
                self.last = 0;
                return Vec::new();
            }
        }
        self.last = found.events.last().map_or(self.last, |event| event.seq);
        found.events
    }
}

/// Cancels an attempt and reports when the engine holds nothing for it.
///
/// An engine that cannot be reached may still hold memory, so nothing is reported then.
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

/// Cancels an attempt that this node ran by another node's grant, until the engine holds nothing
/// for it or `limit` has passed.
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
