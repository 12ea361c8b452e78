//! Serving through all layers with real processes: nodes, a store, engines and a plain service.

use std::collections::BTreeSet;

use actix_http::Method;
use apricotknot_standin::engine::verify_answer;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::chat_body;
use serde_json::json;

const MODEL: &str = "standin";

const CHAT: &str = "/v1/chat/completions";

fn settings() -> FleetSettings {
    let plan = EnginePlan::default().option("--step-ms", 1);
    FleetSettings::default()
        .nodes(3)
        .engine(plan.clone())
        .engine(plan.clone().data_centre("dc-2"))
        .engine(plan.data_centre("dc-3"))
        .plain_services(1)
}

/// Guards against nodes that mix up answers, repeat executions or over-commit engine memory.
#[actix_rt::test]
async fn each_node_serves_streamed_and_whole_answers() {
    let fleet = FleetHarness::start(settings()).await.unwrap();
    let account = FleetHarness::account_headers();
    let mut requests = BTreeSet::new();
    for (number, node) in fleet.nodes.iter().enumerate() {
        let prompt = format!("turn the collar of shirt {number}");
        let body = chat_body(MODEL, &prompt, 20, false);
        let answer = fleet.client.post(node.callers, CHAT, &account, &body).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.json());
        assert_eq!(verify_answer(MODEL, &prompt, &answer.completion_text(), 20), Ok(()));
        assert_eq!(answer.json()["usage"]["completion_tokens"], 20);
        requests.insert(answer.header("x-request-id").unwrap().to_owned());

        let body = chat_body(MODEL, &prompt, 50, true);
        let stream = fleet.client.stream(node.callers, CHAT, &account, &body).await.unwrap();
        let stream = stream.unwrap_or_else(|refusal| panic!("{}", refusal.json()));
        requests.insert(stream.header("x-request-id").unwrap().to_owned());
        let total = stream.finish().await.unwrap();
        assert!(total.done);
        assert_eq!(total.finish_reason.as_deref(), Some("length"));
        assert_eq!(verify_answer(MODEL, &prompt, &total.text, 50), Ok(()));
    }
    assert_eq!(requests.len(), 2 * fleet.nodes.len());
    let mut executions = 0;
    for index in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(index).await.unwrap();
        assert_eq!(stats["over_committed"], 0);
        executions += stats["executions"].as_object().unwrap().len();
        assert!(stats["executions"].as_object().unwrap().values().all(|count| count == 1));
    }
    assert_eq!(executions, 2 * fleet.nodes.len());
}

#[actix_rt::test]
async fn text_completions_and_the_model_list_are_served() {
    let fleet = FleetHarness::start(settings().nodes(1)).await.unwrap();
    let account = FleetHarness::account_headers();
    let node = fleet.nodes[0].callers;
    let body = json!({"model": MODEL, "prompt": "cast a plaque", "max_tokens": 9});
    let answer = fleet.client.post(node, "/v1/completions", &account, &body).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.json());
    assert_eq!(verify_answer(MODEL, "cast a plaque", &answer.completion_text(), 9), Ok(()));
    let models = fleet.client.call(Method::GET, node, "/v1/models", &account, "").await.unwrap();
    assert_eq!(models.json()["data"][0]["id"], MODEL);
}

#[actix_rt::test]
async fn each_node_routes_to_the_plain_service() {
    let fleet = FleetHarness::start(settings()).await.unwrap();
    let account = FleetHarness::account_headers();
    for (number, node) in fleet.nodes.iter().enumerate() {
        let path = format!("/booking/slots/{number}?day=monday");
        let body = format!("shirt {number}");
        let answer = fleet.client.call(Method::PUT, node.callers, &path, &account, body.clone());
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.json());
        assert_eq!(answer.json()["method"], "PUT");
        assert_eq!(answer.json()["query"], "day=monday");
        assert_eq!(answer.json()["body"], body);
    }
    let executions = fleet.client.get(fleet.plain[0].address, "/standin/executions").await.unwrap();
    assert_eq!(executions.json()["executed"], fleet.nodes.len());
    let refused = fleet.client.get(fleet.nodes[0].callers, "/booking/slots/9").await.unwrap();
    assert_eq!(refused.status, 401);
}

#[actix_rt::test]
async fn a_hundred_concurrent_callers_each_get_their_own_answer() {
    let fleet = FleetHarness::start(settings()).await.unwrap();
    let account = FleetHarness::account_headers();
    let calls = (0..100).map(|number| {
        let node = fleet.nodes[number % fleet.nodes.len()].callers;
        let client = fleet.client.clone();
        async move {
            let prompt = format!("ticket {number}: a worn cuff");
            let tokens = 5 + number % 40;
            let body = chat_body(MODEL, &prompt, tokens as u64, true);
            let stream = client.stream(node, CHAT, &account, &body).await.unwrap();
            let stream = stream.unwrap_or_else(|refusal| panic!("{}", refusal.json()));
            let total = stream.finish().await.unwrap();
            assert!(total.done);
            assert_eq!(verify_answer(MODEL, &prompt, &total.text, tokens), Ok(()));
        }
    });
    futures::future::join_all(calls).await;
    for index in 0..fleet.engines.len() {
        let stats = fleet.engine_stats(index).await.unwrap();
        assert_eq!(stats["crashes"], json!([]));
        assert_eq!(stats["over_committed"], 0);
    }
}
