//! Settings of one node.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::NodeId;

use super::KnownPeer;
use super::LogFormat;
use super::LogLevel;
use super::SecretKey;
use super::SettingsError;
use super::SettingsErrorKind;
use super::section::SectionReader;
use super::section::load_sections;
use super::section::read_file;
use super::text_types::TokenDigest;

/// Sections of a node's settings file.
const SECTIONS: [&str; 7] = ["node", "callers", "operators", "peers", "store", "shutdown", "log"];

/// Number of bytes in a mebibyte.
const MEBIBYTE: usize = 1 << 20;

/// Least memory that requests may hold together if the settings name none, in bytes.
const DEFAULT_REQUEST_MEMORY_BYTES: usize = 32 * MEBIBYTE;

/// Identifies a node and the data centre that it runs in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeIdentity {
    /// Name of the node, unique in the fleet.
    pub name: NodeId,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreId,
}

/// Settings of the callers' interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Number of threads that serve callers' requests.
    pub traffic_threads: usize,
    /// Largest number of concurrent connections, over all threads.
    pub max_connections: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Memory that requests may hold together, in bytes; a single one may always be received.
    pub request_memory_bytes: usize,
    /// Time limit for receiving a request's headers.
    pub header_timeout: Duration,
    /// Time limit for receiving a request's body.
    pub body_timeout: Duration,
    /// Longest time that a caller may leave its answer stream unread.
    pub stall_timeout: Duration,
}

/// Settings of the operators' interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// SHA-256 digests, in lower-case hexadecimal, of the tokens that operators may present.
    pub token_digests: Vec<Arc<str>>,
}

/// Settings of the interface between nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Nodes to contact first, to join the fleet.
    pub known_peers: Vec<KnownPeer>,
    /// Secret that all nodes share, with which they authenticate one another.
    pub key: SecretKey,
    /// Former secret, which is still accepted during a rotation of the key.
    pub previous_key: Option<SecretKey>,
}

/// Settings of the client of the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Addresses of the service; the client moves to the next one when one fails.
    pub addresses: Vec<SocketAddr>,
    /// Time limit of one call.
    pub timeout: Duration,
    /// Largest number of calls per second, on average.
    pub calls_per_second: u32,
}

/// Settings of a planned shutdown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShutdownSettings {
    /// Time to keep serving after the node reports itself not ready, so that the balancer notices.
    pub unready_wait: Duration,
    /// Time limit for open requests to finish, after which they are interrupted.
    pub drain_timeout: Duration,
}

/// Settings of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of records.
    pub format: LogFormat,
    /// Lowest severity of the records that are written.
    pub level: LogLevel,
}

/// Holds all settings that a node reads from its file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name and data centre of the node.
    pub identity: NodeIdentity,
    /// Settings of the callers' interface.
    pub callers: CallerSettings,
    /// Settings of the operators' interface.
    pub operators: OperatorSettings,
    /// Settings of the interface between nodes.
    pub peers: PeerSettings,
    /// Settings of the client of the key-value service.
    pub store: StoreSettings,
    /// Settings of planned shutdowns.
    pub shutdown: ShutdownSettings,
    /// Format and level of the log.
    pub log: LogSettings,
}

impl NodeSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first error in the file: its section, key and value, and the allowed values.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_file(path, Self::parse)
    }

    /// Parses and checks `text` as the content of the file at `path`, which errors name.
    ///
    /// # Errors
    ///
    /// Returns the first error in the file: its section, key and value, and the allowed values.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let ini = load_sections(path, text, &SECTIONS)?;
        Ok(Self {
            identity: read_identity(SectionReader::new(path, &ini, "node"))?,
            callers: read_callers(SectionReader::new(path, &ini, "callers"))?,
            operators: read_operators(SectionReader::new(path, &ini, "operators"))?,
            peers: read_peers(SectionReader::new(path, &ini, "peers"))?,
            store: read_store(SectionReader::new(path, &ini, "store"))?,
            shutdown: read_shutdown(SectionReader::new(path, &ini, "shutdown"))?,
            log: read_log(SectionReader::new(path, &ini, "log"))?,
        })
    }
}

