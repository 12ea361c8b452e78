//! Stand-in for the platform's metadata store: items, ranges, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::http;
use super::http::Request;
use super::json::Json;
use super::json::decode_base64;
use super::json::encode_base64;
use super::json::quoted;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Most items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn apply(&mut self, changes: Vec<(String, Option<(Vec<u8>, u64)>)>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (key, value) in changes {
            let created = self.items.get(&key).map_or(revision, |item| item.created);
            let item = value.map(|(value, lease)| Item { value, revision, created, lease });
            match &item {
                Some(item) => _ = self.items.insert(key.clone(), item.clone()),
                None => _ = self.items.remove(&key),
            }
            self.history.push(Change { key, revision, item });
        }
        revision
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == id && id != 0);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.apply(keys.into_iter().map(|key| (key, None)).collect());
        }
        known
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let state = State { revision: 1, next_lease: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = Arc::clone(&shared);
        let address = http::listen(ip, move |stream| serve(&served, stream)).address;
        let ticker = Arc::clone(&shared);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            ticker.0.lock().expect("store").expire();
            ticker.1.notify_all();
        });
        Self { shared, address }
    }

    /// Writes a key as the operator or an engine does; returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) {
        self.shared
            .0
            .lock()
            .expect("store")
            .apply(vec![(key.to_owned(), Some((value.as_bytes().to_vec(), 0)))]);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.shared.0.lock().expect("store").apply(vec![(key.to_owned(), None)]);
        self.shared.1.notify_all();
    }
}

fn serve(shared: &Arc<(Mutex<State>, Condvar)>, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut reader) {
        let (status, body) = answer(shared, &request);
        thread::sleep(ANSWER_TIME);
        let headers = [("content-type", "application/json")];
        if http::write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request) -> (u16, String) {
    let body = Json::parse(&String::from_utf8_lossy(&request.body));
    let mut state = shared.0.lock().expect("store");
    state.expire();
    let path = request.path.as_str();
    let answered = match (request.method.as_str(), path) {
        ("GET", "/kv-key") => match state.items.get(&request.query_value("key")) {
            Some(item) => (200, item_json(&request.query_value("key"), item)),
            None => (404, "{}".to_owned()),
        },
        ("GET", "/kv-range") => range(&state, request),
        ("GET", "/kv-watch") => {
            drop(state);
            return watch(shared, request);
        },
        ("POST", "/kv-txn") => transact(&mut state, &body),
        ("POST", "/kv-lease") => {
            let ttl = body.get("ttlMs").number().clamp(1_000.0, 600_000.0) as u64;
            let id = state.next_lease;
            state.next_lease += 1;
            let ttl_time = Duration::from_millis(ttl);
            state.leases.insert(id, Lease { ttl: ttl_time, ends: Instant::now() + ttl_time });
            (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
        },
        ("POST", _) if path.starts_with("/kv-keep/") => {
            let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
            match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends = Instant::now() + lease.ttl;
                    let ttl = lease.ttl.as_millis();
                    (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
                },
                None => (404, "{}".to_owned()),
            }
        },
        ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
            let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
            (if state.end_lease(id) { 200 } else { 404 }, "{}".to_owned())
        },
        _ => (404, "{}".to_owned()),
    };
    drop(state);
    shared.1.notify_all();
    answered
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        quoted(key),
        quoted(&encode_base64(&item.value)),
        item.revision,
        item.created,
        item.lease
    )
}

fn range(state: &State, request: &Request) -> (u16, String) {
    let (prefix, after) = (request.query_value("prefix"), request.query_value("after"));
    let found: Vec<String> = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .map(|(key, item)| item_json(key, item))
        .collect();
    let truncated = found.len() > PAGE_ITEMS;
    let items = found.into_iter().take(PAGE_ITEMS).collect::<Vec<_>>().join(",");
    let revision = state.revision;
    (200, format!("{{\"items\":[{items}],\"truncated\":{truncated},\"storeRevision\":{revision}}}"))
}

fn watch(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request) -> (u16, String) {
    let prefix = request.query_value("prefix");
    let after: u64 = request.query_value("after").parse().unwrap_or(0);
    let wait: u64 = request.query_value("waitMs").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
    let mut state = shared.0.lock().expect("store");
    loop {
        let new = state.history.iter();
        let new = new.filter(|change| change.revision > after && change.key.starts_with(&prefix));
        let events: Vec<String> = new
            .map(|change| match &change.item {
                Some(item) => item_json(&change.key, item),
                None => format!(
                    "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                    quoted(&change.key),
                    change.revision
                ),
            })
            .collect();
        let now = Instant::now();
        if !events.is_empty() || now >= deadline {
            let revision = state.revision;
            let events = events.join(",");
            return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
        }
        state = shared.1.wait_timeout(state, deadline - now).expect("store").0;
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let expected = body.get("expected").list();
    let holds = expected.iter().all(|row| {
        let key = row.get("key").text();
        let found = state.items.get(key).map_or(0, |item| item.revision);
        found == row.get("revision").number() as u64
    });
    if !holds {
        let keys = expected.iter().map(|row| row.get("key").text());
        let items: Vec<String> =
            keys.filter_map(|key| Some(item_json(key, state.items.get(key)?))).collect();
        let revision = state.revision;
        let items = items.join(",");
        return (412, format!("{{\"items\":[{items}],\"storeRevision\":{revision}}}"));
    }
    let mut changes = Vec::new();
    for put in body.get("puts").list() {
        let key = put.get("key").text().to_owned();
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_owned());
        }
        let lease = put.get("lease").number() as u64;
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        changes.push((key, Some((decode_base64(put.get("value").text()), lease))));
    }
    for key in body.get("deletes").list() {
        changes.push((key.text().to_owned(), None));
    }
    let revision = state.apply(changes);
    (200, format!("{{\"revision\":{revision}}}"))
}
