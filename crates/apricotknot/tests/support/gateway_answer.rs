//! Answers of a gateway node, as a caller reads them.

use std::io::Read;
use std::net::TcpStream;

/// An HTTP answer, as far as it was received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// Status code; 0 when no answer was received.
    pub(crate) status: u16,
    pub(crate) head: String,
    /// Body without the framing of the chunked transfer encoding.
    pub(crate) body: String,
    /// Whether the body ended as its framing declares.
    pub(crate) is_complete: bool,
    /// Whether bytes were received that do not belong to the answer.
    pub(crate) has_invalid_bytes: bool,
}

/// Reads one answer, or the part that was received when the connection ended or timed out.
pub(crate) fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    // Each part is parsed together with all before it, so there should be few.
    let mut buffer = vec![0; 65_536];
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

/// Parses the bytes received so far, or returns `None` if the head is not complete.
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

/// Decodes chunks; returns the body, whether it is complete and whether the framing is invalid.
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