/// Reads the name and data centre of the node that the settings are for.
pub(super) fn read_identity(mut section: SectionReader<'_>) -> Result<NodeIdentity, SettingsError> {
    let identity =
        NodeIdentity { name: section.name("name")?, data_centre: section.name("data_centre")? };
    section.finish()?;
    Ok(identity)
}

fn read_callers(mut section: SectionReader<'_>) -> Result<CallerSettings, SettingsError> {
    let max_body_bytes = section.number("max_body_bytes", 16 * MEBIBYTE, 1_024..=256 * MEBIBYTE)?;
    let request_memory = DEFAULT_REQUEST_MEMORY_BYTES.max(2 * max_body_bytes);
    let callers = CallerSettings {
        listen: section.address("listen")?,
        traffic_threads: section.number("traffic_threads", 2, 1..=64)?,
        max_connections: section.number("max_connections", 20_000, 1..=1_000_000)?,
        max_body_bytes,
        request_memory_bytes: section.number(
            "request_memory_bytes",
            request_memory,
            MEBIBYTE..=65_536 * MEBIBYTE,
        )?,
        header_timeout: section.milliseconds("header_timeout_ms", 5_000, 10..=60_000)?,
        body_timeout: section.milliseconds("body_timeout_ms", 30_000, 10..=600_000)?,
        stall_timeout: section.milliseconds("stall_timeout_ms", 120_000, 100..=3_600_000)?,
    };
    section.finish()?;
    Ok(callers)
}

fn read_operators(mut section: SectionReader<'_>) -> Result<OperatorSettings, SettingsError> {
    let operators = OperatorSettings {
        listen: section.address("listen")?,
        token_digests: section
            .list::<TokenDigest>("token_digests", "64 lower-case hexadecimal digits each")?
            .into_iter()
            .map(|digest| digest.text)
            .collect(),
    };
    section.finish()?;
    Ok(operators)
}

fn read_peers(mut section: SectionReader<'_>) -> Result<PeerSettings, SettingsError> {
    let peers = PeerSettings {
        listen: section.address("listen")?,
        known_peers: section.list("known", "NAME@ADDRESS, separated by commas")?,
        key: section.required_secret("key")?,
        previous_key: section.secret("previous_key")?,
    };
    section.finish()?;
    Ok(peers)
}

fn read_store(mut section: SectionReader<'_>) -> Result<StoreSettings, SettingsError> {
    let allowed = "addresses such as 127.0.0.1:2379, separated by commas";
    let addresses: Vec<SocketAddr> = section.list("addresses", allowed)?;
    if addresses.is_empty() {
        return Err(section.error(SettingsErrorKind::Missing, "addresses", "", allowed));
    }
    let store = StoreSettings {
        addresses,
        timeout: section.milliseconds("timeout_ms", 2_000, 10..=60_000)?,
        calls_per_second: section.number("calls_per_second", 50, 1..=2_000)?,
    };
    section.finish()?;
    Ok(store)
}

fn read_shutdown(mut section: SectionReader<'_>) -> Result<ShutdownSettings, SettingsError> {
    let shutdown = ShutdownSettings {
        unready_wait: section.milliseconds("unready_wait_ms", 2_000, 0..=600_000)?,
        drain_timeout: section.milliseconds("drain_timeout_ms", 600_000, 100..=3_600_000)?,
    };
    section.finish()?;
    Ok(shutdown)
}

/// Reads the format and level of the log.
pub(super) fn read_log(mut section: SectionReader<'_>) -> Result<LogSettings, SettingsError> {
    let log = LogSettings {
        format: section.parsed("format", LogFormat::Text, "text, json")?,
        level: section.parsed("level", LogLevel::Info, "error, warning, info, debug")?,
    };
    section.finish()?;
    Ok(log)
}
