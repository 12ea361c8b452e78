//! What the clients of one interface may occupy, and how they learn that they have to give way.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use apricotknot_core::intake::IntakeLimits;
use apricotknot_core::intake::IntakeRefusal;
use apricotknot_gateway::intake::ConnectionShares;
use apricotknot_gateway::intake::IntakeControl;
use apricotknot_gateway::intake::IntakeMetrics;
use slog::Discard;
use slog::Logger;
use slog::o;

const LIMITS: (usize, usize) = (100_000, 2);

/// Descriptors that calls of the key-value service and of the API for duties need at a time.
const STORE_DESCRIPTORS: usize = 8;

fn control(stall_time: Duration, metrics: &IntakeMetrics) -> std::sync::Arc<IntakeControl> {
    let limits = IntakeLimits::new(LIMITS.0, LIMITS.1).stall_time(stall_time);
    IntakeControl::new("test", limits, metrics.clone(), Logger::root(Discard, o!()))
}

#[actix_rt::test]
async fn stalled_connection_is_told_to_give_way() {
    let metrics = IntakeMetrics::default();
    let control = control(Duration::ZERO, &metrics);
    let stalled = control.open();
    stalled.grow(60_000).expect("memory");
    let next = control.open();
    next.grow(60_000).expect("memory of the one that gives way");
    stalled.gave_way().await;
    assert!(!stalled.serve(), "what gave way does not run");
    assert!(next.serve());
    assert_eq!((metrics.gave_way.get(), metrics.refused.get()), (1, 0));
}

#[actix_rt::test]
async fn dropped_connection_leaves_its_memory_and_its_room() {
    let metrics = IntakeMetrics::default();
    let control = control(Duration::from_secs(60), &metrics);
    let (first, second) = (control.open(), control.open());
    first.grow(60_000).expect("memory");
    assert!(matches!(second.grow(60_000), Err(IntakeRefusal::Spent { .. })));
    assert!(!control.make_room());
    drop(first);
    control.room().await;
    second.grow(60_000).expect("memory that was given back");
    assert_eq!((metrics.gave_way.get(), metrics.refused.get()), (0, 1));
}

#[test]
fn interfaces_leave_descriptors_for_endpoints_and_the_store() {
    for descriptors in [256, 1_024, 4_100, 20_000] {
        let shares = ConnectionShares::of(descriptors, usize::MAX);
        // Each call and each relayed connection needs another one to an endpoint.
        let used = 2 * shares.callers + shares.operations + 2 * shares.peers;
        assert!(used + STORE_DESCRIPTORS < descriptors, "{descriptors}: {shares:?}");
        assert!(2 * shares.callers >= descriptors / 2, "{descriptors}: {shares:?}");
    }
    let shares = ConnectionShares::of(4_100, 160_000_000);
    assert_eq!(shares.callers, 1_085, "connections of callers fit into a third of the memory");
}
