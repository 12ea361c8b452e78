//! Gateway nodes as processes, in front of a stand-in of the users' platform.

#[path = "duty_section.rs"]
mod duty_section;
#[path = "gateway_answer.rs"]
mod gateway_answer;
#[path = "gateway_configuration.rs"]
mod gateway_configuration;

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
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::DutyApiServer;
use apricotknot_standin::users_platform::EndpointFault;
use apricotknot_standin::users_platform::EndpointServer;
use apricotknot_standin::users_platform::ExecutionRecord;
use apricotknot_standin::users_platform::MetadataServer;
use apricotknot_standin::users_platform::MetadataView;
use apricotknot_standin::users_platform::TextReplacements;
use serde_json::Value;
use serde_json::json;

pub(crate) use gateway_answer::Answer;
pub(crate) use gateway_answer::read_answer;
use gateway_configuration::configuration;

/// Time after which a condition that is not met fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// First byte after 127 of the loopback addresses on which nodes listen.
const NODE_NETWORK: u8 = 64;

/// Port of the next listener of a node.
static NEXT_PORT: AtomicU16 = AtomicU16::new(21_000);

/// Time within which holders of duties do not take turns.
pub(crate) const LEASE_TIME: Duration = Duration::from_secs(3);

/// Most calls of duties per second.
const DUTY_CALLS_PER_SECOND: usize = 50;

/// API key of the only client account.
pub(crate) const KEY: &str = "key-one";

/// A gateway node as a process.
pub(crate) struct Node {
    child: Child,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operations_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    settings: PathBuf,
    pub(crate) log: PathBuf,
}

/// Gateway nodes, endpoints and the key-value service of one test.
pub(crate) struct Fleet {
    pub(crate) store: MetadataServer,
    pub(crate) engines: Vec<EndpointServer>,
    /// Endpoints of the plain service.
    pub(crate) plain_endpoints: Vec<EndpointServer>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) version: u64,
    /// API for duties, if the nodes have any.
    pub(crate) duty_api: Option<DutyApiServer>,
    /// Addresses at which nodes reach the endpoints and the store, by their own addresses.
    proxied_addresses: BTreeMap<SocketAddr, SocketAddr>,
    /// What single nodes read of the store.
    views: Vec<MetadataView>,
    /// Number of the present lifetime of each endpoint that has started again.
    lifetimes: Mutex<BTreeMap<String, u64>>,
}

impl Fleet {
    /// Starts `nodes` nodes with two engines and two plain endpoints.
    pub(crate) fn start(name: &str, nodes: usize) -> Self {
        Self::start_with(name, nodes, "revoke_ms = 3000")
    }

    /// Starts `nodes` nodes, with all duties or none, that reach endpoints and the store at the
    /// addresses that `proxy_address` returns.
    pub(crate) fn start_with_proxies(
        name: &str,
        nodes: usize,
        has_duties: bool,
        proxy_address: impl FnMut(SocketAddr) -> SocketAddr,
    ) -> Self {
        let api = has_duties.then(|| {
            DutyApiServer::start(any_loopback_address(), DUTY_CALLS_PER_SECOND)
                .expect("the API starts")
        });
        Self::start_all(name, nodes, "revoke_ms = 3000", api, proxy_address)
    }

    /// Starts `nodes` nodes with all duties.
    pub(crate) fn start_with_duties(name: &str, nodes: usize) -> Self {
        Self::start_with_proxies(name, nodes, true, |address| address)
    }

    /// Starts `nodes` nodes with the lines `limits` in the section `gateway` of their settings.
    pub(crate) fn start_with(name: &str, nodes: usize, limits: &str) -> Self {
        Self::start_all(name, nodes, limits, None, |address| address)
    }

    fn start_all(
        name: &str,
        nodes: usize,
        limits: &str,
        duty_api: Option<DutyApiServer>,
        mut proxy_address: impl FnMut(SocketAddr) -> SocketAddr,
    ) -> Self {
        let store = MetadataServer::start(any_loopback_address()).expect("the store starts");
        let start_endpoint =
            |id| EndpointServer::start(id, any_loopback_address()).expect("an endpoint starts");
        let engines = vec![start_endpoint("engine-1"), start_endpoint("engine-2")];
        let plain_endpoints = vec![start_endpoint("desk-1"), start_endpoint("desk-2")];
        let endpoints = engines.iter().chain(&plain_endpoints).map(EndpointServer::address);
        let proxied_addresses =
            endpoints.chain([store.address()]).map(|real| (real, proxy_address(real))).collect();
        let mut fleet = Self {
            store,
            engines,
            plain_endpoints,
            nodes: Vec::new(),
            version: 7,
            duty_api,
            proxied_addresses,
            views: Vec::new(),
            lifetimes: Mutex::default(),
        };
        fleet.announce_all();
        fleet.configure(&[KEY]);
        fleet.nodes = (0..nodes).map(|index| fleet.start_node(name, index, limits)).collect();
        for node in &fleet.nodes {
            wait_until("a node is ready", || node.is_ready());
        }
        fleet
    }

