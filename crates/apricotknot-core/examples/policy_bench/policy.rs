//! Scheduling policies that are compared.

use std::collections::VecDeque;
use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::admission::PoolAction;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::PoolScheduler;
use apricotknot_core::admission::PoolSettings;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::RequestProfile;

use crate::fleet::BenchRequest;
use crate::fleet::ENGINE_CONCURRENT;
use crate::fleet::ENGINE_MEMORY;

/// Longest time from arrival to the end of an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// Describes what a policy does with a request.
pub(crate) enum PolicyStep {
    /// Sends the request to an engine: request, engine, priority.
    Send(usize, usize, u8),
    /// Refuses the request.
    Refuse,
}

/// Decides which request runs on which engine, and when.
pub(crate) trait BenchPolicy {
    /// Handles the arrival of a request.
    fn arrive(&mut self, request: &BenchRequest, now: Duration) -> Vec<PolicyStep>;

    /// Handles the first token of a request.
    fn first_token(&mut self, request: &BenchRequest, now: Duration) -> Vec<PolicyStep>;

    /// Handles the end of a request.
    fn finish(&mut self, engine: usize, request: &BenchRequest, now: Duration) -> Vec<PolicyStep>;

    /// Handles the reported load of all engines: tokens in memory and number of requests.
    fn tick(&mut self, load: &[(u64, u32)], now: Duration) -> Vec<PolicyStep>;
}

/// Policy with one queue for the whole pool: first come, first served, or the first that fits.
pub(crate) struct QueuePolicy {
    queue: VecDeque<BenchRequest>,
    used: Vec<(u64, u32)>,
    may_overtake: bool,
}

impl QueuePolicy {
    /// Creates the policy; `may_overtake` allows a request to overtake one that does not fit.
    pub(crate) fn new(engines: usize, may_overtake: bool) -> Self {
        Self { queue: VecDeque::new(), used: vec![(0, 0); engines], may_overtake }
    }

    fn place(&self, request: &BenchRequest) -> Option<usize> {
        let fits = |used: &&(u64, u32)| {
            used.0 + request.memory_tokens() <= ENGINE_MEMORY && used.1 < ENGINE_CONCURRENT
        };
        let candidates = self.used.iter().enumerate().filter(|(_, used)| fits(used));
        candidates.min_by_key(|(_, used)| used.0).map(|(engine, _)| engine)
    }

    fn serve(&mut self) -> Vec<PolicyStep> {
        let mut steps = Vec::new();
        let mut index = 0;
        while let Some(request) = self.queue.get(index) {
            let Some(engine) = self.place(request) else {
                if !self.may_overtake {
                    break;
                }
                index += 1;
                continue;
            };
            self.used[engine].0 += request.memory_tokens();
            self.used[engine].1 += 1;
            steps.push(PolicyStep::Send(request.id, engine, 0));
            self.queue.remove(index);
        }
        steps
    }
}

impl BenchPolicy for QueuePolicy {
    fn arrive(&mut self, request: &BenchRequest, _: Duration) -> Vec<PolicyStep> {
        if request.memory_tokens() > ENGINE_MEMORY {
            return vec![PolicyStep::Refuse];
        }
        self.queue.push_back(request.clone());
        self.serve()
    }

    fn first_token(&mut self, _: &BenchRequest, _: Duration) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn finish(&mut self, engine: usize, request: &BenchRequest, _: Duration) -> Vec<PolicyStep> {
        self.used[engine].0 -= request.memory_tokens();
        self.used[engine].1 -= 1;
        self.serve()
    }

    fn tick(&mut self, _: &[(u64, u32)], _: Duration) -> Vec<PolicyStep> {
        Vec::new()
    }
}

/// Policy that sends each request immediately to the less loaded of two random engines, by their
/// last reported load.
pub(crate) struct ChoicePolicy {
    reported_load: Vec<(u64, u32)>,
    random_state: u64,
}

impl ChoicePolicy {
    /// Creates the policy for `engines` idle engines.
    pub(crate) fn new(engines: usize) -> Self {
        Self { reported_load: vec![(0, 0); engines], random_state: 0x9e37_79b9_7f4a_7c15 }
    }

    fn pick(&mut self) -> usize {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state % self.reported_load.len() as u64) as usize
    }
}

impl BenchPolicy for ChoicePolicy {
    fn arrive(&mut self, request: &BenchRequest, _: Duration) -> Vec<PolicyStep> {
        let (one, other) = (self.pick(), self.pick());
        let engine = if self.reported_load[one] <= self.reported_load[other] { one } else { other };
        if self.reported_load[engine].0 + request.memory_tokens() > ENGINE_MEMORY {
            return vec![PolicyStep::Refuse];
        }
        vec![PolicyStep::Send(request.id, engine, 0)]
    }

