//! The command line against running nodes, a key-value service and an engine.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use actix_rt::System;
use apricotknot::NodeProcess;
use apricotknot::NodeSettings;
use apricotknot::telemetry::build_logger;
use apricotknot_standin::engine::EngineServer;
use apricotknot_standin::engine::EngineSettings;
use apricotknot_standin::key_value::KeyValueServer;
use awc::Client;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

const TOKEN: &str = "operator-token";
const ACCOUNT_KEY: &str = "clerks-key";

/// Number of polls for a change before a test fails, after at least five seconds.
const MAX_POLLS: u32 = 500;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Holds the processes of one test, and the path of its resource file.
struct Fleet {
    store: KeyValueServer,
    engine: EngineServer,
    nodes: Vec<NodeProcess>,
    file: std::path::PathBuf,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_node(name: &str, store: SocketAddr) -> NodeProcess {
    let digest = hex::encode(Sha256::digest(TOKEN));
    let text = format!(
        "[node]\nname = {name}\ndata_centre = north-1\n\
         [callers]\nlisten = 127.0.0.1:0\ntraffic_threads = 1\n\
         [operators]\nlisten = 127.0.0.1:0\ntoken_digests = {digest}\n\
         [peers]\nlisten = 127.0.0.1:0\nkey = 00112233445566778899aabbccddeeff\n\
         [store]\naddresses = {store}\n[shutdown]\nunready_wait_ms = 0\n[log]\nlevel = error\n"
    );
    let settings = NodeSettings::parse(Path::new("test.ini"), &text).unwrap();
    NodeProcess::start(
        &settings,
        build_logger(&settings.log, &settings.identity, std::io::stderr()),
    )
    .unwrap()
}

impl Fleet {
    fn start(test: &str, nodes: usize) -> Self {
        let store = KeyValueServer::start(loopback()).unwrap();
        let engine = EngineServer::start(EngineSettings::default().model("assistant")).unwrap();
        let address = store.address();
        let nodes = (0..nodes).map(|index| start_node(&format!("n{index}"), address)).collect();
        let name = format!("apricotctl-{test}-{}.json", std::process::id());
        Self { store, engine, nodes, file: std::env::temp_dir().join(name) }
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_apricotctl"));
        command.env("APRICOTCTL_TOKEN", TOKEN).args(arguments);
        for node in &self.nodes {
            command.args(["--server", &node.operator_address().to_string()]);
        }
        command.output().unwrap()
    }

