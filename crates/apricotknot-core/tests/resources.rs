//! Tests parsing, validation and reference checks of resources.

#![allow(clippy::unwrap_used)]

use apricotknot_core::admission::ShareSettings;
use apricotknot_core::resources::AdmissionSpec;
use apricotknot_core::resources::CapacityOutlook;
use apricotknot_core::resources::DataCentreSpec;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceChange;
use apricotknot_core::resources::ResourceErrorKind;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::ServiceMode;
use apricotknot_core::resources::ServiceObjective;
use apricotknot_core::resources::ServiceSpec;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::LengthClass;

const FLEET: &str = r#"{"items": [
    {"kind": "data-centre", "name": "north-1", "spec": {"region": "north"}},
    {"kind": "data-centre", "name": "north-2", "spec": {"region": "north"}},
    {"kind": "service", "name": "assistant",
     "spec": {"mode": {"model": {"max_context_tokens": 2000000}}}},
    {"kind": "service", "name": "booking", "spec": {"mode": {"plain": {"prefix": "/booking"}}}},
    {"kind": "endpoint", "name": "engine-1", "spec": {"service": "assistant",
     "data_centre": "north-1", "address": "127.0.0.1:1", "memory_tokens": 1000,
     "cold_memory_tokens": 10}},
    {"kind": "endpoint", "name": "engine-2", "spec": {"service": "assistant",
     "data_centre": "north-2", "address": "127.0.0.1:2", "memory_tokens": 1000,
     "cold_memory_tokens": 10}}
]}"#;

fn fleet() -> ResourceTable {
    let records = ResourceRecord::list_from_json(FLEET.as_bytes()).unwrap();
    let updates = records.into_iter().enumerate();
    let updates: Vec<_> =
        updates.map(|(index, record)| ResourceUpdate::present(record, index as u64 + 1)).collect();
    let mut table = ResourceTable::new();
    table.apply(&UpdateBatch::complete(100, updates)).unwrap();
    table
}

fn fault_of(text: &str) -> (ResourceErrorKind, String) {
    let error = match ResourceRecord::from_json(text.as_bytes()) {
        Err(error) => error,
        Ok(record) => record.validate().unwrap_err().remove(0),
    };
    (error.kind, error.to_string())
}

#[test]
fn faults_name_the_field_the_allowed_values_and_the_next_step() {
    let cases = [
        (
            r#"{"kind": "acount", "name": "clerks"}"#,
            ResourceErrorKind::UnknownKind,
            "kind: given \"acount\"; allowed: account, admission, data-centre, endpoint, service; \
             did you mean `account`?",
        ),
        (
            r#"{"kind": "account", "name": "clerks", "spec": {"wieght": 3}}"#,
            ResourceErrorKind::UnknownField,
            "spec.wieght: given 3; allowed: the fields key_digests, max_concurrent, \
             tokens_per_second, weight; did you mean `weight`?",
        ),
        (
            r#"{"kind": "account", "name": "clerks", "spec": {"weight": 0}}"#,
            ResourceErrorKind::OutOfRange,
            "spec.weight: given 0; allowed: 1 to 1000; choose a value within this range",
        ),
        (
            r#"{"kind": "account", "name": "no/slash"}"#,
            ResourceErrorKind::BadName,
            "name: given \"no/slash\"; allowed: 1 to 63 letters, digits, '-', '.' and '_', a \
             letter or digit first; change the name",
        ),
        (
            r#"{"kind": "account", "spec": {}}"#,
            ResourceErrorKind::MissingField,
            "name: given nothing; allowed: a text; add the field `name`",
        ),
        (
            r#"{"kind": "endpoint", "name": "e", "spec": {"service": "s", "data_centre": "d"}}"#,
            ResourceErrorKind::MissingField,
            "spec.address: given nothing; allowed: for example \"10.0.0.1:8000\"; add the field \
             `address`",
        ),
        (
            r#"{"kind": "service", "name": "s", "spec": {"mode": {"plain": {"prefix": "/v1/x"}}}}"#,
            ResourceErrorKind::BadValue,
            "spec.mode.plain.prefix: given /v1/x; allowed: a path outside /api, /healthz, \
             /metrics, /readyz, /v1; choose another prefix; the node itself serves /v1",
        ),
    ];
    for (text, kind, message) in cases {
        assert_eq!(fault_of(text), (kind, message.to_owned()), "{text}");
    }
    let mode = r#"{"model": {"max_context_tokens": "9"}}"#;
    let text = format!(r#"{{"kind": "service", "name": "s", "spec": {{"mode": {mode}}}}}"#);
    let (kind, message) = fault_of(&text);
    assert_eq!(kind, ResourceErrorKind::BadValue);
    assert!(message.starts_with("spec.mode: given {\"model\""), "{message}");
}

#[test]
fn a_stored_record_with_unknown_fields_is_parsed() {
    let text = r#"{"name": "a", "generation": 3, "kind": "account", "spec": {}, "writes": ["x"]}"#;
    let record: ResourceRecord = serde_json::from_str(text).unwrap();
    assert_eq!(record.generation, 3);
}

#[test]
fn missing_references_duplicates_and_removals_in_use_are_rejected() {
    let snapshot = fleet().snapshot();
    let text = r#"{"kind": "endpoint", "name": "e", "spec": {"service": "asistant",
        "data_centre": "north-1", "address": "127.0.0.1:9", "memory_tokens": 5}}"#;
    let record = ResourceRecord::from_json(text.as_bytes()).unwrap();
    let faults = snapshot.check_references(&record).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].kind, ResourceErrorKind::UnknownReference);
    assert_eq!(&*faults[0].next_step, "did you mean `assistant`?");
    let text = r#"{"kind": "service", "name": "b2",
        "spec": {"mode": {"plain": {"prefix": "/booking/x"}}}}"#;
    let record = ResourceRecord::from_json(text.as_bytes()).unwrap();
    let faults = snapshot.check_references(&record).unwrap_err();
    assert_eq!(faults[0].kind, ResourceErrorKind::Duplicate);
    let used = ResourceKey::new(ResourceKind::Service, "assistant");
    assert_eq!(snapshot.check_removal(&used).unwrap_err().kind, ResourceErrorKind::InUse);
    snapshot.check_removal(&ResourceKey::new(ResourceKind::Service, "booking")).unwrap();
}

