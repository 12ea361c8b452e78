//! Gateway nodes as processes, before a stand-in platform.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::EndpointFault;
use apricotknot_standin::users_platform::EndpointServer;
use apricotknot_standin::users_platform::ExecutionRecord;
use apricotknot_standin::users_platform::MetadataServer;
use serde_json::Value;
use serde_json::json;

/// Longest wait for anything that has to happen.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Address on which nodes listen.
const NODE_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Port that the next listener of a node gets.
static NEXT_PORT: AtomicU16 = AtomicU16::new(21_000);

/// Key of the only account.
pub(crate) const KEY: &str = "key-one";

/// One answer, read to its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    /// Body without the framing of chunks.
    pub(crate) body: String,
    pub(crate) is_complete: bool,
    /// Whether bytes came that are no part of an answer.
    pub(crate) has_invalid_bytes: bool,
}

/// A gateway process.
pub(crate) struct Node {
    child: Child,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operations_address: SocketAddr,
    settings: PathBuf,
    pub(crate) log: PathBuf,
}

/// Nodes, endpoints and the key-value service.
pub(crate) struct Fleet {
    pub(crate) store: MetadataServer,
    pub(crate) engines: Vec<EndpointServer>,
    /// Endpoints of the plain service.
    pub(crate) plain_endpoints: Vec<EndpointServer>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) version: u64,
    /// Where endpoints and the store are reached, in place of their own addresses.
    proxied_addresses: BTreeMap<SocketAddr, SocketAddr>,
}

impl Fleet {
    /// Starts `nodes` nodes before two engines and two plain endpoints.
    pub(crate) fn start(name: &str, nodes: usize) -> Self {
        Self::start_with(name, nodes, "revoke_ms = 3000")
    }

    /// Starts `nodes` nodes that reach all else at the addresses that `proxy_address` gives.
    pub(crate) fn start_with_proxies(
        name: &str,
        nodes: usize,
        proxy_address: impl FnMut(SocketAddr) -> SocketAddr,
    ) -> Self {
        Self::start_all(name, nodes, "revoke_ms = 3000", proxy_address)
    }

    /// Starts `nodes` nodes that have `limits` among their settings.
    pub(crate) fn start_with(name: &str, nodes: usize, limits: &str) -> Self {
        Self::start_all(name, nodes, limits, |address| address)
    }

    fn start_all(
        name: &str,
        nodes: usize,
        limits: &str,
        mut proxy_address: impl FnMut(SocketAddr) -> SocketAddr,
    ) -> Self {
        let store = MetadataServer::start(any_loopback_address()).expect("the store starts");
        let engine =
            |id| EndpointServer::start(id, any_loopback_address()).expect("an engine starts");
        let engines = vec![engine("engine-1"), engine("engine-2")];
        let plain_endpoints = vec![engine("desk-1"), engine("desk-2")];
        let endpoints = engines.iter().chain(&plain_endpoints).map(EndpointServer::address);
        let proxied_addresses =
            endpoints.chain([store.address()]).map(|real| (real, proxy_address(real))).collect();
        let mut fleet = Self {
            store,
            engines,
            plain_endpoints,
            nodes: Vec::new(),
            version: 7,
            proxied_addresses,
        };
        fleet.announce_all();
        fleet.configure(&[KEY]);
        fleet.nodes = (0..nodes).map(|index| fleet.start_node(name, index, limits)).collect();
        for node in &fleet.nodes {
            wait_until("a node is ready", || node.is_ready());
        }
        fleet
    }

    /// Announces all endpoints as ready.
    pub(crate) fn announce_all(&self) {
        for (index, engine) in self.engines.iter().enumerate() {
            self.announce(&format!("engine-{}", index + 1), "model", engine, "ready");
        }
        for (index, endpoint) in self.plain_endpoints.iter().enumerate() {
            self.announce(&format!("desk-{}", index + 1), "desk", endpoint, "ready");
        }
    }

    /// Sets what is wrong with all endpoints of the plain service.
    pub(crate) fn set_plain_fault(&self, fault: EndpointFault) {
        for endpoint in &self.plain_endpoints {
            endpoint.set_fault(fault);
        }
    }

    /// Returns what the endpoints of the plain service ran.
    pub(crate) fn plain_runs(&self) -> Vec<ExecutionRecord> {
        self.plain_endpoints.iter().flat_map(EndpointServer::executions).collect()
    }

