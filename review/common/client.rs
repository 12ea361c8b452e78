//! A client: one request a connection, as clients that open new connections do.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// An answer as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if there was no answer.
    pub status: u16,
    pub text: String,
}

/// Sends a request and reads the answer to the end of the connection.
pub fn send(address: SocketAddr, head: &str, body: &str, wait: Duration) -> Answer {
    exchange(address, head, body, wait).unwrap_or_default()
}

fn exchange(address: SocketAddr, head: &str, body: &str, wait: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!("{head}{length}Connection: close\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    Some(Answer { status, text })
}

/// Returns whether the node says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    send(address, "GET /readyz HTTP/1.1\r\nHost: node\r\n", "", Duration::from_secs(1)).status == 200
}
