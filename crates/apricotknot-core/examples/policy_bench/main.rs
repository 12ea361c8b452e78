//! Compares scheduling policies on the same arrivals, and checks the pool scheduler against bounds.
//!
//! Run with `cargo run --release -p apricotknot-core --example policy_bench [SEED]`; exits with
//! status 1 if a bound is missed.

mod fleet;
mod policy;

use std::process::ExitCode;
use std::time::Duration;

use apricotknot_core::types::LengthClass;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use fleet::BenchRequest;
use fleet::ENGINE_MEMORY;
use fleet::EventQueue;
use fleet::FleetEvent;
use fleet::PREFILL_RATE;
use fleet::SimulatedFleet;
use policy::BenchPolicy;
use policy::ChoicePolicy;
use policy::PolicyStep;
use policy::QueuePolicy;
use policy::SchedulerPolicy;

/// Offered prefill load, as a fraction of the prefill rate of all engines.
const PREFILL_LOAD: f64 = 0.85;

/// Duration of the arrivals.
const ARRIVALS: Duration = Duration::from_secs(900);

/// Time before which arrivals are not measured.
const WARM_UP: Duration = Duration::from_secs(60);

/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of nodes in the policy with fixed shares.
const NODES: u32 = 8;

/// Average number of requests for each archive prompt.
const ARCHIVE_EVERY: u32 = 50;

/// Relative arrival rates of the accounts; a few accounts send most requests.
const ACCOUNT_SHARES: [u32; 10] = [30, 25, 20, 5, 5, 5, 4, 3, 2, 1];

/// Bound of the 99th percentile of the slowdown of short prompts, relative to an idle engine.
const MAX_SHORT_SLOWDOWN: f64 = 2.0;

/// Least factor by which that percentile must be smaller than with first come, first served.
const MIN_IMPROVEMENT: f64 = 10.0;

/// Number of engines at the largest site.
const MAX_ENGINES: usize = 20;

/// Least archive goodput, as a fraction of that with first come, first served.
const MIN_ARCHIVE_GOODPUT: f64 = 0.9;

/// Results of the requests under one policy.
struct PolicyResult {
    name: &'static str,
    /// Time to first token of each answered request, by the index of the request.
    first_tokens: Vec<Option<Duration>>,
    finished: Vec<Option<Duration>>,
    refused: usize,
    overshoot: u64,
}

fn main() -> ExitCode {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut is_good = true;
    for (site, engines) in [("hokkaido", 20), ("almaty", 15)] {
        let requests = arrivals(engines, seed);
        println!("\n{site}: {engines} engines, {} requests, seed {seed}", requests.len());
        let fcfs = run("first come first served", QueuePolicy::new(engines, false), &requests);
        let least = run("least loaded", QueuePolicy::new(engines, true), &requests);
        let choice = run("two random choices", ChoicePolicy::new(engines), &requests);
        let shares = run("fixed shares", SchedulerPolicy::new(engines, NODES), &requests);
        let owner = run("owner per pool", SchedulerPolicy::new(engines, 1), &requests);
        for result in [&fcfs, &least, &choice, &shares, &owner] {
            print_result(result, &requests);
        }
        is_good &= check(&fcfs, &owner, &requests);
    }
    if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn arrivals(engines: usize, seed: u64) -> Vec<BenchRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut drafts: Vec<(usize, u64, u64)> = Vec::new();
    let (mut tokens, mut offered_tokens) = (0_u64, 0_f64);
    let rate = PREFILL_LOAD * (engines as u64 * PREFILL_RATE) as f64;
    while offered_tokens < rate * ARRIVALS.as_secs_f64() {
        let prompt = prompt_tokens(&mut random);
        let output = random.random_range(32..=512);
        drafts.push((account(&mut random), prompt, output));
        if prompt + output <= ENGINE_MEMORY {
            tokens += prompt;
            offered_tokens = tokens as f64;
        }
    }
    let mean_gap = ARRIVALS.as_secs_f64() / drafts.len() as f64;
    let mut now = 0_f64;
    let requests = drafts.into_iter().enumerate().map(|(id, (account, prompt, output))| {
        now -= mean_gap * (1.0 - random.random::<f64>()).ln();
        BenchRequest {
            id,
            account,
            prompt_tokens: prompt,
            output_tokens: output,
            arrives_at: Duration::from_secs_f64(now),
        }
    });
    requests.collect()
}

fn prompt_tokens(random: &mut StdRng) -> u64 {
    let is_archive = random.random_range(0..ARCHIVE_EVERY) == 0;
    let (least, most) =
        if is_archive { (100_000.0_f64, 1_000_000.0) } else { (1_000.0_f64, 100_000.0) };
    (least * (most / least).powf(random.random::<f64>())) as u64
}

fn account(random: &mut StdRng) -> usize {
    let mut drawn = random.random_range(0..ACCOUNT_SHARES.iter().sum::<u32>());
    for (account, share) in ACCOUNT_SHARES.iter().enumerate() {
        if drawn < *share {
            return account;
        }
        drawn -= share;
    }
    0
}

