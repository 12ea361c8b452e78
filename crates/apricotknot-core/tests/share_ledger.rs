//! Fuzzes the sharing of budgets between nodes against a simulation that counts what really runs.
//!
//! `APRICOTKNOT_FUZZ_RUNS` sets the number of seeds that are run.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::admission::AssignmentOrigin;
use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::GrantCharge;
use apricotknot_core::admission::ShareAction;
use apricotknot_core::admission::ShareAssignment;
use apricotknot_core::admission::ShareLedger;
use apricotknot_core::admission::ShareMessage;
use apricotknot_core::types::EpochNumber;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::NodeId;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use share_fixture::BUDGET;
use share_fixture::ENDPOINT;
use share_fixture::NODES;
use share_fixture::node_id;
use share_fixture::settings;

#[path = "support/share_fixture.rs"]
mod share_fixture;

const FIXED_RUNS: u64 = 300;
const RUN_BYTES: u64 = 6_000;

fn index(node: &NodeId) -> Option<usize> {
    (0..NODES).find(|number| node_id(*number) == *node)
}

/// A node with its ledger, its clock and its state.
struct SimulatedMember {
    ledger: ShareLedger,
    incarnation: u64,
    /// Difference of the clock rate from real time, in per mille.
    drift: i64,
    offset: Duration,
    is_paused: bool,
    epoch: EpochNumber,
}

/// A grant in the simulation, with real times instead of node clocks.
#[derive(Clone)]
struct SimulatedGrant {
    charge: GrantCharge,
    amount: BudgetAmount,
    owner: (usize, u64),
    runner: (usize, u64),
    granted_at: Duration,
    is_started: bool,
    ends_at: Duration,
    is_ended: bool,
}

struct DelayedMessage {
    at: Duration,
    from: usize,
    to: usize,
    message: ShareMessage,
}

struct ShareSimulation {
    now: Duration,
    members: Vec<SimulatedMember>,
    assignments: BTreeMap<EpochNumber, ShareAssignment>,
    messages: Vec<DelayedMessage>,
    grants: Vec<SimulatedGrant>,
    partitioned: [[bool; NODES]; NODES],
    next_attempt: u128,
    /// Node that is stopped and may be started again.
    stopped: Option<usize>,
    /// Largest number of epochs in the run; with few epochs more of the budget stays in use.
    max_epochs: usize,
}

impl ShareSimulation {
    fn new(u: &mut Unstructured) -> Result<Self> {
        let mut simulation = Self {
            now: Duration::from_secs(1_000),
            members: Vec::new(),
            assignments: BTreeMap::new(),
            messages: Vec::new(),
            grants: Vec::new(),
            partitioned: [[false; NODES]; NODES],
            next_attempt: 1,
            stopped: None,
            max_epochs: *u.choose(&[1, 1, 3, 6])?,
        };
        simulation.add_epoch(&[0, 1, 2, 3]);
        for node in 0..NODES {
            let drift = u.int_in_range(-10..=10)?;
            let offset = Duration::from_millis(u.int_in_range(0..=100_000)?);
            let ledger = ShareLedger::new(node_id(node), 1, settings(), Duration::ZERO);
            let member = SimulatedMember {
                ledger,
                incarnation: 1,
                drift,
                offset,
                is_paused: false,
                epoch: 1,
            };
            simulation.members.push(member);
            simulation.restart(node, 1, AssignmentOrigin::StoreNewEndpoint);
        }
        Ok(simulation)
    }

    fn clock(&self, node: usize) -> MonotonicTime {
        let member = &self.members[node];
        let micros = self.now.as_micros() as i64;
        let micros = micros + micros * member.drift / 1_000;
        Duration::from_micros(micros as u64) + member.offset
    }

    fn add_epoch(&mut self, holders: &[usize]) {
        let epoch = self.assignments.len() as u64 + 1;
        let mut earlier: BTreeMap<NodeId, BudgetAmount> = BTreeMap::new();
        for assignment in self.assignments.values() {
            for (node, share) in assignment.shares() {
                let bound = earlier.entry(node).or_default();
                *bound = bound.plus(share).component_min(BUDGET);
            }
        }
        let assignment = ShareAssignment {
            endpoint: ENDPOINT.into(),
            epoch,
            budget: BUDGET,
            holders: holders.iter().map(|node| node_id(*node)).collect(),
            predecessors: earlier.into_iter().collect(),
            nodes: (0..NODES).map(node_id).collect(),
        };
        self.assignments.insert(epoch, assignment);
    }

