//! State of the engine: batch, memory, cold start and crashes.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::types::TokenCount;
use serde_json::Value;
use serde_json::json;

use super::EngineSettings;
use super::digest::hash_parts;
use super::log::EventLog;
use super::log::LogState;
use super::prefix::PrefixCache;
use super::sequence::Sequence;
use super::sequence::SequenceRequest;
use super::stats::EngineStats;

/// Number of prompt tokens in one block of the prefix cache.
const BLOCK_TOKENS: TokenCount = 256;

/// Time for which an ended generation can be resumed and its state queried.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Minimum time between two load snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of load snapshots that are kept.
const MAX_SNAPSHOTS: usize = 256;

/// Says why the engine did not accept a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SubmitError {
    /// The engine's queue is full, and nothing ran.
    QueueFull,
    /// The engine crashed.
    Crashed,
}

/// Names the cause of a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CrashReason(pub(super) &'static str);

/// Holds the state of one engine.
pub(super) struct EngineState {
    pub(super) settings: EngineSettings,
    pub(super) stats: EngineStats,
    pub(super) cache: PrefixCache,
    boot_id: String,
    cold_until: Option<Instant>,
    cold_period: Duration,
    arrivals: u64,
    active: Vec<Sequence>,
    ended: HashMap<String, (Instant, Sequence)>,
    snapshots: VecDeque<(Instant, Value)>,
}

