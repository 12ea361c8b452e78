//! The key-value service's HTTP interface.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::types::RevisionNumber;
use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use super::fault::FaultMode;
use super::fault::StoreFault;
use super::store::KeyRange;
use super::store::KeyStore;
use super::store::PutError;
use super::transaction::run_delete;
use super::transaction::run_put;
use super::transaction::run_range;
use super::transaction::run_transaction;
use super::wire::event;
use super::wire::header;
use super::wire::number;
use super::wire::range;
use crate::http::HttpCall;
use crate::http::HttpHandler;
use crate::http::HttpReply;
use crate::http::ServerControl;
use crate::http::StandinError;
use crate::http::StandinServer;

/// Time between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Code of an invalid argument in the gateway's errors.
const CODE_INVALID_ARGUMENT: u32 = 3;

/// Code of an unknown lease in the gateway's errors.
const CODE_NOT_FOUND: u32 = 5;

/// Code of an unimplemented call in the gateway's errors.
const CODE_UNIMPLEMENTED: u32 = 12;

/// Runs a stand-in key-value service until it is dropped.
#[derive(Debug)]
pub struct KeyValueServer {
    server: StandinServer,
}

impl KeyValueServer {
    /// Starts an empty store on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr) -> Result<Self, StandinError> {
        let server = StandinServer::start(address, |control| {
            let handler = Rc::new(KeyValueHandler {
                store: RefCell::default(),
                fault: RefCell::default(),
                calls: RefCell::default(),
                changed: Notify::new(),
                control,
            });
            actix_rt::spawn(expire_leases(Rc::clone(&handler)));
            handler
        })?;
        Ok(Self { server })
    }

    /// Waits until the store's thread has ended.
    pub fn wait(self) {
        self.server.wait();
    }
}

impl Deref for KeyValueServer {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

async fn expire_leases(handler: Rc<KeyValueHandler>) {
    loop {
        actix_rt::time::sleep(EXPIRY_INTERVAL).await;
        if handler.store.borrow_mut().expire_leases(Instant::now()) {
            handler.changed.notify_waiters();
        }
    }
}

/// Answers the store's requests on its thread.
struct KeyValueHandler {
    store: RefCell<KeyStore>,
    fault: RefCell<StoreFault>,
    calls: RefCell<BTreeMap<String, u64>>,
    changed: Notify,
    control: Rc<ServerControl>,
}

impl HttpHandler for KeyValueHandler {
    async fn handle(self: Rc<Self>, call: HttpCall) -> HttpReply {
        match call.path.as_str() {
            "/standin/fault" => return self.set_fault(&call),
            "/standin/stats" => return self.report_stats(),
            _ => {},
        }
        *self.calls.borrow_mut().entry(call.path.clone()).or_default() += 1;
        let mode = self.fault.borrow_mut().next_mode();
        match mode {
            FaultMode::Down => return HttpReply::Disconnect,
            FaultMode::Hang => return HttpReply::Hang,
            FaultMode::Slow => {
                let delay = self.fault.borrow().delay();
                actix_rt::time::sleep(delay).await;
            },
            _ => {},
        }
        let reply = self.answer(&call);
        let drops_answer = match mode {
            FaultMode::LoseAnswers => true,
            FaultMode::LoseWriteAnswers => is_write(&call),
            _ => false,
        };
        if drops_answer { HttpReply::Disconnect } else { reply }
    }

    fn crash(self: Rc<Self>) {
        self.control.take_down();
    }
}

impl KeyValueHandler {
    fn answer(self: &Rc<Self>, call: &HttpCall) -> HttpReply {
        let request = call.json();
        let before = self.store.borrow().revision();
        let reply = match call.path.as_str() {
            "/v3/watch" => return self.watch(&request),
            path => dispatch_call(&mut self.store.borrow_mut(), path, &request),
        };
        if self.store.borrow().revision() != before {
            self.changed.notify_waiters();
        }
        reply
    }

    fn set_fault(&self, call: &HttpCall) -> HttpReply {
        match serde_json::from_slice(&call.body) {
            Ok(fault) => {
                self.fault.replace(fault);
                self.changed.notify_waiters();
                HttpReply::json(200, &json!({}))
            },
            Err(cause) => error(400, CODE_INVALID_ARGUMENT, &cause.to_string()),
        }
    }

