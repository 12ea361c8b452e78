//! Callers that disconnect, engines that crash during an answer, and refusals after a crash.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use apricotknot_standin::engine::verify_answer;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;
use apricotknot_standin::fleet::eventually;

const MODEL: &str = "standin";

const CHAT: &str = "/v1/chat/completions";

/// Returns an engine that keeps the memory of an attempt whose reader has disconnected.
///
/// Only a request to cancel frees it within the test.
fn engine_keeping_detached_attempts() -> EnginePlan {
    EnginePlan::default().option("--step-ms", 1).option("--detach-ms", 3_600_000)
}

/// Returns the tokens of memory in use on all engines that can be reached.
async fn memory_used(fleet: &FleetHarness) -> u64 {
    let mut used = 0;
    for index in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(index).await.unwrap_or_default();
        used += stats["load"]["memory_used"].as_u64().unwrap_or(0);
    }
    used
}

#[actix_rt::test]
async fn disconnected_caller_frees_engine_memory() {
    let settings = FleetSettings::default().engine(engine_keeping_detached_attempts());
    let fleet = FleetHarness::start(settings).await.unwrap();
    let account = FleetHarness::account_headers();
    let node = fleet.nodes[0].callers;
    let body = chat_body(MODEL, "[[stall:3]] an archive", 500, true);
    for _ in 0..5 {
        let stream = fleet.client.stream(node, CHAT, &account, &body).await.unwrap();
        let mut stream = stream.unwrap_or_else(|refusal| panic!("{}", refusal.json()));
        stream.read_chunks(3).await.unwrap();
        assert!(memory_used(&fleet).await > 0);
        drop(stream);
        assert!(eventually(async || memory_used(&fleet).await == 0).await);
    }
    let stats = fleet.engine_stats(0).await.unwrap();
    assert_eq!(stats["cancelled"], 5);
}

/// Sends 100 requests through all nodes, of which the survivor must answer at least ten.
///
/// The survivor must have executed exactly the answered ones, so that each refusal is correct.
async fn assert_served_by_survivor(fleet: &FleetHarness, survivor: usize) {
    let before = fleet.engine_stats(survivor).await.unwrap()["finished"].as_u64().unwrap();
    let account = FleetHarness::account_headers();
    let mut answered = 0;
    for number in 0..100 {
        let node = fleet.nodes[number % fleet.nodes.len()].callers;
        let prompt = format!("after the fall {number}");
        let body = chat_body(MODEL, &prompt, 8, false);
        let answer = fleet.client.post(node, CHAT, &account, &body).await.unwrap();
        if answer.status == 200 {
            assert_eq!(verify_answer(MODEL, &prompt, &answer.completion_text(), 8), Ok(()));
            answered += 1;
        } else {
            assert_eq!(answer.header("x-executed"), Some("no"), "{}", answer.json());
        }
    }
    println!("{answered} of 100 answered while one of two engines was down");
    assert!(answered >= 10, "{answered}");
    let stats = fleet.engine_stats(survivor).await.unwrap();
    assert_eq!(stats["executions"].as_object().unwrap().len() as u64, before + answered);
    assert_eq!(stats["finished"], before + answered);
}

#[actix_rt::test]
async fn stream_of_a_killed_engine_is_never_reported_complete_and_other_engines_serve() {
    let settings = FleetSettings::default()
        .nodes(2)
        .engine(engine_keeping_detached_attempts())
        .engine(engine_keeping_detached_attempts());
    let mut fleet = FleetHarness::start(settings).await.unwrap();
    let account = FleetHarness::account_headers();
    let node = fleet.nodes[0].callers;
    let body = chat_body(MODEL, "[[stall:3]] a survey letter", 500, true);
    let stream = fleet.client.stream(node, CHAT, &account, &body).await.unwrap();
    let mut stream = stream.unwrap_or_else(|refusal| panic!("{}", refusal.json()));
    stream.read_chunks(3).await.unwrap();
    let mut victim = 0;
    for index in 0..2 {
        let stats = fleet.engine_stats(index).await.unwrap();
        if stats["load"]["memory_used"] != 0 {
            victim = index;
        }
    }
    fleet.engines[victim].process.kill();
    match stream.finish().await {
        Ok(total) => {
            assert!(!total.done && total.finish_reason.is_none(), "{total:?}");
            assert!(total.error.is_some(), "{total:?}");
        },
        Err(error) => assert!(error.to_string().contains("broke off"), "{error}"),
    }
    assert_served_by_survivor(&fleet, 1 - victim).await;
    fleet.restart_engine(victim).unwrap();
    let client = fleet.client.clone();
    let serves_again = eventually(async || {
        for number in 0..20 {
            let body = chat_body(MODEL, &format!("warm up {number}"), 4, false);
            let _ = client.post(node, CHAT, &account, &body).await;
        }
        let stats = fleet.engine_stats(victim).await.unwrap_or_default();
        stats["finished"].as_u64().unwrap_or(0) > 0
    })
    .await;
    assert!(serves_again, "the restarted engine gets requests again");
}
