//! Admission of a call: its route, its account and its deadline.

use std::sync::Arc;
use std::time::Duration;

use actix_http::RequestHead;
use actix_http::header::HOST;
use apricotknot_core::fleet::RequestFingerprint;
use apricotknot_core::fleet::price_share;
use apricotknot_core::routing::CallKind;
use apricotknot_core::routing::RouteSpec;
use apricotknot_core::routing::VerifiedAccount;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::PriorityRank;
use apricotknot_core::types::RegionId;
use apricotknot_core::types::ServiceId;
use bytes::Bytes;

use super::CallFault;
use super::TrafficContext;
use super::fingerprint::fingerprint_of;
use crate::caller::IncomingRequest;
use crate::caller::remove_hop_by_hop_headers;
use crate::control::ConfigurationView;
use crate::protocol::CallMetadata;
use crate::protocol::CallProtocol;

/// Holds an admitted call with its route and its account.
#[derive(Debug)]
pub struct AdmittedCall {
    /// Metadata from the headers of the request.
    pub metadata: CallMetadata,
    /// Route of the call.
    pub route: Arc<RouteSpec>,
    /// Service that runs the call.
    pub service: ServiceId,
    /// Rank of the call's priority.
    pub rank: PriorityRank,
    /// Share of the price of engine time that the call pays.
    pub price_share: f64,
    /// Account that the call is made for, if any.
    pub account: Option<VerifiedAccount>,
    /// Regions whose endpoints may run the call, or `None` for all regions.
    pub regions: Option<Vec<RegionId>>,
    /// Head of the request, without its hop-by-hop headers.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Time at which the request was read.
    pub arrived: MonotonicTime,
    /// Time at which the caller is answered that the deadline has passed.
    pub deadline: MonotonicTime,
    /// Fingerprint of the call; calls with the same target, account and body share it.
    pub fingerprint: RequestFingerprint,
    /// Version of the configuration by which the call was admitted.
    pub configuration_version: u64,
    /// Time since that version was last known to be the newest one.
    pub configuration_age: Duration,
}

impl AdmittedCall {
    /// Admits a request that was read at `arrived` and carries `metadata`.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted; it did not run.
    pub fn admit<P: CallProtocol>(
        context: &TrafficContext<P>,
        request: IncomingRequest,
        metadata: CallMetadata,
        arrived: MonotonicTime,
    ) -> Result<Self, CallFault> {
        if context.shared.is_closed() {
            return Err(CallFault::Stopping);
        }
        let IncomingRequest { mut head, body } = request;
        let view = context.shared.configuration_at(arrived).ok_or(CallFault::Unready)?;
        let ConfigurationView { desired, age, trust } = view;
        let Some(route) = desired.routes.find(&host_of(&head), head.uri.path()).cloned() else {
            return Err(if trust.may_deny { CallFault::NoRoute } else { CallFault::Unready });
        };
        let account = desired.keys.verify(metadata.api_key.as_deref(), route.is_public, trust)?;
        let service = route.pick_service(rand::random()).cloned().ok_or(CallFault::Refused {
            reason: "the route has no service",
            retry_after: Duration::from_secs(1),
        })?;
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        let fingerprint = fingerprint_of(target, name_of(account.as_ref()), &body);
        let timeout = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
        let time_to_end = context.shared.time_to_end(arrived);
        if route.kind == CallKind::NonIdempotent && time_to_end.is_some_and(|left| left < timeout) {
            // The node might end before the answer, and the caller must not ask again.
            return Err(CallFault::Stopping);
        }
        let bound = account.as_ref().and_then(|account| desired.account_regions.get(&**account));
        let regions = common_regions(&route.regions, bound);
        let rank = desired.priorities.rank(&route, account.as_deref());
        remove_hop_by_hop_headers(&mut head.headers);
        Ok(Self {
            rank,
            price_share: price_share(rand::random()),
            metadata,
            service,
            account,
            regions,
            head,
            body,
            arrived,
            deadline: arrived + timeout,
            fingerprint,
            configuration_version: desired.version,
            configuration_age: age,
            route,
        })
    }

    /// Returns the name of the account that the call is made for; empty if there is none.
    pub fn account_name(&self) -> &str {
        name_of(self.account.as_ref())
    }
}

fn name_of(account: Option<&VerifiedAccount>) -> &str {
    account.map_or("", |account| account)
}

fn host_of(head: &RequestHead) -> String {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().trim().to_owned()
}

/// Returns the regions that both the route and the account allow, or `None` if neither has a limit.
fn common_regions(route: &[RegionId], account: Option<&Vec<RegionId>>) -> Option<Vec<RegionId>> {
    match (route.is_empty(), account) {
        (true, None) => None,
        (true, Some(account)) => Some(account.clone()),
        (false, None) => Some(route.to_vec()),
        (false, Some(account)) => {
            Some(route.iter().filter(|region| account.contains(region)).cloned().collect())
        },
    }
}
