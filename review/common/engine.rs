//! Stand-ins for engines: calls with a fixed work time, and streams of numbered events.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::http;
use super::http::Request;
use super::record::Record;

/// Memory of a model engine, in tokens.
pub const MEMORY: u64 = 232_000;

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub engine: String,
    pub service: String,
    pub request_id: String,
    pub tenant: Option<String>,
    pub has_run: bool,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    listener: http::Listener,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    has_exited: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine whose runs take `work`.
    pub fn start(record: &Record, service: &str, id: &str, zone: &str, slots: u32, work: Duration) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let has_exited = Arc::new(AtomicBool::new(false));
        let serving = Serving {
            record: record.clone(),
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            arrivals: Arc::clone(&arrivals),
            has_exited: Arc::clone(&has_exited),
        };
        let listener = http::listen("127.0.0.1", move |stream| serving.serve(stream));
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.address,
            listener,
            arrivals,
            has_exited,
        }
    }

    /// Returns the key and the value of its entry in the store.
    pub fn entry(&self, state: &str) -> (String, String) {
        let value = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1700000000000}}",
            self.service, self.address, self.zone, self.slots
        );
        (format!("servers/{}", self.id), value)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("arrivals").clone()
    }

    /// Ends the engine: its connections end without an answer, and new ones are refused.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        self.listener.close();
    }
}

#[derive(Clone)]
struct Serving {
    record: Record,
    id: String,
    service: String,
    work: Duration,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    has_exited: Arc<AtomicBool>,
}

impl Serving {
    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if self.has_exited.load(Ordering::SeqCst) || !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> bool {
        if request.path == "/order" || request.path == "/healthz" {
            let headers = [("content-type", "application/json"), ("instance-id", &self.id)];
            return http::write_answer(writer, 200, &headers, b"{\"free\":0}").is_ok();
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("request-id", id.as_str()), ("not-executed", "1")];
            return http::write_answer(writer, 421, &headers, b"").is_ok();
        }
        let has_run = !is_too_large(request);
        self.note(request, &id, has_run);
        if !has_run {
            let headers = [("request-id", id.as_str()), ("not-executed", "1")];
            return http::write_answer(writer, 503, &headers, b"").is_ok();
        }
        thread::sleep(self.work);
        if self.has_exited.load(Ordering::SeqCst) {
            return false;
        }
        match request.header("token-count") {
            Some(_) => self.write_stream(writer, &id),
            None => {
                let headers = [("request-id", id.as_str()), ("response-seal", "s.1.2")];
                let body = format!("done by {} for {id}\n", self.service);
                http::write_answer(writer, 200, &headers, body.as_bytes()).is_ok()
            },
        }
    }

    fn note(&self, request: &Request, id: &str, has_run: bool) {
        let at = self.record.now();
        let tenant = request.header("tenant").map(str::to_owned);
        let verb = if has_run { "runs" } else { "rejects" };
        self.record.write_at(
            at,
            &format!("engine {} ({}) {verb} {id}, tenant {tenant:?}", self.id, self.service),
        );
        self.arrivals.lock().expect("arrivals").push(Arrival {
            at,
            engine: self.id.clone(),
            service: self.service.clone(),
            request_id: id.to_owned(),
            tenant,
            has_run,
        });
    }

    fn write_stream(&self, writer: &mut TcpStream, id: &str) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             request-id: {id}\r\nresponse-seal: s.1.2\r\n\r\n"
        );
        let mut is_sent = writer.write_all(head.as_bytes()).is_ok();
        for number in 1..=8 {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && writer.write_all(chunk.as_bytes()).is_ok();
            thread::sleep(Duration::from_millis(10));
        }
        is_sent && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns whether a request needs more memory than an engine has; it is rejected as if it were
/// full.
fn is_too_large(request: &Request) -> bool {
    let Some(given) = request.header("token-count") else { return false };
    let sizes = given.split(',').map(|part| part.trim().parse::<u128>().unwrap_or(u128::MAX / 4));
    sizes.sum::<u128>() > u128::from(MEMORY)
}
