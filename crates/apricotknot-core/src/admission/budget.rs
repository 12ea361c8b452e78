//! Amounts of an endpoint's capacity.

use crate::resources::DutyState;
use crate::resources::EndpointSpec;
use crate::types::TokenCount;

/// Divides an engine's memory to give its cold budget where none is configured.
const COLD_MEMORY_DIVISOR: TokenCount = 8;

/// Counts what requests hold of an endpoint, or how much of it they may hold.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BudgetAmount {
    /// Key-value cache, in tokens.
    pub memory_tokens: TokenCount,
    /// Requests at once.
    pub concurrent: u32,
}

impl BudgetAmount {
    /// Creates an amount.
    pub fn new(memory_tokens: TokenCount, concurrent: u32) -> Self {
        Self { memory_tokens, concurrent }
    }

    /// Returns the smaller of both amounts, part by part.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            memory_tokens: self.memory_tokens.min(other.memory_tokens),
            concurrent: self.concurrent.min(other.concurrent),
        }
    }

    /// Returns the sum, part by part, at most the largest number that fits.
    pub fn plus(self, other: Self) -> Self {
        Self {
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
            concurrent: self.concurrent.saturating_add(other.concurrent),
        }
    }

    /// Returns what is left after `other` is taken away, part by part, at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
            concurrent: self.concurrent.saturating_sub(other.concurrent),
        }
    }

    /// Returns whether both parts are at most those of `limit`.
    pub fn fits(self, limit: Self) -> bool {
        self.memory_tokens <= limit.memory_tokens && self.concurrent <= limit.concurrent
    }
}

/// Describes how much one endpoint bears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointCapacity {
    /// What it bears once it is warm.
    pub warm: BudgetAmount,
    /// What it bears while it is cold.
    pub cold: BudgetAmount,
    /// Whether new work may be sent there.
    pub duty: DutyState,
}

impl EndpointCapacity {
    /// Creates the capacity of an endpoint on duty.
    pub fn new(warm: BudgetAmount, cold: BudgetAmount) -> Self {
        Self { warm, cold: cold.component_min(warm), duty: DutyState::In }
    }

    /// Returns the same capacity with another duty.
    pub fn duty(mut self, duty: DutyState) -> Self {
        self.duty = duty;
        self
    }

    /// Reads the capacity from the endpoint's resource.
    pub fn from_spec(spec: &EndpointSpec) -> Self {
        let warm = BudgetAmount::new(spec.memory_tokens, spec.max_concurrent);
        let cold_memory = match spec.cold_memory_tokens {
            0 => spec.memory_tokens / COLD_MEMORY_DIVISOR,
            tokens => tokens,
        };
        let cold = BudgetAmount::new(cold_memory, spec.cold_concurrent.max(1));
        Self::new(warm, cold).duty(spec.duty)
    }
}
