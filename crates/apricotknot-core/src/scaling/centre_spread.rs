//! Spreads endpoints over data centres.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::CentreCount;
use super::ScalingLimits;
use crate::types::DataCentreId;

/// Number of endpoints to order in each data centre that needs an order.
pub(super) type CentreOrders = BTreeMap<DataCentreId, u32>;

/// Returns the orders for the data centres that have fewer endpoints than the minimum.
pub(super) fn raise_to_minimum(
    centres: &BTreeMap<DataCentreId, CentreCount>,
    limits: &ScalingLimits,
) -> CentreOrders {
    // Endpoints that cannot be reached count: an order of the minimum would take those beyond it away.
    let low = centres
        .iter()
        .filter(|(_, count)| !count.is_evacuated && count.present() + count.ordered < limits.min);
    low.map(|(centre, _)| (Arc::clone(centre), limits.min)).collect()
}

/// Returns the orders that add `missing` endpoints where there are fewest.
///
/// An order below the minimum would be raised to it, so a data centre below it goes there at once.
pub(super) fn spread_increase(
    centres: &BTreeMap<DataCentreId, CentreCount>,
    limits: &ScalingLimits,
    mut missing: u32,
) -> CentreOrders {
    let usable = centres.iter().filter(|(_, count)| count.takes_orders());
    let mut planned: CentreOrders =
        usable.map(|(centre, count)| (Arc::clone(centre), count.supply())).collect();
    let mut orders = CentreOrders::new();
    while missing > 0 {
        let open = planned.iter_mut().filter(|(_, count)| **count < limits.max);
        let Some((centre, count)) = open.min_by_key(|(_, count)| **count) else {
            break;
        };
        let next = (*count + 1).max(limits.min).min(limits.max);
        missing = missing.saturating_sub(next - *count);
        *count = next;
        orders.insert(Arc::clone(centre), next);
    }
    orders
}

/// Returns the orders that take away up to `surplus` endpoints where there are most.
///
/// No data centre is ordered below the minimum; one that has fewer keeps what it has.
pub(super) fn spread_decrease(
    centres: &BTreeMap<DataCentreId, CentreCount>,
    limits: &ScalingLimits,
    surplus: u32,
) -> CentreOrders {
    let mut planned: CentreOrders =
        centres.iter().map(|(centre, count)| (Arc::clone(centre), count.supply())).collect();
    let mut orders = CentreOrders::new();
    for _ in 0..surplus {
        let open = planned.iter_mut().filter(|(_, count)| **count > limits.min);
        let Some((centre, count)) = open.max_by_key(|(_, count)| **count) else {
            break;
        };
        *count -= 1;
        orders.insert(Arc::clone(centre), *count);
    }
    orders
}
