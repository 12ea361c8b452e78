//! Handling of what the feed read from the key-value service.

use apricotknot_core::types::MonotonicTime;
use slog::info;
use slog::warn;

use super::ControlRunner;
use crate::clock::millis;
use crate::control::BatchDelivery;
use crate::control::FeedEvent;
use crate::protocol::RecordChange;

impl ControlRunner {
    /// Applies what was read from the key-value service, and logs it.
    pub(super) fn handle_feed(&mut self, event: FeedEvent) {
        let now = self.clock.now();
        let mut delivery = BatchDelivery::default();
        let (newest, as_of) = match event {
            FeedEvent::Snapshot { update, as_of } => {
                self.log_reachable_again(now);
                let is_restored = update.is_restored;
                info!(
                    self.logger, "control: store snapshot read";
                    "records" => update.record_changes.len(),
                    "nodes" => update.registry_changes.len()
                );
                self.record_reports(&update);
                let newest = self.state.apply_snapshot(update, now);
                if is_restored {
                    self.write_records_again();
                }
                (newest, as_of)
            },
            FeedEvent::Changes { update, as_of, delivery: arrived } => {
                delivery = arrived;
                self.log_reachable_again(now);
                self.log_changes(&update.record_changes);
                self.record_reports(&update);
                (self.state.apply_changes(update, now), as_of)
            },
            FeedEvent::Skipped(error) => {
                warn!(self.logger, "control: skipping an unreadable record"; "error" => %error);
                return;
            },
            FeedEvent::Restored { held, found } => {
                warn!(
                    self.logger,
                    "control: key-value service came back from an older copy; keeping newer state";
                    "held_era" => held, "era" => found,
                    "knowledge_ms" => millis(self.shared.configuration_age(now))
                );
                self.observe_era(found);
                return;
            },
            FeedEvent::Reloading(error) => {
                info!(self.logger, "control: reading all keys again"; "error" => %error);
                return;
            },
            FeedEvent::Overdue => {
                info!(
                    self.logger, "control: watch is overdue; asking on a new connection too";
                    "knowledge_ms" => millis(self.shared.configuration_age(now))
                );
                return;
            },
            FeedEvent::Unreachable(error) => {
                if self.state.record_store_unreachable(now) {
                    let age = self.shared.configuration_age(now);
                    warn!(
                        self.logger,
                        "control: key-value service unreachable; keeping the last known state";
                        "error" => %error, "knowledge_ms" => millis(age)
                    );
                }
                return;
            },
        };
        if let Some(desired) = newest {
            info!(
                self.logger, "control: configuration applied";
                "version" => desired.version, "routes" => desired.routes.len(),
                "call_ms" => millis(now.saturating_sub(as_of)),
                "transfer_ms" => millis(delivery.transfer), "superseded" => delivery.superseded,
                "knowledge_ms" => millis(self.shared.configuration_age(now))
            );
            self.shared.set_desired(desired);
        }
        self.node_count.set(self.state.registry().count());
        self.peers.update_peers(&self.state);
        if self.state.is_configuration_confirmed(now) {
            self.shared.confirm_as_of(as_of);
        }
        if let Some(secret) = self.state.secret()
            && self.peers.set_secret(secret)
        {
            self.announcer_signals.secret.replace(Some(secret.to_vec()));
            self.shared.set_peer_seals(self.peers.seals().clone());
        }
    }

    /// Writes the node's own records again, as the key-value service may have lost them.
    fn write_records_again(&self) {
        self.announcer_signals.restored.notify_one();
        for part in self.state.parts_to_record_again() {
            self.record_part(part);
        }
    }

    /// Logs the end of an outage of the key-value service, if there was one.
    fn log_reachable_again(&self, now: MonotonicTime) {
        if let Some(since) = self.state.store_unreachable_since() {
            info!(
                self.logger, "control: key-value service reachable again";
                "outage_ms" => millis(now.saturating_sub(since)),
                "failed_calls" => self.state.failed_store_calls(),
                "knowledge_ms" => millis(self.shared.configuration_age(now))
            );
        }
    }

    fn log_changes(&self, records: &[RecordChange]) {
        for record in records {
            match record {
                RecordChange::EndpointAnnounced(entry) => info!(
                    self.logger, "control: endpoint announced";
                    "endpoint" => %entry.id, "phase" => ?entry.phase,
                    "service" => %entry.service, "data_centre" => %entry.data_centre
                ),
                RecordChange::EndpointRemoved(endpoint) => {
                    info!(self.logger, "control: endpoint removed"; "endpoint" => %endpoint);
                },
                RecordChange::DataCentreEvacuated(centre) => {
                    info!(self.logger, "control: data centre evacuated"; "data_centre" => %centre);
                },
                RecordChange::DataCentreRestored(centre) => {
                    info!(self.logger, "control: data centre restored"; "data_centre" => %centre);
                },
                RecordChange::Configuration(_) | RecordChange::KeptConfiguration(_) => {},
            }
        }
    }
}
