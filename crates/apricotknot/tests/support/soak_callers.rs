//! Callers of the soak test, which send requests continuously and check the answers.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::gateway_fleet::Answer;
use super::gateway_fleet::KEY;
use super::gateway_fleet::expected_stream_body;
use super::gateway_fleet::lookup_request;
use super::gateway_fleet::order_request;
use super::gateway_fleet::public_request;
use super::gateway_fleet::read_answer;
use super::gateway_fleet::stream_request;

/// API key that is revoked during the soak test.
pub(crate) const REVOKED_KEY: &str = "key-two";

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 10;

/// Time after which a call is late: the timeout of its route and a margin for a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(9_500);

/// Time after its revocation from which a key must not be accepted.
const REVOCATION_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Time after a disturbance during which a node may still fail calls because of it.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Maximum pause of a caller between two calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// Kinds of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKind {
    /// A stream that may resume at another engine.
    Stream,
    /// A non-repeatable call.
    Order,
    /// A repeatable call.
    Lookup,
    /// A repeatable call on a public route, with a key or without one.
    Public,
}

/// Key of a request, by what may become of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallKey {
    /// No key.
    None,
    /// A key that stays valid.
    Lasting,
    /// A key that is revoked during the test.
    Revoked,
}

/// A request that was sent, with the facts that its runs are checked against.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    pub(crate) id: String,
    pub(crate) kind: CallKind,
    pub(crate) key: CallKey,
    pub(crate) sent_at: Instant,
    /// Whether the answer said that the request was not executed.
    pub(crate) is_reported_unexecuted: bool,
}

/// A node under test, as its callers see it.
pub(crate) struct ObservedNode {
    pub(crate) address: SocketAddr,
    /// End of the last disturbance; `None` while the node is disturbed.
    disturbed_at: Mutex<Option<Instant>>,
}

impl ObservedNode {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, disturbed_at: Mutex::new(Some(Instant::now())) }
    }

    pub(crate) fn set_disturbed(&self, is_disturbed: bool) {
        *lock(&self.disturbed_at) = (!is_disturbed).then(Instant::now);
    }

    /// Returns whether the last disturbance ended more than [`RECOVERY_TIME`] before `moment`.
    fn is_calm_since(&self, moment: Instant) -> bool {
        lock(&self.disturbed_at).is_some_and(|last| last + RECOVERY_TIME < moment)
    }
}

/// Holds the nodes, the sent requests and the violations; shared by all callers.
pub(crate) struct SoakLog {
    pub(crate) nodes: Vec<ObservedNode>,
    pub(crate) sent: Mutex<Vec<SentCall>>,
    pub(crate) violations: Mutex<Vec<String>>,
    /// Time at which [`REVOKED_KEY`] was revoked.
    pub(crate) revoked_at: Mutex<Option<Instant>>,
    pub(crate) is_finished: AtomicBool,
}

impl SoakLog {
    pub(crate) fn new(nodes: impl Iterator<Item = SocketAddr>) -> Self {
        Self {
            nodes: nodes.map(ObservedNode::new).collect(),
            sent: Mutex::default(),
            violations: Mutex::default(),
            revoked_at: Mutex::default(),
            is_finished: AtomicBool::new(false),
        }
    }

    pub(crate) fn record_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }

    /// Returns whether [`REVOKED_KEY`] must not count for a request that was sent at `sent_at`.
    pub(crate) fn is_revoked_before(&self, sent_at: Instant) -> bool {
        lock(&self.revoked_at).is_some_and(|at| at + REVOCATION_TIMEOUT < sent_at)
    }
}

/// Starts callers that send requests until the soak test is finished.
pub(crate) fn start_callers(log: &Arc<SoakLog>, seed: u64) -> Vec<JoinHandle<()>> {
    let callers = (0..CALLER_COUNT).map(|caller| {
        let log = Arc::clone(log);
        thread::spawn(move || {
            let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + caller);
            SoakCaller {
                name: format!("{seed}-{caller}"),
                random,
                open_connection: None,
                count: 0,
            }
            .run(&log);
        })
    });
    callers.collect()
}

/// Locks a mutex, also if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends random requests to random nodes, one at a time.
struct SoakCaller {
    name: String,
    random: StdRng,
    /// Connection that is reused for the next call, with the index of its node.
    open_connection: Option<(usize, TcpStream)>,
    count: u64,
}

