//! Fuzzes the pool scheduler against a simple model of its endpoints.
//!
//! `APRICOTKNOT_FUZZ_RUNS` sets the number of seeds that each test runs.

#[path = "support/endpoint_model.rs"]
mod endpoint_model;

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::admission::AccountLimits;
use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::LoadReport;
use apricotknot_core::admission::PoolAction;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::PoolScheduler;
use apricotknot_core::admission::PoolSettings;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::resources::DutyState;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::LengthClass;
use apricotknot_core::types::RequestProfile;
use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use endpoint_model::COLD;
use endpoint_model::EndpointModel;
use endpoint_model::UNREACHABLE_PAUSE;
use endpoint_model::endpoint;
use endpoint_model::with_one_proof;

const FIXED_RUNS: u64 = 150;
const RUN_BYTES: u64 = 6_000;
const ENDPOINTS: usize = 3;

struct PoolSimulation {
    now: Duration,
    pool: PoolScheduler,
    endpoints: BTreeMap<EndpointId, EndpointModel>,
    /// Queued requests, each with the time by which it must be granted or refused.
    waiting: BTreeMap<u128, (RequestSubmission, Duration)>,
    /// Grants whose memory the endpoints may still hold.
    held: BTreeMap<u128, GrantTicket>,
    /// Attempts that the scheduler asked to cancel and confirm.
    cancelled: Vec<u128>,
    next_id: u128,
}

