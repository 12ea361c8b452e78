//! Tests of the quarantine, with random resends of requests that crash their endpoints.

#![allow(clippy::expect_used, clippy::unwrap_used)]

#[path = "support/seed_list.rs"]
mod seed_list;

use std::collections::BTreeSet;
use std::time::Duration;

use apricotknot_core::quarantine::AttemptDecision;
use apricotknot_core::quarantine::FingerprintLimiter;
use apricotknot_core::quarantine::QuarantineStatus;
use apricotknot_core::quarantine::SuspectTable;
use apricotknot_core::quarantine::crash_digest;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;

const ENDPOINTS: usize = 6;
/// Largest poison fingerprint: requests with a fingerprint up to this one crash their endpoint.
const POISON: u64 = 2;
const NOW: Duration = Duration::from_secs(1_000);

/// An attempt in flight at an endpoint.
#[derive(Clone, Debug)]
struct InFlightAttempt {
    attempt: u128,
    fingerprint: u64,
    endpoint: usize,
    is_exclusive: bool,
}

/// Simulates the endpoints of one pool owner, and records which requests each crash interrupts.
#[derive(Default)]
struct CrashSimulation {
    suspects: SuspectTable,
    limiter: FingerprintLimiter,
    in_flight: Vec<InFlightAttempt>,
    boots: [u32; ENDPOINTS],
    crashes: [usize; POISON as usize + 1],
    /// Other requests that were in flight at an endpoint that crashed.
    interrupted: BTreeSet<u64>,
    /// Other requests that were answered.
    answered: BTreeSet<u64>,
    next_attempt: u128,
}

impl CrashSimulation {
    fn submit(&mut self, fingerprint: u64, input: &mut Unstructured<'_>) -> Result<()> {
        let is_exclusive = match self.limiter.decide(fingerprint, &self.suspects, NOW) {
            AttemptDecision::Refuse => {
                assert!(
                    fingerprint <= POISON,
                    "a request that crashes no endpoint was quarantined"
                );
                return Ok(());
            },
            AttemptDecision::Wait => return Ok(()),
            AttemptDecision::Unrestricted => false,
            AttemptDecision::Exclusive => true,
        };
        let free: Vec<usize> = (0..ENDPOINTS)
            .filter(|endpoint| {
                let mut beside = self.in_flight.iter().filter(|other| other.endpoint == *endpoint);
                match is_exclusive {
                    true => beside.next().is_none(),
                    false => beside.all(|other| !other.is_exclusive),
                }
            })
            .collect();
        if free.is_empty() {
            return Ok(());
        }
        let endpoint = *input.choose(&free)?;
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.limiter.record_start(fingerprint, attempt);
        self.in_flight.push(InFlightAttempt { attempt, fingerprint, endpoint, is_exclusive });
        Ok(())
    }

    fn end(&mut self, index: usize) {
        let attempt = self.in_flight[index].clone();
        if attempt.fingerprint > POISON {
            self.in_flight.remove(index);
            self.answered.insert(attempt.fingerprint);
            let suspects = &mut self.suspects;
            self.limiter.record_answer(attempt.fingerprint, attempt.attempt, suspects, NOW);
            return;
        }
        self.crashes[attempt.fingerprint as usize] += 1;
        let endpoint = attempt.endpoint;
        let name = format!("endpoint-{endpoint}").into();
        let crash = crash_digest(&name, &self.boots[endpoint].to_string());
        self.boots[endpoint] += 1;
        let (crashed, others) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|other| other.endpoint == endpoint);
        self.in_flight = others;
        for other in crashed.iter().filter(|other| other.fingerprint > POISON) {
            let first = self.interrupted.insert(other.fingerprint);
            assert!(
                first || self.answered.contains(&other.fingerprint),
                "two crashes interrupted a request that was not answered in between"
            );
        }
        for other in crashed {
            let suspects = &mut self.suspects;
            self.limiter.record_crash(other.fingerprint, other.attempt, crash, suspects, NOW);
        }
    }
}

