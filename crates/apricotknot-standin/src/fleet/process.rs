//! A child process that is killed when its owner is dropped.

use std::fs;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use super::FleetError;

/// Prefix of the line in which a stand-in prints its address.
const ADDRESS_PREFIX: &str = "listening on ";

/// Selects a signal that a test sends to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// `SIGCONT`: resumes a stopped process.
    Continue,
    /// `SIGKILL`: kills the process.
    Kill,
    /// `SIGSTOP`: stops the process, which keeps its memory and connections.
    Stop,
    /// `SIGTERM`: requests an orderly shutdown.
    Terminate,
}

impl ProcessSignal {
    fn option(self) -> &'static str {
        match self {
            Self::Continue => "-CONT",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Terminate => "-TERM",
        }
    }
}

/// Holds a child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    log: PathBuf,
    child: Child,
}

impl ChildProcess {
    /// Starts `program`; its standard error is appended to the file `name`.log in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened or the process cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        dir: &Path,
    ) -> Result<Self, FleetError> {
        let log = dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|source| FleetError::File { path: log.clone(), source })?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .spawn()
            .map_err(|source| FleetError::Start { program: name.to_owned(), source })?;
        Ok(Self { name: name.to_owned(), log, child })
    }

    /// Reads the address that a stand-in prints at its start; works once for each process.
    ///
    /// # Errors
    ///
    /// Fails when the first line of the output is not an address or the process ends before it.
    pub fn read_address(&mut self) -> Result<SocketAddr, FleetError> {
        let missing = || FleetError::NoAddress(self.name.clone());
        let output = self.child.stdout.take().ok_or_else(missing)?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).map_err(|_| missing())?;
        let address = line.trim().strip_prefix(ADDRESS_PREFIX).ok_or_else(missing)?;
        address.parse().map_err(|_| missing())
    }

    /// Sends a signal; has no effect after the process has ended.
    pub fn signal(&mut self, signal: ProcessSignal) {
        if self.exit_status().is_none() {
            let pid = self.id().to_string();
            let _ = Command::new("kill").args([signal.option(), &pid]).status();
        }
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident memory, in bytes; 0 after the process has ended.
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()));
        let kibibytes: Option<u64> = status.ok().and_then(|text| {
            let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
            line.split_whitespace().nth(1)?.parse().ok()
        });
        kibibytes.unwrap_or(0) * 1_024
    }

    /// Returns what the process wrote to standard error; empty if it cannot be read.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
