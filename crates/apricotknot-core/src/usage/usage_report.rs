//! Report on one window.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::AccountId;
use crate::types::WindowNumber;

/// Holds the requests of each account that began to run in one window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Window that is reported.
    pub window: WindowNumber,
    /// Number of requests by account; accounts without any are left out.
    pub counts: BTreeMap<AccountId, u64>,
}

impl UsageReport {
    /// Returns the number of requests of all accounts.
    pub fn request_count(&self) -> u64 {
        self.counts.values().sum()
    }
}
