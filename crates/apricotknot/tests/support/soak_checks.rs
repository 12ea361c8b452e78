//! Checks of the soak test on what endpoints ran and what duties did.

use std::collections::BTreeMap;

use super::gateway_fleet::Fleet;
use super::gateway_fleet::LEASE_TIME;
use super::gateway_fleet::wait_until;
use super::soak_callers::CallKind;
use super::soak_callers::SoakLog;
use super::soak_callers::lock;

/// Maximum number of runs of a repeatable request.
const MAX_REPEATABLE_RUNS: usize = 2;

/// Checks that one node at a time acted, and that some node acts again.
pub(crate) fn check_duties(fleet: &Fleet, log: &SoakLog) {
    let Some(api) = &fleet.duty_api else {
        return;
    };
    let before = api.calls().len();
    wait_until("usage is reported again", || api.calls().len() > before);
    for violation in api.violations(LEASE_TIME) {
        log.record_violation(violation);
    }
}

/// Checks the runs at endpoints against the answers that callers received.
pub(crate) fn check_runs(fleet: &Fleet, log: &SoakLog) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for endpoint in fleet.engines.iter().chain(&fleet.plain_endpoints) {
        for run in endpoint.executions() {
            *runs.entry(run.request_id).or_default() += 1;
        }
    }
    for call in lock(&log.sent).iter() {
        let count = runs.get(&call.id).copied().unwrap_or_default();
        if call.is_reported_unexecuted && count > 0 {
            log.record_violation(format!("{count} runs, but reported as not executed: {call:?}"));
        }
        let max_runs = if call.kind == CallKind::Order { 1 } else { MAX_REPEATABLE_RUNS };
        if count > max_runs {
            log.record_violation(format!("{count} runs: {call:?}"));
        }
    }
}
