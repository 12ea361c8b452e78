//! Tests of usage accounting: counts of nodes, their merge, the closing of windows and the reports.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::types::AccountId;
use apricotknot_core::types::NodeId;
use apricotknot_core::usage::ClosingReason;
use apricotknot_core::usage::ConflictingReport;
use apricotknot_core::usage::CountSnapshot;
use apricotknot_core::usage::UsageAccounting;
use apricotknot_core::usage::UsageReport;
use apricotknot_core::usage::UsageWindows;
use arbtest::arbitrary::Unstructured;

const LENGTH: Duration = Duration::from_secs(5);
const DUE: Duration = Duration::from_secs(10);
/// Start of a window, which is also the start of the monotonic clock.
const START: Duration = Duration::from_secs(1_767_225_600);
/// Number of the window that begins at [`START`].
const FIRST: u64 = 353_445_120;
const STEP: Duration = Duration::from_millis(50);

fn name(index: usize) -> NodeId {
    format!("node-{index}").into()
}

fn account(index: u64) -> AccountId {
    format!("account-{index}").into()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn accounting(index: usize, incarnation: u64, count: usize) -> UsageAccounting {
    let windows = UsageWindows::new(LENGTH);
    let mut node =
        UsageAccounting::new(name(index), incarnation, windows, DUE, START, Duration::ZERO);
    node.set_nodes((0..count).map(name).collect());
    node
}

/// A node with number 0 that follows the key-value service, among `count` nodes.
fn holder(count: usize) -> UsageAccounting {
    let mut holder = accounting(0, 1, count);
    holder.observe_era(1, Duration::ZERO);
    holder
}

fn counts(report: &UsageReport) -> Vec<u64> {
    report.counts.values().copied().collect()
}

/// Takes the counts of a node that counted `began`, with the account and the time of each request.
fn counted(node: &mut UsageAccounting, began: &[(u64, Duration)], now: Duration) -> CountSnapshot {
    for (index, began) in began {
        node.record_began(&account(*index), *began);
    }
    node.take_counts(now).pop().expect("one part")
}

#[test]
fn request_counts_in_the_window_in_which_it_began() {
    let mut node = holder(1);
    let began = [(1, ms(0)), (1, ms(4_999)), (2, ms(5_000)), (2, ms(9_999)), (1, ms(10_000))];
    counted(&mut node, &began, ms(10_700));
    let closed = node.closed_window(ms(10_700)).expect("a closed window");
    assert_eq!(closed.report.window, FIRST);
    assert_eq!(closed.report.counts, BTreeMap::from([(account(1), 2)]));
    node.record_report(closed.report, 1).expect("the only report");
    let closed = node.closed_window(ms(10_700)).expect("the next window");
    assert_eq!(closed.report.counts, BTreeMap::from([(account(2), 2)]));
}

// Guards against reports that lack what nodes tell late, and against waiting for nodes that died.
#[test]
fn window_closes_when_all_nodes_have_spoken_or_after_a_while() {
    let mut node = holder(2);
    let mut peer = accounting(1, 1, 2);
    counted(&mut node, &[(1, ms(100))], ms(6_000));
    assert_eq!(node.closed_window(ms(6_000)), None, "the peer has not spoken");
    let early = counted(&mut peer, &[(1, ms(200))], ms(5_100));
    node.merge(&early, ms(5_100));
    assert_eq!(node.closed_window(ms(8_900)), None, "some calls may not be known yet");
    let overdue = node.closed_window(ms(9_000)).expect("a closed window");
    assert_eq!((overdue.reason, overdue.heard, overdue.expected), (ClosingReason::Overdue, 1, 2));
    node.merge(&counted(&mut peer, &[], ms(5_700)), ms(5_800));
    let complete = node.closed_window(ms(5_800)).expect("a closed window");
    assert_eq!((complete.reason, counts(&complete.report)), (ClosingReason::Complete, vec![2]));
    assert_eq!(complete.age, ms(800));
}

// Guards against counts that are lost or counted twice as a node restarts under the same name.
#[test]
fn counts_of_all_incarnations_of_a_node_add_up() {
    let mut node = holder(2);
    let before = counted(&mut accounting(1, 7, 2), &[(1, ms(10)), (1, ms(20))], ms(30));
    let after = counted(&mut accounting(1, 8, 2), &[(1, ms(3_000))], ms(5_700));
    for snapshot in [&after, &before, &after, &before] {
        node.merge(snapshot, ms(5_800));
    }
    counted(&mut node, &[], ms(5_800));
    assert_eq!(counts(&node.closed_window(ms(5_800)).expect("a closed window").report), [3]);
}

#[test]
fn requests_that_become_known_after_the_report_are_counted_as_late() {
    let mut node = holder(2);
    let mut peer = accounting(1, 1, 2);
    node.merge(&counted(&mut peer, &[(1, ms(100))], ms(200)), ms(200));
    let closed = node.closed_window(ms(9_000)).expect("a closed window");
    node.record_report(closed.report, 1).expect("the only report");
    let late = counted(&mut peer, &[(1, ms(300)), (2, ms(6_000))], ms(9_100));
    node.merge(&late, ms(9_100));
    node.merge(&late, ms(9_200));
    assert_eq!(node.late_count(), 1);
}

// Guards against a node with a wrong clock or a broken one that fills the memory of others.
#[test]
fn counts_that_a_new_recipient_gets_of_reported_windows_are_not_late() {
    let mut former = holder(2);
    let mut peer = accounting(1, 1, 2);
    let counts = counted(&mut peer, &[(1, ms(100))], ms(200));
    former.merge(&counts, ms(200));
    let report = former.closed_window(ms(9_000)).expect("a closed window").report;
    let mut recipient = holder(2);
    recipient.record_report(report, 1).expect("the only report");
    recipient.merge(&counts, ms(9_100));
    assert_eq!(recipient.late_count(), 0);
}

#[test]
fn counts_of_far_windows_are_ignored() {
    let mut node = holder(1);
    let snapshot =
        CountSnapshot { node: name(1), incarnation: 1, first_open: u64::MAX, windows: Vec::new() };
    node.merge(&snapshot, ms(100));
    node.set_nodes([name(0), name(1)].to_vec());
    counted(&mut node, &[], ms(10_700));
    let closed = node.closed_window(ms(10_700)).expect("a closed window");
    assert_eq!(closed.report.window, FIRST);
    node.record_report(closed.report, 1).expect("the only report");
    assert_eq!(node.closed_window(ms(10_700)), None, "no clock is a whole window ahead");
}

#[test]
fn many_counts_are_sent_in_parts_of_a_datagram_each() {
    let mut peer = accounting(1, 1, 2);
    let mut node = holder(2);
    for index in 0..1_000 {
        peer.record_began(&account(index), ms(index));
    }
    let parts = peer.take_counts(ms(5_700));
    assert_eq!(parts.len(), 3);
    counted(&mut node, &[], ms(5_700));
    for part in &parts {
        assert_eq!(node.closed_window(ms(5_800)), None, "a part is missing");
        node.merge(part, ms(5_800));
    }
    let closed = node.closed_window(ms(5_800)).expect("a closed window");
    assert_eq!(closed.report.request_count(), 1_000);
}

// Guards against a second report after the service came back from a copy without the first one.
#[test]
fn window_that_ended_before_the_service_was_followed_gets_no_report() {
    let mut node = accounting(0, 1, 1);
    assert_eq!(node.closed_window(ms(9_000)), None, "the service was not read yet");
    node.observe_era(1, ms(4_000));
    let closed = node.closed_window(ms(9_000)).expect("the window that was followed");
    assert_eq!(closed.report.window, FIRST);
    node.observe_era(2, ms(9_000));
    assert_eq!(node.closed_window(ms(9_000)), None);
    let next = node.closed_window(ms(14_000)).expect("a window that ended in this era");
    assert_eq!(next.report.window, FIRST + 1);
    node.observe_era(1, ms(14_000));
    assert_eq!(node.era(), Some(2), "a late answer is of the past");
}

#[test]
fn first_known_report_stays() {
    let report = |count| UsageReport { window: FIRST, counts: [(account(1), count)].into() };
    let mut node = holder(1);
    node.record_report(report(3), 1).expect("the first report");
    node.record_report(report(3), 1).expect("the same report");
    let conflict = node.record_report(report(4), 1);
    assert_eq!(conflict, Err(ConflictingReport { window: FIRST }));
    node.observe_era(2, ms(6_000));
    assert_eq!(node.record_report(report(5), 2), Err(ConflictingReport { window: FIRST }));
    assert_eq!(node.useful_reports(ms(9_000)), [report(3)]);
    assert!(node.useful_reports(ms(15_000)).is_empty(), "it is overdue");
}

// Guards against a record that was written for an era which had ended: another may have been sent.
#[test]
fn report_of_another_era_is_not_sent_and_blocks_its_window() {
    let mut node = holder(1);
    node.observe_era(2, ms(2_000));
    node.record_report(UsageReport { window: FIRST, ..UsageReport::default() }, 1)
        .expect("no other report is known");
    assert!(node.useful_reports(ms(9_000)).is_empty());
    assert_eq!(node.closed_window(ms(9_900)), None);
}

/// A fleet whose messages are lost, doubled and reordered.
struct CountingFleet {
    nodes: Vec<UsageAccounting>,
    in_flight: Vec<CountSnapshot>,
    truth: BTreeMap<u64, BTreeMap<AccountId, u64>>,
    now: Duration,
}

impl CountingFleet {
    fn new(count: usize) -> Self {
        let mut nodes: Vec<_> = (0..count).map(|index| accounting(index, 1, count)).collect();
        nodes[0] = holder(count);
        Self { nodes, in_flight: Vec::new(), truth: BTreeMap::new(), now: Duration::ZERO }
    }

    fn begin_requests(&mut self, source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
        for _ in 0..source.int_in_range(0..=3)? {
            let account = account(source.int_in_range(0..=3)?);
            let node = source.choose_index(self.nodes.len())?;
            // Calls are known at their answers, some time after they began.
            let began = self.now.saturating_sub(ms(source.int_in_range(0..=500)?));
            self.nodes[node].record_began(&account, began);
            let window = UsageWindows::new(LENGTH).window_at(START + began);
            *self.truth.entry(window).or_default().entry(account).or_default() += 1;
        }
        Ok(())
    }

    fn exchange(&mut self, source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
        for index in 1..self.nodes.len() {
            let sent = self.nodes[index].take_due_counts(self.now);
            self.in_flight.extend(sent);
        }
        self.nodes[0].take_due_counts(self.now);
        for _ in 0..self.in_flight.len().min(4) {
            let index = source.choose_index(self.in_flight.len())?;
            // One in eight is delivered again later.
            let is_doubled = source.ratio(1, 8)?;
            let message = match is_doubled {
                true => self.in_flight[index].clone(),
                false => self.in_flight.swap_remove(index),
            };
            self.nodes[0].merge(&message, self.now);
        }
        Ok(())
    }
}

// Guards against wrong totals for any order of messages while no node dies.
#[test]
fn reports_equal_the_truth_when_no_node_dies() {
    arbtest::arbtest(|source| {
        let mut fleet = CountingFleet::new(source.int_in_range(1..=5)?);
        let mut reports = Vec::new();
        while fleet.now < ms(16_000) {
            fleet.now += STEP;
            fleet.begin_requests(source)?;
            fleet.exchange(source)?;
            if let Some(closed) = fleet.nodes[0].closed_window(fleet.now) {
                if closed.reason == ClosingReason::Complete {
                    reports.push(closed.report.clone());
                }
                fleet.nodes[0].record_report(closed.report, 1).expect("one report a window");
            }
        }
        for report in reports {
            let truth = fleet.truth.remove(&report.window).unwrap_or_default();
            assert_eq!(report.counts, truth);
        }
        Ok(())
    });
}

// Guards against a successor that lacks what was counted before it became a recipient.
#[test]
fn new_recipient_gets_all_counts_of_open_windows_at_once() {
    let mut node = accounting(1, 1, 3);
    node.set_recipients(vec![name(0)]);
    node.record_began(&account(1), ms(100));
    assert_eq!(node.take_due_counts(ms(100)).len(), 1);
    assert!(node.take_due_counts(ms(200)).is_empty());
    node.set_recipients(vec![name(2), name(0)]);
    let sent = node.take_due_counts(ms(300)).pop().expect("counts for the new recipient");
    assert_eq!(sent.windows[0].counts, BTreeMap::from([(account(1), 1)]));
}

// Guards against a node that overloads the holder in a large fleet, or never says that it is done.
#[test]
fn node_sends_few_snapshots_and_some_after_each_window() {
    for (count, most) in [(3, 24), (88, 24), (810, 7)] {
        let mut node = accounting(1, 1, count);
        node.take_due_counts(ms(700));
        let (mut sent, mut complete) = (0, 0);
        for step in 100..200 {
            let now = STEP * step;
            node.record_began(&account(1), now);
            for snapshot in node.take_due_counts(now) {
                sent += 1;
                complete += u32::from(snapshot.first_open > FIRST);
            }
        }
        assert!(sent <= most, "{sent} snapshots in one window of {count} nodes");
        assert!(complete >= 3, "{complete} snapshots tell that the window before is complete");
    }
}
