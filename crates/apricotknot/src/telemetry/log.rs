//! Set-up of the logger.

use std::io::Write;
use std::sync::Mutex;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LogSettings;
use crate::settings::NodeIdentity;

/// Capacity of the queue of log records that wait to be written.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Creates a logger that writes to `output` and adds the node's name to every record.
///
/// Logging never blocks: when the queue is full because `output` is too slow, records are dropped
/// and counted.
pub fn build_logger<W: Write + Send + 'static>(
    settings: &LogSettings,
    identity: &NodeIdentity,
    output: W,
) -> Logger {
    let node = identity.name.to_string();
    let level = slog_level(settings.level);
    match settings.format {
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(output)).fuse();
            let queue = slog_async::Async::new(drain).chan_size(MAX_QUEUED_RECORDS).build().fuse();
            Logger::root(queue.filter_level(level).fuse(), o!("node" => node))
        },
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            let queue = slog_async::Async::new(drain).chan_size(MAX_QUEUED_RECORDS).build().fuse();
            Logger::root(queue.filter_level(level).fuse(), o!("node" => node))
        },
    }
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Error => Level::Error,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
    }
}
