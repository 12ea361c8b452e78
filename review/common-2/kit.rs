//! Stand-ins of clients, engines, the store and the platform for the scripts of the second review.
//!
//! The program under test runs as a process of its own; the stand-ins are threads of the script's
//! process. Only the standard library is used, and only loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        Parser { b: text.as_bytes(), i: 0 }.value()
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(o) => o.iter().find(|(k, _)| k == key).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn items(&self) -> &[Json] {
        match self {
            Json::Arr(a) => a,
            _ => &[],
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn num(&self) -> f64 {
        match self {
            Json::Num(n) => *n,
            _ => 0.0,
        }
    }
}

struct Parser<'a> {
    b: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.i < self.b.len() && self.b[self.i].is_ascii_whitespace() {
            self.i += 1;
        }
    }
    fn peek(&mut self) -> u8 {
        self.skip();
        self.b.get(self.i).copied().unwrap_or(0)
    }
    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                self.i += 1;
                let mut o = Vec::new();
                while self.peek() != b'}' && self.i < self.b.len() {
                    let k = self.string();
                    self.peek();
                    self.i += 1;
                    o.push((k, self.value()));
                    if self.peek() == b',' {
                        self.i += 1;
                    }
                }
                self.i += 1;
                Json::Obj(o)
            }
            b'[' => {
                self.i += 1;
                let mut a = Vec::new();
                while self.peek() != b']' && self.i < self.b.len() {
                    a.push(self.value());
                    if self.peek() == b',' {
                        self.i += 1;
                    }
                }
                self.i += 1;
                Json::Arr(a)
            }
            b'"' => Json::Str(self.string()),
            _ => {
                let s = self.i;
                while self.i < self.b.len() && !b",]}".contains(&self.b[self.i]) {
                    self.i += 1;
                }
                match std::str::from_utf8(&self.b[s..self.i]).unwrap_or("").trim() {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    "null" | "" => {
                        self.i = self.i.max(s + 1);
                        Json::Null
                    }
                    n => Json::Num(n.parse().unwrap_or(0.0)),
                }
            }
        }
    }
    fn string(&mut self) -> String {
        self.peek();
        self.i += 1;
        let mut s = Vec::new();
        while self.i < self.b.len() && self.b[self.i] != b'"' {
            if self.b[self.i] == b'\\' {
                self.i += 1;
            }
            s.push(self.b[self.i]);
            self.i += 1;
        }
        self.i += 1;
        String::from_utf8_lossy(&s).into_owned()
    }
}

const B64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for c in bytes.chunks(3) {
        let n = (u32::from(c[0]) << 16)
            | (u32::from(*c.get(1).unwrap_or(&0)) << 8)
            | u32::from(*c.get(2).unwrap_or(&0));
        for k in 0..4 {
            if k <= c.len() {
                out.push(B64[(n >> (18 - 6 * k)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- record of the run

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {}", text.as_ref());
    }
}

/// Says whether the disruption is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Ends the script with 2: the case could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.line(format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        let found = query.split('&').find_map(|p| p.strip_prefix(&format!("{name}=")));
        unescape(found.unwrap_or(""))
    }
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() {
            out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(if b[i] == b'+' { b' ' } else { b[i] });
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads from a connection with a buffer for what came too early.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }
    fn fill(&mut self) -> std::io::Result<usize> {
        let mut b = [0u8; 65536];
        let n = self.stream.read(&mut b)?;
        self.buf.extend_from_slice(&b[..n]);
        Ok(n)
    }
    pub fn head(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(p) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..p]).into_owned();
                self.buf.drain(..p + 4);
                return Ok(Some(head));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }
    pub fn take(&mut self, n: usize) -> std::io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }
    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(p) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let l = String::from_utf8_lossy(&self.buf[..p]).into_owned();
                self.buf.drain(..p + 2);
                return Ok(l);
            }
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    /// Reads one chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16)
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
        let data = self.take(size)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }
    pub fn request(&mut self) -> std::io::Result<Option<Request>> {
        let Some(head) = self.head()? else { return Ok(None) };
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or("").split(' ');
        let mut r = Request {
            method: first.next().unwrap_or("").into(),
            target: first.next().unwrap_or("").into(),
            headers: headers(lines),
            body: Vec::new(),
        };
        if r.header("transfer-encoding").is_some() {
            while let Some(c) = self.chunk()? {
                r.body.extend(c);
            }
        } else if let Some(n) = r.header("content-length").and_then(|v| v.parse().ok()) {
            r.body = self.take(n)?;
        }
        Ok(Some(r))
    }
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect()
}

/// Accepts connections on a free loopback port, each on a thread of its own.
pub fn listen(serve: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(Conn::new(stream)));
        }
    });
    address
}