impl PoolSimulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Duration::from_secs(100),
            pool: PoolScheduler::new(PoolSettings::new("pool/0")),
            endpoints: BTreeMap::new(),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            cancelled: Vec::new(),
            next_id: 1,
        };
        for (number, memory) in [100_000, 200_000, 400_000].into_iter().enumerate() {
            simulation.add_endpoint(number, memory);
        }
        simulation
    }

    fn add_endpoint(&mut self, number: usize, memory: u64) {
        let capacity = EndpointCapacity::new(BudgetAmount::new(memory, 8), COLD);
        let allowance = capacity.warm;
        let model = EndpointModel {
            capacity,
            allowance,
            proven: COLD,
            boot: 0,
            is_present: true,
            unreachable_until: Duration::ZERO,
        };
        self.endpoints.insert(endpoint(number), model);
        self.apply(PoolEvent::EndpointUpdated { endpoint: endpoint(number), capacity });
        self.apply(PoolEvent::AllowanceChanged { endpoint: endpoint(number), allowance });
    }

    fn apply(&mut self, event: PoolEvent) {
        let actions = self.pool.handle(event, self.now);
        for action in actions {
            match action {
                PoolAction::Grant(ticket) => self.handle_grant(*ticket),
                PoolAction::Refuse(notice) => {
                    let known = self.waiting.remove(&notice.request);
                    assert!(known.is_some(), "refused {}, which is not queued", notice.request);
                },
                PoolAction::CancelAttempt { attempt, .. } => self.cancelled.push(attempt),
            }
        }
        self.check();
    }

    fn handle_grant(&mut self, ticket: GrantTicket) {
        let Some((submission, _)) = self.waiting.remove(&ticket.request) else {
            panic!("granted {}, which is not queued", ticket.request);
        };
        assert!(!submission.excluded.contains(&ticket.endpoint), "granted an excluded endpoint");
        assert_eq!(ticket.memory_tokens, submission.profile.memory_tokens());
        let is_archive = |prompt_tokens| LengthClass::of(prompt_tokens) == LengthClass::Archive;
        let here = self.held.values().filter(|held| held.endpoint == ticket.endpoint);
        let archives = here.filter(|held| is_archive(held.memory_tokens)).count();
        if is_archive(submission.profile.prompt_tokens) {
            assert_eq!(archives, 0, "two archive prompts on one engine");
        }
        let endpoint = ticket.endpoint.clone();
        assert!(self.held.insert(ticket.attempt, ticket).is_none(), "granted an attempt twice");
        let model = &self.endpoints[&endpoint];
        assert!(model.is_present && model.capacity.duty == DutyState::In, "granted with duty out");
        assert!(self.now >= model.unreachable_until, "granted at an unreachable endpoint");
        let limit = model.capacity.warm.component_min(model.allowance).component_min(model.proven);
        let used = self.used(&endpoint);
        assert!(used.fits(limit), "{used:?} exceeds {limit:?} at {endpoint}");
    }

    fn used(&self, endpoint: &EndpointId) -> BudgetAmount {
        let here = self.held.values().filter(|held| held.endpoint == *endpoint);
        here.fold(BudgetAmount::default(), |sum, held| {
            sum.plus(BudgetAmount::new(held.memory_tokens, 1))
        })
    }

    /// Checks that the scheduler counts exactly the memory that endpoints may hold, that no usable
    /// endpoint is idle while requests wait, and that every request is answered in time.
    fn check(&self) {
        for endpoint in self.endpoints.keys() {
            assert_eq!(self.pool.used(endpoint), self.used(endpoint), "usage of {endpoint}");
        }
        assert_eq!(self.pool.queued(), self.waiting.len());
        let largest = self.waiting.values().map(|(waiting, _)| waiting.profile.memory_tokens());
        let largest = BudgetAmount::new(largest.max().unwrap_or(0), 1);
        for (name, model) in &self.endpoints {
            let is_idle = self.used(name) == BudgetAmount::default();
            let is_reachable = self.now >= model.unreachable_until;
            let is_usable =
                model.is_present && model.capacity.duty == DutyState::In && is_reachable;
            let takes_all = largest.fits(self.pool.limit(name));
            let excludes = |(waiting, _): &(RequestSubmission, _)| waiting.excluded.contains(name);
            let is_needed = !self.waiting.is_empty() && !self.waiting.values().any(excludes);
            assert!(
                !(is_idle && is_usable && takes_all && is_needed),
                "{name} is idle while requests wait"
            );
        }
        for (submission, latest) in self.waiting.values() {
            assert!(self.now <= *latest, "{} was not answered in time", submission.profile.id);
        }
    }

    fn submit(&mut self, u: &mut Unstructured) -> Result<()> {
        let id = self.next_id;
        self.next_id += 1;
        let most = *u.choose(&[2_000, 9_000, 90_000, 420_000])?;
        let mut excluded = Vec::new();
        if u.ratio(1, 8)? {
            excluded.push(endpoint(u.choose_index(ENDPOINTS)?));
        }
        let profile = RequestProfile {
            id,
            account: format!("account-{}", u.int_in_range(0..=4)?).into(),
            service: "assistant".into(),
            prompt_tokens: u.int_in_range(0..=most)?,
            max_output_tokens: 0,
            fingerprint: 0,
            prefix_blocks: vec![u.int_in_range(0..=9)?, u.arbitrary()?],
            deadline: self.now + Duration::from_millis(u.int_in_range(1..=60_000)?),
        };
        let node = format!("node-{}", u.int_in_range(0..=2)?).into();
        let submission = RequestSubmission { profile, attempt: id, node, excluded };
        let latest = submission.profile.deadline.min(self.now + Duration::from_secs(30));
        self.waiting.insert(id, (submission.clone(), latest));
        self.apply(PoolEvent::Submit(submission));
        Ok(())
    }

    fn choose_held(&self, u: &mut Unstructured) -> Result<Option<u128>> {
        if self.held.is_empty() {
            return Ok(None);
        }
        let chosen = u.choose_index(self.held.len())?;
        Ok(self.held.keys().nth(chosen).copied())
    }

    fn end_attempt(&mut self, u: &mut Unstructured) -> Result<()> {
        let Some(attempt) = self.choose_held(u)? else {
            return Ok(());
        };
        let outcome = *u.choose(&[
            AttemptOutcome::Answered,
            AttemptOutcome::Answered,
            AttemptOutcome::Refused,
            AttemptOutcome::Lost,
            AttemptOutcome::Cancelled,
        ])?;
        let confirmed_free = outcome != AttemptOutcome::Lost && u.ratio(7, 8)?;
        if outcome == AttemptOutcome::Lost {
            let endpoint = self.held[&attempt].endpoint.clone();
            self.reset_to_cold(&endpoint);
        }
        if confirmed_free {
            self.held.remove(&attempt);
        }
        self.apply(PoolEvent::AttemptEnded { attempt, outcome, confirmed_free, usage: None });
        Ok(())
    }

    fn reset_to_cold(&mut self, endpoint: &EndpointId) {
        if let Some(model) = self.endpoints.get_mut(endpoint) {
            model.proven = COLD;
        }
    }

    fn confirm(&mut self, attempt: u128) {
        self.held.remove(&attempt);
        self.apply(PoolEvent::FreeConfirmed { attempt });
    }

    fn advance(&mut self, step: Duration) {
        let end = self.now + step;
        while let Some(due) = self.pool.next_wakeup().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.apply(PoolEvent::Tick);
        }
        self.now = end;
    }

    fn change_endpoint(&mut self, u: &mut Unstructured) -> Result<()> {
        let name = endpoint(u.choose_index(ENDPOINTS)?);
        let is_unused = self.used(&name) == BudgetAmount::default();
        let Some(model) = self.endpoints.get_mut(&name) else {
            return Ok(());
        };
        match u.int_in_range(0..=6)? {
            0 => {
                model.capacity.duty = *u.choose(&[DutyState::In, DutyState::Out])?;
                if !model.is_present {
                    model.proven = COLD;
                    model.boot = 0;
                }
                if !model.is_present && is_unused {
                    model.allowance = model.capacity.warm;
                    model.unreachable_until = Duration::ZERO;
                }
                model.is_present = true;
                let capacity = model.capacity;
                self.apply(PoolEvent::EndpointUpdated { endpoint: name, capacity });
            },
            1 => {
                model.allowance =
                    BudgetAmount::new(u.int_in_range(0..=400_000)?, u.int_in_range(0..=8)?);
                let allowance = model.allowance;
                self.apply(PoolEvent::AllowanceChanged { endpoint: name, allowance });
            },
            2 => {
                model.proven = COLD;
                model.unreachable_until = self.now + UNREACHABLE_PAUSE;
                self.apply(PoolEvent::ConnectionReset { endpoint: name });
            },
            3 => {
                model.boot += 1;
                if model.boot > 1 {
                    model.proven = COLD;
                }
                self.report(name, true);
            },
            4 => {
                let doubled = model.proven.plus(model.proven).plus(BudgetAmount::new(1, 1));
                model.proven = doubled.component_min(model.capacity.warm);
                self.report(name, false);
            },
            5 => {
                model.proven = model.capacity.warm;
                let boot_id = format!("boot-{}", model.boot).into();
                self.apply(PoolEvent::WarmupProven { endpoint: name, boot_id });
            },
            _ => {
                model.is_present = false;
                self.apply(PoolEvent::EndpointRemoved { endpoint: name.clone() });
                if self.used(&name) == BudgetAmount::default() {
                    let number = (0..ENDPOINTS).find(|number| endpoint(*number) == name);
                    self.add_endpoint(number.unwrap_or(0), 200_000);
                }
            },
        }
        Ok(())
    }

    fn report(&mut self, name: EndpointId, cold: bool) {
        if let Some(model) = self.endpoints.get_mut(&name) {
            model.unreachable_until = Duration::ZERO;
        }
        let boot_id = format!("boot-{}", self.endpoints[&name].boot).into();
        let report = LoadReport { boot_id, cold, memory_used: 0, running: 0, waiting: 0 };
        self.apply(PoolEvent::LoadReported { endpoint: name, report });
    }

    fn first_token(&mut self, u: &mut Unstructured) -> Result<()> {
        if let Some(attempt) = self.choose_held(u)? {
            let endpoint = self.held[&attempt].endpoint.clone();
            if let Some(model) = self.endpoints.get_mut(&endpoint) {
                model.proven = with_one_proof(model.proven);
            }
            let after = Duration::from_millis(u.int_in_range(0..=30_000)?);
            self.apply(PoolEvent::FirstToken { attempt, after });
        }
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        match u.int_in_range(0..=29)? {
            0..=9 => self.submit(u)?,
            10..=15 => self.end_attempt(u)?,
            16 | 17 => {
                if let Some(attempt) = self.choose_held(u)? {
                    self.apply(PoolEvent::Started { attempt });
                }
            },
            18..=20 => self.first_token(u)?,
            21..=23 => {
                let step = Duration::from_millis(u.int_in_range(0..=3_000)?);
                self.advance(step);
            },
            24 => {
                let request = u.int_in_range(1..=self.next_id)?;
                self.waiting.remove(&request);
                self.apply(PoolEvent::Withdraw { request });
            },
            25 | 26 => {
                let mut cancelled =
                    self.cancelled.iter().filter(|attempt| self.held.contains_key(attempt));
                if let Some(attempt) = cancelled.next_back().copied() {
                    self.confirm(attempt);
                }
            },
            27 => {
                let node = format!("node-{}", u.int_in_range(0..=2)?);
                self.waiting.retain(|_, (submission, _)| *submission.node != *node);
                self.apply(PoolEvent::NodeStopped { node: node.as_str().into() });
                for held in self.held.values().filter(|held| *held.node == *node) {
                    assert!(self.cancelled.contains(&held.attempt), "no cancel for {node}");
                }
            },
            _ => self.change_endpoint(u)?,
        }
        Ok(())
    }

    /// Checks that one archive prompt can use the memory of a whole engine again.
    fn check_whole_engine(&mut self) {
        let name = endpoint(2);
        self.advance(Duration::from_secs(30));
        self.add_endpoint(2, 400_000);
        let boot_id = "boot-of-the-end".into();
        let report = LoadReport { boot_id, cold: true, memory_used: 0, running: 0, waiting: 0 };
        self.apply(PoolEvent::LoadReported { endpoint: name.clone(), report });
        self.apply(PoolEvent::WarmupProven {
            endpoint: name.clone(),
            boot_id: "boot-of-the-end".into(),
        });
        if let Some(model) = self.endpoints.get_mut(&name) {
            model.proven = model.capacity.warm;
        }
        let id = self.next_id;
        let profile = RequestProfile {
            id,
            account: "archivist".into(),
            service: "assistant".into(),
            prompt_tokens: 399_000,
            max_output_tokens: 1_000,
            fingerprint: 0,
            prefix_blocks: Vec::new(),
            deadline: self.now + Duration::from_secs(600),
        };
        let (node, excluded) = ("node-1".into(), Vec::new());
        let submission = RequestSubmission { profile, attempt: id, node, excluded };
        self.waiting.insert(id, (submission.clone(), self.now));
        self.apply(PoolEvent::Submit(submission));
        assert!(self.held.contains_key(&id), "part of the engine's budget leaked");
    }

    /// Lets all attempts end, and checks that nothing stays counted.
    fn end_all_attempts(&mut self) {
        self.advance(Duration::from_secs(120));
        assert_eq!(self.waiting.len(), 0);
        for attempt in self.held.keys().copied().collect::<Vec<_>>() {
            assert!(self.cancelled.contains(&attempt), "{attempt} was not cancelled");
            self.confirm(attempt);
        }
        for number in 0..5 {
            let account = format!("account-{number}").as_str().into();
            assert_eq!(self.pool.active(&account), 0, "{account} counts ended requests");
        }
    }
}

