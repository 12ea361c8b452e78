//! Fuzzes the holders of a duty against a key-value service that fails in all its ways.

use std::time::Duration;

use apricotknot_core::duty::DutyLimits;
use apricotknot_core::duty::fencing_number;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use rand::RngExt;

use duty_fleet::DutyFleet;
use duty_fleet::LEASE_TIME;
use duty_fleet::STEP;
use seed_list::run_seeds;

#[path = "support/duty_fleet.rs"]
mod duty_fleet;
#[path = "support/duty_store.rs"]
mod duty_store;
#[path = "support/seed_list.rs"]
mod seed_list;

/// Time in which a fleet without faults has an acting holder again.
const RECOVERY: Duration = Duration::from_secs(60);

/// Most calls of the key-value service, other than renewals, that one fault leads to.
const CALLS_PER_FAULT: usize = 40;

/// Applies one random fault.
fn disturb(fleet: &mut DutyFleet) {
    let time = Duration::from_millis(fleet.random.random_range(100..9_000));
    let any = fleet.random.random_range(0..fleet.nodes.len());
    let index = fleet.actor().filter(|_| fleet.random.random_bool(0.7)).unwrap_or(any);
    let until = fleet.now + time;
    let (is_odd, now) = (fleet.random.random_bool(0.5), fleet.now);
    match fleet.random.random_range(0..14) {
        0 => fleet.kill(index, time / 2),
        1 => fleet.nodes[index].frozen_until = until,
        2 => fleet.nodes[index].cut_from_store_until = until,
        3 => fleet.nodes[index].cut_from_platform_until = until * 2,
        4 => fleet.store.set_down(true, is_odd, now),
        5 => fleet.store.set_down(false, is_odd, now),
        6 => fleet.loss = if is_odd { 0.4 } else { 0.0 },
        7 => fleet.store.compact(),
        8 => fleet.store.take_copy(),
        9 => fleet.store.restore(is_odd, now),
        10 => {
            fleet.store.set_down(true, false, now);
            fleet.run(time / 15);
            fleet.store.set_down(false, is_odd, fleet.now);
        },
        11 => fleet.store.remove_record(),
        12 => (0..fleet.nodes.len()).for_each(|index| fleet.kill(index, time / 8)),
        _ => {
            let local = fleet.local_time(index);
            fleet.nodes[index].holder.withdraw(local);
            fleet.run(Duration::from_millis(300));
            fleet.kill(index, time / 4);
        },
    }
}

fn simulate(input: &mut Unstructured<'_>) -> Result<()> {
    let mut fleet = DutyFleet::new(input.int_in_range(1..=5)?, input.arbitrary()?);
    let mut faults = 1;
    for _ in 0..input.int_in_range(1..=40)? {
        let pause = fleet.random.random_range(0..5_000);
        fleet.run(Duration::from_millis(pause));
        disturb(&mut fleet);
        faults += 1;
    }
    fleet.calm();
    fleet.run(RECOVERY);
    let acted = fleet.carried_out.last().map(|(at, _)| *at).unwrap_or_default();
    assert!(acted + 2 * LEASE_TIME > fleet.now, "nobody acts since {acted:?}, at {:?}", fleet.now);
    let (calls, most) = (fleet.store.calls, CALLS_PER_FAULT * faults);
    assert!(calls <= most, "{calls} calls of the key-value service for {faults} faults");
    Ok(())
}

#[test]
fn holders_never_overlap_or_take_turns_and_some_node_holds_again() {
    run_seeds(simulate);
}

#[test]
fn a_fleet_of_any_size_replaces_a_killed_holder_with_few_calls() {
    for count in [3, 88, 810] {
        let mut fleet = DutyFleet::new(count, 7);
        fleet.run(Duration::from_secs(10));
        let holder = fleet.actor().expect("a holder");
        let before = fleet.store.calls;
        assert!(before <= 20, "{before} calls at the start of {count} nodes");
        fleet.kill(holder, Duration::from_hours(1));
        let killed_at = fleet.now;
        while fleet.actor().is_none() {
            fleet.step();
        }
        let (took, calls) = (fleet.now - killed_at, fleet.store.calls - before);
        assert!(took < 2 * LEASE_TIME, "{count} nodes: {took:?}");
        assert!(calls <= 20, "{count} nodes: {calls} calls");
    }
}

#[test]
fn a_planned_stop_hands_over_within_the_time_of_a_call() {
    let mut fleet = DutyFleet::new(5, 3);
    fleet.run(Duration::from_secs(10));
    let (holder, limits) = (fleet.actor().expect("a holder"), DutyLimits::new(LEASE_TIME));
    let (now, stopped_at) = (fleet.local_time(holder), fleet.now);
    fleet.nodes[holder].holder.withdraw(now);
    while fleet.actor().is_none() {
        fleet.step();
    }
    assert_ne!(fleet.actor(), Some(holder));
    let took = fleet.now - stopped_at;
    assert!(took >= limits.call_time && took < 2 * limits.call_time + 10 * STEP, "{took:?}");
}

#[test]
fn a_fencing_number_grows_over_a_service_that_came_back_from_a_copy() {
    assert!(fencing_number(2, 10) > fencing_number(1, 5_000_000));
    assert!(fencing_number(2, 11) > fencing_number(2, 10));
    assert_eq!(fencing_number(1, 1 << 40), None);
    assert_eq!(fencing_number(1 << 23, 1), None);
}
