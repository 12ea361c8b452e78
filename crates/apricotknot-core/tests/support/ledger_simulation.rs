//! Simulated nodes that share one unreliable store, and an oracle that checks executions.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::ledger::CallAnswer;
use apricotknot_core::ledger::CallId;
use apricotknot_core::ledger::CallKey;
use apricotknot_core::ledger::ContentDigest;
use apricotknot_core::ledger::IdempotencyLedger;
use apricotknot_core::ledger::LedgerAction;
use apricotknot_core::ledger::LedgerEvent;
use apricotknot_core::ledger::LedgerPolicy;
use apricotknot_core::ledger::LedgerTime;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::types::ExecutionCertainty;

/// Number of nodes that share the store.
pub(crate) const NODES: usize = 3;

/// Time within which a pending call must be decided.
pub(crate) const CALL_DEADLINE: Duration = Duration::from_secs(2);

/// Most bytes by which answers without bodies let a small shard exceed the limit for bodies.
const STATUS_BYTES: usize = 500;

/// Errors that report that a call did not run.
const NOT_RUN_KINDS: [CallerErrorKind; 3] = [
    CallerErrorKind::IdempotencyKeyReused,
    CallerErrorKind::LedgerFull,
    CallerErrorKind::LedgerUnavailable,
];

/// Offset of the wall clocks; keeps all their times positive.
const WALL_EPOCH: Duration = Duration::from_secs(1_000_000);

/// Outcome of one operation on the fake store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreOutcome {
    Answer,
    /// A write takes effect, but its response is lost.
    LoseAnswer,
    /// A write has no effect, and the node does not learn that.
    LoseRequest,
    /// A write takes effect after the node has received an unknown result.
    ApplyLater,
    Down,
}

/// Stage of one call, as the oracle tracks it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallStage {
    Pending,
    Permitted,
    /// The node has sent the call, and it has not reached the endpoint yet.
    Sending,
    Finished,
}

#[derive(Debug)]
pub(crate) struct SimulatedCall {
    pub(crate) node: usize,
    pub(crate) key: CallKey,
    pub(crate) content: ContentDigest,
    pub(crate) stage: CallStage,
    pub(crate) executed: bool,
    pub(crate) reported_not_run: bool,
    pub(crate) decisions: u32,
}

#[derive(Debug)]
struct Execution {
    key: CallKey,
    content: ContentDigest,
    at: Duration,
    answer: CallAnswer,
}

/// Simulates the nodes, the store, the endpoints and the callers.
pub(crate) struct LedgerSimulation {
    pub(crate) policy: LedgerPolicy,
    pub(crate) now: Duration,
    pub(crate) skews: [Duration; NODES],
    pub(crate) nodes: Vec<IdempotencyLedger>,
    pub(crate) in_flight: Vec<(usize, LedgerAction)>,
    pub(crate) calls: BTreeMap<CallId, SimulatedCall>,
    store: BTreeMap<u32, (u64, Vec<u8>)>,
    revision: u64,
    late_writes: Vec<LedgerAction>,
    executions: Vec<Execution>,
    pub(crate) swaps_applied: u64,
}

impl LedgerSimulation {
    pub(crate) fn new(policy: LedgerPolicy) -> Self {
        Self {
            policy,
            now: Duration::from_secs(10),
            skews: [Duration::ZERO; NODES],
            nodes: (0..NODES).map(|_| IdempotencyLedger::new(policy)).collect(),
            in_flight: Vec::new(),
            calls: BTreeMap::new(),
            store: BTreeMap::new(),
            revision: 0,
            late_writes: Vec::new(),
            executions: Vec::new(),
            swaps_applied: 0,
        }
    }

    pub(crate) fn time(&self, node: usize) -> LedgerTime {
        LedgerTime { monotonic: self.now, wall: WALL_EPOCH + self.now + self.skews[node] }
    }

