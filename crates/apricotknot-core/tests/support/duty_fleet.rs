//! Nodes that compete for a duty, and a platform that checks what it is sent, in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::duty::DutyAction;
use apricotknot_core::duty::DutyHolder;
use apricotknot_core::duty::DutyLimits;
use apricotknot_core::duty::DutyOutcome;
use apricotknot_core::fleet::NodePosition;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::duty_store::DutyStore;

/// Length of a step of the simulation.
pub(crate) const STEP: Duration = Duration::from_millis(20);

/// Lease time of the fleet.
pub(crate) const LEASE_TIME: Duration = Duration::from_secs(3);

/// Time after its start in which a node learns of the others.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Number of subjects of calls to the platform.
const SUBJECTS: usize = 3;

/// Call that a node has sent to the platform.
#[derive(Clone, Copy, Debug)]
struct SentDuty {
    arrives_at: Duration,
    machine: usize,
    fence: u64,
    subject: usize,
}

/// Call that a node has sent to the key-value service.
#[derive(Clone, Debug)]
struct SentCall {
    ends_at: Duration,
    outcome: DutyOutcome,
}

/// One machine with the process that runs on it.
pub(crate) struct SimulatedNode {
    pub(crate) holder: DutyHolder,
    incarnation: u64,
    /// Time before the start of the simulation at which the clock of the machine began.
    clock_offset: Duration,
    call: Option<SentCall>,
    /// Era and revision up to which the node knows the changes.
    known: Option<(u64, u64)>,
    next_read: Duration,
    pub(crate) frozen_until: Duration,
    pub(crate) cut_from_store_until: Duration,
    pub(crate) cut_from_platform_until: Duration,
    next_act: Duration,
    /// Time from which the machine has a process.
    starts_at: Duration,
}

/// Nodes, service and platform of one run.
pub(crate) struct DutyFleet {
    pub(crate) store: DutyStore,
    pub(crate) nodes: Vec<SimulatedNode>,
    pub(crate) random: StdRng,
    pub(crate) now: Duration,
    incarnations: u64,
    sent: Vec<SentDuty>,
    /// Largest fencing number of each subject.
    fences: BTreeMap<usize, u64>,
    /// Machine and incarnation that used each fencing number.
    users: BTreeMap<u64, (usize, u64)>,
    /// Machine and time of the calls that were carried out.
    pub(crate) carried_out: Vec<(Duration, usize)>,
    pub(crate) loss: f64,
}

