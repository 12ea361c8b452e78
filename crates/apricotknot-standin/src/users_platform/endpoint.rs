//! An endpoint that uses the platform's headers and records the requests that it runs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use serde_json::json;

use crate::http::HttpCall;
use crate::http::HttpHandler;
use crate::http::HttpReply;
use crate::http::StandinError;
use crate::http::StandinServer;

/// Selects the fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointFault {
    /// The endpoint works.
    #[default]
    None,
    /// The connection of a stream is broken after this number of events.
    DisconnectAfter(u64),
    /// As [`DisconnectAfter`](Self::DisconnectAfter), and requests to resume a stream are answered
    /// with status 500.
    DisconnectAfterThenFail(u64),
    /// As [`DisconnectAfter`](Self::DisconnectAfter), and requests to resume a stream are answered
    /// with a message in plain text, under a status of success.
    DisconnectAfterThenText(u64),
    /// Streams pause for this time after this number of events, and answers of calls come after it.
    Pause(u64, Duration),
    /// The endpoint refuses requests as full, and runs none.
    Full,
    /// Requests run, and the endpoint sends the refusal of another request instead of the answer.
    RefuseAnother,
    /// Requests run, and no answer is sent.
    Silent,
    /// Requests run, and the connection is closed before the answer.
    DropAnswer,
    /// Answers carry the id of another request.
    WrongRequestId,
    /// Requests run and are answered with status 500.
    ServerError,
    /// Requests run and are answered with this status, which states that they have not.
    FalseRefusal(u16),
    /// Answers of calls have this number of bytes.
    LargeAnswer(usize),
}

/// Describes one request that an endpoint ran.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExecutionRecord {
    /// Id of the request.
    pub request_id: String,
    /// Path and query of the request.
    pub target: String,
    /// Account for which the request ran.
    pub account: Option<String>,
    /// Key of the account; a gateway must not forward it.
    pub account_key: Option<String>,
    /// Time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Id of the last event that the reader received, for a request to resume a stream.
    pub last_event_id: Option<u64>,
    /// Value of the header `helpers`: the endpoints that help with the request.
    pub helpers: Option<String>,
    /// Body of the request.
    pub body: Bytes,
}

/// How an endpoint sends the events of its streams.
#[derive(Clone, Copy, Debug)]
struct EventPlan {
    /// Time between two events.
    interval: Duration,
    /// Difference between the ids of two events.
    id_step: u64,
    /// Bytes that end a line.
    line_end: &'static str,
}

#[derive(Debug)]
struct EndpointState {
    id: String,
    fault: EndpointFault,
    /// Value of the header `server-limit` in answers, if they have one.
    rate_limit: Option<String>,
    /// Value of the header `retry-after` of refusals: requests are refused while it is set.
    retry_after: Option<String>,
    /// Whether answers say that the endpoint leaves.
    is_leaving: bool,
    /// Time of arrival of each request, also of those that are refused.
    arrivals: Vec<Instant>,
    events: EventPlan,
    executions: Vec<ExecutionRecord>,
    /// Reserved tokens by id, each with the time at which the reservation expires.
    reservations: BTreeMap<String, (u64, Instant)>,
    released_reservations: usize,
    /// Number of streams whose reader disconnected before their end.
    abandoned_streams: usize,
}

/// Counts a stream as abandoned if it is dropped before its end.
struct StreamGuard {
    state: Arc<Mutex<EndpointState>>,
    is_complete: bool,
}

impl StreamGuard {
    fn mark_complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.state.lock().unwrap_or_else(PoisonError::into_inner).abandoned_streams += 1;
        }
    }
}

/// Runs a stand-in endpoint until it is dropped.
#[derive(Debug)]
pub struct EndpointServer {
    server: StandinServer,
    state: Arc<Mutex<EndpointState>>,
}

/// Number of events of each stream.
const EVENT_COUNT: u64 = 6;

