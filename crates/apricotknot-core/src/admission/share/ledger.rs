//! Share ledger: the part of one node in the sharing of endpoint budgets.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::AssignmentOrigin;
use super::ChargeError;
use super::ChargePart;
use super::ChargeSource;
use super::GrantCharge;
use super::ShareAction;
use super::ShareAssignment;
use super::ShareMessage;
use super::ShareSettings;
use super::borrowing::ShareBorrower;
use super::holdings::HeldCharges;
use super::lending::LocalNode;
use super::lending::ShareHolder;
use crate::admission::BudgetAmount;
use crate::types::AttemptId;
use crate::types::EndpointId;
use crate::types::EpochNumber;
use crate::types::IncarnationNumber;
use crate::types::MonotonicTime;
use crate::types::NodeId;

/// Holds both sides of the sharing of one endpoint: holder and borrower.
#[derive(Clone, Debug)]
pub(super) struct EndpointShares {
    pub(super) holder: ShareHolder,
    pub(super) borrower: ShareBorrower,
    pub(super) owner: Option<NodeId>,
    charged: BudgetAmount,
}

/// Records what a grant of this node was charged to, and under which epoch.
#[derive(Clone, Debug)]
struct IssuedCharge {
    charge: GrantCharge,
    epoch: EpochNumber,
}

/// Tracks the shares of one node in endpoint budgets, the loans that it gave and received, and the
/// charges of the attempts that it runs.
///
/// A node has three roles. As a holder it has shares and lends them. As the owner of a pool it
/// borrows shares and charges grants to them. As the node that runs attempts it reports what runs
/// and what it is charged to. Over all nodes, the charged amounts and the amounts that may still be
/// charged together never exceed the budget of an endpoint, even if nodes disagree about the owner
/// or the epoch.
#[derive(Clone, Debug)]
pub struct ShareLedger {
    pub(super) local: LocalNode,
    pub(super) settings: ShareSettings,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointShares>,
    issued: HashMap<AttemptId, IssuedCharge>,
    pub(super) held: HeldCharges,
}

impl ShareLedger {
    /// Creates the ledger of one incarnation of a node; later incarnations need larger numbers.
    pub fn new(
        node: impl Into<NodeId>,
        incarnation: IncarnationNumber,
        settings: ShareSettings,
        now: MonotonicTime,
    ) -> Self {
        let local = LocalNode { node: node.into(), incarnation, started_at: now };
        Self {
            local,
            settings,
            endpoints: BTreeMap::new(),
            issued: HashMap::new(),
            held: HeldCharges::default(),
        }
    }
}

impl ShareLedger {
    /// Applies an assignment of the shares of an endpoint. Assignments of older epochs are ignored.
    pub fn assign(
        &mut self,
        assignment: ShareAssignment,
        origin: AssignmentOrigin,
        now: MonotonicTime,
    ) {
        let endpoint = assignment.endpoint.clone();
        let Some(shares) = self.endpoints.get_mut(&endpoint) else {
            let holder = ShareHolder::new(&self.local, assignment, origin, &self.settings, now);
            let shares = EndpointShares {
                holder,
                borrower: ShareBorrower::default(),
                owner: None,
                charged: BudgetAmount::default(),
            };
            self.endpoints.insert(endpoint, shares);
            return;
        };
        let epoch = shares.holder.assignment().epoch;
        if assignment.epoch > epoch {
            shares.borrower.close_all();
        }
        if shares.holder.is_confirmed() || origin == AssignmentOrigin::Peer {
            shares.holder.assign(&self.local, assignment, &self.settings, now);
        } else if assignment.epoch >= epoch {
            shares.holder = ShareHolder::new(&self.local, assignment, origin, &self.settings, now);
        }
    }

    /// Sets the node that this node believes to own the pool of the endpoint.
    ///
    /// Closes the loan to a previous owner and, if this node is not the owner, the loans that it
    /// received.
    pub fn set_owner(&mut self, endpoint: &str, owner: Option<NodeId>) {
        let Some(shares) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        shares.holder.set_owner(owner.as_ref(), &self.settings);
        if owner.as_ref() != Some(&self.local.node) {
            shares.borrower.close_all();
        }
        shares.owner = owner;
    }

