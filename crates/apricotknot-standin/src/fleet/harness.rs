//! Starts, restarts and stops the processes of a fleet.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::ChildProcess;
use super::FleetClient;
use super::FleetError;
use super::FleetSettings;
use super::ports::free_address;
use super::programs::binary_path;
use super::programs::example_path;
use super::resources::fleet_resources;
use super::resources::resource_put;
use super::resources::sha256_hex;

/// Maximum time until a node is ready or a polled condition holds.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a node or a polled condition.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of lines of a log in an error.
const MAX_LOG_LINES: usize = 30;

/// Secret key that the nodes share.
const PEER_KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Holds the process of one node and its addresses.
#[derive(Debug)]
pub struct FleetNode {
    /// Name of the node.
    pub name: String,
    /// Address of the callers' interface.
    pub callers: SocketAddr,
    /// Address of the operators' interface.
    pub operators: SocketAddr,
    /// Address of the interface between nodes.
    pub peers: SocketAddr,
    /// Process of the node.
    pub process: ChildProcess,
    settings_file: PathBuf,
}

/// Holds one stand-in process and its address.
#[derive(Debug)]
pub struct FleetStandin {
    /// Name of the process, and of the endpoint resource if the process is an endpoint.
    pub name: String,
    /// Address that the process listens on.
    pub address: SocketAddr,
    /// Process of the stand-in.
    pub process: ChildProcess,
    arguments: Vec<String>,
}

/// Holds a fleet of processes; all are killed when it is dropped.
pub struct FleetHarness {
    /// Nodes in the order of their numbers.
    pub nodes: Vec<FleetNode>,
    /// Engines in the order of the settings.
    pub engines: Vec<FleetStandin>,
    /// Processes of the plain service.
    pub plain: Vec<FleetStandin>,
    /// Key-value service.
    pub store: FleetStandin,
    /// Client that limits only the time to connect.
    pub client: FleetClient,
    dir: PathBuf,
}

impl FleetHarness {
    /// Key of the account that every fleet has.
    pub const ACCOUNT_KEY: &str = "clerk-key";

    /// Token of the operator that every fleet has.
    pub const OPERATOR_TOKEN: &str = "operator-token";

    /// Starts all processes and waits until each node is ready.
    ///
    /// # Errors
    ///
    /// Fails when a program is missing, a process does not start, or a node is not ready in time.
    pub async fn start(settings: FleetSettings) -> Result<Self, FleetError> {
        let dir = create_dir()?;
        let store = FleetStandin::start("store", "key_value", Vec::new(), &dir)?;
        let mut engines = Vec::new();
        for (index, plan) in settings.engines.iter().enumerate() {
            let name = format!("engine-{index}");
            engines.push(FleetStandin::start(&name, "engine", plan.command_line(), &dir)?);
        }
        let mut plain = Vec::new();
        for index in 0..settings.plain_services {
            let name = format!("booking-{index}");
            plain.push(FleetStandin::start(&name, "plain_service", Vec::new(), &dir)?);
        }
        let client = FleetClient::new();
        let mut fleet = Self { nodes: Vec::new(), engines, plain, store, client, dir };
        fleet.store_resources(&settings).await?;
        fleet.start_nodes(&settings)?;
        for index in 0..fleet.nodes.len() {
            fleet.wait_ready(index).await?;
        }
        Ok(fleet)
    }