pub fn respond(conn: &mut Conn, status: &str, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    conn.stream.write_all(&all)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, u64)>,
    next_lease: u64,
}

impl StoreState {
    fn apply(&mut self, key: &str, value: Option<(Vec<u8>, u64)>, rev: u64) {
        match value {
            Some((value, lease)) => {
                let made = self.items.get(key).map_or(rev, |i| i.made);
                let item = Item { value, rev, made, lease };
                self.items.insert(key.into(), item.clone());
                self.history.push((rev, key.into(), Some(item)));
            }
            None => {
                if self.items.remove(key).is_some() {
                    self.history.push((rev, key.into(), None));
                }
            }
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(l, _)| *l).collect();
        ended.into_iter().for_each(|l| self.end_lease(l));
    }
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.rev += 1;
            let rev = self.rev;
            keys.iter().for_each(|k| self.apply(k, None, rev));
        }
    }
}

/// How the store treats the calls of one machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Treatment {
    Serve,
    /// Answers 503: nothing was done.
    Busy,
    /// Gives no answer.
    Silent,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// Address of the store for one machine.
#[derive(Clone)]
pub struct StoreView {
    pub address: SocketAddr,
    treatment: Arc<Mutex<Treatment>>,
}

impl StoreView {
    pub fn treat(&self, treatment: Treatment) {
        *self.treatment.lock().unwrap() = treatment;
    }
}

