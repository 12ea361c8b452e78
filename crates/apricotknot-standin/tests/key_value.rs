//! Tests of the stand-in key-value service: compare-and-swap, leases, watches and faults.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use apricotknot_standin::key_value::KeyValueServer;
use awc::Client;
use awc::error::SendRequestError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt;
use serde_json::Value;
use serde_json::json;

fn start() -> KeyValueServer {
    KeyValueServer::start(([127, 0, 0, 1], 0).into()).unwrap()
}

async fn try_call(
    store: &KeyValueServer,
    path: &str,
    body: Value,
) -> Result<Value, SendRequestError> {
    let uri = format!("http://{}{path}", store.address());
    let mut response = Client::default().post(uri).send_json(&body).await?;
    Ok(response.json().limit(1 << 22).await.unwrap())
}

async fn call(store: &KeyValueServer, path: &str, body: Value) -> Value {
    try_call(store, path, body).await.unwrap()
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

fn swap(key: &str, revision: u64, value: &str) -> Value {
    json!({
        "compare": [{"target": "MOD", "key": encode(key), "mod_revision": revision.to_string()}],
        "success": [{"request_put": {"key": encode(key), "value": encode(value)}}],
        "failure": [{"request_range": {"key": encode(key)}}],
    })
}

#[actix_rt::test]
async fn only_one_of_two_swaps_wins() {
    let store = start();
    let first = call(&store, "/v3/kv/txn", swap("k", 0, "one")).await;
    assert_eq!(first["succeeded"], true);
    let second = call(&store, "/v3/kv/txn", swap("k", 0, "two")).await;
    assert!(second["succeeded"].is_null());
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], encode("one"));
    assert_eq!(found["mod_revision"], "1");
}

#[actix_rt::test]
async fn expired_lease_deletes_its_keys() {
    let store = start();
    let lease = call(&store, "/v3/lease/grant", json!({"TTL": "1"})).await["ID"].clone();
    let put = json!({"key": encode("k"), "value": encode("v"), "lease": lease});
    call(&store, "/v3/kv/put", put).await;
    let kept = call(&store, "/v3/lease/keepalive", json!({"ID": lease})).await;
    assert_eq!(kept["result"]["TTL"], "1");
    let mut is_deleted = false;
    for _ in 0..100 {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let found = call(&store, "/v3/kv/range", json!({"key": encode("k")})).await;
        is_deleted = found["kvs"].is_null();
        if is_deleted {
            break;
        }
    }
    assert!(is_deleted);
}

#[actix_rt::test]
async fn write_whose_answer_is_lost_takes_effect() {
    let store = start();
    call(&store, "/standin/fault", json!({"mode": "lose_answers", "count": 1})).await;
    assert!(try_call(&store, "/v3/kv/txn", swap("k", 0, "one")).await.is_err());
    let found = call(&store, "/v3/kv/range", json!({"key": encode("k")})).await;
    assert_eq!(found["kvs"][0]["value"], encode("one"));
}

#[actix_rt::test]
async fn unreachable_store_applies_no_write() {
    let store = start();
    call(&store, "/standin/fault", json!({"mode": "down"})).await;
    assert!(try_call(&store, "/v3/kv/txn", swap("k", 0, "one")).await.is_err());
    call(&store, "/standin/fault", json!({"mode": "none"})).await;
    let found = call(&store, "/v3/kv/range", json!({"key": encode("k")})).await;
    assert!(found["kvs"].is_null());
}

#[actix_rt::test]
async fn value_over_a_megabyte_is_refused() {
    let store = start();
    let put = json!({"key": encode("k"), "value": STANDARD.encode(vec![0; (1 << 20) + 1])});
    let answer = call(&store, "/v3/kv/put", put).await;
    assert_eq!(answer["code"], 3);
}

#[actix_rt::test]
async fn watch_sends_past_and_new_changes() {
    let store = start();
    call(&store, "/v3/kv/txn", swap("p/a", 0, "one")).await;
    let uri = format!("http://{}/v3/watch", store.address());
    let watch = json!({"create_request": {
        "key": encode("p/"), "range_end": encode("p0"), "start_revision": "1"}});
    let mut response = Client::default().post(uri).send_json(&watch).await.unwrap();
    let mut text = String::new();
    while !text.contains("mod_revision\":\"1\"") {
        text += std::str::from_utf8(&response.next().await.unwrap().unwrap()).unwrap();
    }
    call(&store, "/v3/kv/deleterange", json!({"key": encode("p/a")})).await;
    while !text.contains("DELETE") {
        text += std::str::from_utf8(&response.next().await.unwrap().unwrap()).unwrap();
    }
}
