//! The way of a request through the nodes, from their logs.

mod log_entry;
mod log_error;
mod log_reader;
mod log_selector;
mod log_trace_table;

pub(crate) use log_entry::LogEntry;
pub(crate) use log_error::LogError;
pub(crate) use log_reader::LogTrace;
pub(crate) use log_reader::read_logs;
pub(crate) use log_selector::LogSelector;
pub(crate) use log_trace_table::print_trace;