#[test]
fn the_outlook_of_a_drain_states_the_capacity_left() {
    let snapshot = fleet().snapshot();
    let outlook = snapshot.outlook_without(&ResourceKey::new(ResourceKind::DataCentre, "north-1"));
    assert_eq!(outlook.iter().map(CapacityOutlook::left_permille).collect::<Vec<_>>(), [500]);
    assert!(outlook[0].warning().unwrap().contains("keeps 50% of its capacity"));
}

#[test]
fn an_endpoint_is_in_duty_only_if_its_data_centre_is() {
    let mut table = fleet();
    let spec = DataCentreSpec { duty: DutyState::Out, ..DataCentreSpec::default() };
    let record = ResourceRecord::new("north-1", ResourceSpec::DataCentre(spec));
    let batch = UpdateBatch::incremental(100, 101, vec![ResourceUpdate::present(record, 101)]);
    let changes = table.apply(&batch).unwrap();
    assert!(matches!(changes[..], [ResourceChange::Replaced { .. }]));
    let snapshot = table.snapshot();
    let duty: Vec<_> = snapshot.endpoints().map(|(_, spec)| snapshot.is_in_duty(spec)).collect();
    assert_eq!(duty, [false, true]);
}

#[test]
fn the_request_timeout_is_limited_to_the_hold_of_a_budget_share() {
    let longest = ShareSettings::default().max_hold;
    let validate = |request_timeout_ms: u64| {
        let spec = AdmissionSpec { request_timeout_ms, ..AdmissionSpec::default() };
        ResourceRecord::new("default", ResourceSpec::Admission(spec)).validate()
    };
    let milliseconds = u64::try_from(longest.as_millis()).unwrap();
    assert!(validate(milliseconds + 1).is_err());
    assert!(validate(600_000).is_ok());
}

#[test]
fn an_objective_may_exceed_the_request_timeout() {
    let objective = ServiceObjective {
        class: LengthClass::Archive,
        first_token_ms: 86_400_000,
        between_tokens_ms: 86_400_000,
        good_permille: 900,
    };
    let mode = ServiceMode::Model { max_context_tokens: 1_000 };
    let spec = ServiceSpec { mode, objectives: vec![objective] };
    assert!(ResourceRecord::new("assistant", ResourceSpec::Service(spec)).validate().is_ok());
}