    pub(crate) fn begin(&mut self, node: usize, key: CallKey, content: ContentDigest) -> CallId {
        let id = self.calls.len() as CallId + 1;
        let stage = CallStage::Pending;
        let (executed, reported_not_run, decisions) = (false, false, 0);
        self.calls.insert(
            id,
            SimulatedCall { node, key, content, stage, executed, reported_not_run, decisions },
        );
        let deadline = self.now + CALL_DEADLINE;
        self.feed(node, LedgerEvent::Begin { call: id, key, content, deadline });
        id
    }

    pub(crate) fn feed(&mut self, node: usize, event: LedgerEvent) {
        let time = self.time(node);
        for action in self.nodes[node].handle(event, time) {
            self.apply(node, action);
        }
    }

    fn apply(&mut self, node: usize, action: LedgerAction) {
        let call = match &action {
            LedgerAction::ReadShard { .. } | LedgerAction::SwapShard { .. } => {
                if let LedgerAction::SwapShard { value, .. } = &action {
                    assert!(
                        value.len() <= self.policy.body_limit + STATUS_BYTES,
                        "shard of {} bytes",
                        value.len()
                    );
                }
                return self.in_flight.push((node, action));
            },
            LedgerAction::Permit { call, .. }
            | LedgerAction::Refuse { call, .. }
            | LedgerAction::Replay { call, .. } => *call,
        };
        let tracked = self.calls.get_mut(&call).unwrap();
        tracked.decisions += 1;
        assert_eq!(tracked.decisions, 1, "call {call} was decided twice");
        tracked.stage = CallStage::Finished;
        match action {
            LedgerAction::Permit { .. } => tracked.stage = CallStage::Permitted,
            LedgerAction::Refuse { error, .. } => {
                assert_ne!(error.executed(), ExecutionCertainty::Yes);
                tracked.reported_not_run = error.executed() == ExecutionCertainty::No;
                assert_eq!(tracked.reported_not_run, NOT_RUN_KINDS.contains(&error.kind()));
            },
            LedgerAction::Replay { answer, .. } => self.check_replay(call, &answer),
            LedgerAction::ReadShard { .. } | LedgerAction::SwapShard { .. } => {},
        }
    }

    fn check_replay(&self, call: CallId, answer: &CallAnswer) {
        let call = &self.calls[&call];
        let has_run = self.executions.iter().any(|execution| {
            execution.key == call.key
                && execution.content == call.content
                && execution.answer.status == answer.status
                && (answer.body.is_none() || execution.answer.body == answer.body)
        });
        assert!(has_run, "replayed an answer that no execution of the call gave");
    }

    /// Performs one operation on the store with the given outcome.
    pub(crate) fn step_store(&mut self, index: usize, outcome: StoreOutcome) {
        let (node, action) = self.in_flight.remove(index);
        let event = match (&action, outcome) {
            (LedgerAction::ReadShard { shard, io }, StoreOutcome::Answer) => {
                let (revision, value) = self.stored(*shard);
                LedgerEvent::ShardRead { shard: *shard, io: *io, revision, value }
            },
            (LedgerAction::ReadShard { shard, io }, _)
            | (LedgerAction::SwapShard { shard, io, .. }, StoreOutcome::Down) => {
                LedgerEvent::StoreDown { shard: *shard, io: *io }
            },
            (LedgerAction::SwapShard { shard, io, .. }, StoreOutcome::Answer) => {
                let (shard, io) = (*shard, *io);
                let swapped = self.swap(&action);
                let (revision, value) = self.stored(shard);
                match swapped {
                    true => LedgerEvent::SwapSucceeded { shard, io, revision },
                    false => LedgerEvent::SwapFailed { shard, io, revision, value },
                }
            },
            (LedgerAction::SwapShard { shard, io, .. }, _) => {
                match outcome {
                    StoreOutcome::LoseAnswer => _ = self.swap(&action),
                    StoreOutcome::ApplyLater => self.late_writes.push(action.clone()),
                    _ => {},
                }
                LedgerEvent::SwapUnknown { shard: *shard, io: *io }
            },
            _ => return,
        };
        self.feed(node, event);
    }

    pub(crate) fn apply_late_writes(&mut self) {
        for action in std::mem::take(&mut self.late_writes) {
            self.swap(&action);
        }
    }