impl EngineState {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let cache = new_cache(&settings);
        let cold_period = settings.cold_period;
        Self {
            settings,
            stats: EngineStats::default(),
            cache,
            boot_id: new_boot_id(),
            cold_until: None,
            cold_period,
            arrivals: 0,
            active: Vec::new(),
            ended: HashMap::new(),
            snapshots: VecDeque::new(),
        }
    }

    /// Accepts a generation and returns its log; exceeding a limit crashes the engine.
    pub(super) fn submit(
        &mut self,
        request: SequenceRequest,
        now: Instant,
    ) -> Result<Rc<EventLog>, SubmitError> {
        let waiting = self.active.iter().filter(|sequence| !sequence.running).count();
        if waiting >= self.settings.max_waiting {
            self.stats.record_refusal(&request.attempt_id);
            return Err(SubmitError::QueueFull);
        }
        self.arrivals += 1;
        self.stats.record_start(&request.attempt_id, request.request_id.as_deref());
        let hits = self.cache.lookup(&request.blocks) as TokenCount;
        let cached_tokens = (hits * BLOCK_TOKENS).min(request.prompt_tokens.saturating_sub(1));
        let log = Rc::new(EventLog::default());
        let boot_id = u64::from_str_radix(&self.boot_id, 16).unwrap_or_default();
        self.active.push(Sequence {
            arrival: self.arrivals,
            generation_tag: (hash_parts(&[boot_id, self.arrivals]) >> 32) as u32,
            cached_tokens,
            prefill_remaining: request.prompt_tokens - cached_tokens,
            running: false,
            generated: 0,
            detached_since: None,
            log: Rc::clone(&log),
            request,
        });
        self.admit();
        match self.check_limits(now) {
            Ok(()) => Ok(log),
            Err(reason) => {
                self.crash(reason);
                Err(SubmitError::Crashed)
            },
        }
    }

    /// Runs the batch for `elapsed`: prefills in order of priority, and decodes one token for each
    /// sequence that is past its prefill.
    pub(super) fn step(&mut self, elapsed: Duration, now: Instant) -> Result<(), CrashReason> {
        self.admit();
        if self.active.iter().any(|sequence| sequence.running && sequence.request.poison) {
            return self.crash_with(CrashReason("poison"));
        }
        let decoding: Vec<u64> = self
            .active
            .iter()
            .filter(|sequence| sequence.running && sequence.prefill_remaining == 0)
            .map(|sequence| sequence.arrival)
            .collect();
        let first = self.prefill(elapsed, now);
        let window = self.settings.output_window;
        let mut complete = Vec::new();
        for sequence in &mut self.active {
            let arrival = sequence.arrival;
            let due = decoding.contains(&arrival) || first.contains(&arrival);
            let paused = sequence.log.has_reader() && sequence.log.unread() >= window;
            if due && !paused && !sequence.is_stalled() && sequence.decode() {
                complete.push(arrival);
            }
        }
        for arrival in complete {
            self.end_sequence(arrival, LogState::Finished, now);
        }
        self.cancel_detached(now);
        self.admit();
        self.check_limits(now).or_else(|reason| self.crash_with(reason))
    }

    /// Cancels a generation and frees its memory; returns the state to report.
    pub(super) fn cancel(&mut self, attempt_id: &str, now: Instant) -> &'static str {
        let active = self.active.iter().find(|sequence| sequence.request.attempt_id == attempt_id);
        if let Some(arrival) = active.map(|sequence| sequence.arrival) {
            self.end_sequence(arrival, LogState::Cancelled, now);
            return "cancelled";
        }
        match self.ended.get(attempt_id).map(|(_, sequence)| sequence.log.state()) {
            Some(LogState::Finished) => "finished",
            Some(_) => "cancelled",
            None => "unknown",
        }
    }

    /// Drops all generations and the cache, and starts cold with a new boot id.
    pub(super) fn crash(&mut self, reason: CrashReason) {
        self.stats.crashes.push(reason.0);
        self.stats.lost += self.active.len() as u64;
        self.active.clear();
        self.ended.clear();
        self.snapshots.clear();
        self.cache = new_cache(&self.settings);
        self.boot_id = new_boot_id();
        self.cold_period = self.settings.cold_period;
        self.cold_until = None;
    }

    /// Makes the engine cold for `period`; generations in progress continue.
    pub(super) fn start_cold_period(&mut self, period: Duration, now: Instant) {
        self.cold_period = period;
        self.cold_until = Some(now + period);
    }

    /// Starts the cold period at the first contact after a start, and takes a load snapshot if one
    /// is due.
    pub(super) fn record_contact(&mut self, now: Instant) {
        let period = self.cold_period;
        self.cold_until.get_or_insert(now + period);
        let due = self.snapshots.back().is_none_or(|(at, _)| now >= *at + SNAPSHOT_INTERVAL);
        if due {
            let report = self.current_load(now);
            self.snapshots.push_back((now, report));
            if self.snapshots.len() > MAX_SNAPSHOTS {
                self.snapshots.pop_front();
            }
        }
        self.ended.retain(|_, (at, _)| now < *at + ENDED_RETENTION);
    }

    fn crash_with(&mut self, reason: CrashReason) -> Result<(), CrashReason> {
        self.crash(reason);
        Err(reason)
    }

    fn admit(&mut self) {
        let running = self.active.iter().filter(|sequence| sequence.running).count();
        let mut free = self.settings.max_running.saturating_sub(running);
        self.active.sort_by_key(|sequence| (sequence.request.priority, sequence.arrival));
        for sequence in self.active.iter_mut().filter(|sequence| !sequence.running) {
            if free == 0 {
                return;
            }
            sequence.running = true;
            free -= 1;
        }
    }

    fn prefill(&mut self, elapsed: Duration, now: Instant) -> Vec<u64> {
        let rate = self.settings.prefill_tokens_per_second as f64;
        let mut budget = (elapsed.as_secs_f64() * rate).ceil() as TokenCount;
        let mut first = Vec::new();
        for sequence in self.active.iter_mut().filter(|sequence| sequence.running) {
            if sequence.prefill_remaining == 0 || budget == 0 {
                continue;
            }
            let part = sequence.prefill_remaining.min(budget);
            sequence.prefill_remaining -= part;
            budget -= part;
            if sequence.prefill_remaining == 0 {
                first.push(sequence.arrival);
                self.cache.store(&sequence.request.blocks, now);
            }
        }
        first
    }

    fn end_sequence(&mut self, arrival: u64, state: LogState, now: Instant) {
        let Some(index) = self.active.iter().position(|sequence| sequence.arrival == arrival)
        else {
            return;
        };
        let sequence = self.active.remove(index);
        sequence.log.close(state);
        match state {
            LogState::Finished => self.stats.finished += 1,
            _ => self.stats.cancelled += 1,
        }
        self.ended.insert(sequence.request.attempt_id.clone(), (now, sequence));
    }

    fn cancel_detached(&mut self, now: Instant) {
        let grace = self.settings.detach_grace;
        let mut abandoned = Vec::new();
        for sequence in &mut self.active {
            if sequence.log.has_reader() {
                sequence.detached_since = None;
            } else if now >= *sequence.detached_since.get_or_insert(now) + grace {
                abandoned.push(sequence.arrival);
            }
        }
        for arrival in abandoned {
            self.end_sequence(arrival, LogState::Cancelled, now);
        }
    }

    fn check_limits(&mut self, now: Instant) -> Result<(), CrashReason> {
        let held = self.held_tokens();
        let committed: TokenCount = self.active.iter().map(Sequence::committed_tokens).sum();
        let count = self.active.len();
        let cold = self.is_cold(now);
        self.stats.memory_peak = self.stats.memory_peak.max(held);
        self.stats.committed_peak = self.stats.committed_peak.max(committed);
        self.stats.concurrent_peak = self.stats.concurrent_peak.max(count);
        if committed > self.settings.memory_tokens {
            self.stats.over_committed += 1;
        }
        if cold {
            self.stats.cold_concurrent_peak = self.stats.cold_concurrent_peak.max(count);
        }
        if held > self.settings.memory_tokens {
            return Err(CrashReason("memory"));
        }
        let too_many = count > self.settings.cold_concurrent;
        if cold && (too_many || held > self.settings.cold_memory_tokens) {
            return Err(CrashReason("cold"));
        }
        Ok(())
    }

    pub(super) fn boot_id(&self) -> &str {
        &self.boot_id
    }

    pub(super) fn is_idle(&self) -> bool {
        self.active.is_empty()
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_none_or(|until| now < until) && !self.cold_period.is_zero()
    }

    pub(super) fn held_tokens(&self) -> TokenCount {
        self.active.iter().map(Sequence::held_tokens).sum()
    }

    /// Returns a generation that is in progress or ended within [`ENDED_RETENTION`].
    pub(super) fn find(&self, attempt_id: &str) -> Option<&Sequence> {
        self.active
            .iter()
            .find(|sequence| sequence.request.attempt_id == attempt_id)
            .or_else(|| self.ended.get(attempt_id).map(|(_, sequence)| sequence))
    }

    /// Returns the newest load snapshot that is at least as old as the setting `load_lag`, or the
    /// oldest snapshot if none is.
    pub(super) fn delayed_load(&self, now: Instant) -> Value {
        let lag = self.settings.load_lag;
        self.snapshots
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .or_else(|| self.snapshots.front())
            .map_or(Value::Null, |(_, report)| report.clone())
    }

    /// Returns the current load.
    pub(super) fn current_load(&self, now: Instant) -> Value {
        let running = self.active.iter().filter(|sequence| sequence.running).count();
        json!({"boot_id": self.boot_id, "cold": self.is_cold(now),
            "memory_total": self.settings.memory_tokens, "memory_used": self.held_tokens(),
            "running": running, "waiting": self.active.len() - running})
    }
}

fn new_cache(settings: &EngineSettings) -> PrefixCache {
    PrefixCache::new(settings.cached_blocks, settings.event_lag, settings.event_gap_every)
}

fn new_boot_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
