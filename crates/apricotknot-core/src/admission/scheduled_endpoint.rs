//! State of one endpoint in the scheduler: capacity, outstanding grants and claims.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::BudgetAmount;
use super::EndpointCapacity;
use super::HolderUsage;
use super::ScarceResource;
use super::warmup::WarmupState;
use crate::resources::AdmissionSpec;
use crate::resources::DutyState;
use crate::types::AccountId;
use crate::types::AttemptId;
use crate::types::LengthClass;
use crate::types::MonotonicTime;
use crate::types::RequestId;
use crate::types::TokenCount;

/// Describes the capacity that a request needs at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestDemand {
    pub(super) request: RequestId,
    pub(super) class: LengthClass,
    pub(super) memory_tokens: TokenCount,
    pub(super) prompt_tokens: TokenCount,
}

/// Holds capacity of an endpoint for a waiting request that does not fit yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityClaim {
    pub(super) request: RequestId,
    pub(super) memory_tokens: TokenCount,
}

/// Defines the part of an endpoint that is reserved for short prompts, and how many archive prompts
/// it may run concurrently.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReserveRule {
    permille: u64,
    max_archives: u32,
}

impl ReserveRule {
    /// Creates the rule that the operators' admission settings configure.
    pub(super) fn from_spec(spec: &AdmissionSpec) -> Self {
        let permille = u64::from(spec.short_reserve_permille.min(1_000));
        Self { permille, max_archives: spec.max_archives_per_engine }
    }

    /// Returns the part of `limit` that is reserved for short prompts. If a part is reserved
    /// and more than one concurrent request is allowed, at least one request is reserved, never all.
    fn reserve(self, limit: BudgetAmount) -> BudgetAmount {
        let memory = u128::from(limit.memory_tokens) * u128::from(self.permille) / 1_000;
        let concurrent = u64::from(limit.concurrent) * self.permille / 1_000;
        let least = u64::from(limit.concurrent > 1 && self.permille > 0);
        let most = u64::from(limit.concurrent.saturating_sub(1));
        let concurrent = concurrent.max(least).min(most);
        BudgetAmount::new(
            u64::try_from(memory).unwrap_or(TokenCount::MAX),
            u32::try_from(concurrent).unwrap_or(u32::MAX),
        )
    }
}

/// Tracks the budget of one endpoint and the outstanding grants from it.
#[derive(Clone, Debug)]
pub(super) struct ScheduledEndpoint {
    pub(super) capacity: EndpointCapacity,
    pub(super) warmup: WarmupState,
    pub(super) is_removed: bool,
    /// Time until which the endpoint gets no new work, because it was unreachable.
    pub(super) unreachable_until: Option<MonotonicTime>,
    pub(super) claim: Option<CapacityClaim>,
    pub(super) attempts: BTreeSet<AttemptId>,
    accounts: Vec<HolderUsage>,
    allowance: Option<BudgetAmount>,
    used_short: BudgetAmount,
    used_other: BudgetAmount,
    archives: u32,
    pending_prefill: [TokenCount; 3],
}

impl ScheduledEndpoint {
    /// Creates the state of a cold endpoint without grants.
    pub(super) fn new(capacity: EndpointCapacity, now: MonotonicTime) -> Self {
        Self {
            capacity,
            warmup: WarmupState::new(&capacity, now),
            is_removed: false,
            unreachable_until: None,
            claim: None,
            attempts: BTreeSet::new(),
            accounts: Vec::new(),
            allowance: None,
            used_short: BudgetAmount::default(),
            used_other: BudgetAmount::default(),
            archives: 0,
            pending_prefill: [0; 3],
        }
    }
}

impl ScheduledEndpoint {
    /// Sets the part of the budget that this scheduler may grant.
    pub(super) fn set_allowance(&mut self, allowance: BudgetAmount) {
        self.allowance = Some(allowance);
    }

    /// Charges the memory and the prefill work of a granted attempt.
    pub(super) fn charge(
        &mut self,
        attempt: AttemptId,
        account: &AccountId,
        demand: &RequestDemand,
    ) {
        self.charge_account(account, demand.memory_tokens);
        let amount = BudgetAmount::new(demand.memory_tokens, 1);
        let used = self.used_mut(demand.class);
        *used = used.plus(amount);
        if demand.class == LengthClass::Archive {
            self.archives += 1;
        }
        self.pending_prefill[demand.class as usize] += demand.prompt_tokens;
        self.attempts.insert(attempt);
    }

