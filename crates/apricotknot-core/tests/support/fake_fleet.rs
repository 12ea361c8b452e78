//! Endpoints of one service that start and stop as they are ordered.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use apricotknot_core::scaling::EndpointSample;
use apricotknot_core::scaling::EndpointStatus;
use apricotknot_core::scaling::LoadSample;
use apricotknot_core::scaling::ScalingLimits;
use apricotknot_core::scaling::ScalingOrder;
use apricotknot_core::scaling::ServiceSample;
use apricotknot_core::scaling::ServiceScaler;

/// Interval between two samples.
const STEP: Duration = Duration::from_millis(500);

/// Time until an ordered endpoint is announced.
const BOOT_TIME: Duration = Duration::from_secs(8);

/// How the API answers orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ApiMode {
    /// It carries them out at once.
    Prompt,
    /// It does not answer, and carries them out after this time.
    Late(Duration),
    /// It does not answer, and does nothing.
    Down,
}

/// Endpoints of one service in three data centres, and the node that orders them.
pub(crate) struct FakeFleet {
    pub(crate) now: Duration,
    pub(crate) api: ApiMode,
    /// All orders, with their times.
    pub(crate) orders: Vec<(Duration, ScalingOrder)>,
    pub(crate) evacuated: BTreeSet<String>,
    /// Data centres that the node cannot reach.
    pub(crate) unreachable: BTreeSet<String>,
    /// Data centres that accept orders and start nothing.
    pub(crate) refusing: BTreeSet<String>,
    /// Largest load beyond what the endpoints could serve.
    pub(crate) worst_shortage: f64,
    limits: ScalingLimits,
    /// Limit of the endpoints in all data centres, under the other reading of `max`.
    total_max: Option<usize>,
    scaler: ServiceScaler,
    /// Endpoints with the time from which they serve.
    endpoints: BTreeMap<(String, u32), Duration>,
    /// Orders that are not carried out yet.
    late: Vec<(Duration, ScalingOrder)>,
    next_id: u32,
    /// Endpoints that shut down; the next sample is the last one that shows them.
    leaving: Vec<(String, u32)>,
}

