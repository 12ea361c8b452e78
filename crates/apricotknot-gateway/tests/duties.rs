//! Tests of the records and the permits of duties.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::time::Duration;

use apricotknot_core::duty::DutyKind;
use apricotknot_core::duty::DutyRecord;
use apricotknot_core::duty::DutyTerm;
use apricotknot_gateway::duties::DutyChange;
use apricotknot_gateway::duties::DutyPermit;
use apricotknot_gateway::store::StoreEntry;

/// Record as the first build with duties writes it.
const RECORD: &str = r#"{"holder":"node-1","incarnation":7,"era":2,"lease":9,"is_released":false}"#;

fn change(key: &str, value: &str) -> Option<DutyChange> {
    let entry = StoreEntry { key: key.into(), value: value.into(), mod_revision: 40 };
    DutyChange::of_entry(&entry)
}

#[test]
fn records_of_duties_keep_their_bytes() {
    let change = change("apricotknot/duties/usage_report", RECORD).expect("a duty");
    assert_eq!(change.kind, DutyKind::UsageReport);
    let entry = change.entry.expect("an entry");
    let record = DutyRecord {
        holder: "node-1".into(),
        incarnation: 7,
        era: 2,
        lease: 9,
        is_released: false,
    };
    assert_eq!(entry.record.as_ref(), Some(&record));
    assert_eq!(serde_json::to_string(&record).expect("a record"), RECORD);
}

#[test]
fn records_of_later_builds_and_unreadable_ones_still_name_a_duty() {
    let later = RECORD.replace('}', r#","reason":"later"}"#);
    let later = change("apricotknot/duties/autoscale", &later).expect("a duty");
    assert!(later.entry.expect("an entry").record.is_some());
    let odd = change("apricotknot/duties/autoscale", "{").expect("a duty");
    assert_eq!(odd.entry.expect("an entry").record, None);
    assert_eq!(change("apricotknot/duties/other", RECORD), None);
    assert_eq!(change("apricotknot/nodes/node-1", RECORD), None);
}

// Guards against a call after a suspension, and a second one under a refused number.
#[test]
fn a_permit_ends_with_its_time_and_with_a_refusal() {
    let permit = DutyPermit::new("node-1".into());
    let seconds = Duration::from_secs;
    permit.set_term(Some(DutyTerm { fence: 12, since: seconds(5), until: seconds(8) }));
    let task = permit.clone();
    assert_eq!(task.call(seconds(4)), None);
    assert_eq!(task.call(seconds(5)).map(|call| call.fence), Some(12));
    assert_eq!(task.call(seconds(8)), None);
    permit.end_term(11);
    assert!(task.call(seconds(6)).is_some(), "an older number ends nothing");
    permit.end_term(12);
    assert_eq!(task.call(seconds(6)), None);
}
