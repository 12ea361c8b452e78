//! The engine's HTTP interface.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::Deref;
use std::process;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::types::FencingNumber;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use super::EngineSettings;
use super::FencingMode;
use super::api::CompletionRequest;
use super::api::RequestError;
use super::api::read_request;
use super::faults::EngineFaults;
use super::faults::consume_one;
use super::log::LogReader;
use super::log::LogState;
use super::sequence::CompletionKind;
use super::state::CrashReason;
use super::state::EngineState;
use super::state::SubmitError;
use crate::http::HttpCall;
use crate::http::HttpHandler;
use crate::http::HttpReply;
use crate::http::ServerCommand;
use crate::http::ServerControl;
use crate::http::StandinError;
use crate::http::StandinServer;

/// Exit code of the process after the engine has crashed.
const CRASH_EXIT_CODE: i32 = 70;

/// Maximum time between two load snapshots of an idle engine.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a stand-in engine until it is dropped.
#[derive(Debug)]
pub struct EngineServer {
    server: StandinServer,
}

impl EngineServer {
    /// Starts an engine on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(settings: EngineSettings) -> Result<Self, StandinError> {
        let address = settings.address;
        let server = StandinServer::start(address, move |control| {
            let handler = Rc::new(EngineHandler::new(settings, control));
            actix_rt::spawn(run_batch(Rc::clone(&handler)));
            handler
        })?;
        Ok(Self { server })
    }

    /// Waits until the engine's thread has ended.
    pub fn wait(self) {
        self.server.wait();
    }
}

impl Deref for EngineServer {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

/// Answers the engine's requests on its thread.
struct EngineHandler {
    state: RefCell<EngineState>,
    faults: RefCell<EngineFaults>,
    newest_fencing: Cell<FencingNumber>,
    order_ids: RefCell<HashSet<String>>,
    previous_answer: RefCell<Option<(String, Value)>>,
    work_available: Notify,
    frozen: Cell<bool>,
    control: Rc<ServerControl>,
}

async fn run_batch(handler: Rc<EngineHandler>) {
    let interval = handler.state.borrow().settings.step_interval;
    let mut last = Instant::now();
    loop {
        if handler.state.borrow().is_idle() || handler.frozen.get() {
            let _ = actix_rt::time::timeout(IDLE_INTERVAL, handler.work_available.notified()).await;
            last = Instant::now();
            if !handler.frozen.get() {
                handler.state.borrow_mut().record_contact(last);
            }
            if handler.state.borrow().is_idle() || handler.frozen.get() {
                continue;
            }
        }
        actix_rt::time::sleep(interval).await;
        if handler.frozen.get() {
            continue;
        }
        let now = Instant::now();
        let stepped = handler.state.borrow_mut().step(now - last, now);
        last = now;
        match stepped {
            Ok(()) => handler.state.borrow_mut().record_contact(now),
            Err(_) => Rc::clone(&handler).handle_crash(),
        }
    }
}

impl HttpHandler for EngineHandler {
    async fn handle(self: Rc<Self>, call: HttpCall) -> HttpReply {
        self.state.borrow_mut().record_contact(Instant::now());
        let reply = match call.path.as_str() {
            "/v1/chat/completions" => Rc::clone(&self).complete(call, CompletionKind::Chat).await,
            "/v1/completions" => Rc::clone(&self).complete(call, CompletionKind::Text).await,
            "/v1/models" => self.list_models(),
            "/engine/resume" => self.resume(&call),
            "/engine/cancel" => self.cancel(&call),
            "/engine/load" => self.report_load(),
            "/engine/events" => self.publish_events(&call),
            "/engine/orders" => self.accept_order(&call),
            "/engine/export" => self.export(&call),
            "/engine/import" => self.import(&call),
            "/standin/stats" => self.report_stats(),
            "/standin/fault" => self.set_faults(&call),
            "/standin/cold" => self.set_cold(&call),
            "/standin/crash" => {
                self.crash();
                return HttpReply::Disconnect;
            },
            _ => error(404, "no such path"),
        };
        let boot_id = self.state.borrow().boot_id().to_owned();
        reply.header("x-boot-id", &boot_id)
    }

    fn crash(self: Rc<Self>) {
        self.state.borrow_mut().crash(CrashReason("asked for"));
        self.handle_crash();
    }

    fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
        self.work_available.notify_one();
    }
}

impl EngineHandler {
    fn new(settings: EngineSettings, control: Rc<ServerControl>) -> Self {
        Self {
            state: RefCell::new(EngineState::new(settings)),
            faults: RefCell::default(),
            newest_fencing: Cell::new(0),
            order_ids: RefCell::default(),
            previous_answer: RefCell::default(),
            work_available: Notify::new(),
            frozen: Cell::new(false),
            control,
        }
    }

    /// Closes all connections after a crash; exits or restarts if the settings say so.
    fn handle_crash(self: Rc<Self>) {
        let (exit, delay) = {
            let state = self.state.borrow();
            (state.settings.exit_on_crash, state.settings.restart_delay)
        };
        if exit {
            process::exit(CRASH_EXIT_CODE);
        }
        self.control.take_down();
        self.order_ids.borrow_mut().clear();
        if let Some(delay) = delay {
            actix_rt::spawn(async move {
                actix_rt::time::sleep(delay).await;
                self.control.send(ServerCommand::Up);
            });
        }
    }

    async fn complete(self: Rc<Self>, call: HttpCall, kind: CompletionKind) -> HttpReply {
        let read = read_request(&call, kind, &self.state.borrow().settings);
        let request = match read {
            Ok(request) => request,
            Err(RequestError::Malformed) => {
                return error(400, "not a completion request").header("x-executed", "no");
            },
            Err(RequestError::UnknownModel) => {
                return error(404, "no such model").header("x-executed", "no");
            },
        };
        let attempt_id = request.sequence.attempt_id.clone();
        if self.refuses_fencing_number(call.header("x-fencing-number")) {
            self.state.borrow_mut().stats.record_refusal(&attempt_id);
            return error(412, "old fencing number").header("x-executed", "no");
        }
        if consume_one(&mut self.faults.borrow_mut().refuse_requests) {
            self.state.borrow_mut().stats.record_refusal(&attempt_id);
            return error(503, "refused as asked for").header("x-executed", "no");
        }
        self.generate(request).await.header("x-attempt-id", &attempt_id)
    }

    async fn generate(self: Rc<Self>, request: CompletionRequest) -> HttpReply {
        let attempt_id = request.sequence.attempt_id.clone();
        let submitted = self.state.borrow_mut().submit(request.sequence, Instant::now());
        let log = match submitted {
            Ok(log) => log,
            Err(SubmitError::QueueFull) => {
                return error(503, "engine queue is full").header("x-executed", "no");
            },
            Err(SubmitError::Crashed) => {
                self.handle_crash();
                return HttpReply::Disconnect;
            },
        };
        let reader = log.attach();
        self.work_available.notify_one();
        let delay = self.faults.borrow().answer_delay();
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if request.stream {
            return HttpReply::stream("text/event-stream", reader.stream(0));
        }
        self.answer_whole(reader, &attempt_id).await
    }

    async fn answer_whole(&self, reader: LogReader, attempt_id: &str) -> HttpReply {
        let state = reader.wait_closed().await;
        if consume_one(&mut self.faults.borrow_mut().drop_answers) || state != LogState::Finished {
            return HttpReply::Disconnect;
        }
        let answer = self.state.borrow().find(attempt_id).map(|sequence| sequence.whole_answer());
        let Some(answer) = answer else {
            return HttpReply::Disconnect;
        };
        let previous_answer =
            self.previous_answer.replace(Some((attempt_id.to_owned(), answer.clone())));
        if let Some((other, crossed)) = previous_answer
            && consume_one(&mut self.faults.borrow_mut().cross_answers)
        {
            return HttpReply::json(200, &crossed).header("x-attempt-id", &other);
        }
        HttpReply::json(200, &answer)
    }