    fn restart(&mut self, node: usize, epoch: EpochNumber, origin: AssignmentOrigin) {
        let now = self.clock(node);
        let member = &mut self.members[node];
        member.ledger = ShareLedger::new(node_id(node), member.incarnation, settings(), now);
        member.epoch = epoch;
        member.is_paused = false;
        member.ledger.assign(self.assignments[&epoch].clone(), origin, now);
        member.ledger.set_owner(ENDPOINT, Some(node_id(0)));
    }

    fn orphan_grants(&mut self, node: usize, u: &mut Unstructured) -> Result<()> {
        for grant in &mut self.grants {
            if grant.runner == (node, self.members[node].incarnation)
                && grant.is_started
                && !grant.is_ended
            {
                let orphaned = Duration::from_millis(u.int_in_range(0..=1_900)?);
                grant.ends_at = grant.ends_at.min(self.now + orphaned);
            }
        }
        self.members[node].incarnation += 1;
        Ok(())
    }

    fn crash(&mut self, node: usize, u: &mut Unstructured) -> Result<()> {
        if self.stopped == Some(node) {
            return Ok(());
        }
        self.orphan_grants(node, u)?;
        let newest = self.assignments.len() as u64;
        if u.arbitrary()? {
            self.restart(node, newest, AssignmentOrigin::Store);
        } else {
            let epoch = u.int_in_range(1..=newest)?;
            self.restart(node, epoch, AssignmentOrigin::Peer);
        }
        Ok(())
    }

    /// Stops a node; its ledger is replaced by an empty one that handles nothing.
    fn stop_node(&mut self, node: usize, u: &mut Unstructured) -> Result<()> {
        self.orphan_grants(node, u)?;
        let member = &mut self.members[node];
        member.ledger = ShareLedger::new(node_id(node), 0, settings(), Duration::ZERO);
        member.is_paused = true;
        self.stopped = Some(node);
        Ok(())
    }

    fn report_stopped(&mut self, peer: usize) {
        let clock = self.clock(peer);
        if let Some(stopped) = self.stopped.filter(|_| !self.members[peer].is_paused) {
            let incarnation = self.members[stopped].incarnation;
            self.members[peer].ledger.record_stopped_node(&node_id(stopped), incarnation, clock);
        }
    }

    fn assign_epoch(&mut self, node: usize, epoch: EpochNumber, origin: AssignmentOrigin) {
        let now = self.clock(node);
        let member = &mut self.members[node];
        if epoch >= member.epoch && !member.is_paused {
            member.epoch = epoch;
            member.ledger.assign(self.assignments[&epoch].clone(), origin, now);
        }
    }

    fn send(&mut self, from: usize, actions: Vec<ShareAction>, u: &mut Unstructured) -> Result<()> {
        for ShareAction::Send { to, message } in actions {
            let Some(to) = index(&to) else {
                continue;
            };
            let delivery: u8 = u.int_in_range(0..=9)?;
            let copies = match delivery {
                0..=6 => 1,
                7 => 2,
                _ => 0,
            };
            for _ in 0..copies {
                let slow = u.ratio(1, 12)?;
                let most = if slow { 8_000 } else { 60 };
                let at = self.now + Duration::from_millis(u.int_in_range(0..=most)?);
                self.messages.push(DelayedMessage { at, from, to, message: message.clone() });
            }
        }
        Ok(())
    }