    /// Starts one more node, which reads `replacements` in place of the addresses of endpoints.
    ///
    /// It reaches the store at the address that `proxy_address` returns for its own.
    pub(crate) fn add_node(
        &mut self,
        name: &str,
        replacements: TextReplacements,
        proxy_address: impl FnOnce(SocketAddr) -> SocketAddr,
    ) {
        let view = self.store.start_view(any_loopback_address(), replacements);
        let view = view.expect("a view of the store starts");
        let store = proxy_address(view.address());
        let node = self.start_node_at(name, self.nodes.len(), "revoke_ms = 3000", store);
        self.views.push(view);
        wait_until("a node is ready", || node.is_ready());
        self.nodes.push(node);
    }

    /// Registers all endpoints as ready.
    pub(crate) fn announce_all(&self) {
        for (index, engine) in self.engines.iter().enumerate() {
            self.announce(&format!("engine-{}", index + 1), "model", engine, "ready");
        }
        for (index, endpoint) in self.plain_endpoints.iter().enumerate() {
            self.announce(&format!("desk-{}", index + 1), "desk", endpoint, "ready");
        }
    }

    /// Sets the fault of all endpoints of the plain service.
    pub(crate) fn set_plain_fault(&self, fault: EndpointFault) {
        for endpoint in &self.plain_endpoints {
            endpoint.set_fault(fault);
        }
    }

    /// Returns the requests that the endpoints of the plain service ran.
    pub(crate) fn plain_runs(&self) -> Vec<ExecutionRecord> {
        self.plain_endpoints.iter().flat_map(EndpointServer::executions).collect()
    }

    /// Begins another lifetime of an endpoint, which its next registration tells.
    pub(crate) fn begin_lifetime(&self, id: &str) {
        *self.lifetimes.lock().expect("lifetimes").entry(id.to_owned()).or_insert(1) += 1;
    }

    /// Returns the address at which nodes reach an endpoint.
    pub(crate) fn proxied_address(&self, server: &EndpointServer) -> SocketAddr {
        self.proxied_addresses[&server.address()]
    }

