//! Shares of endpoints' budgets: assignment, loans, and allowances of pools.

use std::collections::BTreeMap;

use apricotknot_core::admission::AssignmentOrigin;
use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::PoolSettings;
use apricotknot_core::admission::ShareAction;
use apricotknot_core::admission::ShareAssignment;
use apricotknot_core::admission::ShareMessage;
use apricotknot_core::resources::EndpointSpec;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;

use super::ControlEffect;
use super::ControlState;
use crate::control::placement::FleetPlacement;
use crate::control::pool_of;

impl ControlState {
    /// Sets the owners and share holders of pools, and adjusts shares, queues and load reading.
    pub(in crate::control) fn set_placement(
        &mut self,
        placement: FleetPlacement,
        now: MonotonicTime,
    ) {
        if placement == self.placement {
            return;
        }
        let previous = std::mem::replace(&mut self.placement, placement);
        self.assign_shares(&previous, now);
        self.forward_queues(&previous, now);
        if self.gained_pool(&previous) {
            self.effects.push(ControlEffect::ReadSuspects);
        }
        self.update_ownership(now);
        self.choose_load_targets();
        self.tick_shares(now);
    }

    /// Handles a peer's messages about budget shares.
    pub(in crate::control) fn handle_shares(
        &mut self,
        from: &NodeId,
        messages: Vec<ShareMessage>,
        now: MonotonicTime,
    ) {
        let mut actions = Vec::new();
        for message in messages {
            actions.extend(self.shares.receive(from, message, now));
        }
        self.send_shares(actions);
        self.refresh_allowances(now);
    }

    /// Advances shares and loans to `now`.
    pub(super) fn tick_shares(&mut self, now: MonotonicTime) {
        let actions = self.shares.tick(now);
        self.send_shares(actions);
        self.refresh_allowances(now);
    }

    /// Assigns the shares and sets the owner of every endpoint.
    pub(super) fn assign_shares(&mut self, previous: &FleetPlacement, now: MonotonicTime) {
        if self.placement.epoch == 0 {
            return;
        }
        let snapshot = self.table.snapshot();
        for (endpoint, spec) in snapshot.endpoints() {
            let pool = pool_of(spec);
            let Some(assignment) = self.assignment(&pool, endpoint, spec, previous) else {
                continue;
            };
            self.shares.assign(assignment, self.assignment_origin(), now);
            self.shares.set_owner(endpoint, self.placement.owner_of(&pool).cloned());
        }
    }

    fn assignment(
        &self,
        pool: &PoolId,
        endpoint: &EndpointId,
        spec: &EndpointSpec,
        previous: &FleetPlacement,
    ) -> Option<ShareAssignment> {
        let budget = EndpointCapacity::from_spec(spec).warm;
        let pool_placement = self.placement.pools.get(pool)?;
        let mut assignment = ShareAssignment {
            endpoint: endpoint.clone(),
            epoch: self.placement.epoch,
            budget,
            holders: pool_placement.holders.clone(),
            predecessors: Vec::new(),
            nodes: self.placement.nodes.clone(),
        };
        let is_first_list = self.placement.epoch <= 1;
        match previous.pools.get(pool).filter(|_| previous.epoch > 0) {
            Some(known) => {
                let earlier =
                    ShareAssignment { holders: known.holders.clone(), ..assignment.clone() };
                assignment.predecessors = earlier.shares();
                merge_nodes(&mut assignment.nodes, &previous.nodes);
            },
            // The holders under earlier lists are unknown, so each member may hold any amount.
            None if !is_first_list => {
                let members = self.placement.nodes.iter();
                assignment.predecessors = members.map(|node| (node.clone(), budget)).collect();
            },
            None => {},
        }
        Some(assignment)
    }

    fn assignment_origin(&self) -> AssignmentOrigin {
        if self.placement.is_first_incarnation {
            return AssignmentOrigin::StoreNewEndpoint;
        }
        if self.placement.stored_epoch >= self.placement.epoch {
            return AssignmentOrigin::Store;
        }
        AssignmentOrigin::Peer
    }

    /// Returns whether this node owns a pool that it did not own in `previous`.
    fn gained_pool(&self, previous: &FleetPlacement) -> bool {
        let is_own = |owner: Option<&NodeId>| owner == Some(&self.node);
        self.placement
            .pools
            .keys()
            .any(|pool| is_own(self.placement.owner_of(pool)) && !is_own(previous.owner_of(pool)))
    }

    /// Resubmits the requests queued in pools that this node no longer owns to the new owners.
    fn forward_queues(&mut self, previous: &FleetPlacement, now: MonotonicTime) {
        for pool in self.pool_names() {
            let was_owner = previous.owner_of(&pool) == Some(&self.node);
            if !was_owner || self.placement.owner_of(&pool) == Some(&self.node) {
                continue;
            }
            let Some(scheduler) = self.pools.get_mut(&pool) else {
                continue;
            };
            for submission in scheduler.take_queued() {
                self.resubmit(&pool, submission, now);
            }
        }
    }

    /// Gives every pool's scheduler the epoch and fencing number of new grants.
    fn update_ownership(&mut self, now: MonotonicTime) {
        let spec = self.table.snapshot().admission();
        for pool in self.pool_names() {
            let settings = PoolSettings::new(pool.clone())
                .spec(spec.clone())
                .ownership(self.placement.epoch, self.placement.fencing);
            self.dispatch(&pool, PoolEvent::SettingsChanged(Box::new(settings)), now);
        }
    }

    /// Passes changed allowances to the pools' schedulers; zero for pools that this node does not
    /// own.
    pub(super) fn refresh_allowances(&mut self, now: MonotonicTime) {
        let snapshot = self.table.snapshot();
        for (endpoint, spec) in snapshot.endpoints() {
            let pool = pool_of(spec);
            let allowance = match self.owns(&pool) {
                true => self.shares.allowance(endpoint, now),
                false => BudgetAmount::default(),
            };
            if self.allowances.get(endpoint) == Some(&allowance) {
                continue;
            }
            self.allowances.insert(endpoint.clone(), allowance);
            let endpoint = endpoint.clone();
            self.dispatch(&pool, PoolEvent::AllowanceChanged { endpoint, allowance }, now);
        }
    }

    fn send_shares(&mut self, actions: Vec<ShareAction>) {
        let mut by_node: BTreeMap<NodeId, Vec<ShareMessage>> = BTreeMap::new();
        for ShareAction::Send { to, message } in actions {
            by_node.entry(to).or_default().push(message);
        }
        for (to, messages) in by_node {
            self.effects.push(ControlEffect::SendShares { to, messages });
        }
    }
}

fn merge_nodes(nodes: &mut Vec<NodeId>, others: &[NodeId]) {
    for node in others {
        if !nodes.contains(node) {
            nodes.push(node.clone());
        }
    }
}
