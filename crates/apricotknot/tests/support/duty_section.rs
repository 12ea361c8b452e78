//! Section of a node's settings that switches duties on.

use apricotknot_standin::users_platform::DutyApiServer;

use super::DUTY_CALLS_PER_SECOND;
use super::LEASE_TIME;

/// Returns the section that switches all duties on.
pub(super) fn duty_section(api: &DutyApiServer) -> String {
    format!(
        "[duties]\naddress = {}\nkinds = usage_report, autoscale\nlease_ms = {}\n\
         usage_window_s = 1\nusage_due_s = 10\ncalls_per_s = {DUTY_CALLS_PER_SECOND}\n\n",
        api.address(),
        LEASE_TIME.as_millis()
    )
}
