//! A small HTTP/1.1 server: one thread a connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query_value(&self, name: &str) -> String {
        let parts = self.query.split('&').filter_map(|part| part.split_once('='));
        let found = parts.filter(|(known, _)| *known == name).map(|(_, value)| value).next();
        decode_percent(found.unwrap_or_default())
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            },
            (b'+', _) => out.push(b' '),
            (other, _) => out.push(other),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    while line.trim().is_empty() {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        ..Request::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        request.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length: usize =
        request.header("content-length").and_then(|given| given.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A listener that can be closed; its port refuses connections then.
#[derive(Clone)]
pub struct Listener {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl Listener {
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

/// Binds a free port of `ip`, and serves each connection with `serve` on its own thread.
pub fn listen<F: Fn(TcpStream) + Send + Sync + 'static>(ip: &str, serve: F) -> Listener {
    let socket = TcpListener::bind((ip, 0)).expect("a free port");
    let address = socket.local_addr().expect("an address");
    let is_closed = Arc::new(AtomicBool::new(false));
    let (serve, closed) = (Arc::new(serve), Arc::clone(&is_closed));
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            if closed.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    Listener { address, is_closed }
}
