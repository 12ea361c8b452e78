//! HTTP interface of the platform's stand-in key-value service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use super::metadata_state::MetadataState;
use super::metadata_state::StoredChange;
use super::metadata_state::StoredItem;
use crate::http::HttpCall;
use crate::http::HttpHandler;
use crate::http::HttpReply;
use crate::http::StandinError;
use crate::http::StandinServer;

/// Time between two checks for changes while a watch call waits.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of items in one answer; small, so that tests read several pages.
const MAX_PAGE_ITEMS: usize = 3;

/// Contents of the service at one moment.
#[derive(Clone, Debug)]
pub struct MetadataCopy(MetadataState);

impl MetadataCopy {
    /// Returns the copy without the keys that start with `prefix`, and without any lease.
    pub fn without(mut self, prefix: &str) -> Self {
        self.0.forget(prefix);
        self
    }
}

/// Texts that one reader gets in place of others in the values of keys.
///
/// A node that reads other addresses of endpoints than the others uses other links to them.
pub type TextReplacements = Vec<(String, String)>;

/// Serves the contents of a [`MetadataServer`] to one reader, until it is dropped.
#[derive(Debug)]
pub struct MetadataView {
    server: StandinServer,
}

impl MetadataView {
    /// Returns the address of the view.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Runs a stand-in key-value service until it is dropped.
#[derive(Debug)]
pub struct MetadataServer {
    server: StandinServer,
    state: Arc<Mutex<MetadataState>>,
    is_down: Arc<AtomicBool>,
}

impl MetadataServer {
    /// Starts an empty service on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr) -> Result<Self, StandinError> {
        let state = Arc::new(Mutex::new(MetadataState::default()));
        let is_down = Arc::new(AtomicBool::new(false));
        let (handler_state, handler_is_down) = (Arc::clone(&state), Arc::clone(&is_down));
        let server = StandinServer::start(address, |_| {
            Rc::new(MetadataHandler {
                state: handler_state,
                is_down: handler_is_down,
                replacements: TextReplacements::new(),
            })
        })?;
        Ok(Self { server, state, is_down })
    }

    /// Serves the contents at another address as well, with `replacements` in the values.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start_view(
        &self,
        address: SocketAddr,
        replacements: TextReplacements,
    ) -> Result<MetadataView, StandinError> {
        let (state, is_down) = (Arc::clone(&self.state), Arc::clone(&self.is_down));
        let server = StandinServer::start(address, |_| {
            Rc::new(MetadataHandler { state, is_down, replacements })
        })?;
        Ok(MetadataView { server })
    }

    /// Writes a key with a JSON value, as an operator or an endpoint does.
    pub fn put(&self, key: &str, value: &Value) {
        self.lock()
            .apply_changes(vec![(key.to_owned(), Some((value.to_string().into_bytes(), 0)))]);
    }

    /// Writes a key with any bytes, such as invalid JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.lock().apply_changes(vec![(key.to_owned(), Some((value.to_vec(), 0)))]);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().apply_changes(vec![(key.to_owned(), None)]);
    }

    /// Removes all past changes from the history, so that watch calls from an earlier revision are
    /// answered with 410 and the reader has to read all keys again.
    pub fn compact_history(&self) {
        self.lock().compact();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> MetadataCopy {
        MetadataCopy(self.lock().clone())
    }

    /// Replaces the contents by those of an older copy: what was written since is lost, revisions
    /// are given out again, and a new era begins.
    pub fn restore(&self, copy: MetadataCopy) {
        self.lock().restore(copy.0);
    }

    /// Makes the service answer all calls with 503 (`true`), or serve them again (`false`).
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the value of a key, if it exists.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|item| item.value.clone())
    }

    /// Returns the number of leases that were granted since the start or the last copy.
    pub fn granted_leases(&self) -> i64 {
        self.lock().granted_leases()
    }

    fn lock(&self) -> MutexGuard<'_, MetadataState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct MetadataHandler {
    state: Arc<Mutex<MetadataState>>,
    is_down: Arc<AtomicBool>,
    replacements: TextReplacements,
}

impl HttpHandler for MetadataHandler {
    async fn handle(self: Rc<Self>, call: HttpCall) -> HttpReply {
        if self.is_down.load(Ordering::SeqCst) {
            return HttpReply::json(503, &json!({}));
        }
        self.lock().expire_leases();
        let reply = self.answer(&call).await;
        let era = self.lock().era;
        reply.header("store-era", &era.to_string())
    }

    fn crash(self: Rc<Self>) {}
}

