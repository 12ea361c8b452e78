//! A crowd of clients that nobody controls, and what it may cost a process.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::Builder;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

/// Memory of the smallest VMs that nodes run on, in kilobytes.
pub(crate) const SMALLEST_VM_KILOBYTES: u64 = 160_000;

/// Size of the largest body inside the limits of the tests, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;

/// Longest time for which a client waits until it can write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time until the whole crowd has sent what it sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two looks at a process or at the crowd.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two looks at the memory of a process that settles.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// Looks in a row between which the memory of a settled process hardly changes.
const SETTLED_LOOKS: u32 = 8;

/// Change of a settled process's memory, in kilobytes.
const SETTLED_KILOBYTES: u64 = 256;

/// Longest time until the memory of a process settles.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two looks of a client whether the crowd is over.
const CLIENT_INTERVAL: Duration = Duration::from_millis(20);

/// Stack of the thread of one client, in bytes.
const CLIENT_STACK_BYTES: usize = 256 * 1_024;

/// Only one crowd at a time, so that the peaks of one are not those of another.
static ONLY_CROWD: Mutex<()> = Mutex::new(());

/// Waits until no other crowd of this program runs.
pub(crate) fn be_only_crowd() -> MutexGuard<'static, ()> {
    ONLY_CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What one client sends; it keeps its connection open afterwards.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientScript {
    /// Sent once; `CLIENT` stands for the number of the client.
    pub(crate) start: String,
    pub(crate) repeated: Arc<[u8]>,
    pub(crate) repeats: usize,
    /// Time between two repetitions; a client with pauses counts as done after its start.
    pub(crate) pause: Duration,
    pub(crate) end: &'static str,
}

impl ClientScript {
    /// Sends `start` and nothing more.
    pub(crate) fn start(start: impl Into<String>) -> Self {
        Self { start: start.into(), ..Self::default() }
    }

    /// Sends `repeated` so many times after the start.
    pub(crate) fn repeat(mut self, repeated: impl AsRef<[u8]>, repeats: usize) -> Self {
        self.repeated = repeated.as_ref().into();
        self.repeats = repeats;
        self
    }

    /// Rests between two repetitions.
    pub(crate) fn pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Sends `end` at the end.
    pub(crate) fn end(mut self, end: &'static str) -> Self {
        self.end = end;
        self
    }
}

/// Returns a chunk of the chunked transfer encoding with `size` bytes.
pub(crate) fn chunk(size: usize) -> Vec<u8> {
    format!("{size:x}\r\n{}\r\n", "x".repeat(size)).into_bytes()
}

#[derive(Debug, Default)]
struct CrowdState {
    done: AtomicUsize,
    is_over: AtomicBool,
}

/// Clients with a connection each, which they keep open until [`Crowd::release`].
pub(crate) struct Crowd {
    state: Arc<CrowdState>,
    clients: Vec<JoinHandle<String>>,
}

impl Crowd {
    /// Starts `count` clients for each of `scripts`.
    pub(crate) fn start(address: SocketAddr, count: usize, scripts: &[ClientScript]) -> Self {
        let state = Arc::new(CrowdState::default());
        let scripts = (0..count).flat_map(|_| scripts.iter().cloned());
        let clients = scripts.enumerate().map(|(number, mut script)| {
            script.start = script.start.replace("CLIENT", &number.to_string());
            let state = Arc::clone(&state);
            let client = Builder::new().stack_size(CLIENT_STACK_BYTES);
            client.spawn(move || play(address, &script, &state)).expect("a client starts")
        });
        let clients = clients.collect();
        Self { state, clients }
    }

    /// Waits until all clients have sent what they send, or cannot send more.
    pub(crate) fn wait_sent(&self) {
        let end = Instant::now() + SEND_TIMEOUT;
        while self.state.done.load(Ordering::SeqCst) < self.clients.len() {
            assert!(Instant::now() < end, "timed out waiting until the crowd has sent everything");
            sleep(POLL_INTERVAL);
        }
    }

    /// Closes all connections, and returns what each client received.
    pub(crate) fn release(self) -> Vec<String> {
        self.state.is_over.store(true, Ordering::SeqCst);
        self.clients.into_iter().map(|client| client.join().expect("a client ends")).collect()
    }
}

fn play(address: SocketAddr, script: &ClientScript, state: &CrowdState) -> String {
    let stream = TcpStream::connect(address);
    let mut is_done = false;
    let mut done = || {
        if !std::mem::replace(&mut is_done, true) {
            state.done.fetch_add(1, Ordering::SeqCst);
        }
    };
    let Ok(mut stream) = stream else {
        done();
        return String::new();
    };
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).expect("a write timeout");
    let mut is_open = stream.write_all(script.start.as_bytes()).is_ok();
    for _ in 0..script.repeats {
        if !is_open || state.is_over.load(Ordering::SeqCst) {
            break;
        }
        if !script.pause.is_zero() {
            done();
            sleep(script.pause);
        }
        is_open = stream.write_all(&script.repeated).is_ok();
    }
    if is_open {
        let _ = stream.write_all(script.end.as_bytes());
    }
    done();
    while !state.is_over.load(Ordering::SeqCst) {
        sleep(CLIENT_INTERVAL);
    }
    read_available(&mut stream)
}

/// Returns what has arrived at a connection, as far as it was not lost in a reset.
fn read_available(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 65_536];
    if stream.set_nonblocking(true).is_ok() {
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            bytes.extend_from_slice(&buffer[..count]);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until the memory of a process does not change any more, as it has read what was sent.
pub(crate) fn wait_settled(process: u32) {
    let end = Instant::now() + SETTLE_TIMEOUT;
    let mut resident = 0;
    let mut settled_looks = 0;
    while settled_looks < SETTLED_LOOKS && Instant::now() < end {
        sleep(SETTLE_INTERVAL);
        let now = status_kilobytes(process, "VmRSS:").unwrap_or_default();
        settled_looks =
            if now.abs_diff(resident) < SETTLED_KILOBYTES { settled_looks + 1 } else { 0 };
        resident = now;
    }
}

/// Returns the largest memory that a process has used, in kilobytes; `None` if it has ended.
pub(crate) fn peak_kilobytes(process: u32) -> Option<u64> {
    status_kilobytes(process, "VmHWM:")
}

fn status_kilobytes(process: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.trim().trim_end_matches(" kB").parse().ok()
}

/// Watches the open descriptors of a process until it is stopped.
pub(crate) struct DescriptorWatch {
    is_over: Arc<AtomicBool>,
    watcher: JoinHandle<usize>,
}

impl DescriptorWatch {
    /// Starts to watch `process`.
    pub(crate) fn start(process: u32) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let is_over_inside = Arc::clone(&is_over);
        let watcher = std::thread::spawn(move || {
            let mut most = 0;
            while !is_over_inside.load(Ordering::SeqCst) {
                most = most.max(open_descriptors(process));
                sleep(POLL_INTERVAL);
            }
            most
        });
        Self { is_over, watcher }
    }

    /// Returns the most descriptors that were open at the same time.
    pub(crate) fn stop(self) -> usize {
        self.is_over.store(true, Ordering::SeqCst);
        self.watcher.join().expect("the watch ends")
    }
}

fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
