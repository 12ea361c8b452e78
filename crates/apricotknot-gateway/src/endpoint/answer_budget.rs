//! Memory for answers that are held until they are complete.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use thiserror::Error;

/// Bytes of each answer that need no part of the budget, so that short answers are always held.
const FREE_BYTES: usize = 64 * 1_024;

/// Reports that the answers which a node holds occupy too much memory.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error(
    "the answer is {given} bytes so far, and long answers may occupy {limit} bytes together; \
     ending it"
)]
pub struct AnswerBudgetError {
    /// Bytes of the answer that does not fit.
    pub given: usize,
    /// Bytes that all long answers may occupy together.
    pub limit: usize,
}

/// Limits the memory of all answers that a node holds; shared by its threads.
///
/// A limit for each answer is not enough: an endpoint that sends without end does so for each of its
/// requests.
#[derive(Debug)]
pub struct AnswerBudget {
    limit: usize,
    used: AtomicUsize,
}

impl AnswerBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Returns the bytes in use, without the free ones of each answer.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.used.try_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Part of the budget that the answers of one call use; given back when it is dropped.
#[derive(Debug)]
pub struct AnswerMemory {
    budget: Arc<AnswerBudget>,
    taken: usize,
}

impl AnswerMemory {
    /// Creates the empty part of one call.
    pub fn new(budget: Arc<AnswerBudget>) -> Self {
        Self { budget, taken: 0 }
    }

    /// Records that the call holds `bytes` bytes of answers now.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget has no room for them; the part stays as it was.
    pub fn set_held(&mut self, bytes: usize) -> Result<(), AnswerBudgetError> {
        let needed = bytes.saturating_sub(FREE_BYTES);
        if needed > self.taken && !self.budget.take(needed - self.taken) {
            return Err(AnswerBudgetError { given: bytes, limit: self.budget.limit });
        }
        if needed < self.taken {
            self.budget.give_back(self.taken - needed);
        }
        self.taken = needed;
        Ok(())
    }
}

impl Drop for AnswerMemory {
    fn drop(&mut self) {
        self.budget.give_back(self.taken);
    }
}
