//! Decides how many endpoints of one service are ordered.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::CentreCount;
use super::EndpointStatus;
use super::ScalingLimits;
use super::ScalingOrder;
use super::ServiceSample;
use super::centre_spread::CentreOrders;
use super::centre_spread::raise_to_minimum;
use super::centre_spread::spread_decrease;
use super::centre_spread::spread_increase;
use super::endpoint_target::needed_endpoints;
use super::load_window::LoadWindow;
use super::load_window::MeanLoad;
use super::load_window::WindowTimes;
use super::lost_endpoints::LostEndpoints;
use super::order_book::OrderBook;
use super::order_book::settle_time;
use crate::types::DataCentreId;
use crate::types::MonotonicTime;

/// Time for which a service is observed before anything is ordered for it.
///
/// After an outage of the key-value service, endpoints announce themselves again within it.
const FIRST_ORDER_DELAY: Duration = Duration::from_secs(3);

/// Time of the brief mean of the load, as a fraction of the boot time.
///
/// A load that is gone sooner is over before an endpoint that is ordered for it serves.
const BRIEF_FRACTION: f64 = 0.5;

/// Time of the lasting mean of the load, as a multiple of the boot time.
const LASTING_FACTOR: u32 = 2;

/// Time for which a peak of the load is remembered, as a multiple of the boot time.
///
/// Endpoints that are given back too early are missed for the boot time at the next peak.
const PEAK_FACTOR: u32 = 12;

/// Least number of endpoints that are ordered in addition, as a fraction of those needed.
///
/// It spares many small orders while the load rises.
const INCREASE_FRACTION: f64 = 0.1;

/// Least time between two orders of more endpoints.
const INCREASE_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the needed endpoints that are kept beyond them when others are given back.
const KEPT_FRACTION: f64 = 0.1;

/// Largest part of the surplus that is given back at a time: one in this many endpoints.
const DECREASE_DIVISOR: u32 = 2;

/// Describes the last decision on a service, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScalingStatus {
    /// Endpoints that the mean load occupies.
    pub load: f64,
    /// Endpoints that the largest remembered load occupies.
    pub peak: f64,
    /// Endpoints that are wanted.
    pub wanted: u32,
    /// Endpoints that are announced, or should be again soon.
    pub present: u32,
    /// Endpoints that are ordered and not there yet.
    pub ordered: u32,
}

/// Decides how many endpoints of one service are ordered in each data centre.
///
/// Every node observes the fleet; only the holder of the duty asks for orders.
#[derive(Clone, Debug, Default)]
pub struct ServiceScaler {
    window: LoadWindow,
    lost: LostEndpoints,
    book: OrderBook,
    centres: BTreeMap<DataCentreId, CentreCount>,
    limits: Option<ScalingLimits>,
    /// Time of the last order of more endpoints than the minimum.
    increased_at: MonotonicTime,
    /// Time of the last change: a decision, a loss or an evacuation.
    unsettled_at: MonotonicTime,
}

impl ServiceScaler {
    /// Records what is known of the service at `now`.
    pub fn observe(&mut self, sample: &ServiceSample, now: MonotonicTime) {
        let limits = sample.limits;
        self.limits = Some(limits);
        self.lost.record(&sample.endpoints, settle_time(limits.boot_time), now);
        self.window.record(sample.occupied(), window_times(&limits), now);
        self.count_centres(sample, now);
    }

    /// Returns the orders to send at `now`, and counts them as sent.
    pub fn take_orders(&mut self, sample: &ServiceSample, now: MonotonicTime) -> Vec<ScalingOrder> {
        self.decide(&sample.limits, now);
        let orders = self.book.take_due(now).into_iter();
        let orders = orders.map(|(data_centre, desired)| ScalingOrder {
            service: Arc::clone(&sample.service),
            data_centre,
            desired,
        });
        orders.collect()
    }

    /// Records whether an order was accepted; without an answer it may still be carried out.
    pub fn record_answer(&mut self, order: &ScalingOrder, is_accepted: bool, now: MonotonicTime) {
        let Some(limits) = self.limits else {
            return;
        };
        let ScalingOrder { data_centre, desired, .. } = order;
        self.book.record_answer(data_centre, *desired, is_accepted, limits.boot_time, now);
    }

    /// Forgets the open orders: another node orders from now on.
    pub fn drop_orders(&mut self) {
        self.book.clear();
    }

