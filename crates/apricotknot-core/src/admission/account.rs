//! Limits and usage of client accounts.

use std::collections::HashMap;
use std::time::Duration;

use super::RefusalReason;
use super::estimate::EstimateCorrection;
use crate::resources::AccountSpec;
use crate::types::AccountId;
use crate::types::MonotonicTime;
use crate::types::TokenCount;

/// Size of an account's token bucket, in seconds of its token rate.
const BURST_SECONDS: i128 = 10;

/// Microseconds per second.
const MICROS_PER_SECOND: i128 = 1_000_000;

/// Retry time of a request that was refused for the concurrency limit of its account.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Holds the limits of one account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountLimits {
    /// Weight in the fair sharing of a contended pool; at least 1.
    pub weight: u32,
    /// Largest number of requests that are in progress or queued.
    pub max_concurrent: u32,
    /// Tokens per second, of prompts and answers together; 0 for no limit.
    pub tokens_per_second: u64,
}

impl AccountLimits {
    /// Creates the limits that an account resource configures.
    pub fn from_spec(spec: &AccountSpec) -> Self {
        Self {
            weight: spec.weight.max(1),
            max_concurrent: spec.max_concurrent,
            tokens_per_second: spec.tokens_per_second,
        }
    }
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self::from_spec(&AccountSpec::default())
    }
}

/// Tracks the usage of one account, with its token bucket.
#[derive(Clone, Debug)]
struct AccountUsage {
    limits: AccountLimits,
    is_configured: bool,
    active: u32,
    /// Level of the token bucket, in millionths of a token; negative after a large request.
    balance: i128,
    refilled_at: MonotonicTime,
    correction: EstimateCorrection,
}

impl AccountUsage {
    fn new(limits: AccountLimits, is_configured: bool, now: MonotonicTime) -> Self {
        let balance = burst_limit(limits);
        let correction = EstimateCorrection::new();
        Self { limits, is_configured, active: 0, balance, refilled_at: now, correction }
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_sub(self.refilled_at).as_micros() as i128;
        let gained = elapsed * i128::from(self.limits.tokens_per_second);
        self.balance = (self.balance + gained).min(burst_limit(self.limits));
        self.refilled_at = self.refilled_at.max(now);
    }

    fn charge(&mut self, tokens: TokenCount) {
        self.balance -= i128::from(tokens) * MICROS_PER_SECOND;
    }

    fn rate_retry_after(&self) -> Duration {
        let rate = i128::from(self.limits.tokens_per_second.max(1));
        let micros = (1 - self.balance).max(0) / rate;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX) + 1)
    }
}

fn burst_limit(limits: AccountLimits) -> i128 {
    i128::from(limits.tokens_per_second) * BURST_SECONDS * MICROS_PER_SECOND
}

/// Tracks the usage of all accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountTable {
    accounts: HashMap<AccountId, AccountUsage>,
}

impl AccountTable {
    /// Sets the limits of an account and keeps its usage.
    pub(super) fn set_limits(
        &mut self,
        account: AccountId,
        limits: AccountLimits,
        now: MonotonicTime,
    ) {
        let usage =
            self.accounts.entry(account).or_insert_with(|| AccountUsage::new(limits, true, now));
        usage.refill(now);
        usage.limits = limits;
        usage.is_configured = true;
        usage.balance = usage.balance.min(burst_limit(limits));
    }

    /// Charges a request of `tokens` tokens to an account.
    ///
    /// # Errors
    ///
    /// Returns the limit that the account has reached and the time after which to retry.
    pub(super) fn admit(
        &mut self,
        account: &AccountId,
        tokens: TokenCount,
        now: MonotonicTime,
    ) -> Result<(), (RefusalReason, Duration)> {
        let usage = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountUsage::new(AccountLimits::default(), false, now));
        let limits = usage.limits;
        if usage.active >= limits.max_concurrent {
            let (active, limit) = (usage.active, limits.max_concurrent);
            let reason = RefusalReason::AccountConcurrency { active, limit };
            return Err((reason, CONCURRENCY_RETRY_AFTER));
        }
        if limits.tokens_per_second > 0 {
            usage.refill(now);
            if usage.balance <= 0 {
                let tokens_per_second = limits.tokens_per_second;
                let reason = RefusalReason::AccountRate { tokens_per_second };
                return Err((reason, usage.rate_retry_after()));
            }
            usage.charge(tokens);
        }
        usage.active += 1;
        Ok(())
    }

    /// Records how many tokens an engine counted in a prompt of the account.
    pub(super) fn record_prompt(
        &mut self,
        account: &AccountId,
        estimated: TokenCount,
        counted: TokenCount,
    ) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.correction.record(estimated, counted);
        }
    }

    /// Ends one request: refunds the `charged` tokens and charges the `used` ones instead.
    ///
    /// An account without configured limits is removed with its last request.
    pub(super) fn release(&mut self, account: &AccountId, charged: TokenCount, used: TokenCount) {
        let Some(usage) = self.accounts.get_mut(account) else {
            return;
        };
        usage.active = usage.active.saturating_sub(1);
        if usage.limits.tokens_per_second > 0 {
            usage.balance += i128::from(charged) * MICROS_PER_SECOND;
            usage.charge(used);
            usage.balance = usage.balance.min(burst_limit(usage.limits));
        }
        if usage.active == 0 && !usage.is_configured {
            self.accounts.remove(account);
        }
    }
}

impl AccountTable {
    /// Returns the estimated prompt length, corrected by earlier token counts of engines for the
    /// account.
    pub(super) fn corrected(&self, account: &AccountId, prompt_tokens: TokenCount) -> TokenCount {
        let usage = self.accounts.get(account);
        usage.map_or(prompt_tokens, |usage| usage.correction.apply(prompt_tokens))
    }

    /// Returns the weight of an account; 1 for an unknown one.
    pub(super) fn weight(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).map_or(1, |usage| usage.limits.weight.max(1))
    }

    /// Returns the number of requests of an account that are in progress or queued.
    pub(super) fn active(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).map_or(0, |usage| usage.active)
    }
}
