//! Fuzzes the ledger on several nodes that share one unreliable store, and tests single cases.
//!
//! Guards against a second execution under one idempotency key, and against a report that a call
//! did not run although it did; lost responses, late writes and crashes could cause both.

#![allow(clippy::expect_used, clippy::unwrap_used)]

#[path = "support/ledger_simulation.rs"]
mod ledger_simulation;
#[path = "support/seed_list.rs"]
mod seed_list;

use std::time::Duration;

use apricotknot_core::ledger::CallAnswer;
use apricotknot_core::ledger::CallKey;
use apricotknot_core::ledger::CallRecord;
use apricotknot_core::ledger::LedgerEvent;
use apricotknot_core::ledger::LedgerPolicy;
use apricotknot_core::ledger::ShardValue;
use apricotknot_core::ledger::content_digest;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;

use ledger_simulation::CALL_DEADLINE;
use ledger_simulation::CallStage;
use ledger_simulation::LedgerSimulation;
use ledger_simulation::NODES;
use ledger_simulation::StoreOutcome;

/// Number of keys; small, so that calls share keys and fill a small shard.
const KEYS: usize = 10;

fn small_policy() -> LedgerPolicy {
    LedgerPolicy {
        record_lifetime: Duration::from_secs(1_200),
        intent_limit: 700,
        body_limit: 900,
        max_pending: 8,
        ..LedgerPolicy::default()
    }
}

/// Returns keys of one shard, so that their calls share writes.
fn shared_keys() -> Vec<CallKey> {
    (0..10_000)
        .map(|number| CallKey::new("account", &"booking".into(), &number.to_string()))
        .filter(|key| key.shard() == 0)
        .take(KEYS)
        .collect()
}

fn step(
    simulation: &mut LedgerSimulation,
    keys: &[CallKey],
    input: &mut Unstructured<'_>,
) -> Result<()> {
    match input.int_in_range(0..=19)? {
        0..=3 => {
            let node = input.choose_index(NODES)?;
            // The first key is used most, so that several calls often share it.
            let key = if input.ratio(1, 2)? { keys[0] } else { *input.choose(keys)? };
            let content = u128::from(input.ratio(1, 8)?);
            simulation.begin(node, key, content);
        },
        4..=9 if !simulation.in_flight.is_empty() => {
            let index = input.choose_index(simulation.in_flight.len())?;
            let outcomes = [
                StoreOutcome::Answer,
                StoreOutcome::Answer,
                StoreOutcome::Answer,
                StoreOutcome::LoseAnswer,
                StoreOutcome::LoseRequest,
                StoreOutcome::ApplyLater,
                StoreOutcome::Down,
            ];
            simulation.step_store(index, *input.choose(&outcomes)?);
        },
        10 | 11 => {
            if let Some(id) = pick(simulation, CallStage::Permitted, input)? {
                simulation.send(id);
            }
        },
        12 | 13 => {
            if let Some(id) = pick(simulation, CallStage::Sending, input)? {
                simulation.deliver(id, input.ratio(2, 3)?, input.ratio(1, 3)?);
            }
        },
        14 => simulation.crash(input.choose_index(NODES)?),
        15 => simulation.apply_late_writes(),
        16 => {
            let node = input.choose_index(NODES)?;
            simulation.skews[node] = Duration::from_secs(input.int_in_range(0..=200)?);
        },
        17 if input.ratio(1, 10)? => {
            // No call stays in flight for longer than the lifetime of its record.
            for id in simulation.in_stage(CallStage::Sending) {
                simulation.deliver(id, input.ratio(1, 2)?, true);
            }
            simulation.now += Duration::from_secs(input.int_in_range(800..=2_000)?);
        },
        18 => simulation.now += Duration::from_millis(input.int_in_range(0..=6_000)?),
        _ => {
            simulation.now += Duration::from_millis(input.int_in_range(0..=60)?);
            let node = input.choose_index(NODES)?;
            simulation.feed(node, LedgerEvent::Tick);
        },
    }
    Ok(())
}

fn pick(
    simulation: &LedgerSimulation,
    stage: CallStage,
    input: &mut Unstructured<'_>,
) -> Result<Option<u128>> {
    let ids = simulation.in_stage(stage);
    if ids.is_empty() {
        return Ok(None);
    }
    Ok(Some(*input.choose(&ids)?))
}

#[test]
fn calls_run_at_most_once_and_not_run_reports_are_true() {
    let keys = shared_keys();
    seed_list::run_seeds(|input| {
        let mut simulation = LedgerSimulation::new(small_policy());
        while !input.is_empty() {
            step(&mut simulation, &keys, input)?;
            simulation.check();
        }
        // Once the store responds again, every pending call is decided, and new calls may run.
        simulation.now += CALL_DEADLINE;
        simulation.run_until_idle();
        assert!(simulation.in_stage(CallStage::Pending).is_empty(), "a call was never decided");
        simulation.now += Duration::from_secs(2_000);
        let id = simulation.begin(0, keys[0], 7);
        simulation.run_until_idle();
        assert_eq!(simulation.calls[&id].stage, CallStage::Permitted, "the ledger did not recover");
        Ok(())
    });
}