impl MetadataHandler {
    async fn answer(&self, call: &HttpCall) -> HttpReply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/kv-range") => self.range(call),
            ("GET", "/kv-watch") => self.watch(call).await,
            ("POST", "/kv-txn") => self.transact(&call.json()),
            ("POST", "/kv-lease") => self.grant_lease(&call.json()),
            ("POST", path) => match path.strip_prefix("/kv-keep/").map(str::parse) {
                Some(Ok(lease)) if self.lock().renew_lease(lease) => {
                    HttpReply::json(200, &json!({}))
                },
                _ => HttpReply::json(404, &json!({})),
            },
            ("DELETE", path) => match path.strip_prefix("/kv-lease-end/").map(str::parse) {
                Some(Ok(lease)) if self.lock().revoke_lease(lease) => {
                    HttpReply::json(200, &json!({}))
                },
                _ => HttpReply::json(404, &json!({})),
            },
            _ => HttpReply::json(404, &json!({})),
        }
    }

    fn lock(&self) -> MutexGuard<'_, MetadataState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn range(&self, call: &HttpCall) -> HttpReply {
        let prefix = text(call, "prefix");
        let after = text(call, "after");
        let state = self.lock();
        let all = state.items.iter();
        let mut found: Vec<Value> = all
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| self.item_json(key, item))
            .take(MAX_PAGE_ITEMS + 1)
            .collect();
        let is_truncated = found.len() > MAX_PAGE_ITEMS;
        found.truncate(MAX_PAGE_ITEMS);
        let revision = state.revision;
        let body = json!({"items": found, "truncated": is_truncated, "storeRevision": revision});
        HttpReply::json(200, &body)
    }

    async fn watch(&self, call: &HttpCall) -> HttpReply {
        let prefix = text(call, "prefix");
        let after: u64 = text(call, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text(call, "waitMs").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                return HttpReply::Disconnect;
            }
            let (events, revision) = {
                let mut state = self.lock();
                state.expire_leases();
                if after < state.compacted_revision || after > state.revision {
                    return HttpReply::json(410, &json!({}));
                }
                let new = state.history.iter();
                let new =
                    new.filter(|change| change.revision > after && change.key.starts_with(&prefix));
                (new.map(|change| self.change_json(change)).collect::<Vec<_>>(), state.revision)
            };
            if !events.is_empty() || Instant::now() >= deadline {
                return HttpReply::json(200, &json!({"events": events, "storeRevision": revision}));
            }
            actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    fn transact(&self, body: &Value) -> HttpReply {
        let mut state = self.lock();
        let expected = body["expected"].as_array().cloned().unwrap_or_default();
        let is_met = expected.iter().all(|condition| {
            let key = condition["key"].as_str().unwrap_or_default();
            state.items.get(key).map_or(0, |item| item.revision) == condition["revision"]
        });
        if !is_met {
            let keys = expected.iter().filter_map(|condition| condition["key"].as_str());
            let items: Vec<Value> = keys
                .filter_map(|key| state.items.get(key).map(|item| self.item_json(key, item)))
                .collect();
            return HttpReply::json(412, &json!({"items": items}));
        }
        let puts = body["puts"].as_array().cloned().unwrap_or_default();
        let changes = puts.iter().map(|put| {
            let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
            let lease = put["lease"].as_i64().unwrap_or(0);
            let key = put["key"].as_str().unwrap_or_default().to_owned();
            (key, Some((value.unwrap_or_default(), lease)))
        });
        let changes = changes.collect();
        let revision = state.apply_changes(changes);
        HttpReply::json(200, &json!({"revision": revision}))
    }

    fn item_json(&self, key: &str, item: &StoredItem) -> Value {
        json!({
            "key": key,
            "value": STANDARD.encode(self.replace(&item.value)),
            "revision": item.revision,
            "createdRev": item.created,
            "lease": item.lease,
        })
    }

    fn change_json(&self, change: &StoredChange) -> Value {
        match &change.item {
            Some(item) => self.item_json(&change.key, item),
            None => json!({"key": change.key, "revision": change.revision, "tombstone": true}),
        }
    }

    /// Returns a value as the reader of this address gets it.
    fn replace(&self, value: &[u8]) -> Vec<u8> {
        let Ok(text) = str::from_utf8(value) else {
            return value.to_vec();
        };
        let replaced = self.replacements.iter().fold(text.to_owned(), |text, (from, to)| {
            // The quotes keep an address from matching the start of a longer one.
            text.replace(&format!("\"{from}\""), &format!("\"{to}\""))
        });
        replaced.into_bytes()
    }

    fn grant_lease(&self, body: &Value) -> HttpReply {
        let ttl = body["ttlMs"].as_u64().unwrap_or(1_000);
        let lease = self.lock().grant_lease(Duration::from_millis(ttl));
        HttpReply::json(200, &json!({"lease": lease, "ttlMs": ttl}))
    }
}

fn text(call: &HttpCall, name: &str) -> String {
    call.query_parameter(name).unwrap_or_default().replace("%2F", "/")
}