    /// Releases what an attempt was charged, except for its prefill work; ignored for an unknown
    /// attempt.
    pub(super) fn release(
        &mut self,
        attempt: AttemptId,
        account: &AccountId,
        class: LengthClass,
        memory: TokenCount,
    ) {
        if !self.attempts.remove(&attempt) {
            return;
        }
        self.credit_account(account, memory);
        let used = self.used_mut(class);
        *used = used.minus(BudgetAmount::new(memory, 1));
        if class == LengthClass::Archive {
            self.archives = self.archives.saturating_sub(1);
        }
    }

    /// Removes prompt tokens of a class from the pending prefill work.
    pub(super) fn finish_prefill(&mut self, class: LengthClass, tokens: TokenCount) {
        let pending = &mut self.pending_prefill[class as usize];
        *pending = pending.saturating_sub(tokens);
    }

    fn charge_account(&mut self, account: &AccountId, memory_tokens: TokenCount) {
        let known = self.accounts.iter_mut().find(|usage| usage.account == *account);
        match known {
            Some(usage) => {
                usage.memory_tokens += memory_tokens;
                usage.concurrent += 1;
            },
            None => {
                let account = account.clone();
                self.accounts.push(HolderUsage { account, memory_tokens, concurrent: 1 });
            },
        }
    }

    fn credit_account(&mut self, account: &AccountId, memory_tokens: TokenCount) {
        let known = self.accounts.iter().position(|usage| usage.account == *account);
        let Some(index) = known else {
            return;
        };
        let usage = &mut self.accounts[index];
        usage.memory_tokens = usage.memory_tokens.saturating_sub(memory_tokens);
        usage.concurrent = usage.concurrent.saturating_sub(1);
        if usage.concurrent == 0 {
            self.accounts.swap_remove(index);
        }
    }

    fn used_mut(&mut self, class: LengthClass) -> &mut BudgetAmount {
        match class {
            LengthClass::Short => &mut self.used_short,
            LengthClass::Long | LengthClass::Archive => &mut self.used_other,
        }
    }
}

impl ScheduledEndpoint {
    /// Returns whether new work may be granted at the endpoint.
    pub(super) fn accepts_work(&self) -> bool {
        !self.is_removed && self.capacity.duty == DutyState::In
    }

    /// Returns the current limit on the total of all grants.
    pub(super) fn limit(&self) -> BudgetAmount {
        self.warm_limit().component_min(self.warmup.limit(&self.capacity))
    }

    /// Returns the limit on the total of all grants once the endpoint is warm.
    pub(super) fn warm_limit(&self) -> BudgetAmount {
        self.allowance.map_or(self.capacity.warm, |part| part.component_min(self.capacity.warm))
    }

    /// Returns the total of all outstanding grants.
    pub(super) fn used(&self) -> BudgetAmount {
        self.used_short.plus(self.used_other)
    }

    /// Checks whether a request can be granted now.
    ///
    /// # Errors
    ///
    /// Returns the resource that is scarce.
    pub(super) fn check_fit(
        &self,
        demand: &RequestDemand,
        rule: ReserveRule,
    ) -> Result<(), ScarceResource> {
        if self.unreachable_until.is_some() {
            return Err(ScarceResource::Reachability);
        }
        let limit = self.limit();
        let fit = self.check_fit_within(demand, rule, limit);
        if fit.is_ok() || !self.warmup.is_cold() {
            return fit;
        }
        match self.check_fit_within(demand, rule, self.warm_limit()) {
            Ok(()) => Err(ScarceResource::Warmth),
            Err(short) => Err(short),
        }
    }

