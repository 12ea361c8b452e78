//! Tests of the limits that all nodes keep together without communicating per request.

use std::time::Duration;

use apricotknot_core::fleet::ColdLimiter;
use apricotknot_core::fleet::CrashHistory;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::RetryLimiter;
use apricotknot_core::fleet::RetryPolicy;

const POLICY: RetryPolicy =
    RetryPolicy { ratio: 0.2, slack: 104.0, window: Duration::from_secs(10) };

/// Replays random requests and retries of several nodes, and checks every window over all nodes.
#[test]
fn retries_of_all_nodes_stay_within_the_budget() {
    arbtest::arbtest(|source| {
        let nodes = source.int_in_range(1..=8_usize)?;
        let mut limiters = vec![RetryLimiter::default(); nodes];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = Duration::from_secs(100);
        for _ in 0..source.int_in_range(0..=400)? {
            now += Duration::from_millis(source.int_in_range(0..=200)?);
            let node = source.choose_index(nodes)?;
            if source.ratio(1, 3)? {
                limiters[node].record_request(&POLICY, now);
                requests.push(now);
            } else if limiters[node].try_retry(&POLICY, nodes, now) {
                retries.push(now);
            }
        }
        for end in &retries {
            let inside = |times: &[Duration]| {
                let recent = times.iter().filter(|at| **at <= *end && **at + POLICY.window > *end);
                recent.count() as f64
            };
            let allowed = POLICY.ratio * inside(&requests) + POLICY.slack;
            assert!(inside(&retries) <= allowed, "{} retries, {allowed} allowed", inside(&retries));
        }
        Ok(())
    });
}

#[test]
fn single_node_may_retry_until_its_budget_is_spent() {
    let mut limiter = RetryLimiter::default();
    let now = Duration::from_secs(1);
    let taken = (0..1_000).filter(|_| limiter.try_retry(&POLICY, 1, now)).count();
    assert!((30..=104).contains(&taken), "{taken}");
    assert!(limiter.try_retry(&POLICY, 1, now + POLICY.window * 2));
}

#[test]
fn requests_to_a_cold_endpoint_stay_within_its_rate() {
    arbtest::arbtest(|source| {
        let nodes = source.int_in_range(1..=8_usize)?;
        let rate = f64::from(source.int_in_range(8..=40_u32)?);
        let mut limiters = vec![ColdLimiter::default(); nodes];
        let mut sent: Vec<Duration> = Vec::new();
        let mut now = Duration::from_secs(10);
        for _ in 0..source.int_in_range(0..=300)? {
            now += Duration::from_millis(source.int_in_range(0..=40)?);
            let limiter = &mut limiters[source.choose_index(nodes)?];
            if limiter.allows(rate, nodes, now) {
                limiter.record(now);
                sent.push(now);
            }
        }
        for end in &sent {
            let second =
                sent.iter().filter(|at| **at <= *end && **at + Duration::from_secs(1) > *end);
            assert!(second.count() as f64 <= rate, "more than {rate} requests in one second");
        }
        Ok(())
    });
}

fn crash_report(endpoint: &str) -> CrashReport {
    CrashReport { fingerprint: 7, endpoint: endpoint.into() }
}

#[test]
fn request_that_crashes_three_endpoints_is_quarantined() {
    let mut history = CrashHistory::default();
    let now = Duration::from_secs(5);
    for endpoint in ["a", "b", "b"] {
        history.apply_report(crash_report(endpoint), now);
    }
    assert!(!history.is_quarantined(7, now), "two crashed endpoints are below the limit");
    history.record(crash_report("c"), now);
    assert!(history.is_quarantined(7, now));
    assert!(!history.is_quarantined(8, now));
    assert_eq!(
        history.recent_reports(now).len(),
        1,
        "only crashes that this node detected are sent"
    );
    assert!(history.recent_reports(now + Duration::from_secs(60)).is_empty());
    assert!(!history.is_quarantined(7, now + Duration::from_secs(600)), "the crashes have expired");
}

#[test]
fn answered_request_is_no_longer_quarantined() {
    let mut history = CrashHistory::default();
    let now = Duration::from_secs(5);
    for endpoint in ["a", "b", "c"] {
        history.apply_report(crash_report(endpoint), now);
    }
    history.clear(7);
    assert!(!history.is_quarantined(7, now));
}
