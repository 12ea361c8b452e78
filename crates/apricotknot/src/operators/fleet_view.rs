//! What the operators' interface needs to know of the node and its peers.

use std::sync::Arc;

use apricotknot_core::objectives::BurnSnapshot;
use apricotknot_core::operators::RequestExplanation;
use apricotknot_core::operators::StatusAnswer;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceSnapshot;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::RevisionNumber;

/// Gives access to what the node has in force; implemented by the control thread's state.
#[allow(async_fn_in_trait)]
pub trait FleetView {
    /// Returns the resources in force on this node.
    fn snapshot(&self) -> Arc<ResourceSnapshot>;

    /// Returns what changed after a revision, as held by this node's resource table.
    fn changes_after(&self, base: RevisionNumber) -> UpdateBatch;

    /// Waits until this node has a revision in force that is newer than the given one.
    async fn wait_newer_than(&self, revision: RevisionNumber);

    /// Returns what is in force on how many nodes.
    async fn status(&self) -> StatusAnswer;

    /// Tells all nodes, without the store, whether new work may be sent to a data centre or an
    /// endpoint; returns false where the nodes cannot be told.
    async fn announce_duty(&self, _key: &ResourceKey, _duty: DutyState) -> bool {
        false
    }

    /// Returns what the nodes were told of a data centre or an endpoint, if anything.
    fn announced_duty(&self, _key: &ResourceKey) -> Option<DutyState> {
        None
    }

    /// Returns what this node counted against the objectives.
    async fn burn(&self) -> BurnSnapshot;

    /// Returns what this node did with a request, if it still knows.
    async fn explain(&self, request: &str) -> Option<RequestExplanation>;
}
