//! Limits retries to a part of the requests.

/// Credit that each request adds, in tenths of a retry.
const CREDIT_PER_REQUEST: u32 = 2;

/// Credit that a retry costs, in tenths of a retry.
const COST_PER_RETRY: u32 = 10;

/// Most credit that is kept, in tenths of a retry.
const MAX_CREDIT: u32 = 10_000;

/// Limits the attempts of one service to 1.2 times its requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RetryBudget {
    credit: u32,
    refused: u64,
}

/// Commands.
impl RetryBudget {
    /// Creates a budget without credit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request began.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Takes the credit for one retry; returns whether there was enough.
    pub fn try_spend_retry(&mut self) -> bool {
        let Some(credit) = self.credit.checked_sub(COST_PER_RETRY) else {
            self.refused += 1;
            return false;
        };
        self.credit = credit;
        true
    }
}

/// Queries.
impl RetryBudget {
    /// Returns the retries that may be taken now.
    pub fn retries_left(&self) -> u32 {
        self.credit / COST_PER_RETRY
    }

    /// Returns how many retries were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
