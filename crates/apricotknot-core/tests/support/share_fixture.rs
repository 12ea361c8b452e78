//! Names, budget and settings that the tests of the share ledger have in common.

use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::ShareSettings;
use apricotknot_core::types::NodeId;

pub(crate) const ENDPOINT: &str = "engine-1";
pub(crate) const BUDGET: BudgetAmount = BudgetAmount { memory_tokens: 1_000, concurrent: 12 };
pub(crate) const NODES: usize = 4;

pub(crate) fn settings() -> ShareSettings {
    ShareSettings {
        loan_term: Duration::from_secs(3),
        clock_margin: Duration::from_millis(200),
        renew_before: Duration::from_secs(2),
        start_timeout: Duration::from_secs(1),
        max_hold: Duration::from_secs(20),
        orphan_hold: Duration::from_secs(2),
        repeat_interval: Duration::from_millis(250),
    }
}

pub(crate) fn node_id(node: usize) -> NodeId {
    format!("node-{node}").into()
}