    /// Registers one endpoint in the store with the given state.
    pub(crate) fn announce(&self, id: &str, service: &str, server: &EndpointServer, state: &str) {
        let born = self.lifetimes.lock().expect("lifetimes").get(id).copied().unwrap_or(1);
        let entry = json!({
            "service": service, "addr": self.proxied_addresses[&server.address()].to_string(),
            "zone": "north", "slots": 4, "state": state, "coldRemainingMs": 0, "seq": 1, "born": born,
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Writes a new version of the configuration in which the client account has `keys`.
    pub(crate) fn configure(&mut self, keys: &[&str]) {
        self.version += 3;
        self.write_configuration(keys);
    }

    /// Writes the present version of the configuration, in which the client account has `keys`.
    pub(crate) fn write_configuration(&self, keys: &[&str]) {
        self.store.put("op/config", &configuration(self.version, keys));
    }

    /// Writes a version of the configuration with other limits of callers' input, and waits until
    /// all nodes have applied it.
    pub(crate) fn limit_input(&mut self, limits: &Value) {
        self.version += 3;
        let mut next = configuration(self.version, &[KEY]);
        next["limits"] = limits.clone();
        self.store.put("op/config", &next);
        let version = self.version;
        for node in &self.nodes {
            wait_until("a node applies the limits", || {
                let lines = node.log_lines();
                let is_applied = |line: &Value| {
                    line["msg"] == "control: configuration applied" && line["version"] == version
                };
                lines.iter().any(is_applied)
            });
        }
    }

    fn start_node(&self, name: &str, index: usize, limits: &str) -> Node {
        self.start_node_at(name, index, limits, self.proxied_addresses[&self.store.address()])
    }

    fn start_node_at(&self, name: &str, index: usize, limits: &str, store: SocketAddr) -> Node {
        let dir = std::env::temp_dir().join(format!("{name}-{}-{index}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for the node");
        let (caller_address, operations_address) = (next_node_address(), next_node_address());
        let peer_address = next_node_address();
        let settings = dir.join("gateway.ini");
        let duties = self.duty_api.as_ref().map(duty_section::duty_section).unwrap_or_default();
        let text = format!(
            "[node]\nname = node-{index}\ndata_centre = north\n\n[gateway]\n\
             callers = {caller_address}\noperations = {operations_address}\nnews = {peer_address}\n{limits}\n\
             stop_s = 8\n\n[store]\naddress = {store}\n\n{duties}[data_centres]\nnorth = here\n\n\
             [log]\nformat = json\n",
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let log = dir.join("log.jsonl");
        let child = start_process(own_program(), &settings, &log);
        Node { child, caller_address, operations_address, peer_address, settings, log }
    }
}

/// Returns the program of the build under test.
pub(crate) fn own_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_apricotknot"))
}

fn start_process(program: &Path, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("the log is created");
    Command::new(program)
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

    /// Returns whether the node answers that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        let answer =
            send_request(self.operations_address, "GET /readyz HTTP/1.1\r\nhost: node\r\n\r\n");
        answer.status == 200
    }

    /// Sends a signal, given as an option of `kill`, to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Waits until the process has exited, and returns its exit code.
    pub(crate) fn wait_for_exit(&mut self) -> Option<i32> {
        let mut code = None;
        wait_until("the node ends", || {
            code = self.child.try_wait().ok().flatten();
            code.is_some()
        });
        code.and_then(|status| status.code())
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills the process if it has not exited yet, and starts it again.
    pub(crate) fn restart(&mut self) {
        self.restart_as(own_program());
    }

    /// Restarts the node as a process of `program`, which may be of another build.
    pub(crate) fn restart_as(&mut self, program: &Path) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = start_process(program, &self.settings, &self.log);
    }

    /// Restarts the node with a pipe for its log that nobody reads, and waits until it is ready.
    pub(crate) fn restart_with_unread_log(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut command = Command::new(own_program());
        command.arg("gateway").arg(&self.settings).stdin(Stdio::null());
        self.child = command.stdout(Stdio::piped()).spawn().expect("the node starts");
        wait_until("the node is ready", || self.is_ready());
    }

    /// Restarts the node with at most `descriptors` open at a time, and waits until it is ready.
    pub(crate) fn restart_with_descriptors(&mut self, descriptors: usize) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = File::options().append(true).open(&self.log).expect("the log is opened");
        let script = format!("ulimit -n {descriptors} && exec \"$0\" gateway \"$1\"");
        let mut command = Command::new("sh");
        command.arg("-c").arg(script).arg(own_program()).arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        self.child = command.spawn().expect("the node starts");
        wait_until("the node is ready", || self.is_ready());
    }

    /// Returns the id of the process.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the largest memory that the process has used, in kilobytes.
    pub(crate) fn peak_kilobytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("status of the process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse().ok());
        peak.expect("peak memory of the process")
    }

    /// Returns the lines of the log that are JSON.
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

/// Returns a request for a stream with a prompt of `prompt` tokens.
pub(crate) fn stream_request(id: &str, prompt: u64) -> String {
    request(id, "POST", "/model/x", &format!("token-count: {prompt},300\r\n"), "prompt")
}

/// Returns a request for a non-repeatable call.
pub(crate) fn order_request(id: &str) -> String {
    request(id, "POST", "/order/x", "tenant: forged\r\n", "order")
}

/// Returns a request for a repeatable call.
pub(crate) fn lookup_request(id: &str) -> String {
    request(id, "GET", "/lookup/x?y=1", "", "")
}

/// Returns a request for a repeatable call on the public route, with `key` if there is one.
pub(crate) fn public_request(id: &str, key: Option<&str>) -> String {
    let header = key.map(|key| format!("x-api-key: {key}\r\n")).unwrap_or_default();
    request(id, "GET", "/open/x", "", "").replace(&format!("x-api-key: {KEY}\r\n"), &header)
}

/// Returns the body of a complete stream.
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

/// Sends a request on a new connection and reads one answer.
///
/// The answer has the status 0 if the connection fails.
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

/// Sends a request on a new connection and returns all bytes until the connection closes.
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

/// Waits until `is_met` returns true.
///
/// # Panics
///
/// Panics with `what` after [`WAIT_TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        sleep(POLL_INTERVAL);
    }
}

/// Returns a loopback address whose port the system chooses.
fn any_loopback_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns an unused address for a listener of a node.
///
/// Outgoing connections use another loopback address, so none of them can occupy the port. Each
/// process of tests has a loopback address of its own, so several can run at once.
pub(crate) fn next_node_address() -> SocketAddr {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, NODE_NETWORK | high, middle, low), port))
}