impl FakeFleet {
    pub(crate) fn new(per_centre: usize, min: u32, max: u32) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            api: ApiMode::Prompt,
            orders: Vec::new(),
            evacuated: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            refusing: BTreeSet::new(),
            worst_shortage: 0.0,
            limits: ScalingLimits { min, max, boot_time: BOOT_TIME },
            total_max: None,
            scaler: ServiceScaler::default(),
            endpoints: BTreeMap::new(),
            late: Vec::new(),
            next_id: 0,
            leaving: Vec::new(),
        };
        for centre in ["a", "b", "c"] {
            fleet.start(centre, per_centre, Duration::ZERO);
        }
        fleet
    }

    /// Bounds the endpoints of all data centres together.
    pub(crate) fn with_total_max(mut self, total_max: usize) -> Self {
        self.total_max = Some(total_max);
        self
    }

    /// Runs for `time` with requests that occupy `load` endpoints.
    pub(crate) fn run(&mut self, time: Duration, load: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.carry_out_late();
            let sample = self.sample(load);
            let serving = sample.endpoints.iter().filter(|endpoint| {
                endpoint.status == EndpointStatus::Ready
                    && !self.evacuated.contains(&*endpoint.data_centre)
            });
            let serving = serving.count();
            self.worst_shortage = self.worst_shortage.max(load - serving as f64);
            self.scaler.observe(&sample, self.now);
            for order in self.scaler.take_orders(&sample, self.now) {
                self.receive(order);
            }
        }
    }

    /// Replaces the node that orders by one that has seen nothing yet.
    pub(crate) fn replace_holder(&mut self) {
        self.scaler = ServiceScaler::default();
    }

    /// Takes away the endpoints of a data centre that nobody starts again.
    pub(crate) fn lose(&mut self, centre: &str) {
        self.endpoints.retain(|(known, _), _| known != centre);
    }

    /// Crashes `count` endpoints of a data centre, which serve again after `time`.
    pub(crate) fn crash(&mut self, centre: &str, count: usize, time: Duration) {
        let back_at = self.now + time;
        let hit = self.endpoints.iter_mut().filter(|((known, _), _)| known == centre);
        hit.take(count).for_each(|(_, serves_at)| *serves_at = back_at);
    }

    /// Replaces all endpoints of a data centre, one in each step: a new one, then an old one less.
    pub(crate) fn release(&mut self, centre: &str, load: f64) {
        let old: Vec<(String, u32)> =
            self.endpoints.keys().filter(|(known, _)| known == centre).cloned().collect();
        for key in old {
            self.start(centre, 1, self.now);
            self.run(STEP, load);
            self.endpoints.remove(&key);
            self.run(STEP, load);
        }
    }

    /// Empties `count` endpoints of a data centre and takes them away.
    pub(crate) fn empty(&mut self, centre: &str, count: usize) {
        let keys = self.endpoints.keys().filter(|(known, _)| known == centre);
        let keys: Vec<(String, u32)> = keys.take(count).cloned().collect();
        for key in keys {
            self.endpoints.remove(&key);
            self.leaving.push(key);
        }
    }

    /// Counts the endpoints that serve in one data centre.
    pub(crate) fn count(&self, centre: &str) -> usize {
        let endpoints = self.endpoints.iter().filter(|((known, _), _)| known == centre);
        endpoints.filter(|(_, serves_at)| **serves_at <= self.now).count()
    }

    pub(crate) fn total(&self) -> usize {
        ["a", "b", "c"].iter().map(|centre| self.count(centre)).sum()
    }

    /// Returns the orders since `since`.
    pub(crate) fn orders_since(&self, since: Duration) -> Vec<&ScalingOrder> {
        let orders = self.orders.iter().filter(|(at, _)| *at > since);
        orders.map(|(_, order)| order).collect()
    }

    fn sample(&mut self, load: f64) -> ServiceSample {
        let serving = self.endpoints.iter().filter(|(_, serves_at)| **serves_at <= self.now);
        let serving = serving.map(|(key, _)| match self.unreachable.contains(&key.0) {
            true => endpoint_sample(key, EndpointStatus::Unreachable),
            false => endpoint_sample(key, EndpointStatus::Ready),
        });
        let leaving = self.leaving.iter().map(|key| endpoint_sample(key, EndpointStatus::Leaving));
        let endpoints = serving.chain(leaving).collect();
        self.leaving.clear();
        ServiceSample {
            service: "model".into(),
            limits: self.limits,
            slots: 12,
            engine: None,
            load: LoadSample { prefilling: load, ..LoadSample::default() },
            endpoints,
            evacuated: self.evacuated.iter().map(|centre| centre.as_str().into()).collect(),
        }
    }

    fn receive(&mut self, order: ScalingOrder) {
        self.orders.push((self.now, order.clone()));
        self.scaler.record_answer(&order, self.api == ApiMode::Prompt, self.now);
        match self.api {
            ApiMode::Prompt => self.carry_out(&order),
            ApiMode::Late(delay) => self.late.push((self.now + delay, order)),
            ApiMode::Down => {},
        }
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let (due, late) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        let due: Vec<(Duration, ScalingOrder)> = due;
        due.iter().for_each(|(_, order)| self.carry_out(order));
    }

    fn carry_out(&mut self, order: &ScalingOrder) {
        if self.refusing.contains(&*order.data_centre) {
            return;
        }
        let desired = order.desired.clamp(self.limits.min, self.limits.max) as usize;
        let total = self.endpoints.len();
        let known: Vec<(String, u32)> = self
            .endpoints
            .keys()
            .filter(|(known, _)| **known == *order.data_centre)
            .cloned()
            .collect();
        let present = known.len();
        let room = self.total_max.map_or(usize::MAX, |max| max.saturating_sub(total));
        let added = desired.saturating_sub(present).min(room);
        self.start(&order.data_centre, added, self.now + BOOT_TIME);
        let surplus = present.saturating_sub(desired);
        for key in known.into_iter().rev().take(surplus) {
            self.endpoints.remove(&key);
            self.leaving.push(key);
        }
    }

    fn start(&mut self, centre: &str, count: usize, serves_at: Duration) {
        for _ in 0..count {
            self.next_id += 1;
            self.endpoints.insert((centre.to_owned(), self.next_id), serves_at);
        }
    }
}

fn endpoint_sample((centre, id): &(String, u32), status: EndpointStatus) -> EndpointSample {
    EndpointSample {
        id: format!("{centre}-{id}").into(),
        data_centre: centre.as_str().into(),
        status,
    }
}
