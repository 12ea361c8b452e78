//! Access of the operators' interface to the node and its peers.

use std::sync::Arc;

use apricotknot_core::objectives::BurnSnapshot;
use apricotknot_core::operators::RequestExplanation;
use apricotknot_core::operators::StatusAnswer;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::RevisionNumber;

/// Provides the configuration in force and the state of the fleet, as seen by this node.
#[allow(async_fn_in_trait)]
pub trait FleetView {
    /// Returns the resources in force on this node.
    fn snapshot(&self) -> Arc<ResourceSnapshot>;

    /// Returns the changes after the revision `base` from this node's resource table.
    fn changes_after(&self, base: RevisionNumber) -> UpdateBatch;

    /// Waits until a revision newer than the given one is in force on this node.
    async fn wait_newer_than(&self, revision: RevisionNumber);

    /// Returns the revision in force on each node and the state of the store.
    async fn status(&self) -> StatusAnswer;

    /// Announces to all nodes, without the store, whether new work may be sent to a data centre or
    /// an endpoint; returns false if this view cannot announce it.
    async fn announce_duty(&self, _key: &ResourceKey, _duty: DutyState) -> bool {
        false
    }

    /// Returns the duty last announced for a data centre or an endpoint, if any.
    fn announced_duty(&self, _key: &ResourceKey) -> Option<DutyState> {
        None
    }

    /// Returns this node's counts of requests that met or missed the service objectives.
    async fn burn(&self) -> BurnSnapshot;

    /// Returns how this node decided on a request, if it still has a record of it.
    async fn explain(&self, request: &str) -> Option<RequestExplanation>;
}
