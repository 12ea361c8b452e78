//! Tests of the stand-in engine: answers, limits, crashes, cancellation and resumption.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use apricotknot_standin::engine::AnswerError;
use apricotknot_standin::engine::EngineServer;
use apricotknot_standin::engine::EngineSettings;
use apricotknot_standin::engine::verify_answer;
use awc::Client;
use awc::error::SendRequestError;
use serde_json::Value;
use serde_json::json;

const MODEL: &str = "standin";

fn fast() -> EngineSettings {
    EngineSettings::default().step_interval(Duration::from_millis(1))
}

async fn complete(
    engine: &EngineServer,
    attempt: &str,
    body: Value,
) -> Result<(u16, Value), SendRequestError> {
    let uri = format!("http://{}/v1/completions", engine.address());
    let request = Client::default().post(uri).insert_header(("x-attempt-id", attempt));
    let mut response = request.send_json(&body).await?;
    let status = response.status().as_u16();
    Ok((status, response.json().await.unwrap_or(Value::Null)))
}

async fn get(engine: &EngineServer, path: &str) -> Value {
    let uri = format!("http://{}{path}", engine.address());
    Client::default().get(uri).send().await.unwrap().json().await.unwrap()
}

/// Returns the engine's boot id; `None` while the engine does not answer.
async fn boot_of(engine: &EngineServer) -> Option<Value> {
    let uri = format!("http://{}/engine/load", engine.address());
    let mut response = Client::default().get(uri).send().await.ok()?;
    let load: Value = response.json().await.ok()?;
    Some(load["boot_id"].clone())
}

async fn post(engine: &EngineServer, path: &str, body: Value) -> Value {
    let uri = format!("http://{}{path}", engine.address());
    Client::default().post(uri).send_json(&body).await.unwrap().json().await.unwrap()
}

#[actix_rt::test]
async fn whole_answer_can_be_verified() {
    let engine = EngineServer::start(fast()).unwrap();
    let body = json!({"model": MODEL, "prompt": "a collar", "max_tokens": 7});
    let (status, answer) = complete(&engine, "a1", body).await.unwrap();
    assert_eq!(status, 200);
    let text = answer["choices"][0]["text"].as_str().unwrap();
    assert_eq!(verify_answer(MODEL, "a collar", text, 7), Ok(()));
    assert!(matches!(
        verify_answer(MODEL, "a cuff", text, 7),
        Err(AnswerError::Content { position: 0, .. })
    ));
    let cut = text.rsplit_once(' ').unwrap().0;
    assert_eq!(
        verify_answer(MODEL, "a collar", cut, 7),
        Err(AnswerError::Length { given: 6, expected: 7 })
    );
}

#[actix_rt::test]
async fn splice_of_two_generations_is_detected() {
    let engine = EngineServer::start(fast()).unwrap();
    let body = json!({"model": MODEL, "prompt": "a collar", "max_tokens": 4});
    let (_, first) = complete(&engine, "a1", body.clone()).await.unwrap();
    let (_, second) = complete(&engine, "a2", body).await.unwrap();
    let first = first["choices"][0]["text"].as_str().unwrap();
    let second = second["choices"][0]["text"].as_str().unwrap();
    let spliced = format!("{}{}", &first[..34], &second[34..]);
    assert_eq!(
        verify_answer(MODEL, "a collar", &spliced, 4),
        Err(AnswerError::Spliced { position: 2 })
    );
}

#[actix_rt::test]
async fn exceeding_memory_crashes_and_restarts_with_new_boot_id() {
    let settings = fast().memory_tokens(100_u64).restart_delay(Duration::from_millis(20));
    let engine = EngineServer::start(settings).unwrap();
    let before = get(&engine, "/standin/stats").await;
    let body = json!({"model": MODEL, "prompt": "x".repeat(404), "max_tokens": 4});
    assert!(complete(&engine, "a1", body).await.is_err());
    // The engine may answer with the old boot id for a moment, so the test waits for a new one.
    let old_boot = &before["load"]["boot_id"];
    while boot_of(&engine).await.is_none_or(|boot| boot == *old_boot) {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let after = get(&engine, "/standin/stats").await;
    assert_eq!(after["crashes"], json!(["memory"]));
    assert_ne!(before["load"]["boot_id"], after["load"]["boot_id"]);
    assert_eq!(after["load"]["memory_used"], 0);
}

#[actix_rt::test]
async fn cold_engine_crashes_above_its_cold_limit() {
    let settings = fast().cold_period(Duration::from_secs(60)).cold_concurrent(1);
    let engine = EngineServer::start(settings).unwrap();
    let body = json!({"model": MODEL, "prompt": "[[stall:1]]", "max_tokens": 9});
    let both = futures::join!(
        complete(&engine, "a1", body.clone()),
        complete(&engine, "a2", body.clone())
    );
    assert!(both.0.is_err() && both.1.is_err());
}

#[actix_rt::test]
async fn cancel_frees_memory_and_resume_continues_the_same_generation() {
    let settings = fast().detach_grace(Duration::from_secs(600));
    let engine = EngineServer::start(settings).unwrap();
    let uri = format!("http://{}/v1/completions", engine.address());
    let body = json!({"model": MODEL, "prompt": "[[stall:3]]", "max_tokens": 9, "stream": true});
    let request = Client::default().post(uri).insert_header(("x-attempt-id", "a1"));
    let response = request.send_json(&body).await.unwrap();
    drop(response);
    let uri = format!("http://{}/engine/resume?attempt_id=a1&from=1", engine.address());
    let resumed = Client::default().get(uri).send().await.unwrap();
    assert_eq!(resumed.status(), 200);
    let state = post(&engine, "/engine/cancel", json!({"attempt_id": "a1"})).await;
    assert_eq!(state["state"], "cancelled");
    let stats = get(&engine, "/standin/stats").await;
    assert_eq!(stats["load"]["memory_used"], 0);
    assert_eq!(stats["executions"]["a1"], 1);
    let state = post(&engine, "/engine/cancel", json!({"attempt_id": "zz"})).await;
    assert_eq!(state["state"], "unknown");
}

#[actix_rt::test]
async fn old_fencing_number_is_refused() {
    let engine = EngineServer::start(fast()).unwrap();
    let order = |id: &str, number: u64| json!({"order_id": id, "fencing_number": number});
    post(&engine, "/engine/orders", order("one", 5)).await;
    let refused = post(&engine, "/engine/orders", order("two", 4)).await;
    assert_eq!(refused["error"]["code"], 412);
    let repeated = post(&engine, "/engine/orders", order("one", 5)).await;
    assert_eq!(repeated["repeated"], true);
}
