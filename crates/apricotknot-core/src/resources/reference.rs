//! Checks the references between resources.

use std::sync::Arc;

use super::AccountSpec;
use super::EndpointSpec;
use super::PlainServiceSpec;
use super::ResourceError;
use super::ResourceErrorKind;
use super::ResourceKey;
use super::ResourceKind;
use super::ResourceRecord;
use super::ResourceSnapshot;
use super::ResourceSpec;
use super::ServiceMode;
use super::validation::has_path_prefix;

/// Maximum number of endpoints that an error about a resource in use lists.
const MAX_LISTED_USERS: usize = 5;

impl ResourceSnapshot {
    /// Checks that the references of `record` exist and that its unique values are not in use.
    ///
    /// # Errors
    ///
    /// Returns all faults found.
    pub fn check_references(&self, record: &ResourceRecord) -> Result<(), Vec<ResourceError>> {
        let faults = match &record.spec {
            ResourceSpec::Account(spec) => self.duplicate_digests(&record.name, spec),
            ResourceSpec::Endpoint(spec) => self.endpoint_faults(spec),
            ResourceSpec::Service(spec) => match &spec.mode {
                ServiceMode::Plain(policy) => self.overlapping_prefixes(&record.name, policy),
                ServiceMode::Model { .. } => Vec::new(),
            },
            ResourceSpec::Admission(_) | ResourceSpec::DataCentre(_) => Vec::new(),
        };
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    /// Checks that no endpoint refers to `key`, so that it may be deleted.
    ///
    /// # Errors
    ///
    /// Returns an error that lists the endpoints that refer to it.
    pub fn check_removal(&self, key: &ResourceKey) -> Result<(), ResourceError> {
        let users: Vec<_> = self.users_of(key).collect();
        if users.is_empty() {
            return Ok(());
        }
        let listed: Vec<_> = users.iter().take(MAX_LISTED_USERS).map(|name| &***name).collect();
        let given = format!("{key}, used by {} endpoints: {}", users.len(), listed.join(", "));
        Err(ResourceError::new(ResourceErrorKind::InUse, "name")
            .given(given)
            .allowed("deleting what no endpoint refers to")
            .next_step("delete or change these endpoints first"))
    }

    /// Returns the endpoints that refer to a service or data centre that does not exist.
    pub fn dangling_endpoints(&self) -> impl Iterator<Item = &Arc<str>> {
        let dangling = self.endpoints().filter(|(_, spec)| {
            let data_centre = self.data_centre(&spec.data_centre);
            self.service(&spec.service).is_none() || data_centre.is_none()
        });
        dangling.map(|(name, _)| name)
    }

    fn users_of<'a>(&'a self, key: &'a ResourceKey) -> impl Iterator<Item = &'a Arc<str>> {
        let endpoints = self.endpoints().filter(|(_, spec)| match key.kind {
            ResourceKind::Service => spec.service == key.name,
            ResourceKind::DataCentre => spec.data_centre == key.name,
            _ => false,
        });
        endpoints.map(|(name, _)| name)
    }

    fn endpoint_faults(&self, spec: &EndpointSpec) -> Vec<ResourceError> {
        let service = ResourceKey::new(ResourceKind::Service, spec.service.clone());
        let data_centre = ResourceKey::new(ResourceKind::DataCentre, spec.data_centre.clone());
        let references = [("spec.service", service), ("spec.data_centre", data_centre)];
        let missing = references.into_iter().filter(|(_, key)| self.get(key).is_none());
        let missing = missing.map(|(field, key)| self.unknown_reference(field, &key));
        missing.chain(self.memory_faults(spec)).collect()
    }

    /// Returns faults for missing memory sizes, which only engines of model services need.
    fn memory_faults(&self, spec: &EndpointSpec) -> Vec<ResourceError> {
        let mode = self.service(&spec.service).map(|service| &service.mode);
        if !matches!(mode, Some(ServiceMode::Model { .. })) {
            return Vec::new();
        }
        let fields = [
            ("spec.memory_tokens", spec.memory_tokens),
            ("spec.cold_memory_tokens", spec.cold_memory_tokens),
        ];
        let missing = fields.into_iter().filter(|(_, tokens)| *tokens == 0);
        missing
            .map(|(field, tokens)| {
                ResourceError::new(ResourceErrorKind::OutOfRange, field)
                    .given(tokens)
                    .allowed("1 or more for an engine of a model service")
                    .next_step("state the key-value cache that the engine holds, in tokens")
            })
            .collect()
    }

    fn unknown_reference(&self, field: &str, key: &ResourceKey) -> ResourceError {
        let names: Vec<_> = self.of_kind(key.kind).map(|(name, _)| &**name).collect();
        ResourceError::new(ResourceErrorKind::UnknownReference, field)
            .given(format!("{:?}", key.name))
            .allowed(format!("the name of an existing {}", key.kind))
            .next_step(format!("create {key} first"))
            .suggest(&key.name, names)
    }

    /// Returns a fault for each other plain service whose path prefix lies above or below this one.
    fn overlapping_prefixes(&self, name: &str, policy: &PlainServiceSpec) -> Vec<ResourceError> {
        let others = self.services().filter(|(other, _)| ***other != *name);
        others
            .filter_map(|(other, spec)| match &spec.mode {
                ServiceMode::Plain(taken) => Some((other, &taken.prefix)),
                ServiceMode::Model { .. } => None,
            })
            .filter(|(_, taken)| {
                has_path_prefix(&policy.prefix, taken) || has_path_prefix(taken, &policy.prefix)
            })
            .map(|(other, taken)| {
                ResourceError::new(ResourceErrorKind::Duplicate, "spec.mode.plain.prefix")
                    .given(&policy.prefix)
                    .allowed("a prefix that no other service has, nor one above or below it")
                    .next_step(format!("choose another prefix; {other} has {taken}"))
            })
            .collect()
    }

    /// Returns a fault for each other account that shares a key digest with this one.
    fn duplicate_digests(&self, name: &str, spec: &AccountSpec) -> Vec<ResourceError> {
        let others = self.accounts().filter(|(other, _)| ***other != *name);
        others
            .filter(|(_, other)| {
                other.key_digests.iter().any(|digest| spec.key_digests.contains(digest))
            })
            .map(|(other, _)| {
                ResourceError::new(ResourceErrorKind::Duplicate, "spec.key_digests")
                    .given(format!("a digest that account {other} has too"))
                    .allowed("keys that belong to one account only")
                    .next_step("give each account keys of its own")
            })
            .collect()
    }
}
