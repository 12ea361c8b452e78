//! Tests of the limits that all nodes keep together without communicating per request.

use std::time::Duration;

use apricotknot_core::fleet::CrashHistory;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::NodeOrder;
use apricotknot_core::fleet::NodePosition;
use apricotknot_core::fleet::RetryLimiter;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::fleet::SharedRate;
use apricotknot_core::fleet::first_nodes;
use apricotknot_core::types::NodeId;

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

/// A node that sends to one endpoint as often as its share of the rate allows.
struct RateNode {
    interval: Option<Duration>,
    last_sent: Option<Duration>,
}

impl RateNode {
    fn try_send(&mut self, now: Duration) -> bool {
        let Some(interval) = self.interval else {
            return false;
        };
        let may_send = self.last_sent.is_none_or(|last_sent| last_sent + interval <= now);
        if may_send {
            self.last_sent = Some(now);
        }
        may_send
    }
}

fn node_names(nodes: usize) -> Vec<NodeId> {
    (0..nodes).map(|node| format!("node-{node}").into()).collect()
}

/// Returns the nodes with their shares of `rate` at an endpoint.
fn rate_nodes(rate: &SharedRate, names: &[NodeId], endpoint: u64) -> Vec<RateNode> {
    let position = |name: &NodeId| NodeOrder::new(name, names).position(endpoint);
    let intervals = names.iter().map(|name| rate.interval(position(name), 0));
    intervals.map(|interval| RateNode { interval, last_sent: None }).collect()
}

#[test]
fn intervals_of_a_share_never_fit_into_a_window_once_more_than_it_allows() {
    for permits in 1..200_u32 {
        let window = Duration::from_secs(4);
        let rate = SharedRate::new(f64::from(permits) / 4.0, window);
        let interval = rate.interval(NodePosition { index: 0, count: 1 }, 0).unwrap_or_default();
        assert!(interval * permits >= window, "{permits} in 4 s at intervals of {interval:?}");
    }
}

// Guards against a floor of one request for each node, whatever the rate is.
#[test]
fn requests_of_all_nodes_stay_within_a_shared_rate() {
    arbtest::arbtest(|source| {
        let names = node_names(source.int_in_range(1..=80_usize)?);
        let per_second = f64::from(source.int_in_range(1..=400_u32)?) / 10.0;
        let window = Duration::from_secs(source.int_in_range(1..=4_u64)?);
        let rate = SharedRate::new(per_second, window);
        let mut nodes = rate_nodes(&rate, &names, source.arbitrary()?);
        let mut sent: Vec<Duration> = Vec::new();
        let mut now = Duration::from_secs(10);
        for _ in 0..source.int_in_range(0..=600)? {
            now += Duration::from_millis(source.int_in_range(0..=40)?);
            if nodes[source.choose_index(names.len())?].try_send(now) {
                sent.push(now);
            }
        }
        let allowed = per_second * rate.window().as_secs_f64() + 1e-6;
        for end in &sent {
            let recent = sent.iter().filter(|at| **at <= *end && **at + rate.window() > *end);
            assert!(recent.count() as f64 <= allowed, "more than {allowed} in {:?}", rate.window());
        }
        Ok(())
    });
}

#[test]
fn nodes_that_always_have_requests_use_most_of_a_shared_rate() {
    for (nodes, per_second) in [(1, 2.1), (8, 1.0), (8, 2.1), (8, 26.0), (71, 1.0), (71, 26.0)] {
        let rate = SharedRate::new(per_second, Duration::from_secs(4));
        let mut nodes = rate_nodes(&rate, &node_names(nodes), 77);
        let mut sent = 0;
        for step in 0..4_000_u64 {
            let now = Duration::from_millis(step * 10);
            sent += nodes.iter_mut().filter_map(|node| node.try_send(now).then_some(())).count();
        }
        let allowed = per_second * 40.0;
        assert!(sent as f64 >= allowed * 0.8, "{sent} of {allowed}");
    }
}

#[test]
fn node_that_joins_moves_the_others_by_one_position_at_most() {
    arbtest::arbtest(|source| {
        let mut names = node_names(source.int_in_range(2..=80_usize)?);
        let joined = names.pop();
        let endpoint = source.arbitrary()?;
        for name in &names {
            let before = NodeOrder::new(name, &names).position(endpoint);
            let after = NodeOrder::new(name, names.iter().chain(&joined)).position(endpoint);
            assert_eq!(after.count, before.count + 1);
            assert!(after.index == before.index || after.index == before.index + 1);
        }
        let mut indices: Vec<usize> = names
            .iter()
            .map(|name| NodeOrder::new(name, &names).position(endpoint).index)
            .collect();
        indices.sort_unstable();
        assert!(indices.into_iter().eq(0..names.len()), "each position is taken once");
        for (index, name) in first_nodes(&names, endpoint, 3).iter().enumerate() {
            assert_eq!(NodeOrder::new(name, &names).position(endpoint).index, index);
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
