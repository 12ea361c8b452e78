//! The plain service's HTTP interface.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use super::PlainSettings;
use crate::http::HttpCall;
use crate::http::HttpHandler;
use crate::http::HttpReply;
use crate::http::ServerControl;
use crate::http::StandinError;
use crate::http::StandinServer;

/// Runs a stand-in plain service until it is dropped.
#[derive(Debug)]
pub struct PlainServer {
    server: StandinServer,
}

impl PlainServer {
    /// Starts a plain service on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(settings: PlainSettings) -> Result<Self, StandinError> {
        let address = settings.address;
        let build = move |control| {
            Rc::new(PlainHandler {
                settings: RefCell::new(settings),
                executions: RefCell::default(),
                executed: Cell::new(0),
                boot: format!("{:016x}", rand::random::<u64>()),
                control,
            })
        };
        Ok(Self { server: StandinServer::start(address, build)? })
    }

    /// Waits until the service's thread has ended.
    pub fn wait(self) {
        self.server.wait();
    }
}

impl Deref for PlainServer {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

/// Counts executions by attempt, idempotency key and body.
#[derive(Default)]
struct ExecutionCounts {
    by_attempt: BTreeMap<String, u64>,
    by_key: BTreeMap<String, u64>,
    by_body: BTreeMap<String, u64>,
}

/// Answers the service's requests on its thread.
struct PlainHandler {
    settings: RefCell<PlainSettings>,
    executions: RefCell<ExecutionCounts>,
    executed: Cell<u64>,
    boot: String,
    control: Rc<ServerControl>,
}

impl HttpHandler for PlainHandler {
    async fn handle(self: Rc<Self>, call: HttpCall) -> HttpReply {
        match call.path.as_str() {
            "/standin/executions" => self.report_executions(),
            "/standin/fault" => self.set_faults(&call),
            _ => self.execute(call).await,
        }
        .header("x-boot-id", &self.boot)
    }

    fn crash(self: Rc<Self>) {
        self.control.take_down();
    }
}

impl PlainHandler {
    async fn execute(&self, call: HttpCall) -> HttpReply {
        let delay = self.settings.borrow().delay;
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        let number = self.record_execution(&call);
        let (drop_every, late_every, late_by) = {
            let settings = self.settings.borrow();
            (settings.drop_every, settings.late_every, settings.late_by)
        };
        if drop_every > 0 && number.is_multiple_of(drop_every) {
            return HttpReply::Disconnect;
        }
        if late_every > 0 && number.is_multiple_of(late_every) {
            actix_rt::time::sleep(late_by).await;
        }
        let attempt = call.header("x-attempt-id").unwrap_or_default();
        let answer = json!({"execution": number, "method": call.method.as_str(),
            "path": call.path, "query": call.query,
            "body": String::from_utf8_lossy(&call.body),
            "idempotency_key": call.header("idempotency-key")});
        HttpReply::json(200, &answer).header("x-attempt-id", attempt)
    }

    fn record_execution(&self, call: &HttpCall) -> u64 {
        let number = self.executed.get() + 1;
        self.executed.set(number);
        let mut counts = self.executions.borrow_mut();
        if let Some(attempt) = call.header("x-attempt-id") {
            *counts.by_attempt.entry(attempt.to_owned()).or_default() += 1;
        }
        if let Some(key) = call.header("idempotency-key") {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        *counts.by_body.entry(body).or_default() += 1;
        number
    }

    fn set_faults(&self, call: &HttpCall) -> HttpReply {
        let body = call.json();
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let mut settings = self.settings.borrow_mut();
        settings.delay = Duration::from_millis(number("delay_ms"));
        settings.late_by = Duration::from_millis(number("late_by_ms"));
        settings.late_every = number("late_every");
        settings.drop_every = number("drop_every");
        HttpReply::json(200, &json!({}))
    }

    fn report_executions(&self) -> HttpReply {
        let counts = self.executions.borrow();
        let report: Value = json!({"executed": self.executed.get(),
            "by_attempt": counts.by_attempt, "by_key": counts.by_key,
            "by_body": counts.by_body});
        HttpReply::json(200, &report)
    }
}
