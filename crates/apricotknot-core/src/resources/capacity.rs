//! Capacity that services keep when a data centre or an endpoint is drained.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::EndpointSpec;
use super::ResourceKey;
use super::ResourceKind;
use super::ResourceSnapshot;
use crate::types::ServiceId;
use crate::types::TokenCount;

/// Minimum share of its capacity that a service must keep for a drain without a warning, in per
/// mille.
const MIN_SAFE_PERMILLE: u64 = 700;

/// Compares the capacity of one service now and after a drain; only endpoints in duty count.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacityOutlook {
    /// Service whose capacity is compared.
    pub service: ServiceId,
    /// Number of endpoints now.
    pub endpoints_now: u32,
    /// Number of endpoints after the drain.
    pub endpoints_left: u32,
    /// Key-value cache now, in tokens.
    pub memory_now: TokenCount,
    /// Key-value cache after the drain, in tokens.
    pub memory_left: TokenCount,
    /// Maximum number of concurrent requests now.
    pub concurrent_now: u64,
    /// Maximum number of concurrent requests after the drain.
    pub concurrent_left: u64,
}

impl CapacityOutlook {
    /// Returns the share of the capacity that is left, in per mille.
    ///
    /// This is the smaller of the shares of memory and of concurrent requests.
    pub fn left_permille(&self) -> u64 {
        let share = |left: u64, now: u64| (left * 1_000).checked_div(now).unwrap_or(1_000);
        let memory = share(self.memory_left, self.memory_now);
        memory.min(share(self.concurrent_left, self.concurrent_now))
    }

    /// Returns a warning for the operator if the service keeps too little of its capacity.
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
    /// Returns the outlook of each service that would lose endpoints if `key` were drained.
    pub fn outlook_without(&self, key: &ResourceKey) -> Vec<CapacityOutlook> {
        let affected = self.services().filter(|(service, _)| {
            let mut endpoints = self.endpoints_of(service);
            endpoints.any(|(name, spec)| is_part_of(key, name, spec))
        });
        affected.map(|(service, _)| self.outlook_of(service, key)).collect()
    }

    /// Returns the outlook of one service if `key` were drained.
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

    /// Returns the endpoints of a service that are in duty.
    fn endpoints_of(
        &self,
        service: &ServiceId,
    ) -> impl Iterator<Item = (&Arc<str>, &EndpointSpec)> {
        let endpoints = self.endpoints();
        endpoints.filter(move |(_, spec)| spec.service == *service && self.is_in_duty(spec))
    }
}

/// Returns whether a drain of `key` drains the endpoint.
fn is_part_of(key: &ResourceKey, name: &Arc<str>, spec: &EndpointSpec) -> bool {
    match key.kind {
        ResourceKind::DataCentre => spec.data_centre == key.name,
        ResourceKind::Endpoint => *name == key.name,
        _ => false,
    }
}
