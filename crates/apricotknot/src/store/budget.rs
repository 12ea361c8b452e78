//! Rate limit, counters and status of a node's calls to the key-value service.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use apricotknot_core::operators::StoreStatus;
use prometheus_client::metrics::counter::Counter;

use super::CallLimits;
use super::StoreError;
use super::StoreErrorKind;

/// Limits the rate of one node's calls with a token bucket, and counts them.
///
/// All clients of the node share it.
#[derive(Debug)]
pub struct CallBudget {
    limits: CallLimits,
    state: Mutex<BudgetState>,
    calls: Counter,
    failures: Counter,
    refused: Counter,
}

/// Token bucket, and the reachability of the store as of the last call.
#[derive(Debug)]
struct BudgetState {
    tokens: f64,
    refilled_at: Instant,
    is_reachable: bool,
    last_failure: Option<Arc<str>>,
}

impl CallBudget {
    /// Creates a budget that allows a full burst.
    ///
    /// The store counts as unreachable until it answers a call.
    pub fn new(limits: CallLimits) -> Self {
        let state = BudgetState {
            tokens: f64::from(limits.burst_calls),
            refilled_at: Instant::now(),
            is_reachable: false,
            last_failure: None,
        };
        Self {
            limits,
            state: Mutex::new(state),
            calls: Counter::default(),
            failures: Counter::default(),
            refused: Counter::default(),
        }
    }

    /// Spends one call of the budget.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::BudgetSpent`] if the budget is spent.
    pub fn try_spend(&self) -> Result<(), StoreError> {
        let calls_per_second = self.limits.calls_per_second;
        let mut state = self.state();
        let now = Instant::now();
        let refill =
            now.duration_since(state.refilled_at).as_secs_f64() * f64::from(calls_per_second);
        state.refilled_at = now;
        state.tokens = (state.tokens + refill).min(f64::from(self.limits.burst_calls));
        if state.tokens < 1.0 {
            self.refused.inc();
            return Err(StoreError::BudgetSpent { calls_per_second });
        }
        state.tokens -= 1.0;
        self.calls.inc();
        Ok(())
    }

    /// Records the outcome of a call, with its error if it failed.
    pub fn record_outcome(&self, failure: Option<&StoreError>) {
        let mut state = self.state();
        let Some(error) = failure else {
            state.is_reachable = true;
            state.last_failure = None;
            return;
        };
        self.failures.inc();
        let is_unreachable =
            matches!(error.kind(), StoreErrorKind::TimedOut | StoreErrorKind::Unavailable);
        state.is_reachable = !is_unreachable;
        state.last_failure = Some(error.to_string().into());
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits of calls and back-off.
    pub fn limits(&self) -> CallLimits {
        self.limits
    }

    /// Returns the counter of calls sent, including watches.
    pub fn calls(&self) -> &Counter {
        &self.calls
    }

    /// Returns the counter of calls that failed after they were sent.
    pub fn failures(&self) -> &Counter {
        &self.failures
    }

    /// Returns the counter of calls that the budget refused before they were sent.
    pub fn refused(&self) -> &Counter {
        &self.refused
    }

    /// Returns whether the store is reachable, the counts of calls, and the last failure.
    pub fn status(&self) -> StoreStatus {
        let state = self.state();
        StoreStatus {
            reachable: state.is_reachable,
            calls: self.calls.get(),
            failures: self.failures.get(),
            last_failure: state.last_failure.clone(),
        }
    }
}
