//! Tests of individual decisions of the pool scheduler.

use std::time::Duration;

use apricotknot_core::admission::AccountLimits;
use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::EndpointCapacity;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::LoadReport;
use apricotknot_core::admission::PoolAction;
use apricotknot_core::admission::PoolEvent;
use apricotknot_core::admission::PoolScheduler;
use apricotknot_core::admission::PoolSettings;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::admission::ScarceResource;
use apricotknot_core::admission::TokenUsage;
use apricotknot_core::resources::AdmissionSpec;
use apricotknot_core::resources::DutyState;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::RequestProfile;

const NOW: Duration = Duration::from_secs(100);

fn seconds_later(after: u64) -> Duration {
    NOW + Duration::from_secs(after)
}

fn pool(endpoints: &[(&str, u64)]) -> PoolScheduler {
    let mut pool = PoolScheduler::new(PoolSettings::new("assistant/0"));
    for (endpoint, memory) in endpoints {
        let warm = BudgetAmount::new(*memory, 16);
        let capacity = EndpointCapacity::new(warm, BudgetAmount::new(memory / 10, 2));
        pool.handle(PoolEvent::EndpointUpdated { endpoint: (*endpoint).into(), capacity }, NOW);
        let boot_id = "boot-1".into();
        pool.handle(PoolEvent::WarmupProven { endpoint: (*endpoint).into(), boot_id }, NOW);
    }
    pool
}

fn submission(id: u128, account: &str, prompt_tokens: u64) -> RequestSubmission {
    let profile = RequestProfile {
        id,
        account: account.into(),
        service: "assistant".into(),
        prompt_tokens,
        max_output_tokens: 100,
        fingerprint: 0,
        prefix_blocks: Vec::new(),
        deadline: seconds_later(600),
    };
    RequestSubmission { profile, attempt: id, node: "node-1".into(), excluded: Vec::new() }
}

fn submit(pool: &mut PoolScheduler, id: u128, account: &str, prompt: u64) -> Vec<PoolAction> {
    pool.handle(PoolEvent::Submit(submission(id, account, prompt)), NOW)
}

fn granted(actions: &[PoolAction]) -> Vec<&GrantTicket> {
    let tickets = actions.iter().filter_map(|action| match action {
        PoolAction::Grant(ticket) => Some(&**ticket),
        _ => None,
    });
    tickets.collect()
}

fn refusal(actions: &[PoolAction]) -> Option<&RefusalReason> {
    actions.iter().find_map(|action| match action {
        PoolAction::Refuse(notice) => Some(&notice.reason),
        _ => None,
    })
}

fn ended(attempt: u128, outcome: AttemptOutcome, confirmed_free: bool) -> PoolEvent {
    PoolEvent::AttemptEnded { attempt, outcome, confirmed_free, usage: None }
}

#[test]
fn a_request_that_fits_is_granted_at_once() {
    let mut pool = pool(&[("e1", 100_000)]);
    let actions = submit(&mut pool, 1, "a", 1_000);
    assert_eq!(&*granted(&actions)[0].endpoint, "e1");
    assert_eq!(pool.used("e1"), BudgetAmount::new(1_100, 1));
}

#[test]
fn a_prompt_larger_than_every_engine_is_refused_at_once() {
    let mut pool = pool(&[("e1", 100_000), ("e2", 200_000)]);
    let actions = submit(&mut pool, 1, "a", 250_000);
    let needed = 250_100;
    assert_eq!(refusal(&actions), Some(&RefusalReason::TooLarge { needed, largest: 200_000 }));
}

#[test]
fn memory_of_a_lost_attempt_stays_counted_until_the_endpoint_confirms() {
    let mut pool = pool(&[("e1", 100_000)]);
    submit(&mut pool, 1, "a", 1_000);
    pool.handle(PoolEvent::Started { attempt: 1 }, NOW);
    let actions = pool.handle(ended(1, AttemptOutcome::Lost, false), seconds_later(1));
    let endpoint = "e1".into();
    assert_eq!(actions, [PoolAction::CancelAttempt { attempt: 1, endpoint }]);
    assert_eq!(pool.used("e1").memory_tokens, 1_100);
    assert_eq!(
        pool.handle(PoolEvent::Tick, seconds_later(2)).len(),
        1,
        "the confirmation is requested again"
    );
    pool.handle(PoolEvent::FreeConfirmed { attempt: 1 }, seconds_later(3));
    assert_eq!(pool.used("e1"), BudgetAmount::default());
}

#[test]
fn a_grant_that_is_never_started_ends_by_cancel() {
    let mut pool = pool(&[("e1", 100_000)]);
    submit(&mut pool, 1, "a", 1_000);
    let actions = pool.handle(PoolEvent::Tick, seconds_later(5));
    assert_eq!(actions, [PoolAction::CancelAttempt { attempt: 1, endpoint: "e1".into() }]);
    assert_eq!(pool.active(&"a".into()), 0);
}

