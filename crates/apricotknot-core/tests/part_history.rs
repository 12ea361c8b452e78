//! Tests of the history of prompt parts that crash endpoints.

use std::time::Duration;

use apricotknot_core::fleet::PartAnswerReport;
use apricotknot_core::fleet::PartCrashReport;
use apricotknot_core::fleet::PartHistory;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::fleet::prompt_part_id;

const NOW: Duration = Duration::from_secs(100);

/// Part that crashes endpoints.
const BAD: PromptPartId = 666;

/// Part that sound prompts have too.
const COMMON: PromptPartId = 1;

fn crash(attempt: u64, parts: &[PromptPartId]) -> PartCrashReport {
    PartCrashReport {
        attempt: u128::from(attempt),
        endpoint: format!("engine-{}", attempt % 4).into(),
        request: attempt,
        parts: parts.to_vec(),
        age_ms: 0,
    }
}

fn after_ms(milliseconds: u64) -> Duration {
    NOW + Duration::from_millis(milliseconds)
}

/// Returns the history after three crashes of prompts with both parts.
fn crashed_history() -> PartHistory {
    let mut history = PartHistory::default();
    for attempt in 0..3 {
        history.record_crash(crash(attempt, &[COMMON, BAD]), after_ms(attempt * 300));
    }
    history
}

#[test]
fn part_is_quarantined_by_crashes_of_different_requests() {
    let mut history = PartHistory::default();
    assert!(history.record_crash(crash(1, &[BAD]), NOW).is_empty());
    assert!(history.record_crash(crash(2, &[BAD]), after_ms(200)).is_empty());
    assert!(!history.is_quarantined(&[BAD], after_ms(200)));
    assert_eq!(history.record_crash(crash(3, &[BAD]), after_ms(400)), [BAD]);
    assert!(history.is_quarantined(&[COMMON, BAD], after_ms(400)));
    assert!(!history.is_quarantined(&[COMMON], after_ms(400)));
}

#[test]
fn part_of_cut_off_prompts_is_cleared_by_an_answer() {
    let mut history = crashed_history();
    history.record_answer(&[COMMON], after_ms(700));
    assert!(!history.is_quarantined(&[COMMON], after_ms(700)));
    assert!(history.is_quarantined(&[BAD], after_ms(700)));
    let late = PartCrashReport { age_ms: 500, ..crash(9, &[COMMON]) };
    history.apply_crash(&late, after_ms(900));
    assert_eq!(history.crash_count(COMMON), 0, "the crash was before the answer");
}

#[test]
fn answer_at_another_node_clears_a_part() {
    let mut history = crashed_history();
    history.apply_answer(PartAnswerReport { part: COMMON, age_ms: 5_000 }, after_ms(700));
    assert!(history.crash_count(COMMON) > 0, "the answer was before the crashes");
    assert!(
        !history.is_quarantined(&[COMMON], after_ms(700)),
        "a part that was answered needs more crashes"
    );
    assert!(history.is_quarantined(&[BAD], after_ms(700)));
    history.apply_answer(PartAnswerReport { part: COMMON, age_ms: 10 }, after_ms(700));
    assert_eq!(history.crash_count(COMMON), 0);
}

#[test]
fn part_that_was_answered_before_is_quarantined_by_more_crashes() {
    let mut history = PartHistory::default();
    history.record_answer(&[BAD], NOW);
    let quarantined: Vec<u64> = (1..=8)
        .filter(|attempt| {
            !history.record_crash(crash(*attempt, &[BAD]), after_ms(attempt * 200)).is_empty()
        })
        .collect();
    assert_eq!(quarantined, [8]);
}

#[test]
fn prompts_that_one_crash_cuts_off_count_once() {
    let mut history = PartHistory::default();
    for attempt in 0..30 {
        let report = PartCrashReport { endpoint: "engine".into(), ..crash(attempt, &[COMMON]) };
        history.record_crash(report, after_ms(attempt * 15));
    }
    assert_eq!(history.crash_count(COMMON), 1);
}

#[test]
fn crashes_beside_a_likelier_part_do_not_count() {
    let mut history = PartHistory::default();
    history.record_answer(&[COMMON], NOW);
    let mut quarantined = Vec::new();
    for attempt in 1..=20 {
        let at = after_ms(attempt * 400);
        // The connection of another request may break before that of the one that crashes.
        let cut_off =
            PartCrashReport { attempt: 1_000 + u128::from(attempt), ..crash(attempt, &[COMMON]) };
        quarantined.extend(history.record_crash(cut_off, at));
        quarantined
            .extend(history.record_crash(crash(attempt, &[BAD]), at + Duration::from_millis(9)));
    }
    assert_eq!(quarantined, [BAD]);
}

#[test]
fn quarantined_part_is_probed_less_and_less_often() {
    let mut history = crashed_history();
    let seconds = |count| after_ms(600) + Duration::from_secs(count);
    let probes: Vec<u64> =
        (0..600).filter(|second| history.try_probe(&[COMMON, BAD], seconds(*second))).collect();
    assert_eq!(probes, [30, 90, 210, 450]);
    history.record_answer(&[COMMON, BAD], seconds(460));
    assert!(!history.is_quarantined(&[BAD], seconds(460)), "the prompt was answered");
}

