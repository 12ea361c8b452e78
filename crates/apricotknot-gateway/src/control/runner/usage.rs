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
const USAGE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the last windows are published to operators.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

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
    /// Compares the clocks and sends the counts of this node if they are due.
    pub(super) fn tick_usage(&mut self) {
        let now = self.clock.now();
        let Some(usage) = self.usage.as_ref().filter(|_| now >= self.usage_at + USAGE_INTERVAL)
        else {
            return;
        };
        self.usage_at = now;
        {
            let mut usage = usage.borrow_mut();
            usage.tick(wall_clock(), now);
            usage.set_nodes(self.state.registry().names());
            usage.set_recipients(self.usage_recipients());
        }
        self.peers.send_due_counts(&self.state, now);
        self.publish_usage(now);
    }

    /// Publishes what is known of the last windows, if it is due.
    fn publish_usage(&mut self, now: MonotonicTime) {
        let Some(usage) =
            self.usage.as_ref().filter(|_| now >= self.usage_published_at + STATUS_INTERVAL)
        else {
            return;
        };
        self.usage_published_at = now;
        let usage = usage.borrow();
        let late = usage.late_count().saturating_sub(self.metrics.late_usage.get());
        self.metrics.late_usage.inc_by(late);
        self.shared.set_usage_status(Arc::new(UsageStatus::new(&usage, now)));
    }

    /// Counts a request that began to run.
    pub(super) fn count_request(&self, account: &AccountId, began: MonotonicTime) {
        if let Some(usage) = &self.usage {
            usage.borrow_mut().record_began(account, began);
            self.metrics.counted_requests.inc();
        }
    }

    /// Returns the nodes that report usage or may have to soon.
    fn usage_recipients(&self) -> Vec<NodeId> {
        self.state.registry().names().into_iter().take(3).collect()
    }

    /// Records the era of the key-value service.
    pub(super) fn observe_era(&self, era: EraNumber) {
        if let Some(usage) = &self.usage {
            usage.borrow_mut().observe_era(era, self.clock.now());
        }
    }

    /// Remembers the usage reports that were read from the key-value service.
    pub(super) fn record_reports(&self, update: &StoreUpdate) {
        let Some(usage) = &self.usage else {
            return;
        };
        self.observe_era(update.era);
        for change in &update.registry_changes {
            let RegistryChange::UsageDecided(record) = change else {
                continue;
            };
            let recorded = usage.borrow_mut().record_report(record.report.clone(), record.era);
            if let Err(error) = recorded {
                error!(self.logger, "usage: ignoring a report"; "error" => %error);
            }
        }
    }
}