impl SoakCaller {
    fn run(mut self, log: &SoakLog) {
        while !log.is_finished.load(Ordering::Relaxed) {
            self.call(log);
            let pause = self.random.random_range(0..MAX_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn call(&mut self, log: &SoakLog) {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let (kind, text) = match self.random.random_range(0..10) {
            0..3 => (CallKind::Lookup, lookup_request(&id)),
            3 => (CallKind::Public, public_request(&id, Some(KEY))),
            4..7 => (CallKind::Order, order_request(&id)),
            7..9 => (CallKind::Stream, stream_request(&id, 1_000)),
            _ => (CallKind::Stream, stream_request(&id, self.random.random_range(50_000..150_000))),
        };
        let key = match (kind, self.random.random_range(0..10)) {
            (_, 0..2) => CallKey::Revoked,
            (CallKind::Public, 2..5) => CallKey::None,
            _ => CallKey::Lasting,
        };
        let text = match key {
            CallKey::None => public_request(&id, None),
            CallKey::Lasting => text,
            CallKey::Revoked => text.replace(KEY, REVOKED_KEY),
        };
        let Some((node, mut stream)) = self.connect(log) else {
            return;
        };
        let sent_at = Instant::now();
        let answer = match stream.write_all(text.as_bytes()) {
            Ok(()) => read_answer(&mut stream),
            Err(_) => Answer::default(),
        };
        let is_reusable = answer.is_complete && !answer.head.contains("connection: close");
        self.open_connection =
            (is_reusable && self.random.random_bool(0.8)).then_some((node, stream));
        let is_reported_unexecuted = answer.body.contains("\"executed\":\"no\"");
        lock(&log.sent).push(SentCall {
            id: id.clone(),
            kind,
            key,
            sent_at,
            is_reported_unexecuted,
        });
        let observed = ObservedAnswer { id: &id, kind, key, sent_at, answer: &answer };
        if let Some(violation) = observed.find_violation(log, &log.nodes[node]) {
            log.record_violation(format!("{violation}: node {node}, {kind:?} {id}: {answer:?}"));
        }
    }

    fn connect(&mut self, log: &SoakLog) -> Option<(usize, TcpStream)> {
        if let Some(open_connection) = self.open_connection.take() {
            return Some(open_connection);
        }
        let node = self.random.random_range(0..log.nodes.len());
        let stream = TcpStream::connect(log.nodes[node].address).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT * 2)).ok()?;
        Some((node, stream))
    }
}

/// An answer with the facts about its request that it is checked against.
struct ObservedAnswer<'a> {
    id: &'a str,
    kind: CallKind,
    key: CallKey,
    sent_at: Instant,
    answer: &'a Answer,
}

impl ObservedAnswer<'_> {
    /// Returns the guarantee that the answer violates, or `None`.
    fn find_violation(&self, log: &SoakLog, node: &ObservedNode) -> Option<&'static str> {
        let head = &self.answer.head;
        let is_late = self.sent_at.elapsed() > ANSWER_TIMEOUT;
        if node.is_calm_since(self.sent_at) && (self.answer.status == 0 || is_late) {
            return Some("no answer in time from an undisturbed node");
        }
        let names_own_request = head.contains(&format!("request-id: {}\r\n", self.id))
            || head.ends_with(&format!("request-id: {}", self.id));
        match self.answer.status {
            0 => None,
            _ if self.answer.has_invalid_bytes => Some("bytes that do not belong to an answer"),
            _ if !names_own_request => Some("an answer to another request"),
            200 if self.needs_revoked_key() && log.is_revoked_before(self.sent_at) => {
                Some("a revoked key was accepted")
            },
            200 | 500 if !head.contains("response-seal") => {
                Some("an answer that does not come from an endpoint")
            },
            200 => self.find_wrong_body(),
            500 if self.answer.body == "whole answer" => None,
            401 if self.needs_revoked_key() && lock(&log.revoked_at).is_some() => None,
            502 | 504 if self.answer.body.contains("\"executed\":\"unknown\"") => None,
            503 if head.contains("retry-after: ") => None,
            // An endpoint says so, to a caller whom it does no harm.
            503 if head.contains("response-seal") && self.kind != CallKind::Order => None,
            _ => Some("an unexplained status"),
        }
    }

    fn find_wrong_body(&self) -> Option<&'static str> {
        let body = &self.answer.body;
        let is_right = match (self.kind, self.answer.is_complete) {
            (CallKind::Stream, true) => *body == expected_stream_body(),
            (CallKind::Stream, false) => expected_stream_body().starts_with(body.as_str()),
            (_, true) => body == "whole answer",
            (_, false) => true,
        };
        (!is_right).then_some("a body other than that of the endpoint")
    }

    fn needs_revoked_key(&self) -> bool {
        self.key == CallKey::Revoked && self.kind != CallKind::Public
    }
}
