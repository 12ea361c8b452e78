//! Usage accounting of the node, as far as the control thread's loop does it.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::duty::DutyKind;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::EraNumber;
use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::usage::UsageAccounting;
use apricotknot_core::usage::UsageWindows;
use slog::error;

use super::ControlRunner;
use crate::clock::BootClock;
use crate::clock::wall_clock;
use crate::control::RegistryChange;
use crate::control::StoreUpdate;
use crate::duties::DutySettings;
use crate::duties::UsageHandle;
use crate::duties::UsageStatus;

/// Interval at which the clocks are compared and due counts are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which nodes are looked up that count, and that get the counts.
const NODES_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the last windows are published to operators.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Usage that the node counts, and when the loop attended to it.
pub(super) struct UsageTask {
    accounting: UsageHandle,
    ticked_at: MonotonicTime,
    nodes_at: MonotonicTime,
    published_at: MonotonicTime,
}

impl UsageTask {
    /// Creates the task of a node that starts.
    pub(super) fn new(accounting: UsageHandle) -> Self {
        Self {
            accounting,
            ticked_at: MonotonicTime::ZERO,
            nodes_at: MonotonicTime::ZERO,
            published_at: MonotonicTime::ZERO,
        }
    }
}

/// Returns the usage accounting of a node that starts, if its settings ask for reports.
pub(super) fn start_usage(
    node: &NodeId,
    incarnation: IncarnationNumber,
    settings: &DutySettings,
    clock: BootClock,
) -> Option<UsageHandle> {
    if !settings.kinds.contains(&DutyKind::UsageReport) {
        return None;
    }
    let accounting = UsageAccounting::new(
        NodeId::clone(node),
        incarnation,
        UsageWindows::new(settings.usage_window),
        settings.usage_due,
        wall_clock(),
        clock.now(),
    );
    Some(UsageHandle::new(RefCell::new(accounting)))
}

impl ControlRunner {
    /// Compares the clocks, sends the counts of this node and publishes the last windows, each if it
    /// is due.
    pub(super) fn tick_usage(&mut self) {
        let now = self.clock.now();
        let Some(task) = self.usage.as_mut().filter(|task| now >= task.ticked_at + TICK_INTERVAL)
        else {
            return;
        };
        task.ticked_at = now;
        task.accounting.borrow_mut().tick(wall_clock(), now);
        if now >= task.nodes_at + NODES_INTERVAL {
            task.nodes_at = now;
            self.look_up_usage_nodes();
        }
        self.peers.send_due_counts(&self.state, now);
        self.publish_usage(now);
    }

    /// Looks up the nodes that count, and those that report usage or may have to soon.
    fn look_up_usage_nodes(&self) {
        if let (Some(task), Some(duties)) = (&self.usage, &self.duties) {
            let recipients = duties.likely_holders(DutyKind::UsageReport, &self.state);
            let mut accounting = task.accounting.borrow_mut();
            accounting.set_nodes(self.state.registry().names());
            accounting.set_recipients(recipients);
        }
    }

    /// Publishes what is known of the last windows, if it is due.
    fn publish_usage(&mut self, now: MonotonicTime) {
        let Some(task) =
            self.usage.as_mut().filter(|task| now >= task.published_at + STATUS_INTERVAL)
        else {
            return;
        };
        task.published_at = now;
        let accounting = task.accounting.borrow();
        let late = accounting.late_count().saturating_sub(self.metrics.late_usage.get());
        self.metrics.late_usage.inc_by(late);
        self.shared.set_usage_status(Arc::new(UsageStatus::new(&accounting, now)));
    }

    /// Counts a request that began to run.
    pub(super) fn count_request(&self, account: &AccountId, began: MonotonicTime) {
        if let Some(task) = &self.usage {
            task.accounting.borrow_mut().record_began(account, began);
            self.metrics.counted_requests.inc();
        }
    }

    /// Records the era of the key-value service.
    pub(super) fn observe_era(&self, era: EraNumber) {
        if let Some(task) = &self.usage {
            task.accounting.borrow_mut().observe_era(era, self.clock.now());
        }
    }

    /// Remembers the usage reports that were read from the key-value service.
    pub(super) fn record_reports(&self, update: &StoreUpdate) {
        let Some(task) = &self.usage else {
            return;
        };
        self.observe_era(update.era);
        for change in &update.registry_changes {
            let RegistryChange::UsageDecided(record) = change else {
                continue;
            };
            let mut accounting = task.accounting.borrow_mut();
            if let Err(error) = accounting.record_report(record.report.clone(), record.era) {
                error!(self.logger, "usage: ignoring a report"; "error" => %error);
            }
        }
    }
}