    /// Announces one endpoint.
    pub(crate) fn announce(&self, id: &str, service: &str, server: &EndpointServer, state: &str) {
        let entry = json!({
            "service": service, "addr": self.proxied_addresses[&server.address()].to_string(), "zone": "north",
            "slots": 4, "state": state, "coldRemainingMs": 0, "seq": 1, "born": 1,
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Puts a new version of the configuration in force, with these keys.
    pub(crate) fn configure(&mut self, keys: &[&str]) {
        self.version += 3;
        let configuration = configuration(self.version, keys);
        self.store.put("op/config", &configuration);
    }

    fn start_node(&self, name: &str, index: usize, limits: &str) -> Node {
        let dir = std::env::temp_dir().join(format!("{name}-{}-{index}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for the node");
        let (caller_address, operations_address) = (next_node_address(), next_node_address());
        let settings = dir.join("gateway.ini");
        let text = format!(
            "[node]\nname = node-{index}\ndata_centre = north\n\n[gateway]\n\
             callers = {caller_address}\noperations = {operations_address}\nnews = {}\n{limits}\n\
             stop_s = 8\n\n[store]\naddress = {}\n\n[data_centres]\nnorth = here\n\n\
             [log]\nformat = json\n",
            next_node_address(),
            self.proxied_addresses[&self.store.address()]
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let log = dir.join("log.jsonl");
        let child = start_process(&settings, &log);
        Node { child, caller_address, operations_address, settings, log }
    }
}

fn start_process(settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("the log is made");
    Command::new(env!("CARGO_BIN_EXE_apricotknot"))
        .arg("gateway")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .expect("the node starts")
}

impl Node {
    /// Sends a request of a caller and reads the answer.
    pub(crate) fn send(&self, request: &str) -> Answer {
        send_request(self.caller_address, request)
    }

    pub(crate) fn is_ready(&self) -> bool {
        let answer =
            send_request(self.operations_address, "GET /readyz HTTP/1.1\r\nhost: node\r\n\r\n");
        answer.status == 200
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Waits until the process has ended, and returns its code.
    pub(crate) fn wait_for_exit(&mut self) -> Option<i32> {
        let mut code = None;
        wait_until("the node ends", || {
            code = self.child.try_wait().ok().flatten();
            code.is_some()
        });
        code.and_then(|status| status.code())
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Ends the process, if it has not ended yet, and starts it again.
    pub(crate) fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = start_process(&self.settings, &self.log);
    }

    /// Returns the lines of the log.
    pub(crate) fn log_lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the text of a request for a stream.
pub(crate) fn stream_request(id: &str, prompt: u64) -> String {
    request(id, "POST", "/model/x", &format!("token-count: {prompt},300\r\n"), "prompt")
}

/// Returns the text of a request for a call that may run once.
pub(crate) fn order_request(id: &str) -> String {
    request(id, "POST", "/order/x", "tenant: forged\r\n", "order")
}

/// Returns the text of a request for a call that may run again.
pub(crate) fn lookup_request(id: &str) -> String {
    request(id, "GET", "/lookup/x?y=1", "", "")
}

/// Returns the whole text of each stream.
pub(crate) fn expected_stream_body() -> String {
    let events = 0..EndpointServer::event_count();
    events.map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

fn request(id: &str, method: &str, target: &str, extra_headers: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    format!(
        "{method} {target} HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\n\
         request-deadline: 8000\r\nx-api-key: {KEY}\r\n{extra_headers}{length}\r\n{body}"
    )
}

/// Sends bytes on a new connection and reads one answer.
pub(crate) fn send_request(address: SocketAddr, request: &str) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Answer::default();
    };
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    if stream.write_all(request.as_bytes()).is_err() {
        return Answer::default();
    }
    read_answer(&mut stream)
}

/// Sends bytes on a new connection and reads all that comes until its end.
pub(crate) fn read_raw_answer(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one answer.
pub(crate) fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some(answer) = parse_answer(&bytes)
            && answer.is_complete
        {
            return answer;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return parse_answer(&bytes).unwrap_or_default(),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, remaining) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let (body, is_complete, has_invalid_bytes) = if head.contains("transfer-encoding: chunked") {
        join_chunks(remaining)
    } else {
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
        (remaining.to_owned(), remaining.len() >= length, remaining.len() > length)
    };
    Some(Answer { status, head, body, is_complete, has_invalid_bytes })
}

/// Returns the body, whether it is whole, and whether it is spoiled.
fn join_chunks(mut remaining: &str) -> (String, bool, bool) {
    let mut body = String::new();
    while let Some((size, after)) = remaining.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (body, false, true);
        };
        if size == 0 {
            return (body, true, false);
        }
        if after.len() < size + 2 {
            return (body, false, false);
        }
        body.push_str(&after[..size]);
        remaining = &after[size + 2..];
    }
    (body, false, false)
}

/// Waits until `is_met`, and fails the test after a long time.
pub(crate) fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < end, "not seen in time: {what}");
        sleep(POLL_INTERVAL);
    }
}

/// Returns an address whose port the system chooses as it is bound.
fn any_loopback_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns an address for a process.
///
/// Connections go out from another loopback address, so none of them takes the port.
fn next_node_address() -> SocketAddr {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from((NODE_IP, port))
}

fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "shop.example", "prefix": prefix, "routeType": kind,
            "timeoutMs": 8000, "targetLatencyMs": 1000, "priority": 1, "service": service,
            "attempts": attempts, "public": false, "resumable": kind == "streaming",
            "gapAimMs": 1000,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("stream", "/model/", "streaming", "model", 2),
            route("order", "/order/", "non_idempotent", "desk", 1),
            route("lookup", "/lookup/", "idempotent", "desk", 2),
        ],
        "services": [
            {
                "name": "model", "coldStartS": 3.0, "coldPerS": 26.0,
                "engine": {
                    "slots": 4, "kvCapacity": 100_000, "stride": 43, "step_ms": 1.0,
                    "per_seq_ms": 0.002, "context_per_k": 0.004, "read_per_s": 206_000.0,
                    "pairs_per_m": 0.138,
                },
            },
            {"name": "desk", "coldStartS": 0.0, "coldPerS": 0.0},
        ],
        "limits": {
            "maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "office", "apiKeys": keys}],
    })
}