#[test]
fn many_intents_share_one_write() {
    let mut simulation = LedgerSimulation::new(LedgerPolicy::default());
    let keys: Vec<CallKey> = (0..3_000)
        .map(|number| CallKey::new("account", &"booking".into(), &number.to_string()))
        .collect();
    let ids: Vec<u128> = keys.iter().map(|key| simulation.begin(0, *key, 1)).collect();
    simulation.run_until_idle();
    for id in &ids {
        assert_eq!(simulation.calls[id].stage, CallStage::Permitted);
    }
    assert_eq!(simulation.swaps_applied, u64::from(CallKey::SHARDS));
}

#[test]
fn every_node_replays_a_recorded_answer() {
    let mut simulation = LedgerSimulation::new(LedgerPolicy::default());
    let key = shared_keys()[0];
    let id = simulation.begin(0, key, 1);
    simulation.run_until_idle();
    simulation.send(id);
    simulation.deliver(id, true, false);
    simulation.run_until_idle();
    for node in 0..NODES {
        let again = simulation.begin(node, key, 1);
        let other = simulation.begin(node, key, 2);
        simulation.run_until_idle();
        assert!(
            !simulation.calls[&again].reported_not_run,
            "the call was refused instead of replayed"
        );
        assert!(
            simulation.calls[&other].reported_not_run,
            "another request under the same key was not refused"
        );
    }
    simulation.check();
}

/// A permit must expire by the monotonic clock too, because a wall clock may be set back.
#[test]
fn expired_permit_blocks_sending_after_the_wall_clock_goes_back() {
    let mut simulation = LedgerSimulation::new(LedgerPolicy::default());
    simulation.skews[0] = Duration::from_secs(100);
    let id = simulation.begin(0, shared_keys()[0], 1);
    simulation.run_until_idle();
    let time = simulation.time(0);
    assert!(simulation.nodes[0].start_send(id, time));
    simulation.now += LedgerPolicy::default().send_window;
    simulation.skews[0] = Duration::ZERO;
    let time = simulation.time(0);
    assert!(!simulation.nodes[0].start_send(id, time));
}

/// An intent that is never withdrawn would block retries of a call that did not run.
#[test]
fn intent_of_a_refused_call_is_withdrawn_when_the_store_recovers() {
    let mut simulation = LedgerSimulation::new(LedgerPolicy::default());
    let key = shared_keys()[0];
    let refused = simulation.begin(0, key, 1);
    simulation.step_store(0, StoreOutcome::Answer);
    simulation.step_store(0, StoreOutcome::LoseAnswer);
    simulation.step_store(0, StoreOutcome::Down);
    assert!(simulation.calls[&refused].reported_not_run);
    let too_early = simulation.begin(1, key, 1);
    while !simulation.in_flight.is_empty() {
        simulation.step_store(0, StoreOutcome::Answer);
    }
    assert_eq!(simulation.calls[&too_early].stage, CallStage::Finished);
    simulation.run_until_idle();
    let again = simulation.begin(2, key, 1);
    simulation.run_until_idle();
    assert_eq!(simulation.calls[&again].stage, CallStage::Permitted);
}

#[test]
fn full_shard_refuses_intents_and_stays_within_its_limit() {
    let mut simulation = LedgerSimulation::new(small_policy());
    let keys = shared_keys();
    for key in &keys[..8] {
        simulation.begin(0, *key, 1);
    }
    simulation.run_until_idle();
    let permitted = simulation.in_stage(CallStage::Permitted);
    assert!((2..8).contains(&permitted.len()), "{} of 8 had room", permitted.len());
    for id in permitted {
        simulation.send(id);
        simulation.deliver(id, true, false);
    }
    simulation.run_until_idle();
    let late = simulation.begin(1, keys[9], 1);
    simulation.run_until_idle();
    assert!(simulation.calls[&late].reported_not_run);
}

#[test]
fn shard_round_trips_through_its_encoding() {
    let mut value = ShardValue::default();
    for (number, body) in
        [None, Some(&b"text \"quoted\""[..]), Some(&[0xff, 0, 1][..])].into_iter().enumerate()
    {
        let answer = CallAnswer { status: 201, content_type: None, body: body.map(Into::into) };
        let record = CallRecord {
            content: u128::MAX,
            attempt: number as u128,
            send_by: Duration::from_millis(5),
            expires: Duration::from_millis(7),
            answer: Some(answer),
        };
        value.insert(CallKey::new("a", &"s".into(), &number.to_string()), record);
    }
    let encoded = value.encode().unwrap();
    assert_eq!(ShardValue::decode(Some(&encoded)).unwrap(), value);
    assert!(ShardValue::decode(Some(b"{\"format\":9,\"records\":{}}")).is_err());
    assert_ne!(content_digest(&[b"ab", b"c"]), content_digest(&[b"a", b"bc"]));
}
