//! Tests of the request rates that endpoints state and that all nodes keep together.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

mod support;

use std::time::Duration;

use apricotknot_core::fleet::RateStatement;

use support::rate_fleet::RateFleet;

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Most requests that an endpoint with a limit of `rate` a second may get in one window.
fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * 1.5 + 5.0
}

/// Asserts that endpoint 0 gets no more requests than a limit of `rate` allows, after it is known.
fn assert_within(fleet: &RateFleet, rate: f64, case: &str) {
    let peak = fleet.peak(0, WINDOW, fleet.settled_at(0));
    assert!(peak as f64 <= allowed(rate), "{case}: {peak} in 4 s, {} allowed", allowed(rate));
}

#[test]
fn nodes_together_keep_the_rate_that_an_endpoint_states() {
    for (nodes, rate) in [(1, 2.1), (8, 0.1), (8, 1.0), (8, 2.1), (8, 9.0), (71, 1.0), (71, 40.0)] {
        let mut fleet = RateFleet::new(nodes, 4, nodes as f64 * 8.0);
        fleet.state_limit(0, RateStatement::PerSecond(rate));
        fleet.run(Duration::from_secs(16));
        assert_within(&fleet, rate, &format!("{nodes} nodes, {rate} a second"));
        assert!(fleet.refusals.is_empty(), "the other endpoints serve what the limit leaves");
    }
}