#[test]
fn poison_requests_crash_at_most_two_endpoints_and_others_are_not_quarantined() {
    seed_list::run_seeds(|input| {
        let mut simulation = CrashSimulation::default();
        let mut poison_count = 0;
        while !input.is_empty() {
            if input.ratio(1, 2)? {
                let fingerprint = input.int_in_range(1..=8)?;
                poison_count += usize::from(fingerprint <= POISON);
                simulation.submit(fingerprint, input)?;
            } else if !simulation.in_flight.is_empty() {
                let index = input.choose_index(simulation.in_flight.len())?;
                simulation.end(index);
            }
            let most = simulation.crashes.iter().max().unwrap();
            assert!(*most <= 2, "one request crashed {most} endpoints");
        }
        assert!(poison_count >= 50, "the poison requests were sent only {poison_count} times");
        Ok(())
    });
}

#[test]
fn suspect_tables_agree_in_any_order_of_merging() {
    seed_list::run_seeds(|input| {
        let mut tables = [SuspectTable::new(), SuspectTable::new(), SuspectTable::new()];
        for _ in 0..200 {
            let node = input.choose_index(tables.len())?;
            let fingerprint = input.int_in_range(1..=5)?;
            match input.int_in_range(0..=4)? {
                0 => tables[node].release(fingerprint, NOW),
                1 | 2 => {
                    let crash = u64::from(input.int_in_range(0..=9_u8)?);
                    tables[node].record_crash(fingerprint, crash, NOW);
                },
                _ => {
                    let other = input.choose_index(tables.len())?;
                    let updates = tables[node].take_updates(3);
                    tables[other].merge(updates, NOW);
                },
            }
        }
        let all: Vec<_> = tables.iter().flat_map(|table| table.records().cloned()).collect();
        tables[0].merge(all.iter().cloned(), NOW);
        tables[1].merge(all.iter().rev().cloned(), NOW);
        for fingerprint in 1..=5 {
            assert_eq!(tables[0].status(fingerprint, NOW), tables[1].status(fingerprint, NOW));
        }
        Ok(())
    });
}

#[test]
fn memory_is_bounded_and_records_expire() {
    let mut suspects = SuspectTable::new();
    for crash in 0..2 {
        suspects.record_crash(u64::MAX, crash, NOW);
    }
    for fingerprint in 0..10_000 {
        suspects.record_crash(fingerprint, 7, NOW);
    }
    assert!((3_800..=4_096).contains(&suspects.len()));
    assert_eq!(suspects.status(u64::MAX, NOW), QuarantineStatus::Quarantined);
    suspects.remove_expired(NOW + Duration::from_secs(24 * 60 * 60 + 1));
    assert!(suspects.is_empty());
    assert!(suspects.take_updates(1).is_empty());
}

#[test]
fn operator_releases_a_quarantined_request_on_every_node() {
    let mut tables = [SuspectTable::new(), SuspectTable::new()];
    for crash in 0..2 {
        tables[0].record_crash(POISON, crash, NOW);
    }
    let updates = tables[0].take_updates(10);
    tables[1].merge(updates, NOW);
    assert_eq!(tables[1].status(POISON, NOW), QuarantineStatus::Quarantined);
    tables[1].release(POISON, NOW);
    let updates = tables[1].take_updates(10);
    tables[0].merge(updates, NOW);
    assert_eq!(tables[0].status(POISON, NOW), QuarantineStatus::Clear);
    assert_eq!(tables[0].record_crash(POISON, 0, NOW), QuarantineStatus::Suspect);
}

#[test]
fn answered_request_is_cleared_and_not_blamed_again() {
    let (mut suspects, mut limiter) = (SuspectTable::new(), FingerprintLimiter::new());
    limiter.record_start(5, 1);
    assert_eq!(limiter.record_crash(5, 1, 100, &mut suspects, NOW), QuarantineStatus::Suspect);
    assert_eq!(limiter.decide(5, &suspects, NOW), AttemptDecision::Exclusive);
    limiter.record_start(5, 2);
    assert_eq!(limiter.decide(5, &suspects, NOW), AttemptDecision::Wait);
    limiter.record_answer(5, 2, &mut suspects, NOW);
    assert_eq!(limiter.decide(5, &suspects, NOW), AttemptDecision::Unrestricted);
    for attempt in 3..6 {
        limiter.record_start(5, attempt);
        let crash = attempt as u64;
        assert_eq!(
            limiter.record_crash(5, attempt, crash, &mut suspects, NOW),
            QuarantineStatus::Clear
        );
    }
}
