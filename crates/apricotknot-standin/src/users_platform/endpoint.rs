//! An endpoint that speaks the platform's headers and notes what it runs.

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

use crate::host::HttpCall;
use crate::host::HttpHandler;
use crate::host::HttpReply;
use crate::host::StandinError;
use crate::host::StandinServer;

/// Says what is wrong with an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointTrouble {
    /// Nothing.
    #[default]
    None,
    /// It breaks the connection of a stream after so many events.
    CutAfter(u64),
    /// It does so too, and answers streams that go on with a failure of its own.
    CutAfterThenFail(u64),
    /// It says that it is full, and runs nothing.
    Full,
    /// It runs calls and breaks the connection before the answer.
    LostAnswer,
    /// It answers calls with the id of another request.
    Crossed,
    /// It answers calls with a failure of its own.
    Failing,
}

/// Describes one request that an endpoint ran.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunRecord {
    /// Id of the request.
    pub request_id: String,
    /// Path and query of the request.
    pub target: String,
    /// Account that the request was run for.
    pub account: Option<String>,
    /// Key of the account; it must not come here.
    pub key: Option<String>,
    /// Time left, in milliseconds.
    pub time_left: u64,
    /// Number of the event after which the stream goes on.
    pub last_event: Option<u64>,
    /// Endpoints that help.
    pub helpers: Option<String>,
    /// Body of the request.
    pub body: Bytes,
}

#[derive(Debug)]
struct EndpointState {
    id: String,
    trouble: EndpointTrouble,
    event_pause: Duration,
    runs: Vec<RunRecord>,
    /// Tokens of each, and the moment at which they are free again.
    reservations: BTreeMap<String, (u64, Instant)>,
    released: usize,
    /// Streams whose reader left before their end.
    abandoned: usize,
}

/// Counts a stream that is dropped before its end.
struct StreamGuard {
    state: Arc<Mutex<EndpointState>>,
    is_whole: bool,
}

impl StreamGuard {
    fn finish(&mut self) {
        self.is_whole = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if !self.is_whole {
            self.state.lock().unwrap_or_else(PoisonError::into_inner).abandoned += 1;
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
    /// Starts the endpoint `id` on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(id: &str, address: SocketAddr) -> Result<Self, StandinError> {
        let state = Arc::new(Mutex::new(EndpointState {
            id: id.to_owned(),
            trouble: EndpointTrouble::None,
            event_pause: Duration::from_millis(5),
            runs: Vec::new(),
            reservations: BTreeMap::new(),
            released: 0,
            abandoned: 0,
        }));
        let own = Arc::clone(&state);
        let server = StandinServer::start(address, |_| Rc::new(EndpointHandler { state: own }))?;
        Ok(Self { server, state })
    }

    // Commands.

    /// Sets what is wrong with the endpoint from now on.
    pub fn set_trouble(&self, trouble: EndpointTrouble) {
        self.lock().trouble = trouble;
    }

    /// Sets the pause between two events of a stream.
    pub fn set_event_pause(&self, pause: Duration) {
        self.lock().event_pause = pause;
    }

    /// Cuts all connections and refuses new ones.
    pub fn take_down(&self) {
        self.server.take_down();
    }

    // Queries.

    /// Returns the address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the requests that the endpoint ran.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Returns the memory that is set aside, in tokens.
    pub fn reserved(&self) -> u64 {
        let now = Instant::now();
        let state = self.lock();
        let held = state.reservations.values().filter(|(_, end)| *end > now);
        held.map(|(tokens, _)| tokens).sum()
    }

    /// Returns how many reservations were released.
    pub fn released(&self) -> usize {
        self.lock().released
    }

    /// Returns how many streams were left by their readers before their end.
    pub fn abandoned(&self) -> usize {
        self.lock().abandoned
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
        if call.path == "/order" {
            return self.order(&call);
        }
        let (trouble, pause) = {
            let state = self.lock();
            if call.header("expect-instance") != Some(&state.id) {
                return HttpReply::json(421, &json!({})).header("instance-id", &state.id);
            }
            (state.trouble, state.event_pause)
        };
        if trouble == EndpointTrouble::Full {
            return HttpReply::json(503, &json!({})).header("not-executed", "1");
        }
        let record = record_of(&call);
        self.lock().runs.push(record.clone());
        let guard = StreamGuard { state: Arc::clone(&self.state), is_whole: false };
        answer(&call, &record, trouble, pause, guard)
    }

    fn crash(self: Rc<Self>) {}
}

impl EndpointHandler {
    fn lock(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn order(&self, call: &HttpCall) -> HttpReply {
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
                state.released += usize::from(state.reservations.remove(&id).is_some());
            },
            _ => return HttpReply::json(400, &json!({})),
        }
        HttpReply::json(200, &json!({"free": 0}))
    }
}

fn record_of(call: &HttpCall) -> RunRecord {
    let text = |name| call.header(name).map(str::to_owned);
    let number = |name| call.header(name).and_then(|text| text.parse().ok());
    let query = if call.query.is_empty() { String::new() } else { format!("?{}", call.query) };
    RunRecord {
        request_id: text("request-id").unwrap_or_default(),
        target: format!("{}{query}", call.path),
        account: text("tenant"),
        key: text("x-api-key"),
        time_left: number("request-deadline").unwrap_or(0),
        last_event: number("last-event-id"),
        helpers: text("helpers"),
        body: call.body.clone(),
    }
}

fn answer(
    call: &HttpCall,
    record: &RunRecord,
    trouble: EndpointTrouble,
    pause: Duration,
    mut guard: StreamGuard,
) -> HttpReply {
    if trouble == EndpointTrouble::LostAnswer {
        guard.finish();
        return HttpReply::Disconnect;
    }
    let id = match trouble {
        EndpointTrouble::Crossed => "another",
        _ => &record.request_id,
    };
    let is_failing = match trouble {
        EndpointTrouble::Failing => true,
        EndpointTrouble::CutAfterThenFail(_) => record.last_event.is_some(),
        _ => false,
    };
    let status = if is_failing { 500 } else { 200 };
    let reply = match call.header("token-count") {
        Some(_) if !is_failing => {
            HttpReply::stream("text/event-stream", events(record, trouble, pause, guard))
        },
        _ => {
            guard.finish();
            HttpReply::bytes(status, "text/plain", Bytes::from_static(b"whole answer"))
        },
    };
    reply.header("request-id", id).header("response-seal", "sealed")
}

fn events(
    record: &RunRecord,
    trouble: EndpointTrouble,
    pause: Duration,
    guard: StreamGuard,
) -> impl Stream<Item = Result<Bytes, io::Error>> + 'static {
    let first = record.last_event.map_or(0, |last| last + 1);
    let cut_at = match trouble {
        EndpointTrouble::CutAfter(count) | EndpointTrouble::CutAfterThenFail(count) => {
            first + count
        },
        _ => u64::MAX,
    };
    unfold((first, guard), move |(number, mut guard)| async move {
        if number >= EVENT_COUNT {
            guard.finish();
            return None;
        }
        actix_rt::time::sleep(pause).await;
        if number >= cut_at {
            // The first half of an event, and then the end of the connection.
            let broken = io::Error::from(io::ErrorKind::ConnectionReset);
            return Some((Err(broken), (EVENT_COUNT, guard)));
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        Some((Ok(Bytes::from(event)), (number + 1, guard)))
    })
}