#[test]
fn a_queued_request_is_refused_at_its_queue_timeout_and_the_record_names_the_holder() {
    let mut pool = pool(&[("e1", 10_000)]);
    submit(&mut pool, 1, "busy", 7_000);
    submit(&mut pool, 2, "late", 5_000);
    assert_eq!(pool.queued(), 1);
    let due = pool.next_wakeup().unwrap();
    pool.handle(PoolEvent::Started { attempt: 1 }, due);
    let actions = pool.handle(PoolEvent::Tick, seconds_later(31));
    assert_eq!(refusal(&actions), Some(&RefusalReason::DeadlineUnreachable));
    let record = pool.explain(2).unwrap();
    let shortage = record.shortage.as_ref().unwrap();
    assert_eq!(shortage.resource, ScarceResource::Memory);
    assert_eq!(&*shortage.holders[0].account, "busy");
    assert_eq!(record.queued_for, Duration::from_secs(31));
}

#[test]
fn an_endpoint_with_duty_out_gets_no_queued_work() {
    let mut pool = pool(&[("e1", 10_000)]);
    submit(&mut pool, 1, "a", 7_000);
    submit(&mut pool, 2, "a", 7_000);
    let warm = BudgetAmount::new(10_000, 16);
    let capacity = EndpointCapacity::new(warm, warm).duty(DutyState::Out);
    pool.handle(PoolEvent::EndpointUpdated { endpoint: "e1".into(), capacity }, seconds_later(1));
    let actions = pool.handle(ended(1, AttemptOutcome::Answered, true), seconds_later(1));
    assert_eq!(granted(&actions).len(), 0);
    assert_eq!(refusal(&submit(&mut pool, 3, "a", 10)), Some(&RefusalReason::NoEndpoint));
}

#[test]
fn a_restarted_endpoint_gets_only_its_cold_budget_until_answers_are_timely() {
    let mut pool = pool(&[("e1", 100_000)]);
    let report =
        LoadReport { boot_id: "boot-2".into(), cold: true, memory_used: 0, running: 0, waiting: 0 };
    pool.handle(PoolEvent::LoadReported { endpoint: "e1".into(), report }, NOW);
    assert!(pool.is_cold("e1"));
    let tickets: usize = (1..=4).map(|id| granted(&submit(&mut pool, id, "a", 500)).len()).sum();
    assert_eq!(tickets, 2);
    pool.handle(PoolEvent::Started { attempt: 1 }, seconds_later(1));
    let after = Duration::from_millis(100);
    let actions = pool.handle(PoolEvent::FirstToken { attempt: 1, after }, seconds_later(1));
    assert_eq!(granted(&actions).len(), 1, "one timely answer allows one more request");
}

#[test]
fn short_prompts_overtake_a_waiting_archive_but_do_not_starve_it() {
    let mut pool = pool(&[("e1", 400_000)]);
    submit(&mut pool, 1, "a", 90_000);
    submit(&mut pool, 2, "archivist", 300_000);
    assert_eq!(pool.queued(), 1);
    assert_eq!(granted(&submit(&mut pool, 3, "clerk", 1_000)).len(), 1);
    assert_eq!(
        granted(&submit(&mut pool, 4, "b", 50_000)).len(),
        0,
        "the archive has claimed the capacity"
    );
    let actions = pool.handle(ended(1, AttemptOutcome::Answered, true), seconds_later(1));
    assert_eq!(granted(&actions)[0].request, 2);
}

#[test]
fn archives_on_one_engine_never_exceed_the_limit() {
    let spec = AdmissionSpec { max_archives_per_engine: 1, ..AdmissionSpec::default() };
    assert_eq!(spec, AdmissionSpec::default());
    let mut pool = pool(&[("e1", 1_000_000)]);
    assert_eq!(granted(&submit(&mut pool, 1, "a", 150_000)).len(), 1);
    assert_eq!(granted(&submit(&mut pool, 2, "a", 150_000)).len(), 0);
    assert_eq!(pool.shortage_of(2).unwrap().resource, ScarceResource::Archives);
}

#[test]
fn accounts_share_a_contended_engine_by_weight() {
    let mut pool = pool(&[("e1", 2_000)]);
    for (account, weight) in [("one", 1), ("three", 3)] {
        let limits = AccountLimits { weight, ..AccountLimits::default() };
        pool.handle(PoolEvent::AccountChanged { account: account.into(), limits }, NOW);
    }
    submit(&mut pool, 1_000, "first", 1_800);
    for id in 0..40 {
        submit(&mut pool, 2 * id + 1, "one", 1_800);
        submit(&mut pool, 2 * id + 2, "three", 1_800);
    }
    let mut running = 1_000;
    let mut served = Vec::new();
    for _ in 0..20 {
        let actions = pool.handle(ended(running, AttemptOutcome::Answered, true), seconds_later(1));
        running = granted(&actions)[0].attempt;
        served.push(granted(&actions)[0].account.clone());
    }
    assert_eq!(served.iter().filter(|account| &***account == "three").count(), 15);
}

