//! Settings of one gateway node.

use std::path::Path;
use std::time::Duration;

use apricotknot_core::duty::DutyKind;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_gateway::GatewaySettings;
use apricotknot_gateway::control::StalenessLimits;
use apricotknot_gateway::duties::DutySettings;
use ini::Ini;

use super::LogSettings;
use super::NodeIdentity;
use super::SettingsError;
use super::node_settings::read_identity;
use super::node_settings::read_log;
use super::section::SectionReader;
use super::section::load_sections;
use super::section::read_file;

/// Sections of a gateway's settings file.
const SECTIONS: [&str; 7] =
    ["node", "gateway", "store", "retries", "duties", "data_centres", "log"];

/// Number of bytes in a megabyte.
const MEGABYTE: usize = 1_000_000;

/// Part of `revoke_ms` that is reserved for requests in progress.
///
/// A revoked key must be out of use within `revoke_ms`, so a known key is admitted only while the
/// configuration is not older than `revoke_ms` minus this margin.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);

/// Part of `apply_ms` that is reserved for work that may have to wait.
///
/// A configuration must be in force within `apply_ms`, so an unknown key is denied only while the
/// configuration is not older than `apply_ms` minus this margin.
const APPLY_MARGIN: Duration = Duration::from_millis(300);

/// Time within `drain_ms` in which a call of the key-value service may fail and be made again.
///
/// Nodes must learn within `drain_ms` that an endpoint leaves, so they read at intervals of the
/// rest.
const READ_MARGIN: Duration = Duration::from_millis(2_600);

/// Shortest and longest interval between two reads of the key-value service.
const READ_INTERVALS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(1)];

/// Holds all settings that a gateway node reads from its file.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayNodeSettings {
    /// Name and data centre of the node.
    pub identity: NodeIdentity,
    /// Addresses, time limits and retry policy of the gateway.
    pub gateway: GatewaySettings,
    /// Format and level of the log.
    pub log: LogSettings,
}

impl GatewayNodeSettings {
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
        let identity = read_identity(SectionReader::new(path, &ini, "node"))?;
        let log = read_log(SectionReader::new(path, &ini, "log"))?;
        let gateway = read_gateway(path, &ini, &identity)?;
        Ok(Self { identity, gateway, log })
    }
}

fn read_gateway(
    path: &Path,
    ini: &Ini,
    identity: &NodeIdentity,
) -> Result<GatewaySettings, SettingsError> {
    let mut store = SectionReader::new(path, ini, "store");
    let store_address = store.address("address")?;
    store.finish()?;
    let regions = SectionReader::new(path, ini, "data_centres").names()?;
    let mut section = SectionReader::new(path, ini, "gateway");
    let revoke_time = section.milliseconds("revoke_ms", 5_000, 1_000..=600_000)?;
    let apply_time = section.milliseconds("apply_ms", 3_000, 1_000..=600_000)?;
    let drain_time = section.milliseconds("drain_ms", 3_000, 1_000..=600_000)?;
    let [shortest, longest] = READ_INTERVALS;
    let gateway = GatewaySettings {
        node: identity.name.clone(),
        data_centre: identity.data_centre.clone(),
        caller_address: section.address("callers")?,
        operations_address: section.address("operations")?,
        peer_address: section.address("news")?,
        store_address,
        regions: regions.into_iter().collect(),
        staleness: StalenessLimits {
            max_admit_age: revoke_time.saturating_sub(REVOKE_MARGIN),
            max_deny_age: apply_time.saturating_sub(APPLY_MARGIN),
        },
        max_read_interval: drain_time.saturating_sub(READ_MARGIN).clamp(shortest, longest),
        reserved_idle_time: section.milliseconds("reserved_idle_ms", 9_000, 1_000..=600_000)?,
        stop_timeout: seconds(&mut section, "stop_s", 8.0)?,
        memory_bytes: section.number("memory_mb", 160, 64..=65_536)? * MEGABYTE,
        max_descriptors: section.number("max_descriptors", 1_000_000, 64..=1_000_000)?,
        retries: read_retries(SectionReader::new(path, ini, "retries"))?,
        duties: read_duties(SectionReader::new(path, ini, "duties"))?,
    };
    section.finish()?;
    Ok(gateway)
}

fn read_retries(mut section: SectionReader<'_>) -> Result<RetryPolicy, SettingsError> {
    let retries = RetryPolicy {
        ratio: section.number("ratio", 0.2, 0.0..=10.0)?,
        slack: section.number("slack", 100.0, 0.0..=1e6)?,
        window: seconds(&mut section, "window_s", 10.0)?,
    };
    section.finish()?;
    Ok(retries)
}

/// Reads the duties; there are none if the section is absent or names none.
fn read_duties(mut section: SectionReader<'_>) -> Result<Option<DutySettings>, SettingsError> {
    if !section.is_present() {
        return Ok(None);
    }
    let mut kinds = section.list("kinds", &DutyKind::ALL.map(DutyKind::name).join(", "))?;
    kinds.sort_unstable();
    kinds.dedup();
    let duties = DutySettings {
        address: section.address("address")?,
        lease_time: section.milliseconds("lease_ms", 3_000, 1_500..=600_000)?,
        usage_window: seconds(&mut section, "usage_window_s", 5.0)?,
        usage_due: seconds(&mut section, "usage_due_s", 10.0)?,
        calls_per_second: section.number("calls_per_s", 10.0, 0.1..=100_000.0)?,
        kinds,
    };
    section.finish()?;
    Ok(Some(duties).filter(|duties| !duties.kinds.is_empty()))
}

/// Reads a duration in seconds, from half a second to an hour, or the default if the key is absent.
fn seconds(
    section: &mut SectionReader<'_>,
    key: &'static str,
    default: f64,
) -> Result<Duration, SettingsError> {
    section.number(key, default, 0.5..=3_600.0).map(Duration::from_secs_f64)
}
