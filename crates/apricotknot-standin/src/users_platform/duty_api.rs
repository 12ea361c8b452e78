//! Stand-in of the platform's API for duties, which checks the calls of holders.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::HttpCall;
use crate::http::HttpHandler;
use crate::http::HttpReply;
use crate::http::StandinError;
use crate::http::StandinServer;

/// Selects the fault of the API.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DutyFault {
    /// The API works.
    #[default]
    None,
    /// Calls are answered with this status, and not carried out.
    Status(u16),
    /// Calls get no answer, and are not carried out.
    Silent,
    /// Calls get no answer, and are carried out after this time.
    Late(Duration),
}

/// One call that reached the API.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCallRecord {
    /// Time at which the call was carried out or refused.
    pub at: Instant,
    /// Path of the call.
    pub path: String,
    /// Node that holds the duty.
    pub holder: String,
    /// Fencing number of the call.
    pub fence: u64,
    /// Body of the call.
    pub body: Value,
    /// Status of the answer.
    pub status: u16,
}

impl DutyCallRecord {
    /// Returns what the fencing numbers of calls are compared for.
    fn subject(&self) -> String {
        match (self.body["service"].as_str(), self.body["zone"].as_str()) {
            (Some(service), Some(zone)) => format!("{} {service} {zone}", self.path),
            _ => self.path.clone(),
        }
    }
}

#[derive(Debug, Default)]
struct DutyApiState {
    fault: DutyFault,
    calls_per_second: usize,
    arrivals: VecDeque<Instant>,
    /// Largest fencing number of each subject.
    fences: BTreeMap<String, u64>,
    calls: Vec<DutyCallRecord>,
}

impl DutyApiState {
    /// Carries out a call, or refuses it; returns the status.
    fn carry_out(&mut self, mut call: DutyCallRecord) -> u16 {
        let largest = self.fences.entry(call.subject()).or_default();
        call.status = if call.fence < *largest { 409 } else { 200 };
        *largest = call.fence.max(*largest);
        call.at = Instant::now();
        let status = call.status;
        self.calls.push(call);
        status
    }

    fn is_over_limit(&mut self) -> bool {
        let now = Instant::now();
        self.arrivals.retain(|at| now - *at < Duration::from_secs(1));
        let is_over = self.arrivals.len() >= self.calls_per_second;
        if !is_over {
            self.arrivals.push_back(now);
        }
        is_over
    }
}

/// Runs a stand-in API for duties until it is dropped.
#[derive(Debug)]
pub struct DutyApiServer {
    server: StandinServer,
    state: Arc<Mutex<DutyApiState>>,
}

impl DutyApiServer {
    /// Starts the API on its own thread; it accepts `calls_per_second` calls.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr, calls_per_second: usize) -> Result<Self, StandinError> {
        let state = DutyApiState { calls_per_second, ..DutyApiState::default() };
        let state = Arc::new(Mutex::new(state));
        let handler_state = Arc::clone(&state);
        let server =
            StandinServer::start(address, |_| Rc::new(DutyApiHandler { state: handler_state }))?;
        Ok(Self { server, state })
    }

    /// Sets the fault of the API.
    pub fn set_fault(&self, fault: DutyFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns the address of the API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the calls that were carried out or refused for their fencing number.
    pub fn calls(&self) -> Vec<DutyCallRecord> {
        lock(&self.state).calls.clone()
    }

    /// Returns what holders did that only one at a time may do; empty if there was nothing.
    pub fn violations(&self, lease_time: Duration) -> Vec<String> {
        let calls = self.calls();
        let accepted: Vec<_> = calls.iter().filter(|call| call.status == 200).collect();
        let mut found = shared_fences(&calls);
        found.extend(changed_reports(&accepted));
        for path in ["/usage", "/scale"] {
            let duty = accepted.iter().filter(|call| call.path == path);
            found.extend(quick_turns(&duty.copied().collect::<Vec<_>>(), lease_time));
        }
        found
    }
}

/// Finds fencing numbers that two holders sent for one subject.
fn shared_fences(calls: &[DutyCallRecord]) -> Vec<String> {
    let mut users = BTreeMap::new();
    let mut found = Vec::new();
    for call in calls {
        let user = users.entry((call.subject(), call.fence)).or_insert(&call.holder);
        if **user != call.holder {
            found.push(format!("{user} and {} sent the fence {}", call.holder, call.fence));
        }
    }
    found
}

/// Finds windows with two different reports.
fn changed_reports(accepted: &[&DutyCallRecord]) -> Vec<String> {
    let mut reports = BTreeMap::new();
    let mut found = Vec::new();
    for call in accepted.iter().filter(|call| call.path == "/usage") {
        let window = call.body["window"].as_u64();
        let counts = reports.entry(window).or_insert(&call.body["counts"]);
        if **counts != call.body["counts"] {
            found.push(format!("two reports for window {window:?}: {counts} and {}", call.body));
        }
    }
    found
}

/// Finds holders that acted again within the lease time, after another one did.
fn quick_turns(accepted: &[&DutyCallRecord], lease_time: Duration) -> Vec<String> {
    let mut found = Vec::new();
    for (index, call) in accepted.iter().enumerate() {
        let earlier = &accepted[..index];
        let own = earlier.iter().rposition(|other| other.holder == call.holder);
        let Some(own) = own.filter(|own| own + 1 < index) else {
            continue;
        };
        let gap = call.at - earlier[own].at;
        if gap < lease_time {
            found.push(format!("{} acts again {gap:?} after {}", call.holder, earlier[own].fence));
        }
    }
    found
}

struct DutyApiHandler {
    state: Arc<Mutex<DutyApiState>>,
}

impl HttpHandler for DutyApiHandler {
    async fn handle(self: Rc<Self>, call: HttpCall) -> HttpReply {
        let record = DutyCallRecord {
            at: Instant::now(),
            path: call.path.clone(),
            holder: call.header("duty-holder").unwrap_or_default().to_owned(),
            fence: call.header("fence-token").and_then(|text| text.parse().ok()).unwrap_or(0),
            body: call.json(),
            status: 0,
        };
        if lock(&self.state).is_over_limit() {
            return HttpReply::json(429, &json!({}));
        }
        let fault = lock(&self.state).fault;
        match fault {
            DutyFault::None => {
                let status = lock(&self.state).carry_out(record);
                HttpReply::json(status, &json!({}))
            },
            DutyFault::Status(status) => HttpReply::json(status, &json!({"error": "fault"})),
            DutyFault::Silent => HttpReply::Hang,
            DutyFault::Late(delay) => {
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(delay).await;
                    lock(&self.state).carry_out(record);
                });
                HttpReply::Hang
            },
        }
    }

    fn crash(self: Rc<Self>) {}
}

fn lock(state: &Mutex<DutyApiState>) -> MutexGuard<'_, DutyApiState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