fn run(
    name: &'static str,
    mut policy: impl BenchPolicy,
    requests: &[BenchRequest],
) -> PolicyResult {
    let mut events = EventQueue::default();
    for request in requests {
        events.push(request.arrives_at, FleetEvent::Arrival(request.id));
    }
    let last = requests.last().map(|request| request.arrives_at).unwrap_or_default();
    let mut fleet = SimulatedFleet::new(MAX_ENGINES, requests);
    let mut result = PolicyResult {
        name,
        first_tokens: vec![None; requests.len()],
        finished: vec![None; requests.len()],
        refused: 0,
        overshoot: 0,
    };
    events.push(REPORT_INTERVAL, FleetEvent::Tick);
    while let Some((now, event)) = events.pop() {
        let steps = match event {
            FleetEvent::Arrival(id) => policy.arrive(&requests[id], now),
            FleetEvent::Chunk(engine) => {
                fleet.end_chunk(engine, now, &mut events);
                continue;
            },
            FleetEvent::FirstToken(engine, id) => {
                result.first_tokens[id] = Some(now - requests[id].arrives_at);
                fleet.answer(engine, &requests[id], now, &mut events);
                policy.first_token(&requests[id], now)
            },
            FleetEvent::Finish(engine, id) => {
                result.finished[id] = Some(now);
                fleet.finish(engine, &requests[id]);
                policy.finish(engine, &requests[id], now)
            },
            FleetEvent::Tick => {
                if now < last + Duration::from_secs(600) {
                    events.push(now + REPORT_INTERVAL, FleetEvent::Tick);
                }
                policy.tick(&fleet.load(), now)
            },
        };
        for step in steps {
            match step {
                PolicyStep::Send(id, engine, priority) => {
                    fleet.send(engine, &requests[id], priority, now, &mut events);
                },
                PolicyStep::Refuse => result.refused += 1,
            }
        }
    }
    result.overshoot = fleet.overshoot;
    result
}

fn is_measured(request: &BenchRequest) -> bool {
    request.arrives_at >= WARM_UP
}

fn of_class(requests: &[BenchRequest], class: LengthClass) -> impl Iterator<Item = &BenchRequest> {
    let measured = requests.iter().filter(|request| is_measured(request));
    measured.filter(move |request| LengthClass::of(request.prompt_tokens) == class)
}

fn percentile(mut values: Vec<f64>, part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * part).ceil() as usize).saturating_sub(1);
    values.get(index).copied().unwrap_or(f64::NAN)
}

fn first_tokens(result: &PolicyResult, requests: &[BenchRequest], class: LengthClass) -> Vec<f64> {
    let answered = of_class(requests, class).filter_map(|request| result.first_tokens[request.id]);
    answered.map(|after| after.as_secs_f64()).collect()
}

fn short_slowdown(result: &PolicyResult, requests: &[BenchRequest]) -> f64 {
    let short = of_class(requests, LengthClass::Short);
    let slowdowns = short.filter_map(|request| {
        let after = result.first_tokens[request.id]?;
        Some(after.as_secs_f64() / request.idle_first_token_time().as_secs_f64())
    });
    percentile(slowdowns.collect(), 0.99)
}

/// Returns the prompt tokens per second of archive prompts that completed while requests arrived.
fn archive_goodput(result: &PolicyResult, requests: &[BenchRequest]) -> f64 {
    let archives = of_class(requests, LengthClass::Archive);
    let done = archives
        .filter(|request| result.finished[request.id].is_some_and(|finished| finished <= ARRIVALS));
    let tokens: u64 = done.map(|request| request.prompt_tokens).sum();
    tokens as f64 / (ARRIVALS - WARM_UP).as_secs_f64()
}

fn print_result(result: &PolicyResult, requests: &[BenchRequest]) {
    println!("  {}", result.name);
    for class in LengthClass::ALL {
        let times = first_tokens(result, requests, class);
        let (count, p50) = (times.len(), percentile(times.clone(), 0.5));
        let most = percentile(times, 0.99);
        println!("    {class:>8}: {count:6} answered, first token p50 {p50:.3} s, p99 {most:.3} s");
    }
    let slowdown = short_slowdown(result, requests);
    let goodput = archive_goodput(result, requests);
    println!(
        "    short slowdown p99 {slowdown:.2}, archive goodput {goodput:.0} tokens/s, \
         refused {}, overshoot {} tokens",
        result.refused, result.overshoot
    );
}

fn check(fcfs: &PolicyResult, owner: &PolicyResult, requests: &[BenchRequest]) -> bool {
    let slowdown = short_slowdown(owner, requests);
    let improvement = short_slowdown(fcfs, requests) / slowdown;
    let goodput = archive_goodput(owner, requests) / archive_goodput(fcfs, requests);
    let bounds = [
        ("short slowdown p99", slowdown, slowdown <= MAX_SHORT_SLOWDOWN),
        ("times better than first come first served", improvement, improvement >= MIN_IMPROVEMENT),
        ("part of its archive goodput", goodput, goodput >= MIN_ARCHIVE_GOODPUT),
        ("overshoot in tokens", owner.overshoot as f64, owner.overshoot == 0),
    ];
    for (name, value, is_good) in bounds {
        println!("  {}: {name} {value:.2}", if is_good { "ok" } else { "FAILED" });
    }
    bounds.iter().all(|(_, _, is_good)| *is_good)
}
