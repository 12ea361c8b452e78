//! The client of the key-value service against the stand-in server and against canned answers.

#![allow(clippy::unwrap_used)]

#[allow(clippy::expect_used, dead_code, reason = "shared with other tests")]
#[path = "support/fault_proxy.rs"]
mod fault_proxy;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::System;
use apricotknot::store::BudgetedStore;
use apricotknot::store::CallBudget;
use apricotknot::store::CallLimits;
use apricotknot::store::EtcdStore;
use apricotknot::store::FeedEvent;
use apricotknot::store::FeedTiming;
use apricotknot::store::KeyValueStore;
use apricotknot::store::ResourceFeed;
use apricotknot::store::StoreErrorKind;
use apricotknot::store::SwapOutcome;
use apricotknot::store::SwapRequest;
use apricotknot::store::WatchEvent;
use apricotknot::store::WriteCertainty;
use apricotknot_core::resources::ResourceTable;
use apricotknot_standin::key_value::KeyValueServer;
use awc::Client;
use futures::StreamExt;
use serde_json::json;
use tokio::sync::mpsc;

use fault_proxy::FaultProxy;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const ACCOUNT: &[u8] = br#"{"kind": "account", "name": "clerks", "spec": {}}"#;
const ACCOUNT_KEY: &str = "/apricotknot/resources/account/clerks";

fn store_at(address: SocketAddr) -> EtcdStore {
    EtcdStore::new([address.to_string()]).timeout(Duration::from_secs(5))
}

async fn set_fault(address: SocketAddr, mode: &str, count: u64) {
    let fault = json!({"mode": mode, "count": count});
    let url = format!("http://{address}/standin/fault");
    assert!(Client::default().post(url).send_json(&fault).await.unwrap().status().is_success());
}

/// Answers one connection with the given lines of a watch, and keeps it open until the client
/// closes it.
fn canned_watch(lines: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let mut received = Vec::new();
        while !received.ends_with(b"}}") {
            let count = connection.read(&mut request).unwrap();
            received.extend_from_slice(&request[..count]);
        }
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked";
        write!(connection, "{head}\r\n\r\n{chunk}").unwrap();
        while connection.read(&mut request).is_ok_and(|count| count > 0) {}
    });
    address
}

#[test]
fn swaps_take_effect_only_on_the_expected_version() {
    let server = KeyValueServer::start(LOOPBACK).unwrap();
    let address = server.address();
    System::new().block_on(async {
        let store = store_at(address);
        let SwapOutcome::Written { revision } =
            store.swap(&SwapRequest::create("/k", "1")).await.unwrap()
        else {
            panic!("the creation of a new key must not conflict")
        };
        let conflict = store.swap(&SwapRequest::create("/k", "2")).await.unwrap();
        let entry = store.get("/k").await.unwrap().unwrap();
        assert_eq!((entry.mod_revision, &entry.value[..]), (revision, &b"1"[..]));
        assert_eq!(conflict, SwapOutcome::Conflict { current: Some(entry), revision });
        let replaced = store.swap(&SwapRequest::replace("/k", revision, "3")).await.unwrap();
        assert_eq!(replaced, SwapOutcome::Written { revision: revision + 1 });
        let deleted = store.swap(&SwapRequest::delete("/k", revision + 1)).await.unwrap();
        assert_eq!(deleted, SwapOutcome::Written { revision: revision + 2 });
        assert!(store.range("/").await.unwrap().entries.is_empty());
        let lease = store.grant_lease(Duration::from_secs(30)).await.unwrap();
        assert_eq!(store.renew_lease(lease).await.unwrap(), Duration::from_secs(30));
        store.revoke_lease(lease).await.unwrap();
        assert_eq!(store.renew_lease(lease).await.unwrap(), Duration::ZERO);
    });
}

#[test]
fn a_lost_answer_is_distinguished_from_a_write_that_was_never_sent() {
    let server = KeyValueServer::start(LOOPBACK).unwrap();
    let address = server.address();
    System::new().block_on(async {
        let store = store_at(address);
        set_fault(address, "lose_write_answers", 1).await;
        let lost = store.swap(&SwapRequest::create("/lost", "1")).await.unwrap_err();
        assert_eq!(lost.certainty(), WriteCertainty::Unknown, "{lost}");
        assert!(store.get("/lost").await.unwrap().is_some());
        let unused = TcpListener::bind(LOOPBACK).unwrap().local_addr().unwrap();
        let error = store_at(unused).swap(&SwapRequest::create("/k", "1")).await.unwrap_err();
        assert_eq!(error.kind(), StoreErrorKind::Unavailable);
        assert_eq!(error.certainty(), WriteCertainty::NotWritten, "{error}");
        let large = SwapRequest::create("/large", vec![0; 1_000_001]);
        assert_eq!(store.swap(&large).await.unwrap_err().kind(), StoreErrorKind::TooLarge);
        let both = EtcdStore::new([unused.to_string(), address.to_string()]);
        assert!(both.get("/lost").await.is_err());
        assert!(both.get("/lost").await.unwrap().is_some(), "the next address must be tried");
    });
}

