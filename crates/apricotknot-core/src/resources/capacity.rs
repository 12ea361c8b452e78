//! The capacity that would be left without a data centre or an endpoint.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::EndpointSpec;
use super::ResourceKey;
use super::ResourceKind;
use super::ResourceSnapshot;
use crate::types::ServiceId;
use crate::types::TokenCount;

/// Part of its capacity that a service must keep for a drain to pass without a warning.
const MIN_SAFE_PERMILLE: u64 = 700;

/// Says what one service has in duty now, and would have left.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacityOutlook {
    /// Service.
    pub service: ServiceId,
    /// Endpoints in duty now.
    pub endpoints_now: u32,
    /// Endpoints that would be left.
    pub endpoints_left: u32,
    /// Key-value cache in duty now, in tokens.
    pub memory_now: TokenCount,
    /// Key-value cache that would be left, in tokens.
    pub memory_left: TokenCount,
    /// Requests that run at once now.
    pub concurrent_now: u64,
    /// Requests that would be run at once.
    pub concurrent_left: u64,
}

impl CapacityOutlook {
    /// Returns the smaller of the parts of memory and of requests that are left, in per mille.
    pub fn left_permille(&self) -> u64 {
        let part = |left: u64, now: u64| (left * 1_000).checked_div(now).unwrap_or(1_000);
        let memory = part(self.memory_left, self.memory_now);
        memory.min(part(self.concurrent_left, self.concurrent_now))
    }

    /// Returns the warning that an operator should see, if any.
    pub fn warning(&self) -> Option<Arc<str>> {
        let service = &self.service;
        if self.endpoints_left == 0 {
            return Some(format!("service {service} has no endpoint left in duty").into());
        }
        let left = self.left_permille();
        if left >= MIN_SAFE_PERMILLE {
            return None;
        }
        let (memory, concurrent) = (self.memory_left, self.concurrent_left);
        let (part, endpoints) = (left / 10, self.endpoints_left);
        let text = format!(
            "service {service} keeps {part}% of its capacity: {endpoints} endpoints, \
             {concurrent} requests at once, {memory} tokens of memory"
        );
        Some(text.into())
    }
}

impl ResourceSnapshot {
    /// Returns, for each service that `key` takes part in, what would be left without it.
    pub fn outlook_without(&self, key: &ResourceKey) -> Vec<CapacityOutlook> {
        let affected = self.services().filter(|(service, _)| {
            let mut endpoints = self.endpoints_of(service);
            endpoints.any(|(name, spec)| is_part_of(key, name, spec))
        });
        affected.map(|(service, _)| self.outlook_of(service, key)).collect()
    }

    fn outlook_of(&self, service: &ServiceId, key: &ResourceKey) -> CapacityOutlook {
        let mut outlook = CapacityOutlook {
            service: service.clone(),
            endpoints_now: 0,
            endpoints_left: 0,
            memory_now: 0,
            memory_left: 0,
            concurrent_now: 0,
            concurrent_left: 0,
        };
        for (name, spec) in self.endpoints_of(service) {
            outlook.endpoints_now += 1;
            outlook.memory_now += spec.memory_tokens;
            outlook.concurrent_now += u64::from(spec.max_concurrent);
            if !is_part_of(key, name, spec) {
                outlook.endpoints_left += 1;
                outlook.memory_left += spec.memory_tokens;
                outlook.concurrent_left += u64::from(spec.max_concurrent);
            }
        }
        outlook
    }

    fn endpoints_of(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (&Arc<str>, &EndpointSpec)> {
        let endpoints = self.endpoints();
        endpoints.filter(move |(_, spec)| spec.service == *service && self.is_in_duty(spec))
    }
}

fn is_part_of(key: &ResourceKey, name: &Arc<str>, spec: &EndpointSpec) -> bool {
    match key.kind {
        ResourceKind::DataCentre => spec.data_centre == key.name,
        ResourceKind::Endpoint => *name == key.name,
        _ => false,
    }
}
