//! Engines that crash when their limits are exceeded, behind several nodes under load and faults.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_standin::engine::verify_answer;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetClient;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::ProcessSignal;
use apricotknot_standin::fleet::chat_body;
use apricotknot_standin::fleet::eventually;
use futures::future::join_all;
use serde_json::Value;
use serde_json::json;

const MODEL: &str = "standin";

const CHAT: &str = "/v1/chat/completions";

/// Length of each answer, in tokens.
const ANSWER_TOKENS: usize = 40;

/// Counts the outcomes of the requests of one load.
#[derive(Debug, Default)]
struct LoadCounts {
    answered: usize,
    not_run: usize,
    unclear: usize,
    codes: BTreeMap<String, usize>,
}

impl LoadCounts {
    fn add(mut self, other: Self) -> Self {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unclear += other.unclear;
        for (code, count) in other.codes {
            *self.codes.entry(code).or_default() += count;
        }
        self
    }
}

fn small_engine() -> EnginePlan {
    EnginePlan::default()
        .option("--step-ms", 2)
        .memory_tokens(12_000)
        .max_concurrent(16)
        .cold_limits(2_500, 2)
}

/// Sends one prompt of about a thousand tokens and checks the answer.
async fn send_one(client: FleetClient, node: SocketAddr, number: usize, counts: &mut LoadCounts) {
    let prompt = format!("{number:>8} {}", "letter ".repeat(570));
    let body = chat_body(MODEL, &prompt, ANSWER_TOKENS as u64, false);
    let account = FleetHarness::account_headers();
    let Ok(answer) = client.post(node, CHAT, &account, &body).await else {
        counts.unclear += 1;
        return;
    };
    if answer.status == 200 {
        let text = answer.completion_text();
        assert_eq!(verify_answer(MODEL, &prompt, &text, ANSWER_TOKENS), Ok(()));
        counts.answered += 1;
    } else if answer.header("x-executed") == Some("no") {
        counts.not_run += 1;
        let code = answer.json()["error"]["code"].as_str().unwrap_or("none").to_owned();
        *counts.codes.entry(code).or_default() += 1;
    } else {
        counts.unclear += 1;
    }
}

/// Runs forty concurrent callers for each node, each of which sends `rounds` requests in sequence.
async fn send_load(client: &FleetClient, nodes: Vec<SocketAddr>, rounds: usize) -> LoadCounts {
    let callers = (0..40 * nodes.len()).map(|caller| {
        let node = nodes[caller % nodes.len()];
        let client = client.clone();
        async move {
            let mut counts = LoadCounts::default();
            for round in 0..rounds {
                send_one(client.clone(), node, caller * 1_000 + round, &mut counts).await;
            }
            counts
        }
    });
    let all = join_all(callers).await;
    all.into_iter().fold(LoadCounts::default(), LoadCounts::add)
}

fn addresses(fleet: &FleetHarness) -> Vec<SocketAddr> {
    fleet.nodes.iter().map(|node| node.callers).collect()
}

/// Asserts that no engine was over-committed and that it crashed only for the reasons in `crashes`;
/// returns the statistics of all engines.
async fn assert_within_budgets(fleet: &FleetHarness, crashes: &[&str]) -> Vec<Value> {
    let mut all = Vec::new();
    for index in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(index).await.unwrap();
        assert_eq!(stats["over_committed"], 0, "{stats}");
        for crash in stats["crashes"].as_array().unwrap() {
            assert!(crashes.contains(&crash.as_str().unwrap()), "{crash}");
        }
        all.push(stats);
    }
    all
}

async fn assert_memory_is_released(fleet: &FleetHarness) {
    let free = eventually(async || {
        let mut used = 0;
        for index in 0..fleet.engines.len() {
            let stats = fleet.engine_stats(index).await.unwrap();
            used += stats["load"]["memory_used"].as_u64().unwrap();
        }
        used == 0
    });
    assert!(free.await);
}

#[actix_rt::test]
async fn load_through_all_nodes_stays_within_every_budget() {
    let settings = FleetSettings::default().nodes(3).engine(small_engine()).engine(small_engine());
    let fleet = FleetHarness::start(settings).await.unwrap();
    let counts = send_load(&fleet.client, addresses(&fleet), 5).await;
    println!("{counts:?}");
    assert_eq!(counts.unclear, 0);
    assert!(counts.answered > 0);
    let stats = assert_within_budgets(&fleet, &[]).await;
    let executions: usize =
        stats.iter().map(|stats| stats["executions"].as_object().unwrap().len()).sum();
    assert_eq!(executions, counts.answered);
    assert_memory_is_released(&fleet).await;
}

#[actix_rt::test]
async fn budgets_hold_when_a_node_is_killed_under_load() {
    let settings = FleetSettings::default().nodes(3).engine(small_engine()).engine(small_engine());
    let mut fleet = FleetHarness::start(settings).await.unwrap();
    let client = fleet.client.clone();
    let (counts, ()) = futures::join!(send_load(&client, addresses(&fleet), 8), async {
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        fleet.nodes[0].process.kill();
    });
    println!("{counts:?}");
    assert!(counts.answered > 0);
    assert_within_budgets(&fleet, &[]).await;
    assert_memory_is_released(&fleet).await;
    let survivors = addresses(&fleet).split_off(1);
    let served = eventually(async || send_load(&client, survivors.clone(), 1).await.answered > 0);
    assert!(served.await, "the other nodes still serve");
    assert_within_budgets(&fleet, &[]).await;
}

#[actix_rt::test]
async fn budgets_hold_when_a_node_is_paused_under_load() {
    let settings = FleetSettings::default().nodes(3).engine(small_engine()).engine(small_engine());
    let mut fleet = FleetHarness::start(settings).await.unwrap();
    let client = fleet.client.clone();
    let (counts, ()) = futures::join!(send_load(&client, addresses(&fleet), 8), async {
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        fleet.nodes[0].process.signal(ProcessSignal::Stop);
        actix_rt::time::sleep(Duration::from_secs(4)).await;
        fleet.nodes[0].process.signal(ProcessSignal::Continue);
    });
    println!("{counts:?}");
    assert!(counts.answered > 0);
    assert_within_budgets(&fleet, &[]).await;
    assert_memory_is_released(&fleet).await;
}

#[actix_rt::test]
async fn engine_in_cold_start_stays_within_its_cold_limits() {
    let plan = small_engine().option("--cold-ms", 1_500).option("--restart-ms", 200);
    let settings = FleetSettings::default().nodes(2).engine(plan.clone()).engine(plan);
    let fleet = FleetHarness::start(settings).await.unwrap();
    let client = &fleet.client;
    let engine = fleet.engines[0].address;
    let (counts, ()) = futures::join!(send_load(client, addresses(&fleet), 12), async {
        for _ in 0..2 {
            actix_rt::time::sleep(Duration::from_millis(700)).await;
            let _ = client.post(engine, "/standin/crash", &[], &json!({})).await;
        }
    });
    println!("{counts:?}");
    assert!(counts.answered > 0);
    let stats = assert_within_budgets(&fleet, &["asked for"]).await;
    for stats in &stats {
        assert!(stats["cold_concurrent_peak"].as_u64().unwrap() <= 2, "{stats}");
    }
    assert_eq!(stats[0]["crashes"], json!(["asked for", "asked for"]));
}