fn simulate(u: &mut Unstructured) -> Result<()> {
    let mut simulation = PoolSimulation::new();
    while !u.is_empty() {
        simulation.step(u)?;
    }
    simulation.end_all_attempts();
    simulation.check_whole_engine();
    Ok(())
}

/// Checks the fairness of the queue between accounts that always have requests waiting: none gets
/// ahead of another by more than one largest request of each, divided by their weights.
fn compare_account_shares(u: &mut Unstructured) -> Result<()> {
    let mut pool = PoolScheduler::new(PoolSettings::new("pool/0"));
    let warm = BudgetAmount::new(1_000_000, 1 + u.int_in_range(0..=7)?);
    let capacity = EndpointCapacity::new(warm, warm);
    let now = Duration::from_secs(1);
    pool.handle(PoolEvent::EndpointUpdated { endpoint: "e1".into(), capacity }, now);
    let weights: Vec<u32> = (0..3).map(|_| u.int_in_range(1..=10)).collect::<Result<_>>()?;
    let mut running: Vec<GrantTicket> = Vec::new();
    let mut served = [0.0_f64; 3];
    let mut at_start = [0.0_f64; 3];
    for (account, weight) in weights.iter().enumerate() {
        let limits = AccountLimits { weight: *weight, ..AccountLimits::default() };
        let account = format!("{account}").into();
        pool.handle(PoolEvent::AccountChanged { account, limits }, now);
    }
    let mut id = 0;
    let mut rounds = 0;
    while rounds < 200 {
        for account in 0..3 {
            id += 1;
            let profile = RequestProfile {
                id,
                account: format!("{account}").into(),
                service: "assistant".into(),
                prompt_tokens: u.int_in_range(1..=8_000)?,
                max_output_tokens: 0,
                fingerprint: 0,
                prefix_blocks: Vec::new(),
                deadline: Duration::from_secs(1_000),
            };
            let node = "node-1".into();
            let submission = RequestSubmission { profile, attempt: id, node, excluded: Vec::new() };
            let actions = pool.handle(PoolEvent::Submit(submission), now);
            running.extend(actions.into_iter().filter_map(granted));
        }
        if rounds >= 20 {
            let ended = running.remove(u.choose_index(running.len())?);
            let (attempt, outcome) = (ended.attempt, AttemptOutcome::Answered);
            let event =
                PoolEvent::AttemptEnded { attempt, outcome, confirmed_free: true, usage: None };
            for ticket in pool.handle(event, now).into_iter().filter_map(granted) {
                let account: usize = ticket.account.parse().unwrap_or(0);
                served[account] += ticket.memory_tokens as f64 / f64::from(weights[account]);
                running.push(ticket);
            }
        } else {
            at_start = served;
        }
        rounds += 1;
    }
    for one in 0..3 {
        for other in 0..3 {
            let ahead = (served[one] - at_start[one]) - (served[other] - at_start[other]);
            let bound = 8_000.0 / f64::from(weights[one]) + 8_000.0 / f64::from(weights[other]);
            assert!(ahead <= bound + 1.0, "{one} is {ahead} ahead of {other}, {bound} allowed");
        }
    }
    Ok(())
}

fn granted(action: PoolAction) -> Option<GrantTicket> {
    match action {
        PoolAction::Grant(ticket) => Some(*ticket),
        _ => None,
    }
}

fn run_count() -> u64 {
    let run_count = std::env::var("APRICOTKNOT_FUZZ_RUNS").ok();
    run_count.and_then(|run_count| run_count.parse().ok()).unwrap_or(FIXED_RUNS)
}

#[test]
fn budgets_are_exact_and_every_request_ends() {
    for run_number in 1..=run_count() {
        arbtest(simulate).seed(run_number << 32 | RUN_BYTES);
    }
}

#[test]
fn accounts_with_queued_work_get_shares_by_weight() {
    for run_number in 1..=run_count() {
        arbtest(compare_account_shares).seed(run_number << 32 | RUN_BYTES);
    }
}
