//! Application of the configuration to pools, accounts and endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;

use apricotknot_core::admission::AccountLimits;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::PoolScheduler;
use apricotknot_core::admission::PoolSettings;
use apricotknot_core::resources::AccountSpec;
use apricotknot_core::resources::ResourceChange;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::PoolId;

use super::ControlEffect;
use super::ControlState;
use crate::control::ConfigView;
use crate::control::load::LoadTarget;
use crate::control::pool_of;

impl ControlState {
    /// Applies a batch of configuration changes and publishes the new view.
    ///
    /// A batch is ignored if changes between the current revision and the batch are missing.
    pub(super) fn configure(&mut self, batch: &UpdateBatch, now: MonotonicTime) {
        let Ok(changes) = self.table.apply(batch) else {
            return;
        };
        if !changes.is_empty() {
            self.apply_changes(&changes, now);
        }
        let view = ConfigView::new(&self.table);
        self.view.send_replace(Arc::new(view));
    }

    fn apply_changes(&mut self, changes: &[ResourceChange], now: MonotonicTime) {
        let snapshot = self.table.snapshot();
        for change in changes {
            if let ResourceChange::Replaced { before, after } = change {
                self.supersede_notice(before, after);
            }
        }
        self.set_accounts(changes, now);
        if changes.iter().any(|change| !is_account(changed_record(change))) {
            self.add_pools(&snapshot, now);
            self.set_endpoints(&snapshot, now);
            let placement = self.placement.clone();
            self.assign_shares(&placement, now);
            self.refresh_allowances(now);
        }
        self.objectives.configure(&snapshot);
    }

    fn add_pools(&mut self, snapshot: &ResourceSnapshot, now: MonotonicTime) {
        let mut pools: Vec<PoolId> = snapshot.endpoints().map(|(_, spec)| pool_of(spec)).collect();
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            let settings = PoolSettings::new(pool.clone())
                .spec(snapshot.admission())
                .ownership(self.placement.epoch, self.placement.fencing);
            if !self.pools.contains_key(&pool) {
                self.add_pool(settings, snapshot, now);
                continue;
            }
            self.dispatch(&pool, PoolEvent::SettingsChanged(Box::new(settings)), now);
        }
    }

    fn add_pool(
        &mut self,
        settings: PoolSettings,
        snapshot: &ResourceSnapshot,
        now: MonotonicTime,
    ) {
        let pool = settings.pool.clone();
        self.pools.insert(pool.clone(), PoolScheduler::new(settings));
        for (account, spec) in snapshot.accounts() {
            self.dispatch(&pool, account_event(account, spec), now);
        }
    }

    fn set_accounts(&mut self, changes: &[ResourceChange], now: MonotonicTime) {
        let pools = self.pool_names();
        for change in changes {
            let record = changed_record(change);
            let ResourceSpec::Account(spec) = &record.spec else {
                continue;
            };
            for pool in &pools {
                self.dispatch(pool, account_event(&record.name, spec), now);
            }
        }
    }

    pub(super) fn set_endpoints(&mut self, snapshot: &ResourceSnapshot, now: MonotonicTime) {
        let mut present: BTreeMap<PoolId, Vec<EndpointId>> = BTreeMap::new();
        for (endpoint, spec) in snapshot.endpoints() {
            let pool = pool_of(spec);
            let duty = self.effective_duty(snapshot, endpoint, spec);
            let capacity = EndpointCapacity::from_spec(spec).duty(duty);
            let event = PoolEvent::EndpointUpdated { endpoint: endpoint.clone(), capacity };
            self.dispatch(&pool, event, now);
            present.entry(pool).or_default().push(endpoint.clone());
        }
        self.remove_endpoints(&present, now);
        self.choose_load_targets();
    }

    /// Selects the engines whose load this node reads: those of the pools that it owns or would own
    /// next.
    pub(super) fn choose_load_targets(&mut self) {
        let snapshot = self.table.snapshot();
        let mut targets = Vec::new();
        for (endpoint, spec) in snapshot.endpoints() {
            let pool = pool_of(spec);
            if spec.memory_tokens > 0 && self.placement.is_owner_or_next(&pool, &self.node) {
                let endpoint = endpoint.clone();
                targets.push(LoadTarget { pool, endpoint, address: spec.address });
            }
        }
        self.effects.push(ControlEffect::PollLoad(targets));
    }

    fn remove_endpoints(
        &mut self,
        present: &BTreeMap<PoolId, Vec<EndpointId>>,
        now: MonotonicTime,
    ) {
        for pool in self.pool_names() {
            let kept = present.get(&pool).map(Vec::as_slice).unwrap_or_default();
            let Some(scheduler) = self.pools.get(&pool) else {
                continue;
            };
            let removed: Vec<EndpointId> =
                scheduler.endpoints().filter(|name| !kept.contains(name)).cloned().collect();
            for endpoint in removed {
                self.allowances.remove(&endpoint);
                self.dispatch(&pool, PoolEvent::EndpointRemoved { endpoint }, now);
            }
        }
    }
}

fn changed_record(change: &ResourceChange) -> &ResourceRecord {
    match change {
        ResourceChange::Added(record) | ResourceChange::Removed(record) => record,
        ResourceChange::Replaced { after, .. } => after,
    }
}

fn is_account(record: &ResourceRecord) -> bool {
    matches!(record.spec, ResourceSpec::Account(_))
}

fn account_event(account: &AccountId, spec: &AccountSpec) -> PoolEvent {
    PoolEvent::AccountChanged { account: account.clone(), limits: AccountLimits::from_spec(spec) }
}
