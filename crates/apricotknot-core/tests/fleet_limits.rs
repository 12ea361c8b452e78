//! Limits that nodes keep together without asking one another.

use std::time::Duration;

use apricotknot_core::fleet::ColdGate;
use apricotknot_core::fleet::CrashBook;
use apricotknot_core::fleet::CrashNote;
use apricotknot_core::fleet::RetryShare;
use apricotknot_core::fleet::RetryWindow;

const SHARE: RetryShare = RetryShare { ratio: 0.2, slack: 104.0, window: Duration::from_secs(10) };

/// Replays requests and repeats of several nodes, and checks each window of all of them.
#[test]
fn repeats_of_all_nodes_keep_to_the_budget() {
    arbtest::arbtest(|source| {
        let nodes = source.int_in_range(1..=8_usize)?;
        let mut windows = vec![RetryWindow::default(); nodes];
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut now = Duration::from_secs(100);
        for _ in 0..source.int_in_range(0..=400)? {
            now += Duration::from_millis(source.int_in_range(0..=200)?);
            let node = source.choose_index(nodes)?;
            if source.ratio(1, 3)? {
                windows[node].record_request(&SHARE, now);
                requests.push(now);
            } else if windows[node].take_repeat(&SHARE, nodes, now) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let inside = |moments: &[Duration]| {
                let recent = moments.iter().filter(|at| **at <= *end && **at + SHARE.window > *end);
                recent.count() as f64
            };
            let allowed = SHARE.ratio * inside(&requests) + SHARE.slack;
            assert!(inside(&repeats) <= allowed, "{} of {allowed}", inside(&repeats));
        }
        Ok(())
    });
}

#[test]
fn a_node_alone_may_repeat_and_is_stopped_in_time() {
    let mut window = RetryWindow::default();
    let now = Duration::from_secs(1);
    let taken = (0..1_000).filter(|_| window.take_repeat(&SHARE, 1, now)).count();
    assert!((30..=104).contains(&taken), "{taken}");
    assert!(window.take_repeat(&SHARE, 1, now + SHARE.window * 2));
}

#[test]
fn requests_to_a_cold_endpoint_keep_to_its_rate() {
    arbtest::arbtest(|source| {
        let nodes = source.int_in_range(1..=8_usize)?;
        let rate = f64::from(source.int_in_range(8..=40_u32)?);
        let mut gates = vec![ColdGate::default(); nodes];
        let mut sent: Vec<Duration> = Vec::new();
        let mut now = Duration::from_secs(10);
        for _ in 0..source.int_in_range(0..=300)? {
            now += Duration::from_millis(source.int_in_range(0..=40)?);
            let gate = &mut gates[source.choose_index(nodes)?];
            if gate.admits(rate, nodes, now) {
                gate.record(now);
                sent.push(now);
            }
        }
        for end in &sent {
            let second =
                sent.iter().filter(|at| **at <= *end && **at + Duration::from_secs(1) > *end);
            assert!(second.count() as f64 <= rate, "over {rate}");
        }
        Ok(())
    });
}

fn note(endpoint: &str) -> CrashNote {
    CrashNote { fingerprint: 7, endpoint: endpoint.into() }
}

#[test]
fn a_request_that_crashes_three_endpoints_is_condemned() {
    let mut book = CrashBook::default();
    let now = Duration::from_secs(5);
    for endpoint in ["a", "b", "b"] {
        book.learn(note(endpoint), now);
    }
    assert!(!book.is_condemned(7, now), "two endpoints are not three");
    book.record(note("c"), now);
    assert!(book.is_condemned(7, now));
    assert!(!book.is_condemned(8, now));
    assert_eq!(book.news(now).len(), 1, "only what this node saw is told");
    assert!(book.news(now + Duration::from_secs(60)).is_empty());
    assert!(!book.is_condemned(7, now + Duration::from_secs(600)), "it may be tried again");
}

#[test]
fn an_answer_clears_a_request() {
    let mut book = CrashBook::default();
    let now = Duration::from_secs(5);
    for endpoint in ["a", "b", "c"] {
        book.learn(note(endpoint), now);
    }
    book.clear(7);
    assert!(!book.is_condemned(7, now));
}