    fn json(&self, arguments: &[&str]) -> Value {
        let output = self.run(&[arguments, &["-o", "json"]].concat());
        assert!(output.status.success(), "{arguments:?}: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    fn apply(&self, records: &Value) -> Output {
        std::fs::write(&self.file, records.to_string()).unwrap();
        let output = self.run(&["apply", "-f", self.file.to_str().unwrap(), "-o", "json"]);
        std::fs::remove_file(&self.file).unwrap();
        output
    }

    /// Applies all resources and waits until they are in force on every node.
    fn apply_all(&self) {
        let digest = hex::encode(Sha256::digest(ACCOUNT_KEY));
        let objective = json!({"class": "short", "first_token_ms": 60_000,
            "between_tokens_ms": 60_000, "good_permille": 950});
        let output = self.apply(&json!([
            {"kind": "endpoint", "name": "engine-1", "spec": {"service": "assistant",
             "data_centre": "north-1", "address": self.engine.address(),
             "memory_tokens": 100_000, "cold_memory_tokens": 50_000}},
            {"kind": "data-centre", "name": "north-1", "spec": {"region": "north"}},
            {"kind": "account", "name": "clerks", "spec": {"key_digests": [digest]}},
            {"kind": "service", "name": "assistant", "spec": {"objectives": [objective],
             "mode": {"model": {"max_context_tokens": 100_000}}}},
        ]));
        assert!(output.status.success(), "{output:?}");
        let applied: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
        let newest = applied.iter().map(|record| record["generation"].as_u64().unwrap()).max();
        self.wait_in_force(newest.unwrap());
    }

    /// Waits until every node has `revision` in force, and returns the duration.
    fn wait_in_force(&self, revision: u64) -> Duration {
        let started = Instant::now();
        for _ in 0..MAX_POLLS {
            let mut views = self.nodes.iter().map(|node| node.control().view().revision());
            if views.all(|in_force| in_force >= revision) {
                return started.elapsed();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("revision {revision} is not in force on every node");
    }

    fn set_fault(&self, fault: &Value) {
        let url = format!("http://{}/standin/fault", self.store.address());
        System::new().block_on(async {
            let response = Client::default().post(url).send_json(fault).await.unwrap();
            assert!(response.status().is_success());
        });
    }

    fn send_prompt(&self, node: usize) -> u16 {
        let url = format!("http://{}/v1/completions", self.nodes[node].caller_address());
        let body = json!({"model": "assistant", "prompt": "a torn collar", "max_tokens": 4});
        System::new().block_on(async {
            let client = Client::builder().timeout(Duration::from_secs(30)).finish();
            let call = client.post(url).bearer_auth(ACCOUNT_KEY).send_json(&body);
            let mut response = call.await.unwrap();
            let body = response.body().await.unwrap();
            println!("node {node} answered {} {body:?}", response.status());
            response.status().as_u16()
        })
    }

    fn stop(self) {
        System::new().block_on(async {
            for node in self.nodes {
                node.stop(std::future::pending()).await;
            }
        });
    }
}

#[test]
fn a_fleet_is_configured_drained_and_reported_on() {
    let fleet = Fleet::start("fleet", 3);
    fleet.apply_all();
    for node in 0..3 {
        assert_eq!(fleet.send_prompt(node), 200);
    }
    let report = fleet.json(&["report", "burn"]);
    let window = &report["series"][0]["windows"][0];
    assert_eq!(window["count"], json!({"good": 3, "bad": 0}), "{report}");
    let drained = fleet.json(&["drain", "data-centre", "north-1"]);
    let warning = drained["warnings"][0].as_str().unwrap();
    assert_eq!(warning, "service assistant has no endpoint left in duty");
    let time = fleet.wait_in_force(drained["revision"].as_u64().unwrap());
    println!("drain in force on 3 of 3 nodes after {time:?}");
    let undrained = fleet.json(&["undrain", "data-centre", "north-1"]);
    fleet.wait_in_force(undrained["revision"].as_u64().unwrap());
    assert_eq!(fleet.send_prompt(0), 200);
    let reapplied = fleet.apply(&json!({"kind": "data-centre", "name": "north-1",
        "spec": {"region": "north"}}));
    assert!(String::from_utf8_lossy(&reapplied.stdout).contains("unchanged"), "{reapplied:?}");
    fleet.stop();
}

#[test]
fn an_accepted_change_survives_lost_answers_and_a_refused_change_is_not_made() {
    let fleet = Fleet::start("store", 1);
    fleet.apply_all();
    fleet.set_fault(&json!({"mode": "lose_write_answers", "count": 1}));
    let drained = fleet.json(&["drain", "endpoint", "engine-1"]);
    assert_eq!(drained["changed"], true);
    let undrained = fleet.json(&["undrain", "endpoint", "engine-1"]);
    fleet.wait_in_force(undrained["revision"].as_u64().unwrap());
    assert_eq!(fleet.send_prompt(0), 200);
    let settings = json!({"kind": "admission", "name": "default",
        "spec": {"queue_timeout_ms": 1_000}});
    let applied = fleet.apply(&settings);
    let applied: Value = serde_json::from_slice(&applied.stdout).unwrap();
    fleet.wait_in_force(applied[0]["generation"].as_u64().unwrap());
    assert_eq!(fleet.send_prompt(0), 200, "the endpoint serves before the drain");
    fleet.set_fault(&json!({"mode": "down"}));
    let announced = fleet.json(&["drain", "endpoint", "engine-1"]);
    assert_eq!(
        announced["durable"], false,
        "the nodes announce the drain to one another without the store"
    );
    assert_eq!(fleet.send_prompt(0), 503, "a drained endpoint gets no new work");
    let refused = fleet.run(&["undrain", "endpoint", "engine-1"]);
    assert_eq!(refused.status.code(), Some(1), "{refused:?}");
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(text.contains("nothing was changed"), "{text}");
    fleet.set_fault(&json!({"mode": "none"}));
    let fetched = fleet.json(&["get", "endpoint", "engine-1"]);
    assert_eq!(fetched["items"][0]["spec"]["duty"], "in", "the drain is not stored");
    let stored = fleet.json(&["drain", "endpoint", "engine-1"]);
    assert_eq!((&stored["changed"], &stored["durable"]), (&json!(true), &json!(true)));
    fleet.stop();
}

#[test]
fn racing_operators_never_lose_an_update() {
    let fleet = Fleet::start("race", 2);
    fleet.apply_all();
    let read = || fleet.json(&["get", "data-centre", "north-1"])["items"][0].clone();
    let base = read();
    let statuses = std::thread::scope(|scope| {
        let operators: Vec<_> = (0..10)
            .map(|operator| {
                let mut record = base.clone();
                record["spec"]["region"] = json!(format!("region-{operator}"));
                let file = fleet.file.with_extension(format!("{operator}.json"));
                let fleet = &fleet;
                scope.spawn(move || {
                    std::fs::write(&file, record.to_string()).unwrap();
                    let output = fleet.run(&["apply", "-f", file.to_str().unwrap()]);
                    std::fs::remove_file(&file).unwrap();
                    output.status.code().unwrap()
                })
            })
            .collect();
        operators.into_iter().map(|operator| operator.join().unwrap()).collect::<Vec<_>>()
    });
    let accepted = statuses.iter().filter(|status| **status == 0).count();
    let conflicts = statuses.iter().filter(|status| **status == 3).count();
    assert_eq!((accepted, conflicts), (1, 9), "{statuses:?}");
    fleet.stop();
}
