//! Measures the number of non-repeatable calls (orders) that each write of the store serves.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use apricotknot_standin::fleet::FleetClient;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use clap::Arg;
use clap::Command;
use clap::value_parser;
use hdrhistogram::Histogram;

/// Number of concurrent callers in each step.
const CALLER_COUNTS: [u64; 5] = [8, 32, 128, 512, 1_024];

/// Largest latency that is recorded, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Holds the results of all callers of one step.
struct StepResult {
    answered: u64,
    refusals: BTreeMap<String, u64>,
    latency: Histogram<u64>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_name("NUMBER")
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    let matches = Command::new("order_slope")
        .about("Sends orders through a fleet of processes and counts the store's writes")
        .arg(number("nodes", "Number of nodes", "3"))
        .arg(number("seconds", "Duration of each step, in seconds", "5"))
        .get_matches();
    let get = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (nodes, seconds) = (get("nodes"), get("seconds"));
    actix_rt::System::new().block_on(measure(nodes as usize, Duration::from_secs(seconds)))
}

async fn measure(nodes: usize, time: Duration) -> Result<(), Box<dyn Error>> {
    let settings =
        FleetSettings::default().nodes(nodes).plain_services(3).non_repeatable_path("/orders");
    let fleet = FleetHarness::start(settings).await?;
    println!("nodes {nodes}, {} s a step", time.as_secs());
    println!("callers  orders/s  writes/s  reads/s  orders/write  p50 ms  p99 ms  not answered");
    for callers in CALLER_COUNTS {
        let before = store_calls(&fleet).await?;
        let start = Instant::now();
        let result = run_step(&fleet, callers, time).await?;
        let seconds = start.elapsed().as_secs_f64();
        let after = store_calls(&fleet).await?;
        let writes = after.0 - before.0;
        println!(
            "{callers:>7} {:>9.0} {:>9.0} {:>8.0} {:>13.1} {:>7.1} {:>7.1} {:>13}",
            result.answered as f64 / seconds,
            writes as f64 / seconds,
            (after.1 - before.1) as f64 / seconds,
            result.answered as f64 / writes.max(1) as f64,
            result.latency.value_at_quantile(0.5) as f64 / 1_000.0,
            result.latency.value_at_quantile(0.99) as f64 / 1_000.0,
            result.refusals.values().sum::<u64>(),
        );
        for (code, count) in &result.refusals {
            println!("        {count} refused: {code}");
        }
    }
    Ok(())
}

/// Returns the number of transactions and of reads that the store has received.
async fn store_calls(fleet: &FleetHarness) -> Result<(u64, u64), Box<dyn Error>> {
    let stats = fleet.client.get(fleet.store.address, "/standin/stats").await?.json();
    let count = |name: &str| stats["calls"][name].as_u64().unwrap_or(0);
    Ok((count("/v3/kv/txn"), count("/v3/kv/range")))
}

async fn run_step(
    fleet: &FleetHarness,
    callers: u64,
    time: Duration,
) -> Result<StepResult, Box<dyn Error>> {
    let end = Instant::now() + time;
    let mut tasks = Vec::new();
    for caller in 0..callers {
        let node = fleet.nodes[caller as usize % fleet.nodes.len()].callers;
        let client = fleet.client.clone();
        tasks.push(actix_rt::spawn(async move {
            let mut outcomes = Vec::new();
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let key = format!("{callers}-{caller}-{number}");
                outcomes.push(send_order(&client, node, &key).await);
            }
            outcomes
        }));
    }
    let latency = Histogram::new_with_max(MAX_MICROS, 3)?;
    let mut result = StepResult { answered: 0, refusals: BTreeMap::new(), latency };
    for task in tasks {
        for outcome in task.await? {
            match outcome {
                Ok(latency) => {
                    result.answered += 1;
                    result.latency.saturating_record(latency.as_micros() as u64);
                },
                Err(code) => *result.refusals.entry(code).or_default() += 1,
            }
        }
    }
    Ok(result)
}

/// Sends one order; returns the latency of its answer, or the error code of its refusal.
async fn send_order(
    client: &FleetClient,
    node: std::net::SocketAddr,
    key: &str,
) -> Result<Duration, String> {
    let start = Instant::now();
    let headers = [("authorization", "Bearer clerk-key"), ("idempotency-key", key)];
    let answer = client.call(Method::POST, node, "/booking/orders", &headers, "{}").await;
    match answer {
        Ok(answer) if answer.status == 200 => Ok(start.elapsed()),
        Ok(answer) => Err(answer.json()["error"]["code"].to_string()),
        Err(_) => Err("no answer".to_owned()),
    }
}
