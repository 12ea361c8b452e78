//! Usage accounting of one node: its own counts, those of other nodes, and the reports.

use std::time::Duration;

use super::ClosingReason;
use super::ConflictingReport;
use super::CountSchedule;
use super::CountSnapshot;
use super::CountTable;
use super::FleetClock;
use super::ReportHistory;
use super::UsageCounter;
use super::UsageReport;
use super::UsageWindows;
use super::WindowCloser;
use crate::membership::hash_text;
use crate::types::AccountId;
use crate::types::EraNumber;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;
use crate::types::UnixTime;
use crate::types::WindowNumber;

/// A window that is closed, with the report to be decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClosedWindow {
    /// Counts that have arrived.
    pub report: UsageReport,
    /// Why the window is closed.
    pub reason: ClosingReason,
    /// Number of nodes that have sent all their counts of it.
    pub heard: usize,
    /// Number of nodes whose counts were expected.
    pub expected: usize,
    /// Time since the window ended.
    pub age: Duration,
}

/// Holds what a node knows of the fleet's usage.
#[derive(Clone, Debug)]
pub struct UsageAccounting {
    node: NodeId,
    incarnation: IncarnationNumber,
    windows: UsageWindows,
    closer: WindowCloser,
    clock: FleetClock,
    counter: UsageCounter,
    schedule: CountSchedule,
    table: CountTable,
    history: ReportHistory,
    /// Nodes whose counts are expected, this one included.
    nodes: Vec<NodeId>,
    /// Nodes to which the counts of this one are sent.
    recipients: Vec<NodeId>,
    /// Requests that became known after the report on their window.
    late_count: u64,
    /// Window at the last tick.
    current: WindowNumber,
}

// Methods that change the state.
impl UsageAccounting {
    /// Creates the accounting of a node that has counted nothing.
    ///
    /// `due` is the time after the end of a window within which its report is due; `wall` is what the
    /// clock of the node shows at `now`.
    pub fn new(
        node: NodeId,
        incarnation: IncarnationNumber,
        windows: UsageWindows,
        due: Duration,
        wall: UnixTime,
        now: MonotonicTime,
    ) -> Self {
        let turn = (hash_text(0, &node) >> 32) as f64 / f64::from(u32::MAX);
        Self {
            incarnation,
            windows,
            closer: WindowCloser::new(windows, due),
            clock: FleetClock::new(wall, now),
            counter: UsageCounter::default(),
            schedule: CountSchedule::new(windows, turn),
            table: CountTable::default(),
            history: ReportHistory::default(),
            nodes: vec![NodeId::clone(&node)],
            recipients: Vec::new(),
            late_count: 0,
            current: 0,
            node,
        }
    }

    /// Counts a request of `account` that began to run at `began`.
    pub fn record_began(&mut self, account: &AccountId, began: MonotonicTime) {
        self.counter.record(self.window_at(began), account);
        self.schedule.record_change();
    }

    /// Records that the clock of `node` showed `wall` at `now` or shortly before.
    pub fn record_clock(&mut self, node: &NodeId, wall: UnixTime, now: MonotonicTime) {
        self.clock.record(node, wall, now);
    }

    /// Records the clock of this node, and removes what is too old to be of use.
    pub fn tick(&mut self, wall: UnixTime, now: MonotonicTime) {
        self.clock.record(&self.node, wall, now);
        self.clock.update(now);
        let current = self.window_at(now);
        if std::mem::replace(&mut self.current, current) != current {
            self.table.expire(current);
        }
    }

    /// Sets the nodes whose counts are expected.
    pub fn set_nodes(&mut self, nodes: Vec<NodeId>) {
        self.nodes = nodes;
    }

    /// Sets the nodes to which the counts are sent; new ones get them at once.
    pub fn set_recipients(&mut self, recipients: Vec<NodeId>) {
        if recipients.iter().any(|node| !self.recipients.contains(node)) {
            self.schedule.request();
        }
        self.recipients = recipients;
    }

    /// Merges the counts of another node that arrive at `now`.
    pub fn merge(&mut self, snapshot: &CountSnapshot, now: MonotonicTime) {
        let first_undecided = self.history.first_undecided();
        self.late_count += self.table.merge(snapshot, self.window_at(now), first_undecided);
    }

    /// Returns the counts of this node if they are to be sent now, in parts that each fit in a
    /// datagram; otherwise none.
    pub fn take_due_counts(&mut self, now: MonotonicTime) -> Vec<CountSnapshot> {
        let time = self.clock.time_at(now);
        match self.schedule.take_due(now, time, self.nodes.len()) {
            true => self.take_counts(now),
            false => Vec::new(),
        }
    }