    /// Kills the process of node `index` if it runs, and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn restart_node(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.nodes[index];
        node.process.kill();
        node.process = start_node_process(&node.name, &node.settings_file, &self.dir)?;
        Ok(())
    }

    /// Kills the process of engine `index` if it runs, and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn restart_engine(&mut self, index: usize) -> Result<(), FleetError> {
        self.engines[index].restart("engine", &self.dir)
    }

    /// Waits until node `index` reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the node ends or does not become ready in time.
    pub async fn wait_ready(&mut self, index: usize) -> Result<(), FleetError> {
        let start = Instant::now();
        let address = self.nodes[index].operators;
        while start.elapsed() < READY_TIMEOUT {
            let answer = self.client.get(address, "/readyz").await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            if self.nodes[index].process.exit_status().is_some() {
                break;
            }
            actix_rt::time::sleep(READY_POLL_INTERVAL).await;
        }
        let node = &self.nodes[index];
        Err(FleetError::NotReady { node: node.name.clone(), log: log_tail(&node.process) })
    }

    async fn store_resources(&self, settings: &FleetSettings) -> Result<(), FleetError> {
        let endpoints = |processes: &[FleetStandin]| -> Vec<(String, SocketAddr)> {
            processes.iter().map(|process| (process.name.clone(), process.address)).collect()
        };
        let records = fleet_resources(settings, &endpoints(&self.engines), &endpoints(&self.plain));
        for record in records {
            let put = resource_put(&record);
            self.client.post(self.store.address, "/v3/kv/put", &[], &put).await?;
        }
        Ok(())
    }

    fn start_nodes(&mut self, settings: &FleetSettings) -> Result<(), FleetError> {
        let mut addresses = Vec::new();
        for index in 0..settings.nodes {
            let name = format!("node-{index}");
            addresses.push((name, free_address()?, free_address()?, free_address()?));
        }
        let known: Vec<String> =
            addresses.iter().map(|(name, _, _, peers)| format!("{name}@{peers}")).collect();
        for (name, callers, operators, peers) in addresses {
            let text = settings.node_file_text(&[
                ("node", "name", name.clone()),
                ("node", "data_centre", "dc-1".to_owned()),
                ("callers", "listen", callers.to_string()),
                ("operators", "listen", operators.to_string()),
                ("operators", "token_digests", sha256_hex(Self::OPERATOR_TOKEN)),
                ("peers", "listen", peers.to_string()),
                ("peers", "known", known.join(", ")),
                ("peers", "key", PEER_KEY.to_owned()),
                ("store", "addresses", self.store.address.to_string()),
                ("shutdown", "unready_wait_ms", "200".to_owned()),
            ]);
            let settings_file = self.dir.join(format!("{name}.ini"));
            fs::write(&settings_file, text)
                .map_err(|source| FleetError::File { path: settings_file.clone(), source })?;
            let process = match settings.max_descriptors {
                Some(count) => start_limited_node(&name, &settings_file, &self.dir, count)?,
                None => start_node_process(&name, &settings_file, &self.dir)?,
            };
            self.nodes.push(FleetNode { name, callers, operators, peers, process, settings_file });
        }
        Ok(())
    }

    /// Returns the headers that authenticate the fleet's account.
    pub fn account_headers() -> [(&'static str, &'static str); 1] {
        [("authorization", "Bearer clerk-key")]
    }

    /// Returns the headers that authenticate the fleet's operator.
    pub fn operator_headers() -> [(&'static str, &'static str); 1] {
        [("authorization", "Bearer operator-token")]
    }

    /// Returns the statistics of engine `index`.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn engine_stats(&self, index: usize) -> Result<Value, FleetError> {
        let answer = self.client.get(self.engines[index].address, "/standin/stats").await?;
        Ok(answer.json())
    }

    /// Injects faults into the stand-in at `address`; they replace the earlier ones.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn set_fault(&self, address: SocketAddr, fault: &Value) -> Result<(), FleetError> {
        self.client.post(address, "/standin/fault", &[], fault).await.map(drop)
    }

    /// Returns the end of the log of node `index`.
    pub fn node_log_tail(&self, index: usize) -> String {
        log_tail(&self.nodes[index].process)
    }
}

impl Drop for FleetHarness {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.process.kill();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl FleetStandin {
    fn start(
        name: &str,
        program: &str,
        arguments: Vec<String>,
        dir: &Path,
    ) -> Result<Self, FleetError> {
        let mut process = ChildProcess::start(name, &example_path(program)?, &arguments, dir)?;
        let address = process.read_address()?;
        Ok(Self { name: name.to_owned(), address, process, arguments })
    }

    fn restart(&mut self, program: &str, dir: &Path) -> Result<(), FleetError> {
        self.process.kill();
        let mut arguments = self.arguments.clone();
        arguments.extend(["--listen".to_owned(), self.address.to_string()]);
        self.process = ChildProcess::start(&self.name, &example_path(program)?, &arguments, dir)?;
        self.process.read_address().map(drop)
    }
}

fn start_node_process(name: &str, file: &Path, dir: &Path) -> Result<ChildProcess, FleetError> {
    let arguments = ["run".to_owned(), file.display().to_string()];
    ChildProcess::start(name, &binary_path("apricotknot")?, &arguments, dir)
}

/// Starts a node that may have at most `descriptors` open at a time.
fn start_limited_node(
    name: &str,
    file: &Path,
    dir: &Path,
    descriptors: usize,
) -> Result<ChildProcess, FleetError> {
    let script = format!("ulimit -n {descriptors} && exec \"$0\" run \"$1\"");
    let program = binary_path("apricotknot")?.display().to_string();
    let arguments = ["-c".to_owned(), script, program, file.display().to_string()];
    ChildProcess::start(name, Path::new("sh"), &arguments, dir)
}

fn create_dir() -> Result<PathBuf, FleetError> {
    let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    let dir = env::temp_dir().join(format!("apricotknot-fleet-{}-{number}", process::id()));
    let created = fs::create_dir_all(&dir);
    created.map_err(|source| FleetError::File { path: dir.clone(), source })?;
    Ok(dir)
}

fn log_tail(process: &ChildProcess) -> String {
    let text = process.log_text();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(MAX_LOG_LINES)..].join("\n")
}

/// Returns the body of a request for a chat completion with one message.
pub fn chat_body(model: &str, prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({"model": model, "max_tokens": max_tokens, "stream": stream,
        "messages": [{"role": "user", "content": prompt}]})
}

/// Polls `check` until it returns `true`; returns `false` if it does not within 30 seconds.
pub async fn eventually<F, Fut>(mut check: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let start = Instant::now();
    while start.elapsed() < READY_TIMEOUT {
        if check().await {
            return true;
        }
        actix_rt::time::sleep(READY_POLL_INTERVAL).await;
    }
    false
}
