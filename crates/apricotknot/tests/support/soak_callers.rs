//! Callers that never stop, and what they hold against the answers they get.

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
use super::gateway_fleet::lookup_request;
use super::gateway_fleet::order_request;
use super::gateway_fleet::read_answer;
use super::gateway_fleet::stream_request;
use super::gateway_fleet::whole_stream;

/// Key that is taken away during the soak.
pub(crate) const LOST_KEY: &str = "key-two";

/// Callers at work at the same time.
const CALLERS: u64 = 10;

/// Longest time of a call by its route, with what a loaded machine may add.
const ANSWER_TIME: Duration = Duration::from_millis(9_500);

/// Time after which a key that was taken away must not be let in.
const REVOKE_TIME: Duration = Duration::from_millis(3_200);

/// Time after a disturbance in which a node may still suffer from it.
const AFTERMATH: Duration = Duration::from_secs(1);

/// Longest pause of a caller.
const MAX_PAUSE_MS: u64 = 40;

/// Kinds of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SoakKind {
    /// A stream that may go on elsewhere.
    Stream,
    /// A call that may run once.
    Order,
    /// A call that may run again.
    Lookup,
}

/// One request that was sent, as far as its runs have to agree with it.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    pub(crate) id: String,
    pub(crate) kind: SoakKind,
    /// Whether the caller was told that it has not run.
    pub(crate) is_denied: bool,
}

/// A node as callers see it.
pub(crate) struct NodeView {
    pub(crate) address: SocketAddr,
    /// Newest moment at which it was disturbed; `None` while it still is.
    disturbed: Mutex<Option<Instant>>,
}

impl NodeView {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, disturbed: Mutex::new(Some(Instant::now())) }
    }

    pub(crate) fn set_disturbed(&self, is_disturbed: bool) {
        *lock(&self.disturbed) = (!is_disturbed).then(Instant::now);
    }

    /// Returns whether nothing has disturbed the node since shortly before `moment`.
    fn is_calm_since(&self, moment: Instant) -> bool {
        lock(&self.disturbed).is_some_and(|last| last + AFTERMATH < moment)
    }
}

/// What all callers share.
pub(crate) struct SoakBook {
    pub(crate) nodes: Vec<NodeView>,
    pub(crate) sent: Mutex<Vec<SentCall>>,
    pub(crate) breaches: Mutex<Vec<String>>,
    /// Moment at which a key was taken away.
    pub(crate) revoked: Mutex<Option<Instant>>,
    pub(crate) is_over: AtomicBool,
}

impl SoakBook {
    pub(crate) fn new(nodes: impl Iterator<Item = SocketAddr>) -> Self {
        Self {
            nodes: nodes.map(NodeView::new).collect(),
            sent: Mutex::default(),
            breaches: Mutex::default(),
            revoked: Mutex::default(),
            is_over: AtomicBool::new(false),
        }
    }

    pub(crate) fn breach(&self, text: String) {
        lock(&self.breaches).push(text);
    }
}

/// Starts callers that go on until the soak is over.
pub(crate) fn start_callers(book: &Arc<SoakBook>, seed: u64) -> Vec<JoinHandle<()>> {
    let callers = (0..CALLERS).map(|caller| {
        let book = Arc::clone(book);
        thread::spawn(move || {
            let random = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + caller);
            SoakCaller { name: format!("{seed}-{caller}"), random, kept: None, count: 0 }
                .run(&book);
        })
    });
    callers.collect()
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct SoakCaller {
    name: String,
    random: StdRng,
    /// Connection that is still open, with the node at its other end.
    kept: Option<(usize, TcpStream)>,
    count: u64,
}

