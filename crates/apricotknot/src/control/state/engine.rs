//! Answers of engines to load, cache and cancel calls.

use apricotknot_core::admission::CacheChange;
use apricotknot_core::admission::LoadReport as PoolLoad;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::PoolId;

use super::ControlState;
use crate::control::load::EngineAnswer;
use crate::engine::BlockChange;
use crate::engine::CacheEvent;
use crate::engine::EngineErrorKind;
use crate::engine::LoadReport;

impl ControlState {
    /// Handles an engine's answer to a load, cache or cancel call.
    pub(in crate::control) fn handle_engine_answer(
        &mut self,
        answer: EngineAnswer,
        now: MonotonicTime,
    ) {
        match answer {
            EngineAnswer::Load { pool, endpoint, report: Ok(report) } => {
                let report = pool_load(report);
                self.dispatch(&pool, PoolEvent::LoadReported { endpoint, report }, now);
            },
            EngineAnswer::Load { pool, endpoint, report: Err(error) } => {
                if error.kind() == EngineErrorKind::NotSent {
                    self.dispatch(&pool, PoolEvent::ConnectionReset { endpoint }, now);
                }
            },
            EngineAnswer::Cache { pool, endpoint, events } => {
                for event in events {
                    self.record_cache_event(&pool, &endpoint, &event, now);
                }
            },
            EngineAnswer::Released { pool, attempt } => {
                self.dispatch(&pool, PoolEvent::FreeConfirmed { attempt }, now);
            },
            EngineAnswer::PeerGrantReleased { attempt } => self.shares.finish(attempt),
        }
    }

    fn record_cache_event(
        &mut self,
        pool: &PoolId,
        endpoint: &EndpointId,
        event: &CacheEvent,
        now: MonotonicTime,
    ) {
        let Ok(block) = u64::from_str_radix(&event.block, 16) else {
            return;
        };
        let change = match event.kind {
            BlockChange::Evicted => CacheChange::Evicted,
            BlockChange::Stored => CacheChange::Stored,
        };
        self.dispatch(
            pool,
            PoolEvent::CacheChanged { endpoint: endpoint.clone(), block, change },
            now,
        );
    }
}

fn pool_load(report: LoadReport) -> PoolLoad {
    PoolLoad {
        boot_id: report.boot_id,
        cold: report.cold,
        memory_used: report.memory_used,
        running: report.running,
        waiting: report.waiting,
    }
}