    fn advance(&mut self, step: Duration, u: &mut Unstructured) -> Result<()> {
        self.now += step;
        self.end_grants();
        let now = self.now;
        let mut messages = std::mem::take(&mut self.messages);
        messages.sort_by_key(|delayed| delayed.at);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|p| p.at <= now);
        self.messages = later;
        for delayed in due {
            if self.partitioned[delayed.from][delayed.to] {
                continue;
            }
            if self.members[delayed.to].is_paused {
                self.messages.push(delayed);
                continue;
            }
            let clock = self.clock(delayed.to);
            let ledger = &mut self.members[delayed.to].ledger;
            let actions = ledger.receive(&node_id(delayed.from), delayed.message, clock);
            self.send(delayed.to, actions, u)?;
            self.check();
        }
        for node in 0..NODES {
            if !self.members[node].is_paused {
                let clock = self.clock(node);
                let actions = self.members[node].ledger.tick(clock);
                self.send(node, actions, u)?;
            }
            self.check();
        }
        Ok(())
    }

    /// Ends the attempts whose time has come, and reports them to their nodes and owners.
    fn end_grants(&mut self) {
        let now = self.now;
        for grant in &mut self.grants {
            grant.is_ended |= grant.is_started && now >= grant.ends_at;
            grant.is_ended |=
                !grant.is_started && now > grant.granted_at + Duration::from_millis(1_100);
            let (runner, incarnation) = grant.runner;
            if grant.is_ended
                && self.members[runner].incarnation == incarnation
                && !self.members[runner].is_paused
            {
                self.members[runner].ledger.finish(grant.charge.attempt);
            }
            let (owner, incarnation) = grant.owner;
            let is_known = now > grant.granted_at + Duration::from_secs(2);
            if grant.is_ended
                && is_known
                && self.members[owner].incarnation == incarnation
                && !self.members[owner].is_paused
            {
                self.members[owner].ledger.credit(grant.charge.attempt);
            }
        }
        let members = &self.members;
        self.grants.retain(|grant| {
            let owner = &members[grant.owner.0];
            let runner = &members[grant.runner.0];
            let is_forgotten = now > grant.granted_at + Duration::from_secs(3)
                && !(owner.is_paused && owner.incarnation == grant.owner.1)
                && !(runner.is_paused && runner.incarnation == grant.runner.1);
            !(grant.is_ended && is_forgotten)
        });
    }

    fn grant(&mut self, u: &mut Unstructured) -> Result<()> {
        let owner = u.choose_index(NODES)?;
        let runner = u.choose_index(NODES)?;
        let most = *u.choose(&[100, 400, 900])?;
        let amount = BudgetAmount::new(u.int_in_range(1..=most)?, 1);
        let duration = Duration::from_millis(u.int_in_range(0..=19_000)?);
        if self.members[owner].is_paused {
            return Ok(());
        }
        let clock = self.clock(owner);
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let ledger = &mut self.members[owner].ledger;
        let hold = Duration::from_secs(20);
        let Ok(charge) = ledger.charge(ENDPOINT, attempt, &node_id(runner), (amount, hold), clock)
        else {
            return Ok(());
        };
        self.grants.push(SimulatedGrant {
            charge,
            amount,
            owner: (owner, self.members[owner].incarnation),
            runner: (runner, self.members[runner].incarnation),
            granted_at: self.now,
            is_started: false,
            ends_at: self.now + duration,
            is_ended: false,
        });
        Ok(())
    }

    /// Starts a granted attempt at its node, unless the grant has expired.
    fn start_some(&mut self, u: &mut Unstructured) -> Result<()> {
        let waiting = |grant: &&mut SimulatedGrant| !grant.is_started && !grant.is_ended;
        let count = self.grants.iter_mut().filter(waiting).count();
        if count == 0 {
            return Ok(());
        }
        let chosen = u.choose_index(count)?;
        let now = self.now;
        let members = &mut self.members;
        let Some(grant) = self.grants.iter_mut().filter(waiting).nth(chosen) else {
            return Ok(());
        };
        let runner = &mut members[grant.runner.0];
        let is_late = now > grant.granted_at + Duration::from_secs(1);
        let is_same_incarnation = runner.incarnation == grant.runner.1;
        if is_late || runner.is_paused || !is_same_incarnation {
            return Ok(());
        }
        match runner.ledger.accept(grant.charge.clone()) {
            Ok(()) => {
                grant.is_started = true;
                grant.ends_at = grant.ends_at.max(now);
            },
            Err(_) => grant.is_ended = true,
        }
        Ok(())
    }

    /// Returns whether the node of a grant in flight will refuse it.
    fn is_refused(&self, grant: &SimulatedGrant) -> bool {
        let (runner, incarnation) = grant.runner;
        let member = &self.members[runner];
        !grant.is_started
            && (member.incarnation != incarnation || member.ledger.check(&grant.charge).is_err())
    }

    /// Checks the invariant: the running attempts, the grants that may still start and the amounts
    /// that all nodes may still grant never exceed the budget together.
    fn check(&self) {
        let out = self.grants.iter().filter(|grant| !grant.is_ended && !self.is_refused(grant));
        let mut sum = out.fold(BudgetAmount::default(), |sum, grant| sum.plus(grant.amount));
        for node in 0..NODES {
            sum = sum.plus(self.members[node].ledger.usable(ENDPOINT, self.clock(node)));
        }
        assert!(sum.fits(BUDGET), "{sum:?} exceeds {BUDGET:?} at {:?}", self.now);
    }

    fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        match u.int_in_range(0..=41)? {
            0..=13 => {
                let step = Duration::from_millis(u.int_in_range(10..=400)?);
                self.advance(step, u)?;
            },
            14 => self.advance(Duration::from_millis(u.int_in_range(1_000..=4_000)?), u)?,
            15..=22 => self.grant(u)?,
            23..=31 => self.start_some(u)?,
            32 => {
                let node = u.choose_index(NODES)?;
                let is_stopped = self.stopped == Some(node);
                self.members[node].is_paused = is_stopped || !self.members[node].is_paused;
            },
            33 => {
                let node = u.choose_index(NODES)?;
                self.crash(node, u)?;
            },
            34 | 35 => {
                let node = u.choose_index(NODES)?;
                let owner = u.choose_index(2)?;
                if !self.members[node].is_paused {
                    self.members[node].ledger.set_owner(ENDPOINT, Some(node_id(owner)));
                }
            },
            36 => {
                let (one, other) = (u.choose_index(NODES)?, u.choose_index(NODES)?);
                let partitioned = u.arbitrary()?;
                self.partitioned[one][other] = partitioned;
                self.partitioned[other][one] = partitioned && u.arbitrary()?;
            },
            37 if self.assignments.len() < self.max_epochs => {
                let left_out = u.choose_index(NODES + 1)?;
                let holders: Vec<usize> = (0..NODES).filter(|node| *node != left_out).collect();
                self.add_epoch(&holders);
            },
            38 => {
                let node = u.choose_index(NODES)?;
                let newest = self.assignments.len() as u64;
                if u.arbitrary()? {
                    self.assign_epoch(node, newest, AssignmentOrigin::Store);
                } else {
                    let epoch = u.int_in_range(1..=newest)?;
                    self.assign_epoch(node, epoch, AssignmentOrigin::Peer);
                }
            },
            39 => {
                let peer = u.choose_index(NODES)?;
                self.report_stopped(peer);
            },
            40 => match self.stopped {
                None if u.ratio(1, 4)? => {
                    let node = u.choose_index(NODES)?;
                    self.stop_node(node, u)?;
                },
                Some(node) if u.ratio(1, 4)? => {
                    self.stopped = None;
                    self.members[node].incarnation += 1;
                    let newest = self.assignments.len() as u64;
                    self.restart(node, newest, AssignmentOrigin::Store);
                },
                _ => {},
            },
            _ => {
                let (peer, ended) = (u.choose_index(NODES)?, u.choose_index(NODES)?);
                let clock = self.clock(peer);
                let incarnation = self.members[ended].incarnation;
                if !self.members[peer].is_paused && peer != ended && incarnation > 1 {
                    self.members[peer].ledger.record_ended_incarnations(
                        &node_id(ended),
                        incarnation,
                        clock,
                    );
                }
            },
        }
        self.check();
        Ok(())
    }

    /// Ends all partitions and pauses, and checks that the owner gets the whole budget again.
    fn heal(&mut self) -> Result<()> {
        self.partitioned = [[false; NODES]; NODES];
        let alive: Vec<usize> = (0..NODES).filter(|node| self.stopped != Some(*node)).collect();
        self.add_epoch(&alive);
        let owner = alive[0];
        let newest = self.assignments.len() as u64;
        for node in alive.clone() {
            self.members[node].is_paused = false;
            self.assign_epoch(node, newest, AssignmentOrigin::Store);
            self.report_stopped(node);
            self.members[node].ledger.set_owner(ENDPOINT, Some(node_id(owner)));
        }
        let no_input = [0_u8; 0];
        let mut u = Unstructured::new(&no_input);
        for _ in 0..200 {
            self.advance(Duration::from_millis(250), &mut u)?;
            alive.iter().for_each(|node| self.report_stopped(*node));
        }
        let usable = self.members[owner].ledger.usable(ENDPOINT, self.clock(owner));
        assert_eq!(usable, BUDGET, "part of the budget leaked");
        Ok(())
    }
}

fn simulate(u: &mut Unstructured) -> Result<()> {
    let mut simulation = ShareSimulation::new(u)?;
    while !u.is_empty() {
        simulation.step(u)?;
    }
    simulation.heal()
}

fn run_count() -> u64 {
    let run_count = std::env::var("APRICOTKNOT_FUZZ_RUNS").ok();
    run_count.and_then(|run_count| run_count.parse().ok()).unwrap_or(FIXED_RUNS)
}

#[test]
fn budgets_are_never_exceeded_and_never_leak() {
    for run_number in 1..=run_count() {
        arbtest(simulate).seed(run_number << 32 | RUN_BYTES);
    }
}