impl SoakCaller {
    fn run(mut self, book: &SoakBook) {
        while !book.is_over.load(Ordering::Relaxed) {
            self.call(book);
            let pause = self.random.random_range(0..MAX_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    fn call(&mut self, book: &SoakBook) {
        self.count += 1;
        let id = format!("{}-{}", self.name, self.count);
        let (kind, text) = match self.random.random_range(0..10) {
            0..4 => (SoakKind::Lookup, lookup_request(&id)),
            4..7 => (SoakKind::Order, order_request(&id)),
            7..9 => (SoakKind::Stream, stream_request(&id, 1_000)),
            _ => (SoakKind::Stream, stream_request(&id, self.random.random_range(50_000..150_000))),
        };
        let has_lost_key = self.random.random_bool(0.2);
        let text = if has_lost_key { text.replace(KEY, LOST_KEY) } else { text };
        let Some((node, mut stream)) = self.connect(book) else {
            return;
        };
        let sent_at = Instant::now();
        let answer = match stream.write_all(text.as_bytes()) {
            Ok(()) => read_answer(&mut stream),
            Err(_) => Answer::default(),
        };
        let is_kept = answer.is_whole && !answer.head.contains("connection: close");
        self.kept = (is_kept && self.random.random_bool(0.8)).then_some((node, stream));
        let is_denied = answer.body.contains("\"executed\":\"no\"");
        lock(&book.sent).push(SentCall { id: id.clone(), kind, is_denied });
        let seen = SeenAnswer { id: &id, kind, has_lost_key, sent_at, answer: &answer };
        if let Some(breach) = seen.find_breach(book, &book.nodes[node]) {
            book.breach(format!("{breach}: node {node}, {kind:?} {id}: {answer:?}"));
        }
    }

    fn connect(&mut self, book: &SoakBook) -> Option<(usize, TcpStream)> {
        if let Some(kept) = self.kept.take() {
            return Some(kept);
        }
        let node = self.random.random_range(0..book.nodes.len());
        let stream = TcpStream::connect(book.nodes[node].address).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIME * 2)).ok()?;
        Some((node, stream))
    }
}

struct SeenAnswer<'a> {
    id: &'a str,
    kind: SoakKind,
    has_lost_key: bool,
    sent_at: Instant,
    answer: &'a Answer,
}

impl SeenAnswer<'_> {
    /// Returns which promise the answer breaks.
    fn find_breach(&self, book: &SoakBook, node: &NodeView) -> Option<&'static str> {
        let head = &self.answer.head;
        let is_late = self.sent_at.elapsed() > ANSWER_TIME;
        if node.is_calm_since(self.sent_at) && (self.answer.status == 0 || is_late) {
            return Some("no answer in time from a node that nothing disturbed");
        }
        let is_own = head.contains(&format!("request-id: {}\r\n", self.id))
            || head.ends_with(&format!("request-id: {}", self.id));
        match self.answer.status {
            0 => None,
            _ if self.answer.is_garbled => Some("bytes that are no answer"),
            _ if !is_own => Some("an answer to another request"),
            200 if self.has_lost_key && self.is_revoked(book) => Some("a key that was taken away"),
            200 | 500 if !head.contains("response-seal") => Some("no endpoint's answer"),
            200 => self.find_spoiled(),
            500 if self.answer.body == "whole answer" => None,
            401 if self.has_lost_key && lock(&book.revoked).is_some() => None,
            502 | 504 if self.answer.body.contains("\"executed\":\"unknown\"") => None,
            503 if head.contains("retry-after: ") => None,
            _ => Some("a status that nothing explains"),
        }
    }

    fn find_spoiled(&self) -> Option<&'static str> {
        let body = &self.answer.body;
        let is_right = match (self.kind, self.answer.is_whole) {
            (SoakKind::Stream, true) => *body == whole_stream(),
            (SoakKind::Stream, false) => whole_stream().starts_with(body.as_str()),
            (_, true) => body == "whole answer",
            (_, false) => true,
        };
        (!is_right).then_some("another answer than the endpoint's")
    }

    fn is_revoked(&self, book: &SoakBook) -> bool {
        lock(&book.revoked).is_some_and(|at| at + REVOKE_TIME < self.sent_at)
    }
}
