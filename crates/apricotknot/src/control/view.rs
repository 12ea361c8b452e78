//! Read-only copy of the configuration, in which traffic threads look up resources.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use apricotknot_core::resources::AdmissionSpec;
use apricotknot_core::resources::PlainServiceSpec;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ServiceMode;
use apricotknot_core::resources::has_path_prefix;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::DataCentreId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::PoolId;
use apricotknot_core::types::RevisionNumber;
use apricotknot_core::types::ServiceId;
use apricotknot_core::types::TokenCount;

use super::pool_of;

/// Describes how the calls of one plain service are routed.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainRoute {
    /// Names the service.
    pub service: ServiceId,
    /// Path prefix of the service and rules for its calls.
    pub policy: PlainServiceSpec,
}

/// Describes where an endpoint is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointLocation {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: DataCentreId,
}

/// Holds the configuration at one revision, indexed for look-ups per request.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    table: ResourceTable,
    admission: AdmissionSpec,
    accounts: HashMap<Arc<str>, AccountId>,
    models: BTreeMap<ServiceId, TokenCount>,
    plain_routes: Vec<PlainRoute>,
    endpoints: HashMap<EndpointId, EndpointLocation>,
    pools: HashMap<ServiceId, Vec<PoolId>>,
}

impl ConfigView {
    /// Creates the indexes over the resources of `table`.
    pub fn new(table: &ResourceTable) -> Self {
        let snapshot = table.snapshot();
        let mut view =
            Self { table: table.clone(), admission: snapshot.admission(), ..Self::default() };
        view.add_accounts(&snapshot);
        view.add_services(&snapshot);
        view.add_endpoints(&snapshot);
        view
    }

    /// Returns the revision of the configuration; 0 before the first one was applied.
    pub fn revision(&self) -> RevisionNumber {
        self.table.revision()
    }

    /// Returns the resources as they are stored.
    pub fn table(&self) -> &ResourceTable {
        &self.table
    }

    /// Returns the limits of admission.
    pub fn admission(&self) -> &AdmissionSpec {
        &self.admission
    }

    /// Returns the account that has a key with the SHA-256 digest `key_digest`, in hexadecimal.
    ///
    /// Only digests are compared, so the duration of the look-up reveals nothing about a key.
    pub fn account(&self, key_digest: &str) -> Option<&AccountId> {
        self.accounts.get(key_digest)
    }

    /// Returns the models, each with the maximum tokens of prompt and answer together.
    pub fn models(&self) -> &BTreeMap<ServiceId, TokenCount> {
        &self.models
    }

    /// Returns the route of the plain service whose prefix matches `path`; the longest prefix wins.
    pub fn plain_route(&self, path: &str) -> Option<&PlainRoute> {
        let matching =
            self.plain_routes.iter().filter(|route| has_path_prefix(path, &route.policy.prefix));
        matching.max_by_key(|route| route.policy.prefix.len())
    }

    /// Returns the address and the data centre of an endpoint.
    pub fn endpoint(&self, endpoint: &str) -> Option<&EndpointLocation> {
        self.endpoints.get(endpoint)
    }

    /// Returns the pools of a service; empty if the service is unknown or has no endpoints.
    pub fn pools(&self, service: &str) -> &[PoolId] {
        self.pools.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    fn add_accounts(&mut self, snapshot: &ResourceSnapshot) {
        for (name, spec) in snapshot.accounts() {
            for digest in &spec.key_digests {
                self.accounts.insert(digest.clone(), name.clone());
            }
        }
    }

    fn add_services(&mut self, snapshot: &ResourceSnapshot) {
        for (name, spec) in snapshot.services() {
            match &spec.mode {
                ServiceMode::Model { max_context_tokens } => {
                    self.models.insert(name.clone(), *max_context_tokens);
                },
                ServiceMode::Plain(policy) => {
                    self.plain_routes
                        .push(PlainRoute { service: name.clone(), policy: policy.clone() });
                },
            }
        }
    }

    fn add_endpoints(&mut self, snapshot: &ResourceSnapshot) {
        for (name, spec) in snapshot.endpoints() {
            let location =
                EndpointLocation { address: spec.address, data_centre: spec.data_centre.clone() };
            self.endpoints.insert(name.clone(), location);
            let pool = pool_of(spec);
            let pools = self.pools.entry(spec.service.clone()).or_default();
            if !pools.contains(&pool) {
                pools.push(pool);
            }
        }
    }
}
