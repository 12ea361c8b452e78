//! Tests of the task that reports usage: successors, lost answers, and a service that comes back from
//! a copy.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

#[path = "support/usage_fleet.rs"]
mod usage_fleet;

use std::time::Duration;

use apricotknot_gateway::duties::UsageRecord;
use arbtest::arbitrary::Unstructured;

use usage_fleet::CallFault;
use usage_fleet::FIRST;
use usage_fleet::LENGTH;
use usage_fleet::ReportingFleet;

const SECOND: Duration = Duration::from_secs(1);

/// A fleet of which node 0 holds the duty, and in which two requests began.
fn fleet_with_requests() -> ReportingFleet {
    let mut fleet = ReportingFleet::new(3);
    fleet.appoint(0);
    fleet.run(SECOND);
    fleet.count(1, "account");
    fleet.count(2, "account");
    fleet
}

/// Returns whether the API has accepted exactly one report on the first window, with two requests.
fn is_reported_once(fleet: &ReportingFleet) -> bool {
    fleet.accepted(FIRST) == [vec![("account".into(), 2)]]
}

#[test]
fn each_window_is_reported_once_with_the_requests_of_all_nodes() {
    let mut fleet = fleet_with_requests();
    fleet.run(6 * SECOND);
    assert!(is_reported_once(&fleet));
    fleet.run(30 * SECOND);
    for window in FIRST + 1..FIRST + 7 {
        assert_eq!(fleet.accepted(window), [vec![]], "an idle window has an empty report");
    }
    assert_eq!(fleet.api.calls.get(), 7);
    assert_eq!(fleet.store.writes.get(), 7);
}

// Guards against a successor that reports other counts than the holder that died before its call.
#[test]
fn successor_sends_what_the_holder_has_written_before_it_died() {
    let mut fleet = fleet_with_requests();
    fleet.api.fault.set(CallFault::Lost);
    while fleet.store.records().is_empty() {
        fleet.run(Duration::from_millis(100));
    }
    fleet.restart(0);
    fleet.count(1, "late");
    fleet.appoint(2);
    fleet.run(3 * SECOND);
    assert!(is_reported_once(&fleet));
}

#[test]
fn report_without_an_answer_is_repeated_as_it_is() {
    for fault in [CallFault::AnswerLost, CallFault::Late, CallFault::Lost] {
        let mut fleet = fleet_with_requests();
        fleet.api.fault.set(fault);
        fleet.run(7 * SECOND);
        fleet.api.flush();
        assert!(is_reported_once(&fleet), "{fault:?}");
        assert_eq!(fleet.api.calls.get(), 2, "{fault:?}");
    }
}

// Guards against a write that is carried out after the node has made another report.
#[test]
fn write_without_an_answer_decides_at_most_one_report() {
    for fault in [CallFault::AnswerLost, CallFault::Late, CallFault::Lost] {
        let mut fleet = fleet_with_requests();
        fleet.store.fault.set(fault);
        while fleet.store.fault.get() != CallFault::None {
            fleet.run(Duration::from_millis(100));
        }
        fleet.store.flush();
        fleet.run(3 * SECOND);
        assert!(is_reported_once(&fleet), "{fault:?}");
        assert_eq!(fleet.store.records().len(), 1, "{fault:?}");
    }
}

#[test]
fn holder_that_is_refused_ends_its_term() {
    let mut fleet = fleet_with_requests();
    fleet.appoint(1);
    fleet.run(12 * SECOND);
    assert!(is_reported_once(&fleet));
    assert!(fleet.nodes[0].permit.term(fleet.now.get()).is_none(), "the older holder");
    assert!(fleet.nodes[1].permit.term(fleet.now.get()).is_some());
}

#[test]
fn too_many_calls_are_repeated_and_other_refusals_are_not() {
    for (status, calls) in [(429, 2), (500, 2), (400, 1)] {
        let mut fleet = fleet_with_requests();
        fleet.api.status.set(Some(status));
        fleet.run(7 * SECOND);
        assert_eq!(fleet.api.calls.get(), calls, "status {status}");
        assert_eq!(is_reported_once(&fleet), status != 400, "status {status}");
    }
}

