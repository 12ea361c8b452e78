//! Resources that a fleet starts with.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use apricotknot_core::resources::AccountSpec;
use apricotknot_core::resources::DataCentreSpec;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::EndpointSpec;
use apricotknot_core::resources::PlainServiceSpec;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::ServiceMode;
use apricotknot_core::resources::ServiceSpec;
use apricotknot_core::types::TokenCount;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use super::EnginePlan;
use super::FleetHarness;
use super::FleetSettings;

/// Maximum number of tokens of a prompt and its answer together.
const MAX_CONTEXT_TOKENS: TokenCount = 2_000_000;

/// Name of the plain service, and first segment of its paths.
const PLAIN_SERVICE: &str = "booking";

/// Name of the account that every fleet has.
const ACCOUNT: &str = "clerk";

/// Maximum number of concurrent requests of that account.
const ACCOUNT_CONCURRENT: u32 = 100_000;

/// Data centre of the plain service.
const PLAIN_DATA_CENTRE: &str = "dc-1";

/// Returns the SHA-256 digest of `text` in hexadecimal.
pub(super) fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the body of the etcd put request that stores a resource.
pub(super) fn resource_put(record: &ResourceRecord) -> Value {
    let key = format!("/apricotknot/resources/{}/{}", record.spec.kind(), record.name);
    let value = serde_json::to_vec(record).unwrap_or_default();
    json!({"key": STANDARD.encode(key), "value": STANDARD.encode(value)})
}

/// Returns all resources that a fleet starts with.
pub(super) fn fleet_resources(
    settings: &FleetSettings,
    engines: &[(String, SocketAddr)],
    plain: &[(String, SocketAddr)],
) -> Vec<ResourceRecord> {
    let mut records =
        vec![account_resource(ACCOUNT, FleetHarness::ACCOUNT_KEY, ACCOUNT_CONCURRENT)];
    records.push(data_centre(PLAIN_DATA_CENTRE));
    for (plan, (name, address)) in settings.engines.iter().zip(engines) {
        records.push(data_centre(&plan.data_centre));
        records.push(model(&plan.model));
        records.push(ResourceRecord::new(
            name.as_str(),
            ResourceSpec::Endpoint(engine_endpoint(plan, *address)),
        ));
    }
    if !plain.is_empty() {
        records.push(plain_service(settings));
    }
    for (name, address) in plain {
        let spec = ResourceSpec::Endpoint(plain_endpoint(settings, *address));
        records.push(ResourceRecord::new(name.as_str(), spec));
    }
    records.extend(settings.resources.iter().cloned());
    let unique: BTreeMap<_, _> = records
        .into_iter()
        .map(|record| ((record.spec.kind(), record.name.clone()), record))
        .collect();
    unique.into_values().map(|record| ResourceRecord { generation: 1, ..record }).collect()
}

/// Returns an account that authenticates with `key`.
pub fn account_resource(name: &str, key: &str, max_concurrent: u32) -> ResourceRecord {
    let key_digests = vec![sha256_hex(key).into()];
    let spec = AccountSpec { key_digests, max_concurrent, ..AccountSpec::default() };
    ResourceRecord::new(name, ResourceSpec::Account(spec))
}

fn data_centre(name: &str) -> ResourceRecord {
    let spec = DataCentreSpec { region: "region-1".into(), duty: DutyState::In };
    ResourceRecord::new(name, ResourceSpec::DataCentre(spec))
}

fn model(name: &str) -> ResourceRecord {
    let mode = ServiceMode::Model { max_context_tokens: MAX_CONTEXT_TOKENS };
    let spec = ServiceSpec { mode, objectives: Vec::new() };
    ResourceRecord::new(name, ResourceSpec::Service(spec))
}

fn plain_service(settings: &FleetSettings) -> ResourceRecord {
    let once_paths =
        settings.non_repeatable_paths.iter().map(|path| path.as_str().into()).collect();
    let policy = PlainServiceSpec { prefix: format!("/{PLAIN_SERVICE}").into(), once_paths };
    let spec = ServiceSpec { mode: ServiceMode::Plain(policy), objectives: Vec::new() };
    ResourceRecord::new(PLAIN_SERVICE, ResourceSpec::Service(spec))
}

fn engine_endpoint(plan: &EnginePlan, address: SocketAddr) -> EndpointSpec {
    EndpointSpec {
        service: plan.model.as_str().into(),
        data_centre: plan.data_centre.as_str().into(),
        address,
        memory_tokens: plan.memory_tokens,
        max_concurrent: plan.max_concurrent,
        cold_memory_tokens: plan.cold_memory_tokens,
        cold_concurrent: plan.cold_concurrent,
        duty: DutyState::In,
    }
}

fn plain_endpoint(settings: &FleetSettings, address: SocketAddr) -> EndpointSpec {
    EndpointSpec {
        service: PLAIN_SERVICE.into(),
        data_centre: PLAIN_DATA_CENTRE.into(),
        address,
        memory_tokens: 0,
        max_concurrent: settings.plain_concurrent,
        cold_memory_tokens: 0,
        cold_concurrent: settings.plain_concurrent,
        duty: DutyState::In,
    }
}
