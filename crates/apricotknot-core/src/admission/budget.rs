//! Amounts of endpoint capacity: memory and concurrent requests.

use crate::resources::DutyState;
use crate::resources::EndpointSpec;
use crate::types::TokenCount;

/// Divisor of an endpoint's memory that gives its cold memory where none is configured.
const COLD_MEMORY_DIVISOR: TokenCount = 8;

/// Holds an amount of endpoint capacity, used or allowed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BudgetAmount {
    /// Key-value cache, in tokens.
    pub memory_tokens: TokenCount,
    /// Concurrent requests.
    pub concurrent: u32,
}

impl BudgetAmount {
    /// Creates an amount.
    pub fn new(memory_tokens: TokenCount, concurrent: u32) -> Self {
        Self { memory_tokens, concurrent }
    }

    /// Returns the minimum of each component.
    pub fn component_min(self, other: Self) -> Self {
        Self {
            memory_tokens: self.memory_tokens.min(other.memory_tokens),
            concurrent: self.concurrent.min(other.concurrent),
        }
    }

    /// Returns the sum of each component, saturating at the largest number.
    pub fn plus(self, other: Self) -> Self {
        Self {
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
            concurrent: self.concurrent.saturating_add(other.concurrent),
        }
    }

    /// Returns the difference of each component, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
            concurrent: self.concurrent.saturating_sub(other.concurrent),
        }
    }

    /// Returns whether no component exceeds that of `limit`.
    pub fn fits(self, limit: Self) -> bool {
        self.memory_tokens <= limit.memory_tokens && self.concurrent <= limit.concurrent
    }
}

/// Describes the capacity of one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointCapacity {
    /// Capacity once the endpoint is warm.
    pub warm: BudgetAmount,
    /// Capacity while the endpoint is cold; at most the warm one.
    pub cold: BudgetAmount,
    /// Whether new work may be sent to the endpoint.
    pub duty: DutyState,
}

impl EndpointCapacity {
    /// Creates the capacity of an endpoint that accepts new work.
    pub fn new(warm: BudgetAmount, cold: BudgetAmount) -> Self {
        Self { warm, cold: cold.component_min(warm), duty: DutyState::In }
    }

    /// Sets the duty.
    pub fn duty(mut self, duty: DutyState) -> Self {
        self.duty = duty;
        self
    }

    /// Creates the capacity that an endpoint resource configures; a cold memory of 0 means an
    /// eighth of the memory.
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
