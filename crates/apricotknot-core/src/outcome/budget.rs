//! Retry budget: limits retries to a fraction of the requests.

/// Credit that each request adds, in tenths of a retry.
const CREDIT_PER_REQUEST: u32 = 2;

/// Credit that a retry uses, in tenths of a retry.
const COST_PER_RETRY: u32 = 10;

/// Maximum credit, in tenths of a retry.
const MAX_CREDIT: u32 = 10_000;

/// Limits the attempts of one service to 1.2 times its requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RetryBudget {
    credit: u32,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget without credit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the credit of a request that started.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Spends the credit for one retry.
    ///
    /// Returns `false`, and counts a refused retry, if the credit is not sufficient.
    pub fn try_spend_retry(&mut self) -> bool {
        let Some(credit) = self.credit.checked_sub(COST_PER_RETRY) else {
            self.refused += 1;
            return false;
        };
        self.credit = credit;
        true
    }
}

impl RetryBudget {
    /// Returns the number of retries that the credit allows now.
    pub fn retries_left(&self) -> u32 {
        self.credit / COST_PER_RETRY
    }

    /// Returns the number of retries that were refused for lack of credit.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
