//! The open connections of the nodes to the store go silent, and an engine leaves without reporting
//! `draining`: for how long do the nodes send it requests?

#[path = "../common/mod.rs"]
mod common;

use std::path::Path;
use std::thread;
use std::time::Duration;

use common::engine::Engine;
use common::node;
use common::proxy::Proxy;
use common::record::Record;
use common::store::Store;
use common::traffic::Template;
use common::traffic::Traffic;

/// `drainMs` of the small installations.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

/// `stableWindowMs` of the small installations.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Time from the silence until the store has removed the entry of the engine.
const LEAVE_DELAY: Duration = Duration::from_millis(300);

/// Time after its leaving for which the engine serves; then it exits.
const SERVE_ON: Duration = Duration::from_millis(5_900);

const KEY: &str = "n2ctnfzs989anu6wsjnb";

const NODES: usize = 6;

/// Nodes whose open connections to the store go silent.
const SILENCED: usize = 2;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"book\",\"host\":\"desk.example\",\"prefix\":\"/book/\",\
         \"routeType\":\"non_idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\
         \"priority\":1,\"service\":\"repair-desk\",\"attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"repair-desk\",\"healthPath\":\"/healthz\",\"maxConns\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn template() -> Template {
    Template {
        head: format!(
            "POST /book/2f HTTP/1.1\r\nHost: desk.example\r\nRequest-Deadline: 4000\r\n\
             X-Api-Key: {KEY}\r\n"
        ),
        body: "one collar".to_owned(),
        label: "booking".to_owned(),
        wait: Duration::from_secs(6),
    }
}

fn main() {
    common::start_watchdog();
    let status = run(Path::new("review/3"));
    node::kill_all();
    std::process::exit(status);
}

fn run(folder: &Path) -> i32 {
    let record = Record::create(folder);
    let store = Store::start("127.0.0.1");
    let engines: Vec<Engine> = (0..7)
        .map(|index| {
            let id = format!("i-desk{index}");
            let zone = node::ZONES[index % 3];
            Engine::start(&record, "repair-desk", &id, zone, 6, Duration::from_millis(60))
        })
        .collect();
    for engine in &engines {
        let (key, value) = engine.entry("ready");
        store.put(&key, &value);
    }
    store.put("op/config", &configuration());
    let files = node::temporary_folder("review-3");
    let proxies: Vec<Proxy> = (0..NODES).map(|_| Proxy::start("127.0.0.1", store.address)).collect();
    let nodes: Vec<_> =
        (0..NODES).map(|index| node::start(&files, index, proxies[index].address)).collect();
    if !node::wait_ready(&nodes) {
        record.say("the nodes were not ready");
        return common::NOT_RUN;
    }
    let until = record.now() + Duration::from_secs(18);
    let traffic = Traffic::new(&record);
    let gap = Duration::from_millis(40);
    let threads: Vec<_> = nodes
        .iter()
        .map(|node| {
            // The clients of the nodes don't send at the same moments.
            thread::sleep(Duration::from_millis(7));
            traffic.start(&node.name, node.callers, gap, until, |_| template())
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    let silent_at = record.now();
    if common::has_trouble() {
        for proxy in &proxies[..SILENCED] {
            let count = proxy.open_connections();
            record.write(&format!("{count} open connections of a node to the store go silent"));
            proxy.silence_open();
        }
    }
    thread::sleep(LEAVE_DELAY);
    let left = &engines[0];
    store.remove(&left.entry("ready").0);
    let ack = record.now();
    record.write(&format!("store: the entry of {} is removed; the engine serves on", left.id));
    thread::sleep(SERVE_ON);
    left.exit();
    record.write(&format!("{} exits", left.id));
    for thread in threads {
        let _ = thread.join();
    }
    // In touch: no reset of the machine's connections in the last `stableWindowMs`.
    let bound = ack + DRAIN_TIME;
    let in_touch_from = silent_at + STABLE_WINDOW;
    let sent = traffic.sent();
    let arrivals = left.arrivals();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|run| run.at > bound && run.at > in_touch_from)
        .filter_map(|run| {
            let sent = sent.iter().find(|sent| sent.id == run.request_id)?;
            (sent.at > bound && sent.at > in_touch_from).then_some((run, sent))
        })
        .collect();
    for (run, sent) in &late {
        let after = run.at - ack;
        record.write(&format!(
            "DRAIN: {} reaches {} {:.3} s after the ack, from {}",
            run.request_id, run.engine, after.as_secs_f64(), sent.node
        ));
    }
    let mut from: Vec<&str> = late.iter().map(|(_, sent)| sent.node.as_str()).collect();
    from.sort_unstable();
    from.dedup();
    let lost = late.iter().filter(|(_, sent)| sent.status != 200).count();
    let last = late.iter().map(|(run, _)| (run.at - ack).as_secs_f64()).fold(0.0, f64::max);
    let before = arrivals.iter().filter(|run| run.at < ack).count();
    record.say(&format!(
        "{} requests reached the engine before it left; {} reached it later than drainMs after the \
         ack and stableWindowMs after the silence, from {} of {NODES} nodes, the last one {last:.3} s \
         after the ack; {lost} of these bookings were lost at the engine's exit",
        before,
        late.len(),
        from.len()
    ));
    if before == 0 {
        return common::NOT_RUN;
    }
    if late.is_empty() { common::HELD } else { common::BROKEN }
}