    fn count_centres(&mut self, sample: &ServiceSample, now: MonotonicTime) {
        for count in self.centres.values_mut() {
            *count = CentreCount::default();
        }
        for endpoint in &sample.endpoints {
            let count = self.centres.entry(Arc::clone(&endpoint.data_centre)).or_default();
            match endpoint.status {
                EndpointStatus::Ready => count.ready += 1,
                EndpointStatus::Unreachable => count.returning += 1,
                EndpointStatus::Leaving => {},
            }
        }
        for centre in self.lost.centres() {
            self.centres.entry(Arc::clone(centre)).or_default().returning += 1;
        }
        for (centre, count) in &mut self.centres {
            self.book.observe(centre, count.ready, now);
            count.ordered = self.book.ordered(centre, count.present());
            count.is_overdue = self.book.is_overdue(centre);
            count.is_evacuated = sample.evacuated.contains(centre);
            if count.is_evacuated {
                self.book.cancel(centre);
            }
            if !count.is_usable() || count.returning > 0 {
                self.unsettled_at = now;
            }
        }
    }

    /// Orders what is missing at once, and gives back what no recent peak has needed.
    fn decide(&mut self, limits: &ScalingLimits, now: MonotonicTime) {
        if self.window.age(now) < FIRST_ORDER_DELAY {
            return;
        }
        self.order(raise_to_minimum(&self.centres, limits), now);
        let wanted = self.wanted();
        let supply = self.supply();
        if wanted > supply {
            if now < self.increased_at + INCREASE_INTERVAL {
                return;
            }
            self.increased_at = now;
            let least = (f64::from(wanted) * INCREASE_FRACTION).ceil() as u32;
            let missing = (wanted - supply).max(least);
            self.order(spread_increase(&self.centres, limits, missing), now);
            return;
        }
        let kept = f64::from(self.needed(self.window.peak())) * (1.0 + KEPT_FRACTION);
        let surplus = supply.saturating_sub(kept.ceil() as u32);
        if surplus > 0 && self.is_settled(limits, now) {
            let given_back = surplus.div_ceil(DECREASE_DIVISOR);
            self.order(spread_decrease(&self.centres, limits, given_back), now);
        }
    }

    fn order(&mut self, orders: CentreOrders, now: MonotonicTime) {
        for (centre, desired) in orders {
            let present = self.centres.get(&centre).map_or(0, CentreCount::present);
            self.book.set(&centre, desired, present, now);
            if let Some(count) = self.centres.get_mut(&centre) {
                count.ordered = self.book.ordered(&centre, present);
            }
            self.unsettled_at = now;
        }
    }
}

impl ServiceScaler {
    /// Returns the last decision, for logs and metrics.
    pub fn status(&self) -> ScalingStatus {
        let counts = self.centres.values();
        ScalingStatus {
            load: self.window.mean().brief,
            peak: self.window.peak().brief,
            wanted: self.wanted(),
            present: counts.clone().map(CentreCount::present).sum(),
            ordered: counts.map(|count| count.ordered).sum(),
        }
    }

    /// Returns the endpoints in each data centre of the service.
    pub fn centres(&self) -> &BTreeMap<DataCentreId, CentreCount> {
        &self.centres
    }

    /// Returns the endpoints that the current load needs.
    fn wanted(&self) -> u32 {
        self.needed(self.window.mean())
    }

    fn needed(&self, load: MeanLoad) -> u32 {
        let is_centre_lost = self.centres.values().any(|count| !count.is_usable());
        needed_endpoints(load, self.centres.len(), is_centre_lost)
    }

    /// Returns the endpoints that serve, now or as soon as ones that are ordered now could.
    fn supply(&self) -> u32 {
        self.centres.values().map(CentreCount::supply).sum()
    }

    /// Returns whether nothing has changed for long enough to give endpoints back.
    ///
    /// The load must be known for the whole time for which peaks are remembered.
    fn is_settled(&self, limits: &ScalingLimits, now: MonotonicTime) -> bool {
        let is_known = self.window.age(now) >= limits.boot_time * PEAK_FACTOR;
        let settled_at = self.unsettled_at + settle_time(limits.boot_time);
        is_known && self.book.is_empty() && now >= settled_at
    }
}

fn window_times(limits: &ScalingLimits) -> WindowTimes {
    WindowTimes {
        brief: limits.boot_time.mul_f64(BRIEF_FRACTION),
        lasting: limits.boot_time * LASTING_FACTOR,
        peak: limits.boot_time * PEAK_FACTOR,
    }
}