    fn stored(&self, shard: u32) -> (u64, Option<Vec<u8>>) {
        self.store
            .get(&shard)
            .map_or((0, None), |(revision, value)| (*revision, Some(value.clone())))
    }

    fn swap(&mut self, action: &LedgerAction) -> bool {
        let LedgerAction::SwapShard { shard, expected, value, .. } = action else {
            return false;
        };
        if self.stored(*shard).0 != *expected {
            return false;
        }
        self.revision += 1;
        self.swaps_applied += 1;
        self.store.insert(*shard, (self.revision, value.clone()));
        true
    }

    /// Crashes a node and restarts it; its writes in flight may still take effect.
    pub(crate) fn crash(&mut self, node: usize) {
        self.nodes[node] = IdempotencyLedger::new(self.policy);
        let (lost, kept) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(owner, _)| *owner == node);
        self.in_flight = kept;
        let lost: Vec<(usize, LedgerAction)> = lost;
        self.late_writes.extend(lost.into_iter().map(|(_, action)| action));
        for call in self.calls.values_mut().filter(|call| call.node == node) {
            // Bytes that were sent may still reach the endpoint.
            if call.stage != CallStage::Sending {
                call.stage = CallStage::Finished;
            }
        }
    }

    /// Sends a permitted call if its node still allows it; reports it as not run otherwise.
    pub(crate) fn send(&mut self, id: CallId) {
        let node = self.calls[&id].node;
        let time = self.time(node);
        if self.nodes[node].start_send(id, time) {
            self.calls.get_mut(&id).unwrap().stage = CallStage::Sending;
            return;
        }
        let call = self.calls.get_mut(&id).unwrap();
        call.stage = CallStage::Finished;
        call.reported_not_run = true;
        self.feed(node, LedgerEvent::NotRun { call: id });
    }

    /// Delivers a sent call to the endpoint, which runs or rejects it.
    pub(crate) fn deliver(&mut self, id: CallId, runs: bool, answer_lost: bool) {
        let call = self.calls.get_mut(&id).unwrap();
        call.stage = CallStage::Finished;
        let node = call.node;
        if !runs {
            call.reported_not_run = true;
            return self.feed(node, LedgerEvent::NotRun { call: id });
        }
        call.executed = true;
        let (key, content) = (call.key, call.content);
        let body = Some(format!("answer of {id:>200}").into_bytes().into());
        let answer = CallAnswer { status: 200, content_type: Some("text/plain".into()), body };
        let at = self.now;
        self.executions.push(Execution { key, content, at, answer: answer.clone() });
        let event = match answer_lost {
            true => LedgerEvent::Lost { call: id },
            false => LedgerEvent::Completed { call: id, answer },
        };
        self.feed(node, event);
    }

    pub(crate) fn in_stage(&self, stage: CallStage) -> Vec<CallId> {
        self.calls.iter().filter(|(_, call)| call.stage == stage).map(|(id, _)| *id).collect()
    }

    /// Checks the invariants that hold after every step.
    pub(crate) fn check(&self) {
        let last = self.executions.len().saturating_sub(1);
        if let Some(newest) = self.executions.last() {
            for older in &self.executions[..last] {
                let apart = newest.at - older.at;
                assert!(
                    older.key != newest.key || apart >= self.policy.record_lifetime,
                    "executed twice within {apart:?}"
                );
            }
        }
        for (id, call) in &self.calls {
            assert!(
                !(call.reported_not_run && call.executed),
                "call {id} was reported as not run, but ran"
            );
        }
    }

    /// Answers every operation until all nodes are idle.
    pub(crate) fn run_until_idle(&mut self) {
        for _ in 0..200 {
            while !self.in_flight.is_empty() {
                self.step_store(0, StoreOutcome::Answer);
            }
            let wakes = self.nodes.iter().filter_map(IdempotencyLedger::next_wake);
            let Some(wake) = wakes.min() else {
                return;
            };
            self.now = self.now.max(wake);
            for node in 0..NODES {
                self.feed(node, LedgerEvent::Tick);
            }
        }
        panic!("the ledger did not become idle within 200 rounds");
    }
}