impl DutyFleet {
    pub(crate) fn new(nodes: usize, seed: u64) -> Self {
        let mut fleet = Self {
            store: DutyStore::new(),
            nodes: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            incarnations: 0,
            sent: Vec::new(),
            fences: BTreeMap::new(),
            users: BTreeMap::new(),
            carried_out: Vec::new(),
            loss: 0.0,
        };
        for index in 0..nodes {
            let node = fleet.new_node(index, Duration::ZERO);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn new_node(&mut self, index: usize, starts_at: Duration) -> SimulatedNode {
        self.incarnations += 1;
        let limits = DutyLimits::new(LEASE_TIME);
        SimulatedNode {
            holder: DutyHolder::new(format!("node-{index}").into(), self.incarnations, limits),
            incarnation: self.incarnations,
            clock_offset: Duration::from_secs(1_000 * (index as u64 + 1)),
            call: None,
            known: None,
            next_read: starts_at,
            frozen_until: Duration::ZERO,
            cut_from_store_until: Duration::ZERO,
            cut_from_platform_until: Duration::ZERO,
            next_act: Duration::ZERO,
            starts_at,
        }
    }

    /// Kills the process of a machine; another one starts `after` that.
    pub(crate) fn kill(&mut self, index: usize, after: Duration) {
        self.nodes[index] = self.new_node(index, self.now + after);
    }

    /// Returns the machine that may act.
    pub(crate) fn actor(&self) -> Option<usize> {
        let is_actor = |node: &SimulatedNode| {
            let now = self.now + node.clock_offset;
            node.holder.term().is_some_and(|term| term.since <= now && now < term.until)
        };
        self.nodes.iter().position(is_actor)
    }

    /// Returns the time of a machine's clock.
    pub(crate) fn local_time(&self, index: usize) -> Duration {
        self.now + self.nodes[index].clock_offset
    }

    /// Ends all faults that last.
    pub(crate) fn calm(&mut self) {
        self.loss = 0.0;
        self.store.set_down(false, true, self.now);
        for node in &mut self.nodes {
            (node.frozen_until, node.cut_from_store_until) = (self.now, self.now);
            node.cut_from_platform_until = self.now;
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.store.tick(self.now);
        let arrived: Vec<_> =
            self.sent.extract_if(.., |duty| duty.arrives_at <= self.now).collect();
        for duty in arrived {
            self.carry_out(duty);
        }
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if self.now >= node.frozen_until && self.now >= node.starts_at {
                self.step_node(index);
            }
        }
    }

    fn step_node(&mut self, index: usize) {
        let now = self.now + self.nodes[index].clock_offset;
        // A process that wakes up acts on what it finds first, in any order.
        if self.random.random_bool(0.5) {
            self.act(index, now);
        }
        self.read_store(index, now);
        let node = &mut self.nodes[index];
        if let Some(call) = node.call.take_if(|call| call.ends_at <= self.now) {
            node.holder.complete(call.outcome, now);
        }
        // Nodes that start do not know one another at first.
        let is_new = self.now < self.nodes[index].starts_at + DISCOVERY_TIME;
        let position = match is_new {
            true => NodePosition { index: 0, count: 1 },
            false => NodePosition { index, count: self.nodes.len() },
        };
        if let Some(action) = self.nodes[index].holder.next_action(position, now) {
            self.call_store(index, &action);
        }
        self.act(index, now);
    }

    fn call_store(&mut self, index: usize, action: &DutyAction) {
        let delay = Duration::from_millis(self.random.random_range(1..60));
        let is_cut = self.now < self.nodes[index].cut_from_store_until;
        let is_lost = self.random.random_bool(self.loss);
        let timeout = self.now + Duration::from_secs(1);
        let unknown = SentCall { ends_at: timeout, outcome: DutyOutcome::Unknown };
        let call = if is_cut {
            unknown
        } else if self.store.is_down {
            if self.random.random_bool(0.5) {
                let late = self.now + Duration::from_millis(self.random.random_range(0..5_000));
                self.store.execute_later(late, action.clone());
            }
            unknown
        } else if is_lost {
            match self.random.random_bool(0.5) {
                true => _ = self.store.execute(action, self.now),
                false => {
                    let late = self.now + Duration::from_millis(self.random.random_range(0..5_000));
                    self.store.execute_later(late, action.clone());
                },
            }
            unknown
        } else {
            SentCall { ends_at: self.now + delay, outcome: self.store.execute(action, self.now) }
        };
        self.nodes[index].call = Some(call);
    }

    fn read_store(&mut self, index: usize, now: Duration) {
        let node = &mut self.nodes[index];
        if self.store.is_down || self.now < node.cut_from_store_until || self.now < node.next_read {
            return;
        }
        node.next_read = self.now + Duration::from_millis(self.random.random_range(20..600));
        let contents = self.store.contents();
        let known = node.known.filter(|(era, _)| *era == contents.era);
        match known.and_then(|(_, revision)| self.store.changes(revision)) {
            Some(changes) => {
                changes.into_iter().for_each(|change| node.holder.observe_change(change, now));
            },
            None => node.holder.observe(contents.clone(), now),
        }
        node.known = Some((contents.era, contents.revision));
    }

    fn act(&mut self, index: usize, now: Duration) {
        let node = &mut self.nodes[index];
        let Some(term) = node.holder.term().filter(|term| term.since <= now && now < term.until)
        else {
            return;
        };
        if self.now < node.next_act {
            return;
        }
        node.next_act = self.now + Duration::from_millis(self.random.random_range(20..700));
        let is_cut = self.now < node.cut_from_platform_until;
        node.holder.record_platform(!is_cut, now);
        // A holder that acts after a later one has acted overlaps with it.
        let largest = self.users.keys().next_back().copied().unwrap_or_default();
        assert!(term.fence >= largest, "fence {} after {largest}", term.fence);
        let user = (index, node.incarnation);
        let known = *self.users.entry(term.fence).or_insert(user);
        assert_eq!(known, user, "two nodes use the fence {}", term.fence);
        if !is_cut {
            let delay = match self.random.random_bool(0.9) {
                true => Duration::from_millis(5),
                false => Duration::from_millis(self.random.random_range(5..900)),
            };
            let subject = self.random.random_range(0..SUBJECTS);
            self.sent.push(SentDuty {
                arrives_at: self.now + delay,
                machine: index,
                fence: term.fence,
                subject,
            });
        }
    }

    fn carry_out(&mut self, duty: SentDuty) {
        let largest = self.fences.entry(duty.subject).or_default();
        if duty.fence < *largest {
            return;
        }
        *largest = duty.fence;
        let same = |&(_, machine): &(Duration, usize)| machine == duty.machine;
        let between = self.carried_out.iter().rev().take_while(|call| !same(call)).count();
        let before = self.carried_out.iter().rev().find(|call| same(call));
        if let Some((at, _)) = before.filter(|_| between > 0) {
            let gap = self.now.saturating_sub(*at);
            assert!(gap >= LEASE_TIME, "node-{} takes turns within {gap:?}", duty.machine);
        }
        self.carried_out.push((self.now, duty.machine));
    }
}
