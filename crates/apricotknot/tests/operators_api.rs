//! The operators' interface, from the path of a request to its answer.

#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::System;
use apricotknot::operators::ApiAnswer;
use apricotknot::operators::ApiRequest;
use apricotknot::operators::FleetView;
use apricotknot::operators::OperatorsApi;
use apricotknot::operators::TokenDigests;
use apricotknot_core::objectives::BurnSnapshot;
use apricotknot_core::operators::ApiErrorCode;
use apricotknot_core::operators::ErrorAnswer;
use apricotknot_core::operators::ListAnswer;
use apricotknot_core::operators::RequestExplanation;
use apricotknot_core::operators::StatusAnswer;
use apricotknot_core::operators::StoreStatus;
use apricotknot_core::operators::WriteAnswer;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::ExecutionCertainty;
use awc::http::Method;
use serde::de::DeserializeOwned;
use sha2::Digest;
use sha2::Sha256;

use support::fake_store::FakeStore;

mod support;

/// A fleet view with a fixed snapshot, which records announced duties.
///
/// Announcements succeed only if `has_peers` is set.
#[derive(Clone, Default)]
struct FakeFleet {
    snapshot: Arc<ResourceSnapshot>,
    has_peers: bool,
    announced: Rc<RefCell<Vec<(ResourceKey, DutyState)>>>,
}

impl FleetView for FakeFleet {
    fn snapshot(&self) -> Arc<ResourceSnapshot> {
        self.snapshot.clone()
    }

    async fn announce_duty(&self, key: &ResourceKey, duty: DutyState) -> bool {
        self.announced.borrow_mut().push((key.clone(), duty));
        self.has_peers
    }

    fn announced_duty(&self, key: &ResourceKey) -> Option<DutyState> {
        let announced = self.announced.borrow();
        announced.iter().rev().find(|(subject, _)| subject == key).map(|(_, duty)| *duty)
    }

    fn changes_after(&self, base: u64) -> UpdateBatch {
        UpdateBatch::incremental(base, base, Vec::new())
    }

    async fn wait_newer_than(&self, _revision: u64) {
        std::future::pending().await
    }

    async fn status(&self) -> StatusAnswer {
        StatusAnswer {
            revision: 0,
            nodes: Vec::new(),
            unreadable: Vec::new(),
            dangling: Vec::new(),
            store: StoreStatus::default(),
        }
    }

    async fn burn(&self) -> BurnSnapshot {
        BurnSnapshot { node: "n1".into(), uptime_ms: 1, series: Vec::new() }
    }

    async fn explain(&self, _request: &str) -> Option<RequestExplanation> {
        None
    }
}

type Api = OperatorsApi<Rc<FakeStore>, FakeFleet>;

fn api() -> Api {
    api_of(Rc::default(), FakeFleet::default())
}

fn api_of(store: Rc<FakeStore>, fleet: FakeFleet) -> Api {
    let digest = hex::encode(Sha256::digest(b"secret"));
    let tokens = TokenDigests::new([Arc::from(digest.as_str())]);
    OperatorsApi::new(store, fleet, tokens)
}

fn send(api: &Api, method: Method, path: &str, body: &str) -> ApiAnswer {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let request = ApiRequest::new(method, path)
        .query(query)
        .authorization(Some(Arc::from("Bearer secret")))
        .body(body.to_owned());
    System::new().block_on(api.handle(request))
}

fn read<T: DeserializeOwned>(answer: &ApiAnswer) -> T {
    serde_json::from_slice(&answer.body).unwrap()
}

fn put(api: &Api, path: &str, body: &str) -> WriteAnswer {
    let answer = send(api, Method::PUT, path, body);
    assert!(answer.status.is_success(), "{:?}", answer.body);
    read(&answer)
}

const DATA_CENTRE: &str =
    r#"{"kind": "data-centre", "name": "north-1", "spec": {"region": "north"}}"#;
const SERVICE: &str = r#"{"kind": "service", "name": "assistant",
    "spec": {"mode": {"model": {"max_context_tokens": 1000}}}}"#;
const ENDPOINT: &str = r#"{"kind": "endpoint", "name": "e1", "spec": {"service": "assistant",
    "data_centre": "north-1", "address": "127.0.0.1:1", "memory_tokens": 10,
    "cold_memory_tokens": 1}}"#;

#[test]
fn only_a_known_token_is_accepted() {
    let api = api();
    for authorization in [None, Some("Bearer wrong"), Some("secret"), Some("Bearer ")] {
        let request = ApiRequest::new(Method::GET, "/api/v1/account")
            .authorization(authorization.map(Arc::from));
        let answer = System::new().block_on(api.handle(request));
        assert_eq!(answer.status, 401, "{authorization:?}");
    }
    assert_eq!(send(&api, Method::GET, "/api/v1/account", "").status, 200);
    let without_tokens = Api::new(Rc::default(), FakeFleet::default(), TokenDigests::default());
    assert_eq!(send(&without_tokens, Method::GET, "/api/v1/account", "").status, 401);
}