    /// Returns the tokens by which a request exceeds the free memory, or `None` if waiting for
    /// running requests to end would not make it fit.
    pub(super) fn excess(&self, demand: &RequestDemand, rule: ReserveRule) -> Option<TokenCount> {
        let limit = self.limit();
        let is_capped = demand.class == LengthClass::Archive && self.archives >= rule.max_archives;
        let is_closed = is_capped || self.unreachable_until.is_some();
        if is_closed || demand.memory_tokens > limit.memory_tokens || limit.concurrent == 0 {
            return None;
        }
        let wanted = self.used().memory_tokens.saturating_add(demand.memory_tokens);
        Some(wanted.saturating_sub(limit.memory_tokens))
    }

    /// Returns the pending prompt tokens that the engine processes before a new prompt of `class`.
    pub(super) fn prefill_ahead(&self, class: LengthClass) -> TokenCount {
        self.pending_prefill[..=class as usize].iter().sum()
    }

    /// Returns the `count` accounts that hold the most of a resource, largest first.
    pub(super) fn top_holders(&self, resource: ScarceResource, count: usize) -> Vec<HolderUsage> {
        let mut usages: Vec<&HolderUsage> = self.accounts.iter().collect();
        usages.sort_by_key(|usage| match resource {
            ScarceResource::Concurrency => Reverse(u64::from(usage.concurrent)),
            _ => Reverse(usage.memory_tokens),
        });
        usages.into_iter().take(count).cloned().collect()
    }

    /// Returns the used part of the limit in per mille, of memory or of concurrency, whichever is
    /// larger.
    pub(super) fn used_permille(&self) -> u64 {
        let limit = self.limit();
        let used = self.used();
        let memory = permille(used.memory_tokens, limit.memory_tokens);
        memory.max(permille(used.concurrent.into(), limit.concurrent.into()))
    }

    fn check_fit_within(
        &self,
        demand: &RequestDemand,
        rule: ReserveRule,
        limit: BudgetAmount,
    ) -> Result<(), ScarceResource> {
        let claim = self.claim.filter(|claim| claim.request != demand.request);
        match demand.class {
            LengthClass::Short => self.check_short_fit(demand, claim, limit),
            LengthClass::Long | LengthClass::Archive if claim.is_some() => {
                Err(ScarceResource::Memory)
            },
            LengthClass::Long | LengthClass::Archive => self.check_other_fit(demand, rule, limit),
        }
    }

    /// Checks a short request. It may use all free capacity, but all short requests together must
    /// leave the claimed part of the limit to the claimant.
    fn check_short_fit(
        &self,
        demand: &RequestDemand,
        claim: Option<CapacityClaim>,
        limit: BudgetAmount,
    ) -> Result<(), ScarceResource> {
        let wanted = BudgetAmount::new(demand.memory_tokens, 1);
        check_limit(self.used().plus(wanted), limit)?;
        let Some(claim) = claim else {
            return Ok(());
        };
        let left = limit.minus(BudgetAmount::new(claim.memory_tokens, 1));
        check_limit(self.used_short.plus(wanted), left)
    }

    /// Checks a longer request. It must leave the reserve for short requests free, or what those
    /// use already if that is more.
    fn check_other_fit(
        &self,
        demand: &RequestDemand,
        rule: ReserveRule,
        limit: BudgetAmount,
    ) -> Result<(), ScarceResource> {
        if demand.class == LengthClass::Archive && self.archives >= rule.max_archives {
            return Err(ScarceResource::Archives);
        }
        let wanted = BudgetAmount::new(demand.memory_tokens, 1);
        let reserve = rule.reserve(limit).component_min(limit.minus(wanted));
        let kept = BudgetAmount::new(
            reserve.memory_tokens.max(self.used_short.memory_tokens),
            reserve.concurrent.max(self.used_short.concurrent),
        );
        check_limit(self.used_other.plus(wanted).plus(kept), limit)
    }
}

fn check_limit(wanted: BudgetAmount, limit: BudgetAmount) -> Result<(), ScarceResource> {
    if wanted.memory_tokens > limit.memory_tokens {
        return Err(ScarceResource::Memory);
    }
    if wanted.concurrent > limit.concurrent {
        return Err(ScarceResource::Concurrency);
    }
    Ok(())
}

fn permille(part: u64, whole: u64) -> u64 {
    if whole == 0 {
        return 0;
    }
    u64::try_from(u128::from(part) * 1_000 / u128::from(whole)).unwrap_or(u64::MAX)
}