    fn first_token(&mut self, _: &BenchRequest, _: Duration) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn finish(&mut self, _: usize, _: &BenchRequest, _: Duration) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn tick(&mut self, load: &[(u64, u32)], _: Duration) -> Vec<PolicyStep> {
        self.reported_load = load.to_vec();
        Vec::new()
    }
}

/// Policy of the pool scheduler, with one owner of the whole pool or with fixed shares of several
/// nodes.
pub(crate) struct SchedulerPolicy {
    pools: Vec<PoolScheduler>,
}

impl SchedulerPolicy {
    /// Creates the policy with `nodes` schedulers that have equal shares.
    pub(crate) fn new(engines: usize, nodes: u32) -> Self {
        let pools = (0..nodes).map(|_| pool(engines, nodes));
        Self { pools: pools.collect() }
    }

    fn handle(&mut self, node: usize, event: PoolEvent, now: Duration) -> Vec<PolicyStep> {
        let actions = self.pools[node].handle(event, now);
        let steps = actions.into_iter().filter_map(|action| match action {
            PoolAction::Grant(ticket) => {
                let engine = ticket.endpoint.parse().unwrap_or(0);
                Some(PolicyStep::Send(ticket.request as usize, engine, ticket.priority))
            },
            PoolAction::Refuse(_) => Some(PolicyStep::Refuse),
            PoolAction::CancelAttempt { .. } => None,
        });
        let steps: Vec<PolicyStep> = steps.collect();
        for step in &steps {
            if let PolicyStep::Send(request, ..) = step {
                self.pools[node].handle(PoolEvent::Started { attempt: *request as u128 }, now);
            }
        }
        steps
    }
}

fn pool(engines: usize, nodes: u32) -> PoolScheduler {
    let mut pool = PoolScheduler::new(PoolSettings::new("bench/0"));
    let warm = BudgetAmount::new(ENGINE_MEMORY, ENGINE_CONCURRENT);
    let capacity = EndpointCapacity::new(warm, warm);
    let share = BudgetAmount::new(ENGINE_MEMORY / u64::from(nodes), ENGINE_CONCURRENT / nodes);
    for engine in 0..engines {
        let endpoint: std::sync::Arc<str> = format!("{engine:02}").into();
        let boot_id = "boot".into();
        let set = PoolEvent::EndpointUpdated { endpoint: endpoint.clone(), capacity };
        pool.handle(set, Duration::ZERO);
        let proven = PoolEvent::WarmupProven { endpoint: endpoint.clone(), boot_id };
        pool.handle(proven, Duration::ZERO);
        let allowed = PoolEvent::AllowanceChanged { endpoint, allowance: share };
        pool.handle(allowed, Duration::ZERO);
    }
    pool
}

impl BenchPolicy for SchedulerPolicy {
    fn arrive(&mut self, request: &BenchRequest, now: Duration) -> Vec<PolicyStep> {
        let id = request.id as u128;
        let profile = RequestProfile {
            id,
            account: format!("account-{}", request.account).into(),
            service: "bench".into(),
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.output_tokens,
            fingerprint: 0,
            prefix_blocks: Vec::new(),
            deadline: now + REQUEST_TIMEOUT,
        };
        let (node, excluded) = ("node".into(), Vec::new());
        let submission = RequestSubmission { profile, attempt: id, node, excluded };
        let node = request.id % self.pools.len();
        self.handle(node, PoolEvent::Submit(submission), now)
    }

    fn first_token(&mut self, request: &BenchRequest, now: Duration) -> Vec<PolicyStep> {
        let (attempt, after) = (request.id as u128, request.idle_first_token_time());
        let node = request.id % self.pools.len();
        self.handle(node, PoolEvent::FirstToken { attempt, after }, now)
    }

    fn finish(&mut self, _: usize, request: &BenchRequest, now: Duration) -> Vec<PolicyStep> {
        let (attempt, outcome) = (request.id as u128, AttemptOutcome::Answered);
        let event = PoolEvent::AttemptEnded { attempt, outcome, confirmed_free: true, usage: None };
        self.handle(request.id % self.pools.len(), event, now)
    }

    fn tick(&mut self, _: &[(u64, u32)], now: Duration) -> Vec<PolicyStep> {
        let nodes = 0..self.pools.len();
        nodes.flat_map(|node| self.handle(node, PoolEvent::Tick, now)).collect()
    }
}