// Guards against a second report by a node that started after the first one was lost with its record.
#[test]
fn node_that_starts_after_a_restore_does_not_report_what_may_have_been_reported() {
    let mut fleet = fleet_with_requests();
    fleet.store.copy();
    fleet.run(6 * SECOND);
    assert!(is_reported_once(&fleet));
    fleet.store.restore();
    (0..3).for_each(|index| fleet.restart(index));
    fleet.appoint(1);
    fleet.run(8 * SECOND);
    assert!(is_reported_once(&fleet));
    assert_eq!(fleet.accepted(FIRST + 1).len(), 1, "windows that end later are reported");
}

// Guards against the same by a node that has read the first one, and remembers it.
#[test]
fn successor_remembers_a_report_that_the_service_has_lost() {
    let mut fleet = fleet_with_requests();
    fleet.store.copy();
    fleet.api.fault.set(CallFault::Lost);
    while fleet.store.records().is_empty() {
        fleet.run(Duration::from_millis(100));
    }
    fleet.watch(1);
    fleet.store.restore();
    fleet.count(2, "late");
    fleet.appoint(1);
    fleet.run(3 * SECOND);
    assert!(is_reported_once(&fleet));
}

// Guards against a write for an era that has ended: a report that was sent may be lost.
#[test]
fn write_that_lands_in_a_later_era_is_not_sent() {
    let mut fleet = fleet_with_requests();
    fleet.run(7 * SECOND);
    assert!(is_reported_once(&fleet));
    fleet.store.copy();
    fleet.store.restore();
    // Node 0 has not noticed, and closes the next window under a lease of the era before.
    while fleet.store.records().len() < 2 {
        fleet.advance(Duration::from_millis(100));
        (0..3).for_each(|index| fleet.exchange(index, |_| true));
        fleet.step(0);
    }
    fleet.run(10 * SECOND);
    assert!(fleet.accepted(FIRST + 1).is_empty());
    assert_eq!(fleet.accepted(FIRST + 2).len(), 1, "windows that end later are reported");
}

#[test]
fn records_are_read_with_fields_of_a_later_version() {
    let text = br#"{"era":2,"window":7,"counts":{"a":1},"field of a later version":[1]}"#;
    let record: UsageRecord = serde_json::from_slice(text).expect("a record");
    assert_eq!((record.era, record.report.window, record.report.request_count()), (2, 7, 1));
    let written = serde_json::to_vec(&record).expect("its bytes");
    assert_eq!(written, br#"{"era":2,"window":7,"counts":{"a":1}}"#);
}

/// Brings one random event about.
fn disturb(
    fleet: &mut ReportingFleet,
    source: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let node = source.choose_index(fleet.nodes.len())?;
    let faults = [CallFault::AnswerLost, CallFault::Late, CallFault::Lost];
    match source.int_in_range(0..=11_u8)? {
        0 => fleet.appoint(node),
        1 => fleet.nodes[node].permit.set_term(None),
        2 => fleet.restart(node),
        3 => fleet.store.copy(),
        4 => fleet.store.restore(),
        5 => fleet.store.flush(),
        6 => fleet.api.flush(),
        7 => fleet.store.fault.set(*source.choose(&faults)?),
        8 => fleet.api.fault.set(*source.choose(&faults)?),
        9 => fleet.count(node, "other"),
        10 if source.ratio(1, 8)? => fleet.advance(4 * LENGTH),
        11 if source.ratio(1, 8)? => {
            // Records expire long after their reports are overdue.
            fleet.advance(20 * LENGTH);
            fleet.store.expire();
        },
        _ => {},
    }
    Ok(())
}

// Guards against two different reports for one window, whatever fails in whatever order, also while
// several nodes believe that they hold the duty.
#[test]
fn no_two_different_reports_are_accepted_for_any_order_of_failures() {
    arbtest::arbtest(|source| {
        let mut fleet = ReportingFleet::new(source.int_in_range(1..=4)?);
        for _ in 0..120 {
            fleet.advance(Duration::from_millis(source.int_in_range(0..=1_500)?));
            disturb(&mut fleet, source)?;
            for index in 0..fleet.nodes.len() {
                if source.arbitrary()? {
                    fleet.count(index, "account");
                }
                let receivers: u8 = source.arbitrary()?;
                fleet.exchange(index, |other| receivers >> other & 1 == 1);
                if source.ratio(3, 4)? {
                    fleet.watch(index);
                }
                if source.ratio(3, 4)? {
                    fleet.step(index);
                }
            }
        }
        for (window, reports) in &*fleet.api.accepted.borrow() {
            assert_eq!(reports.len(), 1, "reports on window {window}: {reports:?}");
        }
        Ok(())
    })
    .budget_ms(3_000);
}
