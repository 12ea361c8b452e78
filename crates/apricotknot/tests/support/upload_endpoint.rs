//! An endpoint that answers uploads in every order and framing, and crashes during some.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use apricotknot_standin::users_platform::MetadataServer;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;
use socket2::SockRef;

/// Length of a whole answer, in bytes.
const ANSWER_BYTES: usize = 20_000;

/// Size of the receive buffer of the endpoint's sockets, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1_024;

/// Time from an answer that comes first until the rest of the upload is read.
const PAUSE: Duration = Duration::from_millis(200);

/// How the end of an answer is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    Length,
    Chunks,
    UntilClose,
}

/// What becomes of the endpoint's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fate {
    /// It reads all of the request and sends all of the answer.
    Sound,
    /// As [`Sound`](Self::Sound); all of the answer comes before the rest of the request is read.
    AnswersFirst,
    /// As [`AnswersFirst`](Self::AnswersFirst); it ends its sending side with the answer.
    ClosesEarly,
    /// It crashes once it has read this part of the upload, in per cent.
    Crashes(usize),
}

/// How one upload is served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Status line of the answer, after the version.
    pub(crate) status: &'static str,
    pub(crate) framing: Framing,
    pub(crate) fate: Fate,
    /// Whether the answer begins before the upload is read.
    pub(crate) is_early: bool,
}

/// What an endpoint got and gave for one upload.
#[derive(Clone, Debug)]
pub(crate) struct UploadRun {
    /// Bytes of the body that arrived.
    pub(crate) received: usize,
    /// Whether the process did not crash.
    pub(crate) is_sound: bool,
    /// How it was served, for reports.
    pub(crate) _plan: String,
}

type Runs = Arc<Mutex<BTreeMap<String, UploadRun>>>;

/// An endpoint on a port of its own.
pub(crate) struct UploadEndpoint {
    id: String,
    pub(crate) address: SocketAddr,
    runs: Runs,
}

impl UploadEndpoint {
    /// Starts an endpoint that serves each upload by the next of `plans`.
    pub(crate) fn start(index: usize, mut plans: impl FnMut() -> Plan + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("an option");
        let address = listener.local_addr().expect("its address");
        let runs = Runs::default();
        let thread_runs = Arc::clone(&runs);
        spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (plan, runs) = (plans(), Arc::clone(&thread_runs));
                spawn(move || {
                    // A connection that fails is one of the things to be tested.
                    let _ = serve(stream, plan, &runs);
                });
            }
        });
        Self { id: format!("uploads-{index}"), address, runs }
    }

    /// Makes `endpoints` the only ones of the plain service.
    pub(crate) fn announce(endpoints: &[Self], store: &MetadataServer) {
        for id in ["desk-1", "desk-2"] {
            store.remove(&format!("servers/{id}"));
        }
        for endpoint in endpoints {
            let entry = json!({
                "service": "desk", "addr": endpoint.address.to_string(), "zone": "north",
                "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": 1,
            });
            store.put(&format!("servers/{}", endpoint.id), &entry);
        }
    }

    /// Returns what became of an upload whose connection has ended.
    pub(crate) fn run_of(&self, id: &str) -> Option<UploadRun> {
        locked(&self.runs).get(id).cloned()
    }
}

/// Returns the whole answer to an upload.
pub(crate) fn whole_answer(id: &str) -> String {
    id.repeat(ANSWER_BYTES / id.len())
}

fn locked(runs: &Runs) -> MutexGuard<'_, BTreeMap<String, UploadRun>> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn random_plan(random: &mut StdRng) -> Plan {
    let framing = match random.random_range(0..4) {
        0 => Framing::Length,
        1 => Framing::Chunks,
        _ => Framing::UntilClose,
    };
    // One that answers first does not end an answer without a length by that.
    let fate = match (random.random_range(0..6), framing) {
        (0, Framing::Length | Framing::Chunks) => Fate::AnswersFirst,
        (0 | 1, _) => Fate::ClosesEarly,
        (2 | 3, _) => Fate::Crashes(random.random_range(0..100)),
        _ => Fate::Sound,
    };
    Plan { status: "200 OK", framing, fate, is_early: random.random_bool(0.7) }
}

