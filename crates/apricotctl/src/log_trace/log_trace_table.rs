//! Output of selected log entries as text.

use serde_json::Value;

use super::LogEntry;
use super::LogTrace;
use crate::output::TextTable;

/// Message of the entry with which a request ends.
const REQUEST_END: &str = "call: over";

/// Prints the entries in order, how the request ended, and what is missing.
pub(crate) fn print_trace(trace: &LogTrace) {
    let mut table = TextTable::new(["TIME", "NODE", "WHAT", "INPUTS AND OUTCOME"]);
    for entry in &trace.entries {
        let row = [entry.time.clone(), entry.node.clone(), entry.message.clone(), describe(entry)];
        table.add_row(row);
    }
    print!("{table}");
    for end in trace.entries.iter().filter(|entry| entry.message == REQUEST_END) {
        println!("{}", summary(end));
    }
    println!(
        "{} entries of {} lines in {} files; times are those of each node's own clock",
        trace.entries.len(),
        trace.lines,
        trace.files
    );
    if trace.unreadable > 0 {
        println!("{} more lines that may belong here cannot be read", trace.unreadable);
    }
    if trace.dropped > 0 {
        println!("nodes dropped records {} times; entries may be missing", trace.dropped);
    }
}

/// Returns the fields of an entry, except the empty ones and the id of the request.
fn describe(entry: &LogEntry) -> String {
    let is_shown = |name: &str, value: &Value| {
        name != "request" && !value.is_null() && value.as_str() != Some("")
    };
    let fields = entry.fields.iter().filter(|(name, value)| is_shown(name, value));
    let texts = fields.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    texts.collect::<Vec<String>>().join(" ")
}

/// Returns one sentence on how a request ended.
fn summary(end: &LogEntry) -> String {
    let field = |name| end.text(name).unwrap_or_else(|| "unknown".into());
    let endpoint = end.text("endpoint").filter(|endpoint| !endpoint.is_empty());
    let cause = end.text("cause").map(|cause| format!(" ({cause})")).unwrap_or_default();
    format!(
        "request ended as {}{cause} after {} ms at {}; executed: {}; last endpoint {}, {} sent, {} may have run",
        field("outcome"),
        field("took_ms"),
        end.node,
        field("executed"),
        endpoint.as_deref().unwrap_or("none"),
        field("sends"),
        field("runs")
    )
}