#[test]
fn loss_of_many_endpoints_at_once_quarantines_no_part() {
    let mut history = PartHistory::default();
    for attempt in 0..16 {
        history.record_crash(crash(attempt, &[COMMON]), after_ms(attempt * 5));
    }
    assert!(!history.is_quarantined(&[COMMON], after_ms(80)));
}

#[test]
fn repeats_of_one_request_quarantine_no_part() {
    let mut history = PartHistory::default();
    for attempt in 0..8 {
        let report = PartCrashReport { request: 5, ..crash(attempt, &[COMMON]) };
        history.record_crash(report, after_ms(attempt * 400));
    }
    assert!(!history.is_quarantined(&[COMMON], after_ms(4_000)));
}

#[test]
fn crashes_reported_by_other_nodes_count_once() {
    let mut history = PartHistory::default();
    for repeat in 0..10 {
        let report = PartCrashReport { age_ms: 100 * repeat, ..crash(1, &[BAD]) };
        history.apply_crash(&report, after_ms(u64::from(100 * repeat)));
    }
    assert_eq!(history.crash_count(BAD), 1);
    history.apply_crash(&crash(2, &[BAD]), after_ms(1_000));
    assert_eq!(history.apply_crash(&crash(3, &[BAD]), after_ms(1_100)), [BAD]);
}

#[test]
fn crashes_are_reported_to_other_nodes_for_a_while() {
    let mut history = crashed_history();
    let reports = history.recent_crashes(after_ms(1_000));
    assert_eq!(reports.len(), 3);
    assert_eq!(reports[0].age_ms, 400, "the newest crash goes first");
    assert!(history.recent_crashes(after_ms(60_000)).is_empty());
}

#[test]
fn answers_to_suspect_parts_are_reported_to_other_nodes() {
    let mut history = PartHistory::default();
    history.record_answer(&[COMMON, 2], NOW);
    assert!(history.answered_suspects(NOW).is_empty(), "no part is suspect");
    history.record_crash(crash(1, &[COMMON, BAD]), after_ms(100));
    let answered = history.answered_suspects(after_ms(150));
    assert_eq!(answered, [PartAnswerReport { part: COMMON, age_ms: 150 }]);
}

// Guards against answers that other nodes never learn of, as many parts are suspect at once.
#[test]
fn answers_to_the_parts_with_the_most_crashes_are_reported_first() {
    let mut history = PartHistory::default();
    let parts: Vec<PromptPartId> = (0..300).collect();
    history.record_answer(&parts, NOW);
    for part in 0..300 {
        history.record_crash(crash(part, &[part]), after_ms(1));
    }
    history.record_crash(crash(1_001, &[299]), after_ms(700));
    let reported = history.answered_suspects(after_ms(800));
    assert_eq!((reported.len(), reported[0].part), (64, 299));
}

// Guards against a part that one node clears and all others quarantine.
#[test]
fn answer_that_clears_a_part_is_reported_to_other_nodes() {
    let mut history = PartHistory::default();
    history.apply_crash(&crash(1, &[COMMON]), NOW);
    history.record_answer(&[COMMON], after_ms(100));
    let expected = [PartAnswerReport { part: COMMON, age_ms: 200 }];
    assert_eq!(history.answered_suspects(after_ms(300)), expected);
    let late = PartCrashReport { age_ms: 350, ..crash(2, &[COMMON]) };
    history.apply_crash(&late, after_ms(400));
    assert_eq!(history.crash_count(COMMON), 0, "the crash was before the answer");
    assert_eq!(history.answered_suspects(after_ms(300)), expected);
    assert!(history.answered_suspects(after_ms(20_000)).is_empty(), "the crash is long past");
}

#[test]
fn recorded_part_is_quarantined_until_it_is_answered_or_released() {
    let mut history = PartHistory::default();
    history.set_stored(BAD, NOW);
    assert!(history.is_quarantined(&[BAD], NOW));
    history.apply_answer(PartAnswerReport { part: BAD, age_ms: 900 }, after_ms(500));
    assert!(history.is_quarantined(&[BAD], after_ms(500)), "the answer was before the record");
    history.record_answer(&[BAD], after_ms(600));
    assert!(!history.is_quarantined(&[BAD], after_ms(600)));
    history.set_stored(COMMON, after_ms(600));
    history.retain_stored(&[]);
    assert!(!history.is_quarantined(&[COMMON], after_ms(600)));
}

#[test]
fn quarantine_ends_long_after_the_last_crash() {
    let mut history = crashed_history();
    let later = NOW + Duration::from_secs(700);
    assert!(!history.is_quarantined(&[BAD], later));
    history.apply_crash(&crash(9, &[2]), later);
    assert_eq!(history.crash_count(BAD), 0, "expired crashes are dropped");
}

#[test]
fn many_parts_are_kept_within_a_limit() {
    let mut history = crashed_history();
    for part in 1_000..9_000 {
        history.record_answer(&[part], after_ms(2_000 + part));
        history.apply_crash(&crash(part, &[part + 100_000]), after_ms(2_000 + part));
    }
    assert!(
        history.is_quarantined(&[BAD], after_ms(12_000)),
        "a quarantine outlives other suspects"
    );
}

#[test]
fn ids_of_parts_are_told_apart() {
    assert_eq!(prompt_part_id("5c1e07a2"), prompt_part_id("5c1e07a2"));
    assert_ne!(prompt_part_id("5c1e07a2"), prompt_part_id("5c1e07a3"));
}