impl EndpointServer {
    /// Starts the endpoint `id` on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(id: &str, address: SocketAddr) -> Result<Self, StandinError> {
        let state = Arc::new(Mutex::new(EndpointState {
            id: id.to_owned(),
            fault: EndpointFault::None,
            rate_limit: None,
            retry_after: None,
            is_leaving: false,
            arrivals: Vec::new(),
            events: EventPlan { interval: Duration::from_millis(5), id_step: 1, line_end: "\n" },
            executions: Vec::new(),
            reservations: BTreeMap::new(),
            released_reservations: 0,
            abandoned_streams: 0,
        }));
        let handler_state = Arc::clone(&state);
        let server =
            StandinServer::start(address, |_| Rc::new(EndpointHandler { state: handler_state }))?;
        Ok(Self { server, state })
    }

    /// Sets the fault that applies to further requests.
    pub fn set_fault(&self, fault: EndpointFault) {
        self.lock().fault = fault;
    }

    /// Sets the request rate, in requests per second, that further answers name as the limit.
    pub fn set_rate_limit(&self, limit: Option<&str>) {
        self.lock().rate_limit = limit.map(str::to_owned);
    }

    /// Makes the endpoint refuse requests and name this `retry-after`, in seconds, or run them again.
    pub fn set_retry_after(&self, seconds: Option<&str>) {
        self.lock().retry_after = seconds.map(str::to_owned);
    }

    /// Sets whether further answers say that the endpoint leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
    }

    /// Returns when each request arrived, also those that were refused.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Sets the time between two events of a stream.
    pub fn set_event_interval(&self, interval: Duration) {
        self.lock().events.interval = interval;
    }

    /// Sets the difference between the ids of two events of further streams.
    pub fn set_event_id_step(&self, step: u64) {
        self.lock().events.id_step = step;
    }

    /// Sets the bytes that end a line of further streams.
    pub fn set_line_end(&self, line_end: &'static str) {
        self.lock().events.line_end = line_end;
    }

    /// Closes all connections and refuses new ones.
    pub fn take_down(&self) {
        self.server.take_down();
    }

    /// Returns the address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the requests that the endpoint ran.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.lock().executions.clone()
    }

    /// Returns the memory in reservations that have not expired, in tokens.
    pub fn reserved_tokens(&self) -> u64 {
        let now = Instant::now();
        let state = self.lock();
        let held = state.reservations.values().filter(|(_, end)| *end > now);
        held.map(|(tokens, _)| tokens).sum()
    }

    /// Returns how many reservations were released.
    pub fn released_reservations(&self) -> usize {
        self.lock().released_reservations
    }

    /// Returns how many streams were dropped because their reader disconnected before their end.
    pub fn abandoned_streams(&self) -> usize {
        self.lock().abandoned_streams
    }

    /// Returns the number of events of each stream.
    pub fn event_count() -> u64 {
        EVENT_COUNT
    }

    fn lock(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct EndpointHandler {
    state: Arc<Mutex<EndpointState>>,
}

impl HttpHandler for EndpointHandler {
    async fn handle(self: Rc<Self>, call: HttpCall) -> HttpReply {
        let fault = self.lock().fault;
        let reply = match call.path.as_str() {
            "/order" => self.handle_reservation(&call),
            _ => self.handle_request(&call),
        };
        if let EndpointFault::Pause(_, pause) = fault
            && call.header("token-count").is_none()
        {
            actix_rt::time::sleep(pause).await;
        }
        match self.lock().is_leaving {
            true => reply.header("server-leaving", "1"),
            false => reply,
        }
    }

    fn crash(self: Rc<Self>) {}
}

impl EndpointHandler {
    fn lock(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_request(&self, call: &HttpCall) -> HttpReply {
        let (fault, plan, limit, retry_after) = {
            let mut state = self.lock();
            if call.header("expect-instance") != Some(&state.id) {
                return HttpReply::json(421, &json!({})).header("instance-id", &state.id);
            }
            state.arrivals.push(Instant::now());
            (state.fault, state.events, state.rate_limit.clone(), state.retry_after.clone())
        };
        if let Some(seconds) = retry_after {
            let refusal = HttpReply::json(503, &json!({})).header("not-executed", "1");
            return refusal.header("retry-after", &seconds);
        }
        if fault == EndpointFault::Full {
            let reply = HttpReply::json(503, &json!({})).header("not-executed", "1");
            return with_rate_limit(reply, limit);
        }
        let record = execution_record(call);
        self.lock().executions.push(record.clone());
        let guard = StreamGuard { state: Arc::clone(&self.state), is_complete: false };
        with_rate_limit(answer(call, &record, fault, plan, guard), limit)
    }

    fn handle_reservation(&self, call: &HttpCall) -> HttpReply {
        let body = call.json();
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        match body["op"].as_str() {
            Some("reserve") => {
                let hold = Duration::from_millis(body["holdMs"].as_u64().unwrap_or(0));
                let tokens = body["tokens"].as_u64().unwrap_or(0);
                state.reservations.insert(id, (tokens, Instant::now() + hold));
            },
            Some("release") => {
                state.released_reservations +=
                    usize::from(state.reservations.remove(&id).is_some());
            },
            _ => return HttpReply::json(400, &json!({})),
        }
        HttpReply::json(200, &json!({"free": 0}))
    }
}

fn with_rate_limit(reply: HttpReply, limit: Option<String>) -> HttpReply {
    match limit {
        Some(limit) => reply.header("server-limit", &limit),
        None => reply,
    }
}

fn execution_record(call: &HttpCall) -> ExecutionRecord {
    let text = |name| call.header(name).map(str::to_owned);
    let number = |name| call.header(name).and_then(|text| text.parse().ok());
    let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
    ExecutionRecord {
        request_id: text("request-id").unwrap_or_default(),
        target: format!("{}{query}", call.path),
        account: text("tenant"),
        account_key: text("x-api-key"),
        remaining_ms: number("request-deadline").unwrap_or(0),
        last_event_id: number("last-event-id"),
        helpers: text("helpers"),
        body: call.body.clone(),
    }
}

fn answer(
    call: &HttpCall,
    record: &ExecutionRecord,
    fault: EndpointFault,
    plan: EventPlan,
    mut guard: StreamGuard,
) -> HttpReply {
    if fault == EndpointFault::DropAnswer {
        guard.mark_complete();
        return HttpReply::Disconnect;
    }
    if fault == EndpointFault::Silent {
        return HttpReply::Hang;
    }
    if fault == EndpointFault::RefuseAnother {
        guard.mark_complete();
        let refusal = HttpReply::json(503, &json!({})).header("not-executed", "1");
        return refusal.header("request-id", "another");
    }
    let id = match fault {
        EndpointFault::WrongRequestId => "another",
        _ => &record.request_id,
    };
    let is_failing = match fault {
        EndpointFault::ServerError | EndpointFault::FalseRefusal(_) => true,
        EndpointFault::DisconnectAfterThenFail(_) => record.last_event_id.is_some(),
        _ => false,
    };
    let is_text = matches!(fault, EndpointFault::DisconnectAfterThenText(_))
        && record.last_event_id.is_some();
    let large_length = match fault {
        EndpointFault::LargeAnswer(length) => Some(length),
        _ => None,
    };
    let status = match fault {
        EndpointFault::FalseRefusal(status) => status,
        _ if is_failing => 500,
        _ => 200,
    };
    let reply = match call.header("token-count") {
        Some(_) if !is_failing && !is_text => {
            HttpReply::stream("text/event-stream", events(record, fault, plan, guard))
        },
        None if large_length.is_some() => {
            guard.mark_complete();
            let length = large_length.unwrap_or_default();
            HttpReply::bytes(status, "text/plain", Bytes::from(vec![b'x'; length]))
        },
        _ if is_text => {
            guard.mark_complete();
            HttpReply::bytes(status, "text/plain", Bytes::from_static(b"upstream failed\n\n"))
        },
        _ => {
            guard.mark_complete();
            HttpReply::bytes(status, "text/plain", Bytes::from_static(b"whole answer"))
        },
    };
    reply.header("request-id", id).header("response-seal", "sealed")
}

fn events(
    record: &ExecutionRecord,
    fault: EndpointFault,
    plan: EventPlan,
    guard: StreamGuard,
) -> impl Stream<Item = Result<Bytes, io::Error>> + 'static {
    let first = record.last_event_id.map_or(0, |last| last / plan.id_step + 1);
    let disconnect_at = match fault {
        EndpointFault::DisconnectAfter(count)
        | EndpointFault::DisconnectAfterThenFail(count)
        | EndpointFault::DisconnectAfterThenText(count) => first + count,
        _ => u64::MAX,
    };
    let (pause_at, pause) = match fault {
        EndpointFault::Pause(count, pause) => (first + count, pause),
        _ => (u64::MAX, Duration::ZERO),
    };
    unfold((first, guard), move |(number, mut guard)| async move {
        if number >= EVENT_COUNT {
            guard.mark_complete();
            return None;
        }
        actix_rt::time::sleep(plan.interval).await;
        if number == pause_at {
            actix_rt::time::sleep(pause).await;
        }
        if number >= disconnect_at {
            // Breaks the connection in the middle of the stream.
            let broken = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(broken), (EVENT_COUNT, guard)));
        }
        let id = number * plan.id_step;
        let event = format!("id: {id}\ndata: piece {number}\n\n");
        let event = event.replace('\n', plan.line_end);
        Some((Ok(Bytes::from(event)), (number + 1, guard)))
    })
}
