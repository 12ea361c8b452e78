//! Settings of the stand-in engine.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::types::ServiceId;
use apricotknot_core::types::TokenCount;

/// Says how an engine handles an order or request with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FencingMode {
    /// It answers with status 412 and does not execute it.
    #[default]
    Refuse,
    /// It executes it as if the number were current.
    Ignore,
}

/// Holds the settings of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    pub(crate) address: SocketAddr,
    pub(crate) model: ServiceId,
    pub(crate) memory_tokens: TokenCount,
    pub(crate) max_running: usize,
    pub(crate) max_waiting: usize,
    pub(crate) prefill_tokens_per_second: u64,
    pub(crate) step_interval: Duration,
    pub(crate) default_output_tokens: TokenCount,
    pub(crate) cold_period: Duration,
    pub(crate) cold_memory_tokens: TokenCount,
    pub(crate) cold_concurrent: usize,
    pub(crate) restart_delay: Option<Duration>,
    pub(crate) exit_on_crash: bool,
    pub(crate) load_lag: Duration,
    pub(crate) event_lag: Duration,
    pub(crate) event_gap_every: u64,
    pub(crate) cached_blocks: usize,
    pub(crate) detach_grace: Duration,
    pub(crate) output_window: usize,
    pub(crate) chunk_padding: Arc<str>,
    pub(crate) fencing: FencingMode,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: Arc::from("standin"),
            memory_tokens: 400_000,
            max_running: 64,
            max_waiting: 1_024,
            prefill_tokens_per_second: 200_000,
            step_interval: Duration::from_millis(5),
            default_output_tokens: 32,
            cold_period: Duration::ZERO,
            cold_memory_tokens: 40_000,
            cold_concurrent: 2,
            restart_delay: None,
            exit_on_crash: false,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(300),
            event_gap_every: 17,
            cached_blocks: 1_024,
            detach_grace: Duration::from_secs(2),
            output_window: 65_536,
            chunk_padding: Arc::from(""),
            fencing: FencingMode::Refuse,
        }
    }
}

impl EngineSettings {
    /// Sets the address to listen on; port 0 selects a free port.
    #[must_use]
    pub fn address(mut self, address: impl Into<SocketAddr>) -> Self {
        self.address = address.into();
        self
    }

    /// Sets the model that is served.
    #[must_use]
    pub fn model(mut self, model: impl Into<ServiceId>) -> Self {
        self.model = model.into();
        self
    }

    /// Sets the size of the key-value cache, in tokens; the engine crashes when it is exceeded.
    #[must_use]
    pub fn memory_tokens(mut self, tokens: impl Into<TokenCount>) -> Self {
        self.memory_tokens = tokens.into();
        self
    }

    /// Sets the maximum number of sequences in the batch; others wait in the engine's queue.
    #[must_use]
    pub fn max_running(mut self, count: usize) -> Self {
        self.max_running = count;
        self
    }

    /// Sets the maximum number of sequences in the engine's queue; it refuses further ones.
    #[must_use]
    pub fn max_waiting(mut self, count: usize) -> Self {
        self.max_waiting = count;
        self
    }

    /// Sets the number of prompt tokens that the engine prefills a second.
    #[must_use]
    pub fn prefill_tokens_per_second(mut self, tokens: u64) -> Self {
        self.prefill_tokens_per_second = tokens.max(1);
        self
    }

    /// Sets the time between decode steps.
    #[must_use]
    pub fn step_interval(mut self, interval: Duration) -> Self {
        self.step_interval = interval;
        self
    }

    /// Sets the length of answers for which neither the caller nor the prompt gives one, in tokens.
    #[must_use]
    pub fn default_output_tokens(mut self, tokens: TokenCount) -> Self {
        self.default_output_tokens = tokens;
        self
    }

    /// Sets how long the engine stays cold after a start.
    #[must_use]
    pub fn cold_period(mut self, period: Duration) -> Self {
        self.cold_period = period;
        self
    }

    /// Sets the key-value cache above which a cold engine crashes, in tokens.
    #[must_use]
    pub fn cold_memory_tokens(mut self, tokens: TokenCount) -> Self {
        self.cold_memory_tokens = tokens;
        self
    }

    /// Sets the number of sequences above which a cold engine crashes.
    #[must_use]
    pub fn cold_concurrent(mut self, count: usize) -> Self {
        self.cold_concurrent = count;
        self
    }

    /// Sets the time after which a crashed engine restarts; `None` leaves it stopped.
    #[must_use]
    pub fn restart_delay(mut self, delay: impl Into<Option<Duration>>) -> Self {
        self.restart_delay = delay.into();
        self
    }

    /// Sets whether a crash ends the whole process.
    #[must_use]
    pub fn exit_on_crash(mut self, exit: bool) -> Self {
        self.exit_on_crash = exit;
        self
    }

    /// Sets the age of the load that the engine reports.
    #[must_use]
    pub fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets the delay after which cache events are published.
    #[must_use]
    pub fn event_lag(mut self, lag: Duration) -> Self {
        self.event_lag = lag;
        self
    }

    /// Makes the engine lose every `count`-th cache event; 0 for none.
    #[must_use]
    pub fn event_gap_every(mut self, count: u64) -> Self {
        self.event_gap_every = count;
        self
    }

    /// Sets the capacity of the prefix cache, in blocks.
    #[must_use]
    pub fn cached_blocks(mut self, count: usize) -> Self {
        self.cached_blocks = count;
        self
    }

    /// Sets how long a generation continues without a reader before it is cancelled.
    #[must_use]
    pub fn detach_grace(mut self, grace: Duration) -> Self {
        self.detach_grace = grace;
        self
    }

    /// Sets the number of unread events at which a generation pauses.
    #[must_use]
    pub fn output_window(mut self, events: usize) -> Self {
        self.output_window = events.max(1);
        self
    }

    /// Sets the size of the field `padding` in each streamed chunk, in bytes.
    #[must_use]
    pub fn chunk_padding(mut self, bytes: usize) -> Self {
        self.chunk_padding = "x".repeat(bytes).into();
        self
    }

    /// Sets how outdated fencing numbers are handled.
    #[must_use]
    pub fn fencing(mut self, mode: FencingMode) -> Self {
        self.fencing = mode;
        self
    }
}
