//! Record of a usage report in the key-value service.

use apricotknot_core::types::EraNumber;
use apricotknot_core::usage::UsageReport;
use serde::Deserialize;
use serde::Serialize;

/// Holds the report on one window, which stays the only one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRecord {
    /// Era of the key-value service for which the record was written.
    pub era: EraNumber,
    /// Report on the window.
    #[serde(flatten)]
    pub report: UsageReport,
}
