//! Set-up of the logger.

use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::Never;
use slog::o;
use slog_async::Async;
use slog_async::AsyncBuilder;
use slog_async::AsyncGuard;

use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LogSettings;
use crate::settings::NodeIdentity;

/// Capacity of the queue of log records that wait to be written.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Longest time for which the end of a process waits until its last records are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Drain that writes records to an output, in the thread of the queue.
type OutputDrain = Box<dyn Drain<Ok = (), Err = Never> + Send>;

/// Writes the records that wait as the process ends; it has to live as long as the loggers.
pub struct LogGuard {
    guard: AsyncGuard,
}

impl LogGuard {
    /// Waits until all records are written, but not for long: an output that nobody reads must not
    /// hold up the end of the process.
    pub fn flush(self) {
        let (sender, is_written) = mpsc::channel();
        let guard = self.guard;
        std::thread::spawn(move || {
            drop(guard);
            let _ = sender.send(());
        });
        let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Creates a logger that writes to `output` and adds the node's name to every record.
///
/// Logging never blocks: when the queue is full because `output` is too slow, records are dropped
/// and counted. To drop the last logger waits until all records are written.
pub fn build_logger<W: Write + Send + 'static>(
    settings: &LogSettings,
    identity: &NodeIdentity,
    output: W,
) -> Logger {
    root_logger(settings, identity, queue(settings, output).build())
}

/// Creates a logger as [`build_logger`] does; dropping loggers never waits, but [`LogGuard::flush`]
/// does.
pub fn build_guarded_logger<W: Write + Send + 'static>(
    settings: &LogSettings,
    identity: &NodeIdentity,
    output: W,
) -> (Logger, LogGuard) {
    let (queue, guard) = queue(settings, output).build_with_guard();
    (root_logger(settings, identity, queue), LogGuard { guard })
}

fn root_logger(settings: &LogSettings, identity: &NodeIdentity, queue: Async) -> Logger {
    let drain = queue.fuse().filter_level(slog_level(settings.level)).fuse();
    Logger::root(drain, o!("node" => identity.name.to_string()))
}

fn queue<W: Write + Send + 'static>(
    settings: &LogSettings,
    output: W,
) -> AsyncBuilder<OutputDrain> {
    let drain: OutputDrain = match settings.format {
        LogFormat::Json => Box::new(Mutex::new(slog_json::Json::default(output)).fuse()),
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        },
    };
    Async::new(drain).chan_size(MAX_QUEUED_RECORDS)
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Error => Level::Error,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
    }
}
