//! Search of log files, line by line.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;

use super::LogEntry;
use super::LogError;
use super::LogSelector;

/// Text of the records in which a logger says that it has dropped others.
const DROPPED_MARK: &str = "dropped messages";

/// Holds the selected entries, and what is known to be missing.
#[derive(Debug, Default, Serialize)]
pub(crate) struct LogTrace {
    /// Entries, ordered by the times that their nodes wrote.
    pub(crate) entries: Vec<LogEntry>,
    /// Number of files that were searched.
    pub(crate) files: usize,
    /// Number of lines that were searched.
    pub(crate) lines: u64,
    /// Number of lines that name what was searched for, and hold no record.
    pub(crate) unreadable: u64,
    /// Number of times that a node says that it has dropped records.
    pub(crate) dropped: u64,
}

/// Searches files, and the files in directories.
///
/// # Errors
///
/// Returns an error if one of them cannot be read, or if no entry is selected.
pub(crate) fn read_logs(paths: &[String], selector: &LogSelector) -> Result<LogTrace, LogError> {
    let mut trace = LogTrace::default();
    for path in paths {
        let unreadable = |source| LogError::Unreadable { path: path.clone(), source };
        for file in list_files(Path::new(path)).map_err(unreadable)? {
            trace.search(&file, selector).map_err(unreadable)?;
        }
    }
    if trace.entries.is_empty() {
        let (kind, value) = selector.described();
        let (searched, files) = (trace.lines, trace.files);
        return Err(LogError::NotFound { searched, files, kind, value: value.to_owned() });
    }
    // The sort is stable: entries of one node with the same time keep their order.
    trace.entries.sort_by(|left, right| left.time.cmp(&right.time));
    Ok(trace)
}

impl LogTrace {
    fn search(&mut self, path: &Path, selector: &LogSelector) -> io::Result<()> {
        self.files += 1;
        let mut reader = BufReader::new(File::open(path)?);
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes)? > 0 {
            self.lines += 1;
            self.read_line(&String::from_utf8_lossy(&bytes), selector);
            bytes.clear();
        }
        Ok(())
    }

    fn read_line(&mut self, line: &str, selector: &LogSelector) {
        if line.contains(DROPPED_MARK) {
            self.dropped += 1;
        }
        if !selector.may_match(line) {
            return;
        }
        match LogEntry::parse(line) {
            Some(entry) if selector.matches(&entry) => self.entries.push(entry),
            Some(_) => {},
            None => self.unreadable += 1,
        }
    }
}

/// Returns the file at `path`, or the files in the directory there, ordered by name.
fn list_files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.metadata()?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in path.read_dir()? {
        let path = entry?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