    /// Charges a grant for an attempt that `node` will run; `wanted` is its amount and its longest
    /// duration. A repeat for the same attempt returns the first charge.
    ///
    /// # Errors
    ///
    /// Returns an error if the available shares do not suffice, if the attempt may last too long,
    /// or if `node` is not in the member list.
    pub fn charge(
        &mut self,
        endpoint: &str,
        attempt: AttemptId,
        node: &str,
        wanted: (BudgetAmount, Duration),
        now: MonotonicTime,
    ) -> Result<GrantCharge, ChargeError> {
        let (wanted, hold) = wanted;
        if let Some(issued) = self.issued.get(&attempt) {
            return Ok(issued.charge.clone());
        }
        let usable = self.usable(endpoint, now);
        let Some((name, shares)) = self.endpoints.get_key_value(endpoint) else {
            return Err(ChargeError::NotEnough { usable, wanted });
        };
        let allowed = self.settings.max_hold;
        if hold > allowed {
            return Err(ChargeError::TooLong { wanted: hold, allowed });
        }
        let assignment = shares.holder.assignment();
        if !assignment.nodes.iter().any(|member| &**member == node) {
            return Err(ChargeError::UnknownNode { node: node.into() });
        }
        if !wanted.fits(usable) {
            return Err(ChargeError::NotEnough { usable, wanted });
        }
        let (epoch, endpoint) = (assignment.epoch, name.clone());
        let parts = self.charge_parts(&endpoint, wanted, now);
        let charge = GrantCharge { attempt, endpoint, parts };
        self.issued.insert(attempt, IssuedCharge { charge: charge.clone(), epoch });
        Ok(charge)
    }

    /// Credits what an attempt was charged, once it is certain that its endpoint holds no memory
    /// for it.
    pub fn credit(&mut self, attempt: AttemptId) {
        let Some(issued) = self.issued.remove(&attempt) else {
            return;
        };
        let Some(shares) = self.endpoints.get_mut(&issued.charge.endpoint) else {
            return;
        };
        for part in &issued.charge.parts {
            shares.charged = shares.charged.minus(part.amount);
            if part.source.lender == self.local.node {
                shares.holder.credit_own(issued.epoch, part.amount);
            } else {
                shares.borrower.credit(part);
            }
        }
    }

    /// Accepts a grant that this node is about to run. The attempt must not be sent otherwise.
    ///
    /// # Errors
    ///
    /// Returns an error if a loan or share that the grant is charged to was closed here, because
    /// its holder requested a report of what this node runs.
    pub fn accept(&mut self, charge: GrantCharge) -> Result<(), ChargeError> {
        self.held.accept(charge)
    }

    /// Removes an attempt of this node, once it is certain that its endpoint holds no memory for
    /// it.
    pub fn finish(&mut self, attempt: AttemptId) {
        self.held.finish(attempt);
    }

    /// Records proof, observed at `seen_at`, that all incarnations of a node before `incarnation`
    /// have ended.
    pub fn record_ended_incarnations(
        &mut self,
        node: &NodeId,
        incarnation: IncarnationNumber,
        seen_at: MonotonicTime,
    ) {
        for shares in self.endpoints.values_mut() {
            shares.holder.record_ended_incarnations(node, incarnation, &self.settings, seen_at);
        }
    }

    /// Records proof that a node was not running at `seen_at`, when all its incarnations so far
    /// were before `incarnation`. The call must be repeated while the node is not running.
    ///
    /// Valid proof is a refused connection to the address of the node, its own announcement that it
    /// leaves, or its absence from the list of VMs. An unanswered probe is no proof, because a
    /// partitioned node still uses its share. `seen_at` is the time at which the observation began.
    pub fn record_stopped_node(
        &mut self,
        node: &NodeId,
        incarnation: IncarnationNumber,
        seen_at: MonotonicTime,
    ) {
        for shares in self.endpoints.values_mut() {
            shares.holder.record_stopped_node(node, incarnation, &self.settings, seen_at);
        }
    }

