//! Checks of the soak test on what endpoints ran and what duties did.

use std::collections::BTreeMap;

use super::gateway_fleet::Fleet;
use super::gateway_fleet::LEASE_TIME;
use super::gateway_fleet::wait_until;
use super::soak_callers::CallKey;
use super::soak_callers::CallKind;
use super::soak_callers::SentCall;
use super::soak_callers::SoakLog;
use super::soak_callers::lock;

/// The only client account.
const ACCOUNT: &str = "office";

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
    let mut runs: BTreeMap<String, Vec<Option<String>>> = BTreeMap::new();
    for endpoint in fleet.engines.iter().chain(&fleet.plain_endpoints) {
        for run in endpoint.executions() {
            runs.entry(run.request_id).or_default().push(run.account);
        }
    }
    // The build before names accounts that it cannot vouch for.
    let checks_revoked = std::env::var_os("SOAK_OTHER_PROGRAM").is_none();
    for call in lock(&log.sent).iter() {
        let accounts = runs.get(&call.id).map(Vec::as_slice).unwrap_or_default();
        let count = accounts.len();
        if accounts.iter().any(|account| is_wrong_account(log, call, account, checks_revoked)) {
            log.record_violation(format!("ran with the account {accounts:?}: {call:?}"));
        }
        if call.is_reported_unexecuted && count > 0 {
            log.record_violation(format!("{count} runs, but reported as not executed: {call:?}"));
        }
        let max_runs = if call.kind == CallKind::Order { 1 } else { MAX_REPEATABLE_RUNS };
        if count > max_runs {
            log.record_violation(format!("{count} runs: {call:?}"));
        }
    }
}

/// Returns whether a run of `call` was told another account than the one that holds its key.
fn is_wrong_account(
    log: &SoakLog,
    call: &SentCall,
    account: &Option<String>,
    checks_revoked: bool,
) -> bool {
    match call.key {
        CallKey::None => account.is_some(),
        CallKey::Lasting => account.as_deref() != Some(ACCOUNT),
        CallKey::Revoked if checks_revoked && log.is_revoked_before(call.sent_at) => {
            account.is_some()
        },
        CallKey::Revoked => account.as_ref().is_some_and(|account| account != ACCOUNT),
    }
}