impl Store {
    pub fn start() -> Store {
        let state = StoreState { rev: 1, next_lease: 1, ..StoreState::default() };
        Store { state: Arc::new((Mutex::new(state), Condvar::new())) }
    }
    /// Writes a key as the operator or an engine does; returns once it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let mut s = self.state.0.lock().unwrap();
        s.rev += 1;
        let rev = s.rev;
        s.apply(key, Some((value.as_bytes().to_vec(), 0)), rev);
        self.state.1.notify_all();
    }
    pub fn remove(&self, key: &str) {
        let mut s = self.state.0.lock().unwrap();
        s.rev += 1;
        let rev = s.rev;
        s.apply(key, None, rev);
        self.state.1.notify_all();
    }
    pub fn view(&self) -> StoreView {
        let treatment = Arc::new(Mutex::new(Treatment::Serve));
        let (store, by) = (self.clone(), Arc::clone(&treatment));
        let address = listen(move |conn| store.serve(conn, &by));
        StoreView { address, treatment }
    }
    fn serve(&self, mut conn: Conn, treatment: &Mutex<Treatment>) {
        while let Ok(Some(r)) = conn.request() {
            let before = *treatment.lock().unwrap();
            let (status, body) = match before {
                Treatment::Serve => self.answer(&r, treatment),
                _ => ("503 Service Unavailable", "{}".to_owned()),
            };
            // A call that waited while the treatment changed is treated by the newest one.
            let (status, body) = match *treatment.lock().unwrap() {
                Treatment::Silent => {
                    sleep(Duration::from_secs(60));
                    return;
                }
                Treatment::Busy => ("503 Service Unavailable", "{}".to_owned()),
                Treatment::Serve => (status, body),
            };
            let headers = "Content-Type: application/json\r\n";
            if respond(&mut conn, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }
    fn answer(&self, r: &Request, treatment: &Mutex<Treatment>) -> (&'static str, String) {
        self.state.0.lock().unwrap().expire();
        match (r.method.as_str(), r.path()) {
            ("GET", "/kv-range") => self.range(r),
            ("GET", "/kv-key") => {
                let s = self.state.0.lock().unwrap();
                match s.items.get(&r.query("key")) {
                    Some(i) => ("200 OK", item(&r.query("key"), i)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("GET", "/kv-watch") => self.watch(r, treatment),
            ("POST", "/kv-txn") => self.transact(r),
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&String::from_utf8_lossy(&r.body)).get("ttlMs").num() as u64;
                let mut s = self.state.0.lock().unwrap();
                let id = s.next_lease;
                s.next_lease += 1;
                s.leases.insert(id, (Instant::now() + Duration::from_millis(ttl), ttl));
                ("200 OK", format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", p) if p.starts_with("/kv-keep/") => {
                let id: u64 = p["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut s = self.state.0.lock().unwrap();
                match s.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        ("200 OK", format!("{{\"ttlMs\":{ttl}}}"))
                    }
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("DELETE", p) if p.starts_with("/kv-lease-end/") => {
                let id: u64 = p["/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.state.0.lock().unwrap().end_lease(id);
                self.state.1.notify_all();
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
    fn range(&self, r: &Request) -> (&'static str, String) {
        let (prefix, after) = (r.query("prefix"), r.query("after"));
        let s = self.state.0.lock().unwrap();
        let items: Vec<String> = s
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
            .map(|(k, i)| item(k, i))
            .collect();
        let more = items.len() > 500;
        let items = items[..items.len().min(500)].join(",");
        let rev = s.rev;
        ("200 OK", format!("{{\"items\":[{items}],\"truncated\":{more},\"storeRevision\":{rev}}}"))
    }
    fn watch(&self, r: &Request, treatment: &Mutex<Treatment>) -> (&'static str, String) {
        let prefix = r.query("prefix");
        let after: u64 = r.query("after").parse().unwrap_or(0);
        let wait: u64 = r.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut s = self.state.0.lock().unwrap();
        loop {
            s.expire();
            let events: Vec<String> = s
                .history
                .iter()
                .filter(|(rev, k, _)| *rev > after && k.starts_with(&prefix))
                .map(|(rev, k, i)| match i {
                    Some(i) => item(k, i),
                    None => format!("{{\"key\":\"{k}\",\"revision\":{rev},\"tombstone\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            let served = *treatment.lock().unwrap() == Treatment::Serve;
            if !events.is_empty() || left.is_zero() || !served {
                let (events, rev) = (events.join(","), s.rev);
                return ("200 OK", format!("{{\"events\":[{events}],\"storeRevision\":{rev}}}"));
            }
            s = self.state.1.wait_timeout(s, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }
    fn transact(&self, r: &Request) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&r.body));
        let mut s = self.state.0.lock().unwrap();
        let expected = body.get("expected").items();
        let met = expected.iter().all(|e| {
            let rev = s.items.get(e.get("key").str()).map_or(0, |i| i.rev);
            rev == e.get("revision").num() as u64
        });
        if !met {
            let items: Vec<String> = expected
                .iter()
                .filter_map(|e| s.items.get(e.get("key").str()).map(|i| item(e.get("key").str(), i)))
                .collect();
            let (items, rev) = (items.join(","), s.rev);
            let body = format!("{{\"items\":[{items}],\"storeRevision\":{rev}}}");
            return ("412 Precondition Failed", body);
        }
        let puts = body.get("puts").items();
        if puts.iter().any(|p| {
            let l = p.get("lease").num() as u64;
            l > 0 && !s.leases.contains_key(&l)
        }) {
            return ("404 Not Found", "{}".into());
        }
        s.rev += 1;
        let rev = s.rev;
        for p in puts {
            let value = decode64(p.get("value").str());
            s.apply(p.get("key").str(), Some((value, p.get("lease").num() as u64)), rev);
        }
        for d in body.get("deletes").items() {
            s.apply(d.str(), None, rev);
        }
        self.state.1.notify_all();
        ("200 OK", format!("{{\"revision\":{rev}}}"))
    }
}

fn item(key: &str, i: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        base64(&i.value),
        i.rev,
        i.made,
        i.lease
    )
}

fn decode64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let v = B64.iter().position(|b| *b == c).unwrap_or(0) as u32;
        n = (n << 6) | v;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- gateway processes

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A free port of the loopback address.
fn free_port() -> u16 {
    NEXT.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

pub struct Gateway {
    pub name: String,
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
}

impl Gateway {
    /// Starts the process with the command of the deploy file, and settings as its template gives
    /// them for the sheet's machines and bounds.
    pub fn start(root: &Path, dir: &Path, name: &str, store: SocketAddr) -> Gateway {
        let at = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (callers, ready, news) = (at(), at(), at());
        let text = format!(
            "[node]\nname = {name}\ndata_centre = hkd-sap\n\n[gateway]\ncallers = {callers}\n\
             operations = {ready}\nnews = {news}\nrevoke_ms = 5000\napply_ms = 2000\n\
             drain_ms = 2000\nstop_s = 8\nmemory_mb = 260\nmax_descriptors = 4100\n\
             reserved_idle_ms = 9000\n\n[store]\naddress = {store}\n\n[retries]\nratio = 0.2\n\
             slack = 104\nwindow_s = 10\n\n[data_centres]\nhkd-sap = hkd\n\n[log]\n\
             format = json\nlevel = info\n"
        );
        let settings = dir.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = dir.join(format!("{name}.log"));
        let child = spawn(root, &settings, &log);
        let root = root.to_owned();
        Gateway { name: name.into(), child, callers, ready, settings, log, root }
    }
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.root, &self.settings, &self.log);
    }
    pub fn is_ready(&self) -> bool {
        matches!(get(self.ready, "/readyz", Duration::from_secs(1)), Some((200, _)))
    }
    pub fn wait_ready(&self, record: &Record) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > end {
                cannot_run(record, "a gateway is not ready within 15 s");
            }
            sleep(Duration::from_millis(50));
        }
    }
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
    }
    pub fn resident_bytes(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
        line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0) * 1024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let out = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    Command::new(root.join("target/release/apricotknot"))
        .arg("gateway")
        .arg(settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(out.try_clone().unwrap())
        .stderr(out)
        .spawn()
        .expect("target/release/apricotknot has been built")
}

// ---------------------------------------------------------------- clients

/// What a client has received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole answer has arrived by the rules of HTTP/1.1.
    pub complete: bool,
}

pub fn get(address: SocketAddr, target: &str, limit: Duration) -> Option<(u16, Vec<u8>)> {
    let request = format!("GET {target} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    let a = exchange(address, request.as_bytes(), limit);
    (a.status > 0).then_some((a.status, a.body))
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let mut conn = Conn::new(stream);
    if conn.stream.write_all(request).is_err() {
        return Answer::default();
    }
    receive(&mut conn, limit)
}

pub fn receive(conn: &mut Conn, limit: Duration) -> Answer {
    let _ = conn.stream.set_read_timeout(Some(limit));
    let mut a = Answer::default();
    let Ok(Some(head)) = conn.head() else { return a };
    let mut lines = head.split("\r\n");
    a.status = lines.next().and_then(|l| l.split(' ').nth(1)?.parse().ok()).unwrap_or(0);
    a.headers = headers(lines);
    let header = |n: &str| {
        a.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(n)).map(|(_, v)| v.clone())
    };
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            match conn.chunk() {
                Ok(Some(c)) => a.body.extend(c),
                Ok(None) => {
                    a.complete = true;
                    return a;
                }
                Err(_) => return a,
            }
        }
    }
    if let Some(n) = header("content-length").and_then(|v| v.parse().ok()) {
        if let Ok(b) = conn.take(n) {
            a.body = b;
            a.complete = true;
        }
    }
    a
}

// ---------------------------------------------------------------- desired state and entries

pub const HOST: &str = "ficu95.example";
static IDS: AtomicU64 = AtomicU64::new(1);

pub fn request_id() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000 + IDS.fetch_add(1, Ordering::Relaxed))
}

/// Route in the desired state; `times` are its time-out and its objective in milliseconds, and `rest`
/// holds further fields, each followed by a comma.
pub fn route(prefix: &str, kind: &str, service: &str, times: (u32, u32), rest: &str) -> String {
    let (timeout, target) = times;
    format!(
        "{{\"name\":\"r-{}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"routeType\":\"{kind}\",\
         \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,{rest}\
         \"service\":\"{service}\"}}",
        prefix.trim_matches('/')
    )
}

/// Desired state with a model service `lm` and a plain service `desk`, with the sheet's figures.
pub fn config(version: u64, routes: &[String], tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"lm\",\
         \"healthPath\":\"/healthz\",\"maxConns\":304,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":3.0,\"coldPerS\":26.0,\"engine\":{{\"slots\":16,\"kvCapacity\":232000,\
         \"kvTokenBytes\":327680,\"linkMbps\":400000.0,\"stride\":43,\"models\":[{{\"name\":\"m\"}}],\
         \"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\"read_per_s\":206000.0,\
         \"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,\
         \"usual\":{{\"prompt\":12316,\"answer\":1303}},\"hopMs\":0.075}}}},{{\"name\":\"desk\",\
         \"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":0.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{tenants}]}}",
        routes.join(",")
    )
}

