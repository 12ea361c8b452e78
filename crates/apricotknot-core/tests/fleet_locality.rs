//! Tests of the preference for endpoints in a node's own data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::EngineModel;
use apricotknot_core::fleet::FleetState;
use apricotknot_core::fleet::PlacementDecision;
use apricotknot_core::fleet::PlacementQuery;
use apricotknot_core::fleet::QueuePosition;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::fleet::place;
use apricotknot_core::routing::ServiceProfile;
use apricotknot_core::types::NodeId;

/// Time at which each play begins.
const NOW: Duration = Duration::from_secs(50);

fn fleet(nodes: usize) -> FleetState {
    fleet_of("node-0", nodes)
}

fn fleet_of(node: &str, nodes: usize) -> FleetState {
    let mut fleet = FleetState::new(node, BTreeMap::from([("here".into(), "region".into())]));
    fleet.set_data_centre("here".into());
    let engine = EngineModel {
        slots: 4,
        memory: 200_000,
        step_ms: 1.0,
        stream_ms: 0.1,
        context_ms: 0.01,
        prefill_rate: 200.0,
        attention_ms: 0.1,
        steps_per_event: 40,
    };
    let profile = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    fleet.set_services(BTreeMap::from([("model".into(), profile)]));
    for index in 0..12 {
        fleet.set_endpoint(EndpointEntry {
            id: format!("engine-{index}").into(),
            incarnation: 1,
            service: "model".into(),
            address: ([127, 0, 0, 1], 9_000).into(),
            data_centre: if index < 6 { "here" } else { "there" }.into(),
            slots: 4,
            phase: EndpointPhase::Ready,
            cold_until: Duration::ZERO,
        });
    }
    let names: Vec<NodeId> = (0..nodes).map(|node| format!("node-{node}").into()).collect();
    fleet.set_nodes(&names);
    fleet
}

fn short_query() -> PlacementQuery {
    PlacementQuery {
        service: "model".into(),
        size: RequestSize { prompt: 5_000, expected_output: 200, max_output: 200 },
        regions: None,
        excluded: Vec::new(),
        arrived: NOW,
        target_latency: Duration::from_millis(400),
        pause_limit: Duration::from_millis(250),
        deadline: NOW + Duration::from_secs(10),
        rank: 0,
        price_share: 1.0,
    }
}

/// Places `count` requests one after the other; returns how many each data centre got.
fn place_all(fleet: &mut FleetState, count: u128) -> (usize, usize) {
    let (mut local, mut remote) = (0, 0);
    for attempt in 0..count {
        let query = short_query();
        let decision = place(fleet, &query, QueuePosition::default(), NOW).decision;
        let PlacementDecision::Send(plan) = decision else {
            continue;
        };
        fleet.record_start(attempt, &query, &plan, NOW);
        let endpoint = fleet.endpoint(&plan.endpoint).map(|state| &state.entry.data_centre);
        match endpoint.is_some_and(|centre| fleet.is_remote(centre)) {
            true => remote += 1,
            false => local += 1,
        }
    }
    (local, remote)
}

#[test]
fn large_fleet_prefers_endpoints_nearby_while_they_have_room() {
    let (local, remote) = place_all(&mut fleet(60), 8);
    assert_eq!((local, remote), (8, 0));
}

#[test]
fn large_fleet_uses_distant_endpoints_once_those_nearby_are_busy() {
    let (local, remote) = place_all(&mut fleet(60), 40);
    assert!(remote >= 15, "{local} requests nearby, {remote} elsewhere");
    assert!(local <= 24, "there are 24 slots nearby");
}

/// Guards against parts of a prompt that queue behind work at distant engines, known too late.
#[test]
fn parts_of_a_prompt_are_read_nearby_while_engines_there_are_idle() {
    for node in 0..20 {
        let fleet = fleet_of(&format!("node-{node}"), 60);
        let mut query = short_query();
        query.size.prompt = 100_000;
        query.target_latency = Duration::from_secs(3);
        query.pause_limit = Duration::from_secs(1);
        let decision = place(&fleet, &query, QueuePosition::default(), NOW).decision;
        let PlacementDecision::Send(plan) = decision else {
            panic!("all engines are idle: {decision:?}");
        };
        let readers = plan.helpers.iter().map(|part| &part.endpoint).chain([&plan.endpoint]);
        let nearby = readers.filter(|endpoint| {
            let centre = fleet.endpoint(endpoint).map(|state| &state.entry.data_centre);
            centre.is_some_and(|centre| !fleet.is_remote(centre))
        });
        assert_eq!(nearby.count(), 6.min(plan.helpers.len() + 1), "{plan:?}");
    }
}

#[test]
fn small_fleet_uses_all_data_centres_alike() {
    let (_, remote) = place_all(&mut fleet(8), 24);
    assert!(remote >= 6, "{remote} of 24 requests elsewhere");
}