    /// Closes expired loans and returns the due messages; must be called once per repeat interval.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ShareAction> {
        let mut messages = Vec::new();
        let closed_before =
            now.saturating_sub(self.settings.drain_time() + self.settings.drain_time());
        self.held.remove_closed_before(closed_before);
        for (endpoint, shares) in &mut self.endpoints {
            shares.borrower.close_expired(now);
            messages.extend(shares.holder.tick(&self.settings, now));
            messages.extend(shares.borrower.returns(endpoint));
        }
        messages.extend(self.borrow_requests(now));
        let mut actions = Vec::new();
        for (to, message) in messages {
            if to == self.local.node {
                self.receive_own(message, now);
            } else {
                actions.push(ShareAction::Send { to, message });
            }
        }
        actions
    }

    fn charge_parts(
        &mut self,
        endpoint: &EndpointId,
        wanted: BudgetAmount,
        now: MonotonicTime,
    ) -> Vec<ChargePart> {
        let Some(shares) = self.endpoints.get_mut(endpoint) else {
            return Vec::new();
        };
        let mut parts = shares.borrower.charge(wanted, now);
        let borrowed =
            parts.iter().fold(BudgetAmount::default(), |sum, part| sum.plus(part.amount));
        let own = wanted.minus(borrowed);
        if own != BudgetAmount::default() {
            shares.holder.charge_own(own);
            let lender = self.local.node.clone();
            let incarnation = self.local.incarnation;
            let source = ChargeSource { lender, incarnation, number: 0 };
            parts.push(ChargePart { source, amount: own });
        }
        shares.charged = shares.charged.plus(wanted);
        parts
    }
}

impl ShareLedger {
    /// Returns the amount that this node may still charge for grants at an endpoint.
    pub fn usable(&self, endpoint: &str, now: MonotonicTime) -> BudgetAmount {
        let shares = self.endpoints.get(endpoint);
        let free =
            shares.map(|shares| shares.holder.own_free(now).plus(shares.borrower.usable(now)));
        free.unwrap_or_default()
    }

    /// Returns the limit on the total of all grants of this node at an endpoint: the charged amount
    /// and the amount that may still be charged.
    pub fn allowance(&self, endpoint: &str, now: MonotonicTime) -> BudgetAmount {
        let charged = self.endpoints.get(endpoint).map(|shares| shares.charged);
        self.usable(endpoint, now).plus(charged.unwrap_or_default())
    }

    /// Checks that this node would accept a grant.
    ///
    /// # Errors
    ///
    /// Returns an error if a loan or share that the grant is charged to was closed here.
    pub fn check(&self, charge: &GrantCharge) -> Result<(), ChargeError> {
        self.held.check(charge)
    }

    /// Returns the node that this node believes to own the pool of the endpoint.
    pub fn owner(&self, endpoint: &str) -> Option<&NodeId> {
        self.endpoints.get(endpoint)?.owner.as_ref()
    }

    fn borrow_requests(&self, now: MonotonicTime) -> Vec<(NodeId, ShareMessage)> {
        let owned = self.endpoints.iter();
        let owned = owned.filter(|(_, shares)| shares.owner.as_ref() == Some(&self.local.node));
        let mut messages = Vec::new();
        for (endpoint, shares) in owned {
            let assignment = shares.holder.assignment();
            let message = ShareMessage::Borrow {
                endpoint: endpoint.clone(),
                epoch: assignment.epoch,
                requested_at: now,
                incarnation: self.local.incarnation,
            };
            let lenders = assignment.holders.iter().filter(|holder| **holder != self.local.node);
            let due = lenders.filter(|lender| {
                let expires_at = shares.borrower.expires_at(lender);
                expires_at.is_none_or(|expires_at| expires_at < now + self.settings.renew_before)
            });
            messages.extend(due.map(|lender| (lender.clone(), message.clone())));
        }
        messages
    }
}