    fn resume(&self, call: &HttpCall) -> HttpReply {
        let attempt_id = call.query_parameter("attempt_id").unwrap_or_default();
        let from = call.query_parameter("from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let state = self.state.borrow();
        match state.find(attempt_id) {
            Some(sequence) if sequence.log.state() != LogState::Cancelled => {
                HttpReply::stream("text/event-stream", sequence.log.attach().stream(from))
                    .header("x-attempt-id", attempt_id)
            },
            _ => error(410, "generation is gone"),
        }
    }

    fn cancel(&self, call: &HttpCall) -> HttpReply {
        if self.faults.borrow().ignore_cancel {
            return HttpReply::Hang;
        }
        let body = call.json();
        let attempt_id = body["attempt_id"].as_str().unwrap_or_default();
        let state = self.state.borrow_mut().cancel(attempt_id, Instant::now());
        HttpReply::json(200, &json!({"state": state}))
    }

    fn accept_order(&self, call: &HttpCall) -> HttpReply {
        let body = call.json();
        let number = body["fencing_number"].as_u64().unwrap_or(0).to_string();
        if self.refuses_fencing_number(Some(&number)) {
            return error(412, "old fencing number").header("x-executed", "no");
        }
        let order_id = body["order_id"].as_str().unwrap_or_default().to_owned();
        let is_new = self.order_ids.borrow_mut().insert(order_id);
        if is_new {
            self.state.borrow_mut().stats.orders.push(body);
        }
        HttpReply::json(200, &json!({"state": "done", "repeated": !is_new}))
    }

    fn import(&self, call: &HttpCall) -> HttpReply {
        let body = call.json();
        let blocks: Vec<u64> = body["blocks"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|block| u64::from_str_radix(block.as_str()?, 16).ok())
            .collect();
        self.state.borrow_mut().cache.store(&blocks, Instant::now());
        HttpReply::json(200, &json!({"imported": blocks.len()}))
    }

    fn set_faults(&self, call: &HttpCall) -> HttpReply {
        match serde_json::from_slice(&call.body) {
            Ok(faults) => {
                self.faults.replace(faults);
                HttpReply::json(200, &json!({}))
            },
            Err(cause) => error(400, &cause.to_string()),
        }
    }

    fn set_cold(&self, call: &HttpCall) -> HttpReply {
        let period = Duration::from_millis(call.json()["period_ms"].as_u64().unwrap_or(1_000));
        self.state.borrow_mut().start_cold_period(period, Instant::now());
        HttpReply::json(200, &json!({}))
    }

    /// Records the highest fencing number; returns whether the number `text` must be refused.
    fn refuses_fencing_number(&self, text: Option<&str>) -> bool {
        let Some(number) = text.and_then(|text| text.parse::<FencingNumber>().ok()) else {
            return false;
        };
        let newest = self.newest_fencing.get();
        self.newest_fencing.set(newest.max(number));
        number < newest && self.state.borrow().settings.fencing == FencingMode::Refuse
    }

    fn list_models(&self) -> HttpReply {
        let model = self.state.borrow().settings.model.to_string();
        let entry = json!({"id": model, "object": "model", "created": 0, "owned_by": "standin"});
        HttpReply::json(200, &json!({"object": "list", "data": [entry]}))
    }

    fn report_load(&self) -> HttpReply {
        HttpReply::json(200, &self.state.borrow().delayed_load(Instant::now()))
    }

    fn publish_events(&self, call: &HttpCall) -> HttpReply {
        let after = call.query_parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let state = self.state.borrow();
        let events = state.cache.events_after(after, Instant::now());
        HttpReply::json(200, &json!({"boot_id": state.boot_id(), "events": events}))
    }

    fn export(&self, call: &HttpCall) -> HttpReply {
        let body = call.json();
        let prompt = body["prompt"].as_str().unwrap_or_default();
        let model = self.state.borrow().settings.model.clone();
        let digests = super::block_digests(&model, prompt);
        let hits = self.state.borrow_mut().cache.lookup(&digests);
        let blocks: Vec<String> =
            digests[..hits].iter().map(|digest| format!("{digest:016x}")).collect();
        HttpReply::json(200, &json!({"blocks": blocks}))
    }

    fn report_stats(&self) -> HttpReply {
        let state = self.state.borrow();
        let mut report = serde_json::to_value(&state.stats).unwrap_or(Value::Null);
        report["load"] = state.current_load(Instant::now());
        HttpReply::json(200, &report)
    }
}

fn error(status: u16, message: &str) -> HttpReply {
    HttpReply::json(
        status,
        &json!({"error": {"message": message, "type": "engine", "code": status}}),
    )
}
