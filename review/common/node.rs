//! Nodes of the project as processes, with settings rendered from the template of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::client;

/// Settings template of the deploy file.
const TEMPLATE: &str = "deploy/gateway.ini";

static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Temporary folders to remove at the end.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Bounds of the small installations.
const BOUNDS: [(&str, &str); 8] = [
    ("bounds.revokeMs", "5000"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.drainMs", "2000"),
    ("bounds.graceS", "8"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.retryBudgetSlack", "104"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.idleMaxMs", "9000"),
];

pub const ZONES: [&str; 3] = ["hkd-sap", "hkd-asa", "hkd-hak"];

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    pub pid: u32,
}

/// Starts the node number `index`, which reads the store at `store`.
pub fn start(folder: &Path, index: usize, store: SocketAddr) -> Node {
    let ip = format!("127.64.{}.1", index + 1);
    let name = format!("front-{}-{index}", ZONES[index % 3]);
    let (callers, ready, peers) = (free_port(&ip), free_port(&ip), free_port(&ip));
    let template = std::fs::read_to_string(TEMPLATE).expect("run in the repository root");
    let zones: String = ZONES.iter().map(|zone| format!("{zone} = hkd\n")).collect();
    let mut text = template
        .replace("{{#zones}}{{@}} = {{.}}\n{{/zones}}\n", &zones)
        .replace("{{#bounds.idleMaxMs}}", "")
        .replace("\n{{/bounds.idleMaxMs}}", "\n")
        .replace("{{nodeName}}", &name)
        .replace("{{zone}}", ZONES[index % 3])
        .replace("{{listen.front}}", &callers.to_string())
        .replace("{{listen.ready}}", &ready.to_string())
        .replace("{{ip}}:{{internalPorts.0}}", &peers.to_string())
        .replace("{{platform.addr}}", &store.to_string());
    for (field, value) in BOUNDS {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder is left:\n{text}");
    let settings = folder.join(format!("{name}.ini"));
    std::fs::write(&settings, text).expect("the settings");
    let log = folder.join(format!("{name}.log"));
    // The command of deploy/system.toml, with the path of its settings.
    let child = Command::new("target/release/apricotknot")
        .arg("gateway")
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(File::create(&log).expect("a log"))
        .stderr(File::create(folder.join(format!("{name}.err"))).expect("a log"))
        .spawn()
        .expect("target/release/apricotknot starts");
    let pid = child.id();
    PROCESSES.lock().expect("processes").push(child);
    Node { name, callers, ready, log, pid }
}

/// Waits until all nodes are ready; returns whether they are.
pub fn wait_ready(nodes: &[Node]) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if nodes.iter().all(|node| client::is_ready(node.ready)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Ends all nodes that were started, and removes their files.
pub fn kill_all() {
    for child in PROCESSES.lock().expect("processes").iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    for folder in FOLDERS.lock().expect("folders").drain(..) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Returns a port of `ip` that is free for TCP and UDP.
fn free_port(ip: &str) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a new temporary folder.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    FOLDERS.lock().expect("folders").push(folder.clone());
    folder
}
