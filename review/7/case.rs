//! The store turns one of three machines away for 9 s while a key is taken away. A client goes on
//! using the key on a public route.
#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const TAKEN_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Time for which the store turns the machine away.
const TURNED_AWAY: Duration = Duration::from_millis(9_000);
/// `revokeMs` of the sheet.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Requests that the engine ran: id and `Tenant`.
type Runs = Arc<Mutex<Vec<(String, Option<String>)>>>;

fn engine(runs: Runs, record: Arc<Record>) -> std::net::SocketAddr {
    listen(move |mut conn| {
        while let Ok(Some(r)) = conn.request() {
            if r.header("expect-instance") != Some("i-1") {
                let _ = respond(&mut conn, "421 Misdirected Request", "Instance-Id: i-1\r\n", b"");
                continue;
            }
            let id = r.header("request-id").unwrap_or("").to_owned();
            let tenant = r.header("tenant").map(str::to_owned);
            record.line(format!("engine i-1: runs {id} {} for tenant {tenant:?}", r.target));
            runs.lock().unwrap().push((id.clone(), tenant));
            let head = format!("Request-Id: {id}\r\nResponse-Seal: 3e1b.07\r\n");
            let _ = respond(&mut conn, "200 OK", &head, b"whole");
        }
    })
}

fn tenants(keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    let keys = keys.join(",");
    format!("{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}")
}

fn send(record: &Record, gateway: &Gateway, prefix: &str) -> String {
    let id = request_id();
    record.line(format!("client: sends {id} {prefix}2f with the key to {}", gateway.name));
    let request = format!(
        "GET {prefix}2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: 4000\r\n\
         X-Api-Key: {TAKEN_KEY}\r\n\r\n"
    );
    let answer = exchange(gateway.callers, request.as_bytes(), Duration::from_secs(5));
    record.line(format!("client: {id} got status {}", answer.status));
    id
}

fn main() {
    let (root, case) = (root(), case_dir());
    let record = Record::create(&case.join("record.txt"));
    let dir = temp_dir("7");
    let store = Store::start();
    let runs = Runs::default();
    register(&store, "i-1", "desk", engine(Arc::clone(&runs), Arc::clone(&record)), 6);
    let rest = |public| format!("\"attempts\":2,\"public\":{public},\"resumable\":false,");
    let routes = [
        route("/open1/", "idempotent", "desk", (2_000, 300), &rest(true)),
        route("/cufi504/", "idempotent", "desk", (2_000, 300), &rest(false)),
    ];
    store.put("op/config", &config(7, &routes, &tenants(&[KEPT_KEY, TAKEN_KEY])));
    let views = [store.view(), store.view(), store.view()];
    let start = |i: usize| {
        Gateway::start(&root, &dir, &format!("front-{}", i + 1), views[i].address)
    };
    let gateways: Vec<Gateway> = (0..3).map(start).collect();
    gateways.iter().for_each(|g| g.wait_ready(&record));
    sleep(Duration::from_secs(2));
    for gateway in &gateways {
        send(&record, gateway, "/open1/");
    }
    if runs.lock().unwrap().iter().any(|(_, t)| t.as_deref() != Some("hule930")) {
        cannot_run(&record, "the key's tenant is not passed on before the key is taken away");
    }
    let began = Instant::now();
    if has_trouble() {
        record.line("platform: the store answers 503 to front-1 from now on");
        views[0].treat(Treatment::Busy);
    }
    sleep(Duration::from_millis(200));
    store.put("op/config", &config(10, &routes, &tenants(&[KEPT_KEY])));
    let acked = Instant::now();
    record.line("operator: version 10 without the key is acknowledged");
    sleep(REVOKE + Duration::from_millis(500));
    let mut late = Vec::new();
    while began.elapsed() + Duration::from_millis(500) < TURNED_AWAY {
        record.line(format!("{} ms after the ack", acked.elapsed().as_millis()));
        late.push(send(&record, &gateways[0], "/open1/"));
        late.push(send(&record, &gateways[1], "/open1/"));
        late.push(send(&record, &gateways[0], "/cufi504/"));
        sleep(Duration::from_millis(500));
    }
    views[0].treat(Treatment::Serve);
    record.line("platform: the store serves front-1 again");
    let runs = runs.lock().unwrap();
    let false_tenant: Vec<&String> = runs
        .iter()
        .filter(|(id, tenant)| late.contains(id) && tenant.is_some())
        .map(|(id, _)| id)
        .collect();
    record.line(format!(
        "{} of {} requests with a key that no tenant holds ran with a Tenant: {false_tenant:?}",
        false_tenant.len(),
        late.len()
    ));
    let broken = !false_tenant.is_empty();
    drop(runs);
    finish(&record, &dir, broken, gateways);
}
