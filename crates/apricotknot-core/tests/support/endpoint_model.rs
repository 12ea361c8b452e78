//! Model of an endpoint, against which the pool scheduler is fuzzed.

use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::types::EndpointId;

/// Time for which an unreachable endpoint gets no new work; equals the scheduler's own constant.
pub(crate) const UNREACHABLE_PAUSE: Duration = Duration::from_secs(2);

/// Budget of a cold endpoint.
pub(crate) const COLD: BudgetAmount = BudgetAmount { memory_tokens: 20_000, concurrent: 2 };

/// Tracks the largest budget that the scheduler may grant at one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointModel {
    /// Capacity and duty of the endpoint.
    pub(crate) capacity: EndpointCapacity,
    /// Part of the budget that the scheduler may grant.
    pub(crate) allowance: BudgetAmount,
    /// Upper bound of the load that the endpoint has proven to handle since its last cold start.
    pub(crate) proven: BudgetAmount,
    /// Number of restarts, for the boot id.
    pub(crate) boot: u32,
    /// Whether the endpoint is part of the pool.
    pub(crate) is_present: bool,
    /// Time until which the endpoint gets no new work, because it was unreachable.
    pub(crate) unreachable_until: Duration,
}

/// Returns the name of an endpoint by its number.
pub(crate) fn endpoint(number: usize) -> EndpointId {
    format!("e{number}").into()
}

/// Returns the proven amount after one more timely answer of a cold endpoint.
pub(crate) fn with_one_proof(amount: BudgetAmount) -> BudgetAmount {
    amount.plus(BudgetAmount::new(COLD.memory_tokens / 2, 1))
}
