//! Measures the cost of one decision of the pool scheduler for fleets of several sizes.
//!
//! Run with `cargo run --release -p apricotknot-core --example decision_bench`; exits with status
//! 1 if the largest fleet exceeds the bound. Every pool is full and has a queue, so that each
//! decision has to search for a request that fits.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::admission::AccountLimits;
use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::admission::PoolAction;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::PoolScheduler;
use apricotknot_core::admission::PoolSettings;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::resources::AdmissionSpec;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::RequestProfile;

/// Largest number of endpoints in one pool.
const POOL_ENDPOINTS: usize = 64;

/// Requests in the queue of each pool.
const QUEUED_REQUESTS: usize = 2_000;

/// Decisions before the measured ones, so that tables have grown to their final size.
const WARM_UP: usize = 200_000;

/// Number of measured decisions.
const DECISIONS: usize = 100_000;

/// Bound of the mean cost of one decision in the largest fleet.
const MAX_COST: Duration = Duration::from_micros(20);

/// Endpoints and accounts of the measured fleets; only the last is checked against the bound.
const SIZES: [(usize, usize); 6] =
    [(64, 10), (64, 1_000), (64, 23_000), (320, 23_000), (1_200, 23_000), (2_400, 23_000)];

/// A pool whose endpoints are full and that has queued requests.
struct LoadedPool {
    scheduler: PoolScheduler,
    running: Vec<u128>,
}

struct LoadedFleet {
    pools: Vec<LoadedPool>,
    accounts: Vec<Arc<str>>,
    next_id: u128,
    now: Duration,
}

impl LoadedFleet {
    fn new(endpoints: usize, accounts: usize) -> Self {
        let accounts: Vec<Arc<str>> =
            (0..accounts).map(|account| format!("account-{account}").into()).collect();
        let pools = (0..endpoints)
            .step_by(POOL_ENDPOINTS)
            .map(|first| loaded_pool(POOL_ENDPOINTS.min(endpoints - first), &accounts));
        let pools = pools.collect();
        let mut fleet = Self { pools, accounts, next_id: 1, now: Duration::from_secs(1) };
        for pool in 0..fleet.pools.len() {
            while fleet.pools[pool].scheduler.queued() < QUEUED_REQUESTS {
                fleet.submit(pool);
            }
        }
        fleet
    }

    fn submit(&mut self, pool: usize) -> Duration {
        let id = self.next_id;
        self.next_id += 1;
        self.now += Duration::from_micros(77);
        let length = hash_number(id);
        let prompt_tokens = match length % 50 {
            0 => 100_001 + length / 50 % 200_000,
            1..=24 => 8_001 + length / 50 % 90_000,
            _ => 1_000 + length / 50 % 7_000,
        };
        let account = self.accounts[hash_number(id + 7) as usize % self.accounts.len()].clone();
        let profile = RequestProfile {
            id,
            account,
            service: "bench".into(),
            prompt_tokens,
            max_output_tokens: 256,
            fingerprint: 0,
            prefix_blocks: (0..prompt_tokens / 256).map(|block| block ^ (length << 20)).collect(),
            deadline: self.now + Duration::from_secs(600),
        };
        let (node, excluded) = ("node-1".into(), Vec::new());
        let submission = RequestSubmission { profile, attempt: id, node, excluded };
        self.apply(pool, PoolEvent::Submit(submission))
    }

    fn end(&mut self, pool: usize) -> Duration {
        self.now += Duration::from_micros(77);
        let running = &mut self.pools[pool].running;
        let chosen = hash_number(self.next_id) as usize % running.len();
        let attempt = running.swap_remove(chosen);
        let outcome = AttemptOutcome::Answered;
        let event = PoolEvent::AttemptEnded { attempt, outcome, confirmed_free: true, usage: None };
        self.apply(pool, event)
    }

    fn apply(&mut self, pool: usize, event: PoolEvent) -> Duration {
        let pool = &mut self.pools[pool];
        let started_at = Instant::now();
        let actions = pool.scheduler.handle(event, self.now);
        pool.scheduler.take_freed();
        let mut cost = started_at.elapsed();
        for action in actions {
            if let PoolAction::Grant(ticket) = action {
                pool.running.push(ticket.attempt);
                let started_at = Instant::now();
                let event = PoolEvent::Started { attempt: ticket.attempt };
                pool.scheduler.handle(event, self.now);
                cost += started_at.elapsed();
            }
        }
        cost
    }
}

fn loaded_pool(endpoints: usize, accounts: &[Arc<str>]) -> LoadedPool {
    let spec = AdmissionSpec { queue_timeout_ms: 3_600_000, ..AdmissionSpec::default() };
    let mut scheduler = PoolScheduler::new(PoolSettings::new("bench/0").spec(spec));
    let warm = BudgetAmount::new(450_000, 64);
    let capacity = EndpointCapacity::new(warm, warm);
    for number in 0..endpoints {
        let endpoint: Arc<str> = format!("endpoint-{number}").into();
        let set = PoolEvent::EndpointUpdated { endpoint: endpoint.clone(), capacity };
        scheduler.handle(set, Duration::ZERO);
        let boot_id = "boot".into();
        scheduler.handle(PoolEvent::WarmupProven { endpoint, boot_id }, Duration::ZERO);
    }
    for account in accounts {
        let (account, limits) = (account.clone(), AccountLimits::default());
        scheduler.handle(PoolEvent::AccountChanged { account, limits }, Duration::ZERO);
    }
    LoadedPool { scheduler, running: Vec::new() }
}

fn hash_number(number: u128) -> u64 {
    let mut value = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^= value >> 29;
    value.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
}

/// Returns the mean cost of a submission, the mean cost of the end of an attempt, and the 99th
/// percentile over both.
fn measure(endpoints: usize, accounts: usize) -> (Duration, Duration, Duration) {
    let mut fleet = LoadedFleet::new(endpoints, accounts);
    let mut costs = Vec::with_capacity(DECISIONS);
    let (mut submits, mut ends) = (Duration::ZERO, Duration::ZERO);
    let mut counts = (0_u32, 0_u32);
    for decision in 0..WARM_UP + DECISIONS {
        let is_measured = decision >= WARM_UP;
        let pool = hash_number(decision as u128 + 99) as usize % fleet.pools.len();
        let cost = if fleet.pools[pool].scheduler.queued() < QUEUED_REQUESTS {
            let cost = fleet.submit(pool);
            submits += if is_measured { cost } else { Duration::ZERO };
            counts.0 += u32::from(is_measured);
            cost
        } else {
            let cost = fleet.end(pool);
            ends += if is_measured { cost } else { Duration::ZERO };
            counts.1 += u32::from(is_measured);
            cost
        };
        if is_measured {
            costs.push(cost);
        }
    }
    costs.sort_unstable();
    let p99 = costs[DECISIONS * 99 / 100];
    (submits / counts.0.max(1), ends / counts.1.max(1), p99)
}

fn main() -> ExitCode {
    let mut is_good = true;
    for (endpoints, accounts) in SIZES {
        let (submit, end, p99) = measure(endpoints, accounts);
        println!(
            "{endpoints:5} endpoints, {accounts:6} accounts: submit {submit:?}, end {end:?}, \
             p99 of both {p99:?}"
        );
        if (endpoints, accounts) == SIZES[SIZES.len() - 1] {
            is_good = submit <= MAX_COST && end <= MAX_COST;
        }
    }
    println!("{}: at most {MAX_COST:?} a decision", if is_good { "ok" } else { "FAILED" });
    if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