    /// Returns the counts of this node, for instance as it stops.
    pub fn take_counts(&mut self, now: MonotonicTime) -> Vec<CountSnapshot> {
        let first_open = self.schedule.first_open(self.clock.time_at(now));
        let parts = self.counter.parts();
        let last = parts.len() - 1;
        let snapshots: Vec<CountSnapshot> = parts
            .into_iter()
            .enumerate()
            .map(|(index, windows)| CountSnapshot {
                node: NodeId::clone(&self.node),
                incarnation: self.incarnation,
                // Only the last part says that all counts have been sent.
                first_open: if index == last { first_open } else { 0 },
                windows,
            })
            .collect();
        for snapshot in &snapshots {
            self.merge(snapshot, now);
        }
        // One decided window is kept, so that others can tell what its report lacks.
        self.counter.remove_before(self.history.first_undecided().saturating_sub(1));
        snapshots
    }

    /// Records the era of the key-value service as of `now`; returns whether it is another one than
    /// before.
    pub fn observe_era(&mut self, era: EraNumber, now: MonotonicTime) -> bool {
        self.history.observe_era(era, now)
    }

    /// Records that the windows before `window` get no report, unless they have one.
    pub fn skip_to(&mut self, window: WindowNumber) {
        self.history.skip_to(window);
    }

    /// Records a report that the key-value service holds, and that was written for the era
    /// `written_in`.
    ///
    /// # Errors
    ///
    /// Returns an error if another report on the window is known, which stays.
    pub fn record_report(
        &mut self,
        report: UsageReport,
        written_in: EraNumber,
    ) -> Result<(), ConflictingReport> {
        self.history.record(report, written_in)
    }
}

// Methods that only read the state.
impl UsageAccounting {
    /// Returns the next window to report on, once it is closed.
    pub fn closed_window(&self, now: MonotonicTime) -> Option<ClosedWindow> {
        let time = self.clock.time_at(now);
        // A window that ended before the service was followed may have had a report that is lost.
        let followed = self.window_at(self.history.followed_since()?);
        let useful = self.closer.first_useful(time);
        let window = self.history.first_undecided().max(followed).max(useful);
        let is_heard = |node: &&NodeId| self.table.is_complete(node, window);
        let heard = self.nodes.iter().filter(is_heard).count();
        let expected = self.nodes.len();
        let reason = self.closer.reason(window, expected - heard, time)?;
        let age = time.saturating_sub(self.windows.end(window));
        let report = self.table.report(window);
        Some(ClosedWindow { report, reason, heard, expected, age })
    }

    /// Returns the decided reports that are not yet overdue, in order.
    pub fn useful_reports(&self, now: MonotonicTime) -> Vec<UsageReport> {
        let first = self.closer.first_useful(self.clock.time_at(now));
        self.history.reports_from(first).cloned().collect()
    }

    /// Returns the decided reports that are remembered, in order.
    pub fn reports(&self) -> impl Iterator<Item = &UsageReport> {
        self.history.reports_from(0)
    }

    /// Returns the first window that can still get a report.
    pub fn first_undecided(&self) -> WindowNumber {
        self.history.first_undecided()
    }

    /// Returns the era of the key-value service that was read last.
    pub fn era(&self) -> Option<EraNumber> {
        self.history.era()
    }

    /// Returns the time from the start of a window until its report is overdue.
    pub fn report_lifetime(&self) -> Duration {
        self.windows.length() + self.closer.due()
    }

    /// Returns the time since a window ended.
    pub fn window_age(&self, window: WindowNumber, now: MonotonicTime) -> Duration {
        self.clock.time_at(now).saturating_sub(self.windows.end(window))
    }

    /// Returns the nodes to which the counts are sent.
    pub fn recipients(&self) -> &[NodeId] {
        &self.recipients
    }

    /// Returns the number of requests that became known after the report on their window.
    pub fn late_count(&self) -> u64 {
        self.late_count
    }

    /// Returns the number of nodes with a recent reading of their clocks.
    pub fn clock_count(&self) -> usize {
        self.clock.node_count()
    }

    /// Returns the estimated time of day at `moment`.
    pub fn time_at(&self, moment: MonotonicTime) -> UnixTime {
        self.clock.time_at(moment)
    }

    fn window_at(&self, moment: MonotonicTime) -> WindowNumber {
        self.windows.window_at(self.clock.time_at(moment))
    }
}