#[test]
fn an_account_over_its_rate_is_refused_with_a_retry_time() {
    let mut pool = pool(&[("e1", 1_000_000)]);
    let limits = AccountLimits { tokens_per_second: 100, ..AccountLimits::default() };
    pool.handle(PoolEvent::AccountChanged { account: "a".into(), limits }, NOW);
    assert_eq!(granted(&submit(&mut pool, 1, "a", 1_900)).len(), 1);
    let actions = submit(&mut pool, 2, "a", 100);
    let Some(PoolAction::Refuse(notice)) = actions.first() else {
        panic!("expected a refusal, got {actions:?}");
    };
    assert_eq!(notice.reason, RefusalReason::AccountRate { tokens_per_second: 100 });
    let later = NOW + notice.retry_after;
    let actions = pool.handle(PoolEvent::Submit(submission(3, "a", 100)), later);
    assert_eq!(granted(&actions).len(), 1);
}

#[test]
fn a_repeated_submission_gives_the_same_grant() {
    let mut pool = pool(&[("e1", 100_000)]);
    let first = submit(&mut pool, 1, "a", 1_000);
    let second = submit(&mut pool, 1, "a", 1_000);
    assert_eq!(first, second);
    assert_eq!(pool.used("e1").concurrent, 1);
}

#[test]
fn an_engines_token_count_corrects_later_estimates_of_that_account() {
    let mut pool = pool(&[("e1", 100_000)]);
    submit(&mut pool, 1, "a", 1_000);
    let usage = Some(TokenUsage { prompt_tokens: 1_500, completion_tokens: 10, cached_tokens: 0 });
    let (outcome, confirmed_free) = (AttemptOutcome::Answered, true);
    let end = PoolEvent::AttemptEnded { attempt: 1, outcome, confirmed_free, usage };
    let limits = AccountLimits::default();
    pool.handle(PoolEvent::AccountChanged { account: "a".into(), limits }, NOW);
    pool.handle(end, seconds_later(1));
    assert_eq!(granted(&submit(&mut pool, 2, "a", 1_000))[0].memory_tokens, 1_600);
    assert_eq!(granted(&submit(&mut pool, 3, "b", 1_000))[0].memory_tokens, 1_100);
}

#[test]
fn a_refusal_after_a_timeout_carries_the_expected_queueing_time() {
    let mut pool = pool(&[("e1", 10_000)]);
    submit(&mut pool, 1, "a", 7_000);
    for id in 2..=5 {
        submit(&mut pool, id, "a", 7_000);
    }
    let actions = pool.handle(PoolEvent::Tick, seconds_later(31));
    let waits = actions.iter().filter_map(|action| match action {
        PoolAction::Refuse(notice) => Some(notice.retry_after),
        _ => None,
    });
    let waits: Vec<Duration> = waits.collect();
    assert_eq!(waits.len(), 4);
    assert!(waits.iter().all(|wait| *wait >= Duration::from_secs(1)));
    assert!(waits[0] > Duration::from_secs(10), "{waits:?}");
}

#[test]
fn an_unreachable_endpoint_gets_no_work_until_it_answers() {
    let mut pool = pool(&[("e1", 100_000), ("e2", 100_000)]);
    pool.handle(PoolEvent::ConnectionReset { endpoint: "e1".into() }, NOW);
    for id in 0..4 {
        let actions = submit(&mut pool, id, "a", 1_000);
        assert_eq!(&*granted(&actions)[0].endpoint, "e2");
    }
    let boot_id = "boot-2".into();
    pool.handle(PoolEvent::BootSeen { endpoint: "e1".into(), boot_id }, NOW);
    let actions = submit(&mut pool, 9, "a", 1_000);
    assert_eq!(&*granted(&actions)[0].endpoint, "e1");
}

#[test]
fn work_queued_for_an_unreachable_endpoint_is_tried_after_a_pause() {
    let mut pool = pool(&[("e1", 100_000)]);
    pool.handle(PoolEvent::ConnectionReset { endpoint: "e1".into() }, NOW);
    assert!(submit(&mut pool, 1, "a", 1_000).is_empty());
    assert!(pool.handle(PoolEvent::Tick, seconds_later(1)).is_empty());
    let actions = pool.handle(PoolEvent::Tick, seconds_later(2));
    assert_eq!(granted(&actions).len(), 1);
}
