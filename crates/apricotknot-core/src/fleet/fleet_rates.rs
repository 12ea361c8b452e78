//! Request rates of endpoints that all nodes keep together: those of cold endpoints, and those that
//! endpoints state.

use std::time::Duration;

use super::FleetState;
use super::RateChange;
use super::RateReport;
use super::RateStatement;
use super::RateTurn;
use super::SharedRate;
use super::StatedRate;
use super::endpoint_state::EndpointState;
use crate::types::AttemptId;
use crate::types::MonotonicTime;

/// Maximum reports of request rates in one load snapshot.
const MAX_RATE_REPORTS: usize = 64;

/// Length of the windows in which the rate of a cold endpoint is kept.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of a cold endpoint's rate that the nodes use together.
///
/// The remainder is a margin for requests that arrive closer together than they were sent.
const USED_COLD_FRACTION: f64 = 0.8;

/// Limit, in requests per second, of an endpoint that states one which cannot be read.
const UNREADABLE_RATE: f64 = 1.0;

impl FleetState {
    /// Records what an answer states about the request rate that its endpoint accepts.
    ///
    /// `sent_at` is the time at which the request was sent. Returns the change of the known limit,
    /// if there is one. An answer without a limit ends a limit only if its request was sent after
    /// the limit was stated: answers on different connections may overtake each other.
    pub fn record_rate_statement(
        &mut self,
        endpoint: &str,
        statement: RateStatement,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<RateChange> {
        let state = self.endpoints.get_mut(endpoint)?;
        let known = state.stated_rate.as_ref();
        let known_limit = known.and_then(|rate| rate.per_second);
        let (per_second, stated_at) = match statement {
            RateStatement::PerSecond(rate) => (Some(rate), now),
            RateStatement::Unreadable => (Some(known_limit.unwrap_or(UNREADABLE_RATE)), now),
            RateStatement::Unlimited => {
                known.filter(|rate| sent_at > rate.stated_at)?;
                (None, sent_at)
            },
        };
        // Another statement of this node has another time, one of another node another seed.
        let id = self.jitter_seed ^ u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        let change = state.set_rate(id, per_second, stated_at, now)?;
        Some(RateChange { is_unreadable: statement == RateStatement::Unreadable, ..change })
    }

    /// Applies what other nodes report of request rates; returns the changes of known limits.
    pub fn apply_rate_reports(
        &mut self,
        reports: Vec<RateReport>,
        now: MonotonicTime,
    ) -> Vec<RateChange> {
        reports.into_iter().filter_map(|report| self.apply_rate_report(report, now)).collect()
    }

    fn apply_rate_report(&mut self, report: RateReport, now: MonotonicTime) -> Option<RateChange> {
        let state = self.endpoints.get_mut(&report.endpoint)?;
        if state.entry.incarnation != report.incarnation {
            return None;
        }
        let stated_at = now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)));
        let is_adopted = match &mut state.stated_rate {
            None => report.per_second.is_some(),
            Some(known) if known.id == report.id => false,
            Some(known) => {
                let is_replaced = known.is_replaced_by(report.per_second, stated_at);
                if !is_replaced && known.per_second.is_none() && report.per_second.is_some() {
                    known.renew_report(now);
                }
                is_replaced
            },
        };
        if !is_adopted {
            return None;
        }
        let change = state.set_rate(report.id, report.per_second, stated_at, now)?;
        Some(RateChange { is_own: false, ..change })
    }
}

impl FleetState {
    /// Returns when this node may send its next request to an endpoint.
    ///
    /// The rate is limited while the endpoint is cold, and while it states a limit.
    pub fn rate_turn(&self, state: &EndpointState, now: MonotonicTime) -> RateTurn {
        self.cold_turn(state, now).later(self.stated_turn(state, now))
    }

    fn cold_turn(&self, state: &EndpointState, now: MonotonicTime) -> RateTurn {
        let Some(rate) = self.cold_rate(state, now) else {
            return RateTurn::Unlimited;
        };
        let cold_until = state.entry.cold_until;
        let position = self.node_order.position(state.order_start);
        match rate.interval(position, 0).map(|interval| state.turn_after(interval)) {
            Some(RateTurn::At { next, interval }) => {
                RateTurn::At { next: next.min(cold_until), interval }
            },
            _ => RateTurn::At { next: cold_until, interval: rate.window() },
        }
    }

    fn stated_turn(&self, state: &EndpointState, now: MonotonicTime) -> RateTurn {
        let Some(stated) = &state.stated_rate else {
            return RateTurn::Unlimited;
        };
        let Some(rate) = stated.shared_rate() else {
            return RateTurn::Unlimited;
        };
        let position = self.node_order.position(state.order_start);
        match rate.interval(position, stated.extra_askers(&rate, now)) {
            Some(interval) => state.turn_after(interval),
            None => RateTurn::Never,
        }
    }

    /// Returns the rate that all nodes together keep at an endpoint, in requests per second, or
    /// `None` if it is not limited.
    pub fn rate_limit(&self, state: &EndpointState, now: MonotonicTime) -> Option<f64> {
        let cold = self.cold_rate(state, now);
        let stated = state.stated_rate.as_ref().and_then(StatedRate::shared_rate);
        cold.into_iter().chain(stated).map(|rate| rate.per_second()).reduce(f64::min)
    }

    fn cold_rate(&self, state: &EndpointState, now: MonotonicTime) -> Option<SharedRate> {
        if now >= state.entry.cold_until {
            return None;
        }
        let rate = self.services.get(&state.entry.service).map_or(0.0, |profile| profile.cold_rate);
        (rate > 0.0).then(|| SharedRate::new(rate * USED_COLD_FRACTION, COLD_WINDOW))
    }

    /// Returns the limit of an endpoint's request rate, in requests per second, if it states one.
    pub fn stated_limit(&self, endpoint: &str) -> Option<f64> {
        self.endpoints.get(endpoint)?.stated_rate.as_ref()?.per_second
    }

    /// Returns whether an attempt that was granted may still be sent: its endpoint still accepts
    /// work, and has not begun to limit its request rate since.
    pub fn is_still_permitted(&self, attempt: AttemptId, now: MonotonicTime) -> bool {
        let Some(work) = self.own_work.get(&attempt).and_then(|work_items| work_items.first())
        else {
            return false;
        };
        let Some(state) = self.endpoints.get(&work.endpoint) else {
            return false;
        };
        let is_unlimited = state
            .stated_rate
            .as_ref()
            .is_none_or(|rate| rate.per_second.is_none() || rate.limited_since <= work.since);
        self.may_send(state, now) && is_unlimited
    }

    /// Returns what this node knows of the endpoints' request rates, for its load snapshot.
    ///
    /// Beyond the maximum of one snapshot, the reports take turns by `sequence`.
    pub fn rate_reports(&self, sequence: u64, now: MonotonicTime) -> Vec<RateReport> {
        let reports: Vec<RateReport> =
            self.endpoints.values().filter_map(|state| state.rate_report(now)).collect();
        let turn = usize::try_from(sequence).unwrap_or(0).wrapping_mul(MAX_RATE_REPORTS);
        let first = turn % reports.len().max(1);
        let count = reports.len().min(MAX_RATE_REPORTS);
        reports.into_iter().cycle().skip(first).take(count).collect()
    }
}