// Guards against one timeout after the other on connections that went silent at the same time.
#[test]
fn a_call_after_a_timeout_uses_no_older_connection() {
    let server = KeyValueServer::start(LOOPBACK).unwrap();
    let proxy = FaultProxy::start(server.address());
    System::new().block_on(async {
        let store = store_at(proxy.address()).timeout(Duration::from_millis(1_500));
        proxy.set_delay(Duration::from_millis(50));
        let calls = (0..4).map(|_| store.get("/k"));
        for answer in futures::future::join_all(calls).await {
            assert!(answer.unwrap().is_none());
        }
        assert_eq!(proxy.accepted(), 4, "each of the calls has a connection");
        proxy.silence_open();
        assert_eq!(store.get("/k").await.unwrap_err().kind(), StoreErrorKind::TimedOut);
        assert!(store.get("/k").await.unwrap().is_none(), "a new connection works");
    });
}

#[test]
fn the_budget_refuses_before_anything_is_sent() {
    let server = KeyValueServer::start(LOOPBACK).unwrap();
    let address = server.address();
    System::new().block_on(async {
        let limits = CallLimits { calls_per_second: 0, burst_calls: 2, ..CallLimits::default() };
        let budget = Arc::new(CallBudget::new(limits));
        let store = BudgetedStore::new(store_at(address), budget.clone());
        store.get("/k").await.unwrap();
        store.get("/k").await.unwrap();
        let error = store.swap(&SwapRequest::create("/k", "1")).await.unwrap_err();
        assert_eq!(error.kind(), StoreErrorKind::BudgetSpent);
        assert_eq!(error.certainty(), WriteCertainty::NotWritten);
        assert_eq!((budget.calls().get(), budget.refused().get()), (2, 1));
        assert!(budget.status().reachable);
    });
}

#[test]
fn the_feed_loads_follows_and_recovers() {
    let server = KeyValueServer::start(LOOPBACK).unwrap();
    let address = server.address();
    System::new().block_on(async {
        let store = store_at(address);
        let mut expected = Vec::new();
        let (sender, mut events) = mpsc::channel(16);
        let limits = CallLimits {
            initial_backoff: Duration::from_millis(1),
            max_backoff: Duration::from_millis(20),
            ..CallLimits::default()
        };
        let timing = FeedTiming { limits, ..FeedTiming::default() };
        store.swap(&SwapRequest::create(ACCOUNT_KEY, ACCOUNT)).await.unwrap();
        actix_rt::spawn(ResourceFeed::new(store_at(address), timing, sender).run());
        let mut table = ResourceTable::new();
        for step in 0..3 {
            if step == 1 {
                set_fault(address, "down", 3).await;
            }
            let key = format!("/apricotknot/resources/account/a{step}");
            let value = format!(r#"{{"kind": "account", "name": "a{step}", "spec": {{}}}}"#);
            while store.swap(&SwapRequest::create(&*key, value.as_bytes())).await.is_err() {}
            expected.push(format!("account/a{step}"));
            while table.snapshot().len() < expected.len() + 1 {
                if let FeedEvent::Updated(batch) = events.recv().await.unwrap() {
                    table.apply(&batch).unwrap();
                }
            }
        }
        expected.push("account/clerks".to_owned());
        let names: Vec<_> = table.snapshot().iter().map(|(key, _)| key.to_string()).collect();
        assert_eq!(names, expected);
    });
}

/// While a watch catches up, the revision in an answer's header may be ahead of the events in it.
#[test]
fn a_watch_is_complete_only_through_the_last_event_it_delivered() {
    let address = canned_watch(concat!(
        r#"{"result":{"header":{"revision":"9"},"created":true}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"L2E=","mod_revision":"5"}}]}}"#,
        "\n",
        r#"{"result":{"header":{"revision":"12"}}}"#,
        r#"{"result":{"header":{"revision":"13"},"canceled":true,"compact_revision":"4"}}"#,
    ));
    System::new().block_on(async {
        let mut watch = store_at(address).watch("/", 3).await.unwrap();
        let first = watch.next().await.unwrap().unwrap();
        assert!(matches!(&first.events[..], [WatchEvent::Put(entry)] if &*entry.key == "/a"));
        assert_eq!(first.revision, 5);
        assert_eq!(watch.next().await.unwrap().unwrap().revision, 12);
        let end = watch.next().await.unwrap().unwrap_err();
        assert_eq!(end.kind(), StoreErrorKind::Compacted);
        assert!(watch.next().await.is_none());
    });
}

/// A store that was restored to an older revision sends no events until it reaches the start of the
/// watch, so the client must report the older revision instead of waiting.
#[test]
fn a_store_whose_revision_went_back_is_reported() {
    let address = canned_watch(r#"{"result":{"header":{"revision":"3"},"created":true}}"#);
    System::new().block_on(async {
        let mut watch = store_at(address).watch("/", 9).await.unwrap();
        let error = watch.next().await.unwrap().unwrap_err();
        assert_eq!(error.kind(), StoreErrorKind::Reverted, "{error}");
    });
    let server = KeyValueServer::start(LOOPBACK).unwrap();
    let address = server.address();
    System::new().block_on(async {
        let mut current = store_at(address).watch("/", 1).await.unwrap();
        store_at(address).swap(&SwapRequest::create("/k", "1")).await.unwrap();
        assert_eq!(current.next().await.unwrap().unwrap().events.len(), 1);
    });
}