/// Entry with which an engine registers itself.
pub fn entry(service: &str, address: SocketAddr, slots: u32, seq: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"hkd-sap\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"phase\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\
         \"born\":1796000000000}}"
    )
}

/// Registers an engine, and renews its entry every 1.2 s.
pub fn register(store: &Store, id: &str, service: &str, address: SocketAddr, slots: u32) {
    let (store, key) = (store.clone(), format!("servers/{id}"));
    let service = service.to_owned();
    store.put(&key, &entry(&service, address, slots, 1));
    thread::spawn(move || {
        for seq in 2.. {
            sleep(Duration::from_millis(1_200));
            store.put(&key, &entry(&service, address, slots, seq));
        }
    });
}

/// Temporary folder of the script; removed by [`finish`].
pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}

/// Root of the repository: the folder above `review`.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("a current folder")
}

/// Folder of the case, from the first argument.
pub fn case_dir() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the folder of the case"))
}

/// Ends the script: 1 if the rule was broken, 0 if it held.
pub fn finish(record: &Record, dir: &Path, broken: bool, gateways: Vec<Gateway>) -> ! {
    drop(gateways);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(dir);
    }
    record.line(if broken { "verdict: the rule was broken" } else { "verdict: the rule held" });
    std::process::exit(i32::from(broken))
}
