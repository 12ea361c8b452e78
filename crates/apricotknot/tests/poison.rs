//! A request that crashes every engine that runs it, sent repeatedly through all nodes.

use apricotknot_standin::engine::verify_answer;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;

const MODEL: &str = "standin";

const CHAT: &str = "/v1/chat/completions";

/// Number of engines at the start; an engine that crashed is not restarted.
const ENGINE_COUNT: usize = 5;

/// Most engines that one request may crash in the whole fleet.
const MAX_CRASHES: usize = 2;

/// Number of times that the caller sends the request.
const SEND_COUNT: usize = 50;

fn engine() -> EnginePlan {
    EnginePlan::default().option("--step-ms", 1)
}

/// Returns the indexes of the engines that still answer.
async fn live_engines(fleet: &FleetHarness) -> Vec<usize> {
    let mut alive = Vec::new();
    for index in 0..ENGINE_COUNT {
        if fleet.engine_stats(index).await.is_ok() {
            alive.push(index);
        }
    }
    alive
}

#[actix_rt::test]
async fn poison_request_crashes_at_most_two_engines_through_all_nodes() {
    let mut settings = FleetSettings::default().nodes(3);
    for _ in 0..ENGINE_COUNT {
        settings = settings.engine(engine());
    }
    let fleet = FleetHarness::start(settings).await.unwrap();
    let account = FleetHarness::account_headers();
    let body = chat_body(MODEL, "[[poison]] a crashing prompt", 8, false);
    let mut quarantined = 0;
    for number in 0..SEND_COUNT {
        let node = fleet.nodes[number % fleet.nodes.len()].callers;
        let answer = fleet.client.post(node, CHAT, &account, &body).await.unwrap();
        assert_ne!(answer.status, 200, "a crashing request cannot be answered");
        if answer.json()["error"]["code"] == "quarantined" {
            assert_eq!(answer.json()["error"]["executed"], "no");
            quarantined += 1;
        }
    }
    let alive = live_engines(&fleet).await;
    println!(
        "sends {SEND_COUNT}, engines crashed {}, quarantined {quarantined}",
        ENGINE_COUNT - alive.len()
    );
    assert!(ENGINE_COUNT - alive.len() <= MAX_CRASHES, "alive: {alive:?}");
    assert!(quarantined > 0);
    for number in 0..10 {
        let node = fleet.nodes[number % fleet.nodes.len()].callers;
        let prompt = format!("an innocent question {number}");
        let body = chat_body(MODEL, &prompt, 8, false);
        let answer = fleet.client.post(node, CHAT, &account, &body).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.json());
        assert_eq!(verify_answer(MODEL, &prompt, &answer.completion_text(), 8), Ok(()));
    }
}
