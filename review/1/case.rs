//! The operator takes the last keys of the only tenant away: do its requests still run?

#[path = "../common/mod.rs"]
mod common;

use std::path::Path;
use std::thread;
use std::time::Duration;

use common::engine::Engine;
use common::node;
use common::record::Record;
use common::store::Store;
use common::traffic::Template;
use common::traffic::Traffic;

/// `revokeMs` of the small installations.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);

/// Pause between two keys that are taken away.
const KEY_GAP: Duration = Duration::from_millis(500);

const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];

/// A key that no desired state holds.
const FOREIGN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"book\",\"host\":\"desk.example\",\"prefix\":\"/book/\",\
         \"routeType\":\"non_idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\
         \"priority\":1,\"service\":\"repair-desk\",\"attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"repair-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        keys.join(",")
    )
}

fn template(key: &str, label: &str) -> Template {
    Template {
        head: format!(
            "POST /book/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Deadline: 4000\r\n\
             X-Api-Key: {key}\r\n"
        ),
        body: "one collar".to_owned(),
        label: label.to_owned(),
        wait: Duration::from_secs(6),
    }
}

fn main() {
    common::start_watchdog();
    let status = run(Path::new("review/1"));
    node::kill_all();
    std::process::exit(status);
}

fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let store = Store::start("127.0.0.1");
    let engines: Vec<Engine> = (0..3)
        .map(|index| {
            let id = format!("i-desk{index}");
            let zone = node::ZONES[index];
            Engine::start(&record, "repair-desk", &id, zone, 6, Duration::from_millis(60))
        })
        .collect();
    for engine in &engines {
        let (key, value) = engine.entry("ready");
        store.put(&key, &value);
    }
    store.put("op/config", &configuration(7, &KEYS));
    let files = node::temporary_folder("review-1");
    let nodes: Vec<_> = (0..3).map(|index| node::start(&files, index, store.address)).collect();
    if !node::wait_ready(&nodes) {
        record.say("the nodes were not ready");
        return common::NOT_RUN;
    }
    let start = record.now();
    let until = start + Duration::from_secs(20);
    let traffic = Traffic::new(&record);
    let threads: Vec<_> = nodes
        .iter()
        .map(|node| {
            let gap = Duration::from_millis(120);
            traffic.start(&node.name, node.callers, gap, until, |count| match count % 4 {
                0 | 2 => template(KEYS[0], "first key"),
                1 => template(KEYS[1], "second key"),
                _ => template(FOREIGN_KEY, "key that no desired state held"),
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let mut revoked = [None, None];
    if common::has_trouble() {
        store.put("op/config", &configuration(10, &KEYS[1..]));
        revoked[0] = Some(record.now());
        record.write("operator: version 10 is acknowledged, without the first key");
        thread::sleep(KEY_GAP);
        store.put("op/config", &configuration(14, &[]));
        revoked[1] = Some(record.now());
        record.write("operator: version 14 is acknowledged, without the second key: the tenant has none");
    }
    for thread in threads {
        let _ = thread.join();
    }
    let arrivals: Vec<_> = engines.iter().flat_map(Engine::arrivals).collect();
    let (mut late, mut foreign, mut served) = (0, 0, 0);
    for sent in traffic.sent() {
        let Some(run) = arrivals.iter().find(|run| run.request_id == sent.id) else { continue };
        let ack = match sent.label.as_str() {
            "first key" => revoked[0],
            "second key" => revoked[1],
            _ => {
                foreign += 1;
                record.write(&format!("ROUTE: {} ran, its key was never held", sent.id));
                continue;
            },
        };
        served += 1;
        if ack.is_some_and(|ack| sent.at > ack + REVOKE_TIME) {
            late += 1;
            let tenant = &run.tenant;
            record.write(&format!("CONFIG: {} ran for tenant {tenant:?}, its key was gone", sent.id));
        }
    }
    record.say(&format!(
        "{served} requests with a key of the tenant ran; {late} of them were sent later than \
         revokeMs after the ack that took their key away; {foreign} requests with a key that no \
         desired state held ran"
    ));
    if served == 0 {
        return common::NOT_RUN;
    }
    if late > 0 || foreign > 0 { common::BROKEN } else { common::HELD }
}
