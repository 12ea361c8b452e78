//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self, line: &str) {
        self.write_at(self.now(), line);
    }

    pub fn write_at(&self, at: Duration, line: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:9.3} s  {line}", at.as_secs_f64());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}
