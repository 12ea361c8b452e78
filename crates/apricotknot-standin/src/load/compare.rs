//! Comparison of calls through a node with calls on a direct connection to the same engine.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::recorder::new_histogram;
use crate::fleet::EnginePlan;
use crate::fleet::FleetError;
use crate::fleet::FleetHarness;
use crate::fleet::FleetSettings;
use crate::fleet::chat_body;

/// Model that the engine serves.
const MODEL: &str = "standin";

/// Path that prompts are sent to.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Number of tokens of each answer.
const ANSWER_TOKENS: u64 = 4;

/// Number of requests that are sent on each path before the timed ones.
const WARM_UP_REQUESTS: usize = 50;

/// Time after opening the streams until they are idle and the node's memory is measured.
const IDLE_DELAY: Duration = Duration::from_secs(2);

/// Size of the engine's key-value cache, in tokens.
const ENGINE_MEMORY_TOKENS: u64 = 100_000_000;

/// Maximum number of concurrent requests at the engine.
const ENGINE_MAX_CONCURRENT: u32 = 100_000;

/// Describes a comparison.
#[derive(Clone, Copy, Debug)]
pub struct CompareSettings {
    /// Number of timed requests on each path.
    pub requests: usize,
    /// Number of tokens of each prompt.
    pub prompt_tokens: usize,
    /// Number of streams that are open concurrently when memory is measured.
    pub streams: usize,
}

/// Holds the results of a comparison.
#[derive(Clone, Debug)]
pub struct CompareReport {
    /// Times to first token on a direct connection, in microseconds.
    pub direct: Histogram<u64>,
    /// Times to first token through the node, in microseconds.
    pub through_node: Histogram<u64>,
    /// Number of streams that were open when memory was measured.
    pub streams: usize,
    /// Increase of the node's resident memory for each open stream, in bytes.
    pub bytes_per_stream: u64,
    /// Size of the body of a streamed answer on the direct connection, in bytes.
    pub direct_answer_bytes: usize,
    /// Size of the body of the same answer through the node, in bytes.
    pub node_answer_bytes: usize,
}

impl CompareReport {
    /// Returns the time that the node adds to the first token at `quantile`, in microseconds.
    pub fn added_micros(&self, quantile: f64) -> i64 {
        let through = self.through_node.value_at_quantile(quantile) as i64;
        through - self.direct.value_at_quantile(quantile) as i64
    }
}

impl fmt::Display for CompareReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "| time to first token, us | p50 | p90 | p99 |")?;
        writeln!(formatter, "|---|---|---|---|")?;
        for (name, histogram) in [("direct", &self.direct), ("node", &self.through_node)] {
            write!(formatter, "| {name} |")?;
            for quantile in [0.5, 0.9, 0.99] {
                write!(formatter, " {} |", histogram.value_at_quantile(quantile))?;
            }
            writeln!(formatter)?;
        }
        write!(formatter, "| added |")?;
        for quantile in [0.5, 0.9, 0.99] {
            write!(formatter, " {} |", self.added_micros(quantile))?;
        }
        writeln!(formatter, "\n")?;
        writeln!(formatter, "| open idle streams | node memory for each, bytes |")?;
        writeln!(formatter, "|---|---|")?;
        writeln!(formatter, "| {} | {} |\n", self.streams, self.bytes_per_stream)?;
        writeln!(formatter, "| answer body | bytes |")?;
        writeln!(formatter, "|---|---|")?;
        writeln!(formatter, "| direct | {} |", self.direct_answer_bytes)?;
        writeln!(formatter, "| node | {} |", self.node_answer_bytes)
    }
}

/// Measures the latency and bytes that one node adds to the answers of one engine, and the
/// node's memory for each open stream.
///
/// # Errors
///
/// Fails when the fleet does not start, a request is refused or a connection breaks.
pub async fn compare_direct(settings: CompareSettings) -> Result<CompareReport, FleetError> {
    let plan = EnginePlan::default()
        .option("--step-ms", 1)
        .option("--prefill", 100_000_000_u64)
        .max_concurrent(ENGINE_MAX_CONCURRENT)
        .memory_tokens(ENGINE_MEMORY_TOKENS)
        .cold_limits(ENGINE_MEMORY_TOKENS, ENGINE_MAX_CONCURRENT);
    let fleet = FleetHarness::start(FleetSettings::default().engine(plan)).await?;
    let engine = fleet.engines[0].address;
    let node = fleet.nodes[0].callers;
    let mut report = CompareReport {
        direct: new_histogram(),
        through_node: new_histogram(),
        streams: settings.streams,
        bytes_per_stream: 0,
        direct_answer_bytes: 0,
        node_answer_bytes: 0,
    };
    for number in 0..settings.requests + WARM_UP_REQUESTS {
        let prompt = prompt(number, settings.prompt_tokens);
        let (direct, direct_bytes) = measure_first_token(&fleet, engine, &prompt).await?;
        let (through, node_bytes) = measure_first_token(&fleet, node, &prompt).await?;
        report.direct_answer_bytes = direct_bytes;
        report.node_answer_bytes = node_bytes;
        if number >= WARM_UP_REQUESTS {
            report.direct.saturating_record(direct);
            report.through_node.saturating_record(through);
        }
    }
    report.bytes_per_stream = measure_stream_memory(&fleet, node, settings).await?;
    Ok(report)
}

fn prompt(number: usize, tokens: usize) -> String {
    let mut prompt = format!("prompt {number:>10} ");
    prompt.push_str(&"x".repeat((tokens * 4).saturating_sub(prompt.len())));
    prompt
}

async fn measure_first_token(
    fleet: &FleetHarness,
    address: SocketAddr,
    prompt: &str,
) -> Result<(u64, usize), FleetError> {
    let body = chat_body(MODEL, prompt, ANSWER_TOKENS, true);
    let account = FleetHarness::account_headers();
    let stream = fleet.client.stream(address, CHAT_PATH, &account, &body).await?;
    let stream = stream.map_err(refusal_error)?;
    let summary = stream.finish().await?;
    let first = summary.first_token.unwrap_or_default();
    Ok((u64::try_from(first.as_micros()).unwrap_or(u64::MAX), summary.bytes))
}

async fn measure_stream_memory(
    fleet: &FleetHarness,
    node: SocketAddr,
    settings: CompareSettings,
) -> Result<u64, FleetError> {
    let account = FleetHarness::account_headers();
    let before = fleet.nodes[0].process.resident_bytes();
    let mut streams = Vec::with_capacity(settings.streams);
    for number in 0..settings.streams {
        let prompt = format!("[[stall:1]] {}", prompt(number, settings.prompt_tokens));
        let body = chat_body(MODEL, &prompt, ANSWER_TOKENS, true);
        let stream = fleet.client.stream(node, CHAT_PATH, &account, &body).await?;
        let mut stream = stream.map_err(refusal_error)?;
        stream.read_chunks(1).await?;
        streams.push(stream);
    }
    actix_rt::time::sleep(IDLE_DELAY).await;
    let added_bytes = fleet.nodes[0].process.resident_bytes().saturating_sub(before);
    Ok(added_bytes / settings.streams.max(1) as u64)
}

fn refusal_error(answer: crate::fleet::FleetAnswer) -> FleetError {
    FleetError::NoAnswer { uri: CHAT_PATH.to_owned(), reason: answer.json().to_string() }
}
