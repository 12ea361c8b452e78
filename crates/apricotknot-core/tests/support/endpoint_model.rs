//! What the oracle of the pool scheduler knows of an endpoint.

use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::types::EndpointId;

/// Time for which an endpoint that could not be reached gets no new work.
pub(crate) const UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

/// Budget of an endpoint that has proven nothing.
pub(crate) const COLD: BudgetAmount = BudgetAmount { memory_tokens: 20_000, concurrent: 2 };

/// What the oracle knows of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointModel {
    /// How much it bears.
    pub(crate) capacity: EndpointCapacity,
    /// Most that the scheduler may hand out.
    pub(crate) allowance: BudgetAmount,
    /// Most that the endpoint can have proven to bear since its last cold start.
    pub(crate) proven: BudgetAmount,
    /// Number of its run.
    pub(crate) boot: u32,
    /// Whether it is part of the pool.
    pub(crate) is_present: bool,
    /// Moment until which it gets no work, since it could not be reached.
    pub(crate) unreachable_until: Duration,
}

/// Names an endpoint by its number.
pub(crate) fn endpoint(number: usize) -> EndpointId {
    format!("e{number}").into()
}

/// Returns an amount with one more proof of a cold endpoint.
pub(crate) fn with_one_proof(amount: BudgetAmount) -> BudgetAmount {
    amount.plus(BudgetAmount::new(COLD.memory_tokens / 2, 1))
}