fn serve(mut stream: TcpStream, plan: Plan, runs: &Runs) -> io::Result<()> {
    let mut received = Vec::new();
    let head_end = loop {
        if read_some(&mut stream, &mut received)? == 0 {
            return Ok(());
        }
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let value = |name| head.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    let (id, length) = (value("request-id: "), value("content-length: "));
    let length: usize = length.parse().unwrap_or_default();
    if id == "first" {
        let ready = format!("{}content-length: 5\r\n\r\nready", answer_head("200 OK", id));
        return stream.write_all(ready.as_bytes());
    }
    let mut body = received.len() - head_end;
    let ended = serve_upload(&mut stream, plan, id, length, &mut body);
    drop(stream);
    let is_sound = ended.is_ok() && !matches!(plan.fate, Fate::Crashes(_));
    let run = UploadRun { received: body, is_sound, _plan: format!("{plan:?}, {ended:?}") };
    locked(runs).insert(id.to_owned(), run);
    ended
}

/// Reads the body, of which `body` bytes have arrived, and answers as the plan says.
fn serve_upload(
    stream: &mut TcpStream,
    plan: Plan,
    id: &str,
    length: usize,
    body: &mut usize,
) -> io::Result<()> {
    let whole = whole_answer(id);
    let (first, rest) = whole.split_at(whole.len() / 2);
    if let Fate::Crashes(percent) = plan.fate {
        if plan.is_early {
            begin_answer(stream, plan, id, whole.len())?;
            write_part(stream, plan.framing, first)?;
        }
        read_body(stream, length * percent / 100, body)?;
        return read_arrived(stream, body);
    }
    let all_first = matches!(plan.fate, Fate::AnswersFirst | Fate::ClosesEarly);
    if plan.is_early || all_first {
        begin_answer(stream, plan, id, whole.len())?;
        write_part(stream, plan.framing, first)?;
    }
    if all_first {
        write_part(stream, plan.framing, rest)?;
        end_answer(stream, plan.framing)?;
        if plan.fate == Fate::ClosesEarly {
            stream.shutdown(Shutdown::Write)?;
        }
        sleep(PAUSE);
        return read_body(stream, length, body);
    }
    read_body(stream, length, body)?;
    if !plan.is_early {
        begin_answer(stream, plan, id, whole.len())?;
        write_part(stream, plan.framing, first)?;
    }
    write_part(stream, plan.framing, rest)?;
    end_answer(stream, plan.framing)
}

fn answer_head(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\nresponse-seal: sealed\r\n")
}

fn begin_answer(stream: &mut TcpStream, plan: Plan, id: &str, length: usize) -> io::Result<()> {
    let framing = match plan.framing {
        Framing::Length => format!("content-length: {length}\r\n\r\n"),
        Framing::Chunks => "transfer-encoding: chunked\r\n\r\n".to_owned(),
        Framing::UntilClose => "\r\n".to_owned(),
    };
    stream.write_all((answer_head(plan.status, id) + &framing).as_bytes())
}

fn write_part(stream: &mut TcpStream, framing: Framing, part: &str) -> io::Result<()> {
    match framing {
        Framing::Chunks => stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes()),
        Framing::Length | Framing::UntilClose => stream.write_all(part.as_bytes()),
    }
}

fn end_answer(stream: &mut TcpStream, framing: Framing) -> io::Result<()> {
    match framing {
        Framing::Chunks => stream.write_all(b"0\r\n\r\n"),
        Framing::Length | Framing::UntilClose => Ok(()),
    }
}

/// Reads until `length` bytes of the body have arrived.
fn read_body(stream: &mut TcpStream, length: usize, body: &mut usize) -> io::Result<()> {
    let mut buffer = vec![0; 64 * 1_024];
    while *body < length {
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => *body += count,
        }
    }
    Ok(())
}

fn read_some(stream: &mut TcpStream, received: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = vec![0; 16 * 1_024];
    let count = stream.read(&mut buffer)?;
    received.extend_from_slice(&buffer[..count]);
    Ok(count)
}

/// Reads what has arrived. A connection that is closed right after that ends as in order, as that of a
/// process that crashes does, and is reset once more arrives.
fn read_arrived(stream: &mut TcpStream, body: &mut usize) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let mut buffer = vec![0; 64 * 1_024];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(count) => *body += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}
