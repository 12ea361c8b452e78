//! Short requests during a flood of archive prompts, and prompts larger than any engine's memory.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::cell::Cell;

use apricotknot_standin::engine::verify_answer;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;
use futures::future::join_all;

const MODEL: &str = "standin";

const CHAT: &str = "/v1/chat/completions";

/// Size of an archive prompt in bytes; this is 150,000 tokens.
const ARCHIVE_BYTES: usize = 600_000;

fn settings() -> FleetSettings {
    let plan = EnginePlan::default()
        .option("--step-ms", 2)
        .option("--prefill", 60_000)
        .memory_tokens(400_000)
        .cold_limits(200_000, 8);
    FleetSettings::default().nodes(2).engine(plan.clone()).engine(plan)
}

/// Sends a request through one of the nodes and returns the status.
///
/// An answer must be the right one, and any other status must state that nothing was executed.
async fn send_request(fleet: &FleetHarness, number: usize, prompt: &str, tokens: usize) -> u16 {
    let node = fleet.nodes[number % fleet.nodes.len()].callers;
    let account = FleetHarness::account_headers();
    let body = chat_body(MODEL, prompt, tokens as u64, false);
    let answer = fleet.client.post(node, CHAT, &account, &body).await.unwrap();
    if answer.status == 200 {
        assert_eq!(verify_answer(MODEL, prompt, &answer.completion_text(), tokens), Ok(()));
    } else {
        assert_eq!(answer.header("x-executed"), Some("no"), "{}", answer.json());
    }
    answer.status
}

/// Guards against short requests that queue behind archive prompts.
///
/// All short requests must be answered, and at least half of the archives, which were sent first,
/// must end after the last short request.
#[actix_rt::test]
async fn short_requests_do_not_wait_for_archive_prompts() {
    let fleet = FleetHarness::start(settings()).await.unwrap();
    let pending_short = Cell::new(40_usize);
    let archives_after_shorts = Cell::new(0_usize);
    let archives = join_all((0..8).map(async |number| {
        let prompt = format!("{number} {}", "a".repeat(ARCHIVE_BYTES));
        let status = send_request(&fleet, number, &prompt, 8).await;
        if pending_short.get() == 0 {
            archives_after_shorts.set(archives_after_shorts.get() + 1);
        }
        status
    }));
    let shorts = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
        join_all((0..40).map(async |number| {
            let prompt = format!("ticket {number}: a worn shirt");
            let status = send_request(&fleet, number, &prompt, 10).await;
            pending_short.set(pending_short.get() - 1);
            status
        }))
        .await
    };
    let (archives, shorts) = futures::join!(archives, shorts);
    println!("archives {archives:?}, after the last short one {}", archives_after_shorts.get());
    assert!(shorts.iter().all(|status| *status == 200), "{shorts:?}");
    assert!(archives.contains(&200), "{archives:?}");
    assert!(archives_after_shorts.get() >= 4, "the short requests were served before the archives");
    for index in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(index).await.unwrap();
        assert_eq!(stats["over_committed"], 0);
        assert!(stats["crashes"].as_array().unwrap().is_empty());
    }
}

#[actix_rt::test]
async fn prompt_larger_than_any_engine_is_refused_immediately() {
    let fleet = FleetHarness::start(settings()).await.unwrap();
    let prompt = "a".repeat(3 * ARCHIVE_BYTES);
    assert_eq!(send_request(&fleet, 0, &prompt, 8).await, 413);
    for index in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(index).await.unwrap();
        assert!(stats["executions"].as_object().unwrap().is_empty());
    }
}