#[test]
fn a_conflict_shows_both_versions() {
    let api = api();
    let first = put(&api, "/api/v1/data-centre/north-1", DATA_CENTRE);
    assert_eq!(first.record.generation, first.revision);
    let answer = send(&api, Method::PUT, "/api/v1/data-centre/north-1", DATA_CENTRE);
    assert_eq!(answer.status, 409);
    let error = read::<ErrorAnswer>(&answer).error;
    assert_eq!(error.code, ApiErrorCode::Conflict);
    assert_eq!(error.executed, ExecutionCertainty::No);
    assert_eq!(error.given.unwrap().generation, 0);
    assert_eq!(*error.current.unwrap(), first.record);
}

#[test]
fn references_are_checked_against_what_is_stored() {
    let api = api();
    let answer = send(&api, Method::PUT, "/api/v1/endpoint/e1", ENDPOINT);
    assert_eq!(answer.status, 400);
    assert_eq!(read::<ErrorAnswer>(&answer).error.faults.len(), 2);
    put(&api, "/api/v1/data-centre/north-1", DATA_CENTRE);
    put(&api, "/api/v1/service/assistant", SERVICE);
    put(&api, "/api/v1/endpoint/e1", ENDPOINT);
    let answer = send(&api, Method::DELETE, "/api/v1/service/assistant", "");
    assert_eq!(read::<ErrorAnswer>(&answer).error.code, ApiErrorCode::InUse);
    assert_eq!(send(&api, Method::DELETE, "/api/v1/endpoint/e1", "").status, 200);
    assert_eq!(send(&api, Method::DELETE, "/api/v1/service/assistant", "").status, 200);
    let answer = send(&api, Method::GET, "/api/v1/service?consistent=true", "");
    assert!(read::<ListAnswer>(&answer).items.is_empty());
}

#[test]
fn a_drain_is_repeatable_and_keeps_the_rest_of_the_record() {
    let api = api();
    put(&api, "/api/v1/data-centre/north-1", DATA_CENTRE);
    for (step, changed) in [("drain", true), ("drain", false), ("undrain", true)] {
        let path = format!("/api/v1/data-centre/north-1/{step}");
        let answer: WriteAnswer = read(&send(&api, Method::POST, &path, ""));
        assert_eq!(answer.changed, changed, "{step}");
    }
    let answer = send(&api, Method::GET, "/api/v1/data-centre/north-1?consistent=true", "");
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    assert!(text.contains(r#""region":"north","duty":"in""#), "{text}");
    let answer = send(&api, Method::POST, "/api/v1/account/a/drain", "");
    assert_eq!(answer.status, 400);
}

#[test]
fn a_drain_during_an_outage_is_announced_and_later_replaced_by_the_stored_duty() {
    let record = ResourceRecord::from_json(DATA_CENTRE.as_bytes()).unwrap();
    let mut table = ResourceTable::new();
    table.apply(&UpdateBatch::complete(1, vec![ResourceUpdate::present(record, 1)])).unwrap();
    let fleet = FakeFleet { snapshot: table.snapshot(), has_peers: true, ..FakeFleet::default() };
    let store = Rc::new(FakeStore::default());
    let api = api_of(store.clone(), fleet.clone());
    put(&api, "/api/v1/data-centre/north-1", DATA_CENTRE);
    store.set_down(true);
    let answer = send(&api, Method::POST, "/api/v1/data-centre/north-1/undrain", "");
    assert_eq!(answer.status, 503, "only a drain is possible without the store");
    let answer = send(&api, Method::POST, "/api/v1/data-centre/north-1/drain", "");
    assert_eq!(answer.status, 202);
    let drained: WriteAnswer = read(&answer);
    assert!(!drained.durable && drained.warnings[0].contains("not stored"));
    store.set_down(false);
    let answer = send(&api, Method::POST, "/api/v1/data-centre/north-1/undrain", "");
    assert!(read::<WriteAnswer>(&answer).durable);
    let duties: Vec<_> = fleet.announced.borrow().iter().map(|(_, duty)| *duty).collect();
    assert_eq!(duties, [DutyState::Out, DutyState::In]);
    let without_peers = api_of(store.clone(), FakeFleet::default());
    store.set_down(true);
    let answer = send(&without_peers, Method::POST, "/api/v1/data-centre/north-1/drain", "");
    assert_eq!(answer.status, 503);
}

#[test]
fn unknown_paths_and_methods_get_explanatory_errors() {
    let api = api();
    for (method, path, status, part) in [
        (Method::GET, "/api/v1/acount", 404, "did you mean `account`?"),
        (Method::PATCH, "/api/v1/account/a", 405, "use GET, PUT or DELETE"),
        (Method::GET, "/api/v2", 404, "the paths are /api/v1/KIND"),
        (Method::GET, "/api/v1/watch?after=x", 400, "give a whole number"),
        (Method::GET, "/api/v1/explain/r1", 404, "does not know request r1"),
    ] {
        let answer = send(&api, method, path, "");
        assert_eq!(answer.status, status, "{path}");
        let message = read::<ErrorAnswer>(&answer).error.message;
        assert!(message.contains(part), "{message}");
    }
    let answer = send(&api, Method::GET, "/api/v1/watch?after=0&timeout_ms=1", "");
    assert_eq!(read::<UpdateBatch>(&answer).updates.len(), 0);
}