    fn watch(self: &Rc<Self>, request: &Value) -> HttpReply {
        let create = super::wire::field(request, "create_request");
        let revision = self.store.borrow().revision();
        let start = match number(create, "start_revision") {
            0 => revision + 1,
            start => start,
        };
        let cursor = WatchCursor {
            handler: Rc::clone(self),
            range: range(create),
            start,
            position: 0,
            created: false,
        };
        HttpReply::stream("application/json", cursor.stream())
    }

    fn report_stats(&self) -> HttpReply {
        let calls = self.calls.borrow();
        let total: u64 = calls.values().sum();
        let revision = self.store.borrow().revision();
        HttpReply::json(200, &json!({"calls": &*calls, "total": total, "revision": revision}))
    }
}

/// Holds the position of a watch in the history.
struct WatchCursor {
    handler: Rc<KeyValueHandler>,
    range: KeyRange,
    start: RevisionNumber,
    position: usize,
    created: bool,
}

impl WatchCursor {
    fn stream(self) -> impl Stream<Item = Result<Bytes, io::Error>> {
        unfold(Some(self), |cursor| async move {
            let mut cursor = cursor?;
            loop {
                if cursor.handler.fault.borrow().closes_watches() {
                    return Some((Err(io::Error::other("store is down")), None));
                }
                if let Some(line) = cursor.next_line() {
                    return Some((Ok(line), Some(cursor)));
                }
                let handler = Rc::clone(&cursor.handler);
                handler.changed.notified().await;
            }
        })
    }

    fn next_line(&mut self) -> Option<Bytes> {
        let store = self.handler.store.borrow();
        let header = header(store.revision());
        if !self.created {
            self.created = true;
            return Some(line(&json!({"header": header, "watch_id": "0", "created": true})));
        }
        let (changes, position) = store.changes(self.position, self.start, &self.range);
        self.position = position;
        if changes.is_empty() {
            return None;
        }
        let events: Vec<Value> = changes.iter().map(event).collect();
        Some(line(&json!({"header": header, "watch_id": "0", "events": events})))
    }
}

fn line(result: &Value) -> Bytes {
    Bytes::from(format!("{}\n", json!({"result": result})))
}

fn is_write(call: &HttpCall) -> bool {
    matches!(call.path.as_str(), "/v3/kv/put" | "/v3/kv/deleterange" | "/v3/kv/txn")
}

fn dispatch_call(store: &mut KeyStore, path: &str, request: &Value) -> HttpReply {
    let answer = match path {
        "/v3/kv/range" => Ok(run_range(store, request)),
        "/v3/kv/put" => run_put(store, request),
        "/v3/kv/deleterange" => Ok(run_delete(store, request)),
        "/v3/kv/txn" => run_transaction(store, request),
        "/v3/lease/grant" => Ok(grant_lease(store, request)),
        "/v3/lease/keepalive" => Ok(renew_lease(store, request)),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
            if !store.revoke_lease(number(request, "ID")) {
                return error(404, CODE_NOT_FOUND, "etcdserver: requested lease not found");
            }
            Ok(json!({"header": header(store.revision())}))
        },
        _ => return error(404, CODE_UNIMPLEMENTED, "Not Found"),
    };
    match answer {
        Ok(answer) => HttpReply::json(200, &answer),
        Err(PutError::TooLarge) => {
            error(400, CODE_INVALID_ARGUMENT, "etcdserver: request is too large")
        },
        Err(PutError::LeaseNotFound) => {
            error(404, CODE_NOT_FOUND, "etcdserver: requested lease not found")
        },
    }
}

fn grant_lease(store: &mut KeyStore, request: &Value) -> Value {
    let ttl = Duration::from_secs(number(request, "TTL"));
    let (id, ttl) = store.grant_lease(number(request, "ID"), ttl, Instant::now());
    let header = header(store.revision());
    json!({"header": header, "ID": id.to_string(), "TTL": ttl.as_secs().to_string()})
}

fn renew_lease(store: &mut KeyStore, request: &Value) -> Value {
    let id = number(request, "ID");
    let mut result = json!({"header": header(store.revision()), "ID": id.to_string()});
    if let Some(ttl) = store.renew_lease(id, Instant::now()) {
        result["TTL"] = ttl.as_secs().to_string().into();
    }
    json!({"result": result})
}

fn error(status: u16, code: u32, message: &str) -> HttpReply {
    HttpReply::json(status, &json!({"error": message, "code": code, "message": message}))
}
