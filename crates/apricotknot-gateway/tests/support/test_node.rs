//! A control state with engines, for tests of one node.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EngineModel;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::routing::DesiredState;
use apricotknot_core::routing::ServiceProfile;
use apricotknot_gateway::control::ControlCommand;
use apricotknot_gateway::control::ControlHandle;
use apricotknot_gateway::control::ControlState;
use apricotknot_gateway::control::EndpointGrant;
use apricotknot_gateway::control::FleetLimits;
use apricotknot_gateway::control::PlacementRefusal;
use apricotknot_gateway::control::PlacementRequest;
use apricotknot_gateway::control::RegistryChange;
use apricotknot_gateway::control::StoreUpdate;
use apricotknot_gateway::protocol::RecordChange;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::engine_entry;
use super::placement_request;

/// Time at which the state of each node begins.
pub(crate) const NOW: Duration = Duration::from_secs(100);

pub(crate) type PlacementReceiver = oneshot::Receiver<Result<EndpointGrant, PlacementRefusal>>;

pub(crate) struct TestNode {
    pub(crate) state: ControlState,
    /// Sends commands that [`TestNode::process_commands`] handles.
    pub(crate) handle: ControlHandle,
    commands: mpsc::UnboundedReceiver<ControlCommand>,
    next_attempt: u128,
}

impl TestNode {
    pub(crate) fn new() -> Self {
        let (sender, commands) = mpsc::unbounded_channel();
        let retries = RetryPolicy { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
        let handle = ControlHandle::new(sender);
        let state = ControlState::new(
            handle.clone(),
            "own".into(),
            1,
            BTreeMap::from([("north".into(), "here".into())]),
            FleetLimits { retries },
        );
        Self { state, handle, commands, next_attempt: 0 }
    }

    pub(crate) fn with_engines(count: usize) -> Self {
        let mut node = Self::new();
        let records = (0..count).map(|index| RecordChange::EndpointAnnounced(entry(index)));
        let desired = RecordChange::Configuration(Box::new(desired(1)));
        node.state.apply_snapshot(update_of(records.chain([desired]).collect()), NOW);
        node
    }

    pub(crate) fn request_placement(&mut self, prompt: u64, now: Duration) -> PlacementReceiver {
        self.request_placement_with(prompt, now, |_| {})
    }

    pub(crate) fn request_placement_with(
        &mut self,
        prompt: u64,
        now: Duration,
        change: impl FnOnce(&mut PlacementRequest),
    ) -> PlacementReceiver {
        self.next_attempt += 1;
        let size = RequestSize { prompt, expected_output: 100, max_output: 100 };
        let mut request = PlacementRequest {
            attempt: self.next_attempt,
            fingerprint: 7,
            ..placement_request(0, size, now)
        };
        change(&mut request);
        let (reply, receiver) = oneshot::channel();
        self.state.handle_command(ControlCommand::Place { request: Box::new(request), reply }, now);
        receiver
    }

    /// Handles the commands that dropped grants have sent, then advances the state to `now`.
    pub(crate) fn process_commands(&mut self, now: Duration) {
        while let Ok(command) = self.commands.try_recv() {
            self.state.handle_command(command, now);
        }
        self.state.tick(now);
    }
}

pub(crate) fn entry(index: usize) -> EndpointEntry {
    engine_entry(index, 2)
}

pub(crate) fn desired(version: u64) -> DesiredState {
    let engine = EngineModel {
        slots: 2,
        memory: 100_000,
        step_ms: 1.0,
        stream_ms: 0.0,
        context_ms: 0.0,
        prefill_rate: 200.0,
        attention_ms: 0.1,
        steps_per_event: 40,
    };
    let profile = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    let services = BTreeMap::from([("model".into(), profile)]);
    DesiredState { version, services, ..DesiredState::default() }
}

pub(crate) fn update_of(record_changes: Vec<RecordChange>) -> StoreUpdate {
    StoreUpdate { record_changes, ..StoreUpdate::default() }
}

pub(crate) fn registry_update(registry_changes: Vec<RegistryChange>) -> StoreUpdate {
    StoreUpdate { registry_changes, ..StoreUpdate::default() }
}

pub(crate) fn granted(reply: &mut PlacementReceiver) -> EndpointGrant {
    reply.try_recv().expect("answer to the request").expect("grant")
}
