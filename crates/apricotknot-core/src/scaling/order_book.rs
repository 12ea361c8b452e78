//! Orders that were decided and are not yet seen to be carried out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::types::DataCentreId;
use crate::types::MonotonicTime;

/// Delay before an order without an answer is sent again; it doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay before an order is sent again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Multiple of the boot time within which the endpoints of an accepted order serve.
const SETTLE_FACTOR: f64 = 1.5;

/// Time in addition to that, until they are announced.
const ANNOUNCE_TIME: Duration = Duration::from_secs(4);

/// Stage of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderStage {
    /// The order is sent from this time on.
    Due(MonotonicTime),
    /// The call was made at this time and has no answer yet.
    Sent(MonotonicTime),
    /// The order was accepted, and is carried out by this time.
    Accepted(MonotonicTime),
}

/// An order for one data centre.
#[derive(Clone, Debug)]
struct OpenOrder {
    desired: u32,
    is_increase: bool,
    stage: OrderStage,
    retry_delay: Duration,
    /// Whether it was accepted once and not carried out in time.
    is_overdue: bool,
}

impl OpenOrder {
    /// Returns whether the endpoints that are `present` agree with the order.
    fn is_met(&self, present: u32) -> bool {
        if self.is_increase { present >= self.desired } else { present <= self.desired }
    }
}

/// Keeps one order for each data centre until the endpoints agree with it.
///
/// A call without an answer may be carried out late, after newer ones. So an order is sent again,
/// at growing intervals, while the endpoints do not agree.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderBook {
    orders: BTreeMap<DataCentreId, OpenOrder>,
}

impl OrderBook {
    /// Adds the order of `desired` endpoints where `present` are there; replaces an earlier order.
    ///
    /// The same order as before keeps its stage.
    pub(super) fn set(
        &mut self,
        centre: &DataCentreId,
        desired: u32,
        present: u32,
        now: MonotonicTime,
    ) {
        if self.orders.get(centre).is_some_and(|order| order.desired == desired) {
            return;
        }
        let order = OpenOrder {
            desired,
            is_increase: desired > present,
            stage: OrderStage::Due(now),
            retry_delay: INITIAL_RETRY_DELAY,
            is_overdue: false,
        };
        self.orders.insert(Arc::clone(centre), order);
    }

    /// Closes the order for a data centre if the endpoints `present` there agree with it, and makes
    /// it due again if they should by now.
    pub(super) fn observe(&mut self, centre: &str, present: u32, now: MonotonicTime) {
        let Some(order) = self.orders.get_mut(centre) else {
            return;
        };
        match order.stage {
            OrderStage::Accepted(_) if order.is_met(present) => _ = self.orders.remove(centre),
            OrderStage::Accepted(until) if now >= until => {
                order.stage = OrderStage::Due(now);
                order.is_overdue = true;
            },
            _ => {},
        }
    }

    /// Returns the orders to send at `now`, and counts them as sent.
    pub(super) fn take_due(&mut self, now: MonotonicTime) -> Vec<(DataCentreId, u32)> {
        let mut due = Vec::new();
        for (centre, order) in &mut self.orders {
            if matches!(order.stage, OrderStage::Due(at) if now >= at) {
                order.stage = OrderStage::Sent(now);
                due.push((Arc::clone(centre), order.desired));
            }
        }
        due
    }

    /// Records how the call for `desired` endpoints in a data centre ended.
    ///
    /// The answer to a call that was replaced since is ignored.
    pub(super) fn record_answer(
        &mut self,
        centre: &str,
        desired: u32,
        is_accepted: bool,
        boot_time: Duration,
        now: MonotonicTime,
    ) {
        let Some(order) = self.orders.get_mut(centre).filter(|order| order.desired == desired)
        else {
            return;
        };
        if !matches!(order.stage, OrderStage::Sent(_)) {
            return;
        }
        order.stage = match is_accepted {
            true => OrderStage::Accepted(now + settle_time(boot_time).max(order.retry_delay)),
            false => OrderStage::Due(now + order.retry_delay),
        };
        order.retry_delay = (order.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Drops all orders: this node orders no more.
    pub(super) fn clear(&mut self) {
        self.orders.clear();
    }

    /// Drops the order for a data centre.
    pub(super) fn cancel(&mut self, centre: &str) {
        self.orders.remove(centre);
    }
}

impl OrderBook {
    /// Returns whether no order is open.
    pub(super) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the endpoints that are ordered in addition to those `present` in a data centre.
    ///
    /// The endpoints of an overdue order are not counted on.
    pub(super) fn ordered(&self, centre: &str, present: u32) -> u32 {
        let order = self.orders.get(centre);
        let order = order.filter(|order| order.is_increase && !order.is_overdue);
        order.map_or(0, |order| order.desired.saturating_sub(present))
    }

    /// Returns whether the order for a data centre was accepted and not carried out in time.
    pub(super) fn is_overdue(&self, centre: &str) -> bool {
        self.orders.get(centre).is_some_and(|order| order.is_overdue)
    }
}

/// Returns the time within which the endpoints of an accepted order are there.
pub(super) fn settle_time(boot_time: Duration) -> Duration {
    boot_time.mul_f64(SETTLE_FACTOR) + ANNOUNCE_TIME
}
