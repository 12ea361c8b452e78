//! One line of a node's log.

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Holds one record of a log in JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct LogEntry {
    /// Time of day at the node that wrote it, in RFC 3339.
    pub(crate) time: String,
    /// Node that wrote it.
    pub(crate) node: String,
    /// What happened, after the name of the part.
    pub(crate) message: String,
    /// Inputs and outcome of the decision, by name.
    pub(crate) fields: Map<String, Value>,
}

impl LogEntry {
    /// Parses a line; returns `None` if it holds no record.
    ///
    /// Collectors of logs may put text of their own before the record.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let record = &line[line.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(record).ok()?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (time, message) = (take("ts")?, take("msg")?);
        let node = take("node").unwrap_or_default();
        fields.remove("level");
        Some(Self { time, node, message, fields })
    }

    /// Returns a field as text; numbers are written out.
    pub(crate) fn text(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            Value::Null => None,
            other => Some(other.to_string()),
        }
    }
}
