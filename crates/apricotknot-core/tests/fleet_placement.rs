//! Which endpoint takes a request, and who helps to read it.

#[path = "support/fleet_play.rs"]
mod fleet_play;

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::fleet::FleetBoard;
use apricotknot_core::fleet::PlacementPlan;
use apricotknot_core::fleet::PlacementVerdict;
use apricotknot_core::fleet::place;

use fleet_play::ARCHIVE;
use fleet_play::FleetPlay;
use fleet_play::TICKET;
use fleet_play::ask;
use fleet_play::board;
use fleet_play::entry;
use fleet_play::model;

const NOW: Duration = Duration::from_secs(100);

/// Time that news takes from node to node.
const NEWS_DELAY: Duration = Duration::from_millis(2);

fn sent(verdict: PlacementVerdict) -> PlacementPlan {
    match verdict {
        PlacementVerdict::Send(plan) => plan,
        other => panic!("not sent: {other:?}"),
    }
}

/// Lets `engine-0` write so many short streams.
fn write_short_streams(board: &mut FleetBoard, count: u128) {
    let short = PlacementPlan {
        endpoint: "engine-0".into(),
        memory: 5_000,
        helpers: Vec::new(),
        read_time: Duration::ZERO,
        expected: Duration::ZERO,
    };
    for attempt in 0..count {
        board.begin(attempt, &ask(&TICKET, NOW), &short, NOW);
        board.note_writing(attempt, NOW);
    }
}

#[test]
fn a_short_prompt_is_read_by_one_engine() {
    let board = board(4);
    let plan = sent(place(&board, &ask(&TICKET, NOW), 0, NOW));
    assert!(plan.helpers.is_empty());
    assert_eq!(plan.memory, ask(&TICKET, NOW).size.memory());
    assert!(plan.expected < Duration::from_millis(200));
}

#[test]
fn an_archive_is_read_by_many_engines() {
    let board = board(14);
    let request = ask(&ARCHIVE, NOW);
    let plan = sent(place(&board, &request, 0, NOW));
    assert!(plan.helpers.len() >= 3, "{plan:?}");
    assert!(plan.helpers.iter().all(|part| part.memory == 0), "it fits one engine");
    assert!(plan.expected < request.target_latency / 2);
}

#[test]
fn a_prompt_larger_than_one_engine_is_held_by_several() {
    let board = board(6);
    let mut request = ask(&ARCHIVE, NOW);
    request.size.prompt = 500_000;
    let plan = sent(place(&board, &request, 0, NOW));
    let held: u64 = plan.helpers.iter().map(|part| part.memory).sum();
    assert_eq!(held + plan.memory, request.size.memory());
    assert!(plan.memory <= model().memory);
    assert!(plan.helpers.iter().all(|part| part.memory <= model().memory));
}

#[test]
fn what_no_engines_can_hold_is_refused_at_once() {
    let board = board(2);
    let mut request = ask(&ARCHIVE, NOW);
    request.size.prompt = 600_000;
    let verdict = place(&board, &request, 0, NOW);
    assert!(matches!(verdict, PlacementVerdict::Refuse { reason: "too large", .. }), "{verdict:?}");
}

#[test]
fn short_streams_are_spared_by_long_reads() {
    let mut board = board(4);
    write_short_streams(&mut board, 6);
    let plan = sent(place(&board, &ask(&ARCHIVE, NOW), 0, NOW));
    assert_ne!(&*plan.endpoint, "engine-0", "{plan:?}");
    assert!(plan.helpers.iter().all(|part| &*part.endpoint != "engine-0"), "{plan:?}");
}

/// An archive past its aim is worth less, but not nothing.
#[test]
fn a_late_archive_is_still_sent_to_a_free_engine() {
    let board = board(1);
    let mut request = ask(&ARCHIVE, NOW);
    request.arrived = NOW - Duration::from_secs(5);
    request.size.prompt = 200_000;
    let plan = sent(place(&board, &request, 0, NOW));
    assert_eq!(&*plan.endpoint, "engine-0");
}

#[test]
fn a_long_prompt_that_would_only_harm_others_is_refused_in_the_end() {
    let mut board = board(1);
    write_short_streams(&mut board, 14);
    let mut request = ask(&ARCHIVE, NOW);
    request.size.prompt = 100_000;
    assert_eq!(place(&board, &request, 0, NOW), PlacementVerdict::Wait);
    let late = request.deadline - Duration::from_secs(1);
    let verdict = place(&board, &request, 0, late);
    assert!(matches!(verdict, PlacementVerdict::Refuse { .. }), "{verdict:?}");
}

#[test]
fn an_older_request_of_the_same_size_goes_first() {
    let board = board(4);
    assert_eq!(place(&board, &ask(&ARCHIVE, NOW), 1, NOW), PlacementVerdict::Wait);
    sent(place(&board, &ask(&TICKET, NOW), 1, NOW));
}

#[test]
fn endpoints_that_take_no_work_get_none() {
    let refused = |board: &FleetBoard| {
        matches!(place(board, &ask(&TICKET, NOW), 0, NOW), PlacementVerdict::Refuse { .. })
    };
    let mut leaving = board(1);
    let mut gone = entry(0);
    gone.phase = EndpointPhase::Leaving;
    leaving.set_endpoint(gone);
    assert!(refused(&leaving));
    let mut emptied = board(1);
    emptied.set_evacuated("centre-0".into(), true, NOW);
    assert!(refused(&emptied));
    emptied.set_evacuated("centre-0".into(), false, NOW);
    sent(place(&emptied, &ask(&TICKET, NOW), 0, NOW));
    let mut removed = board(1);
    removed.remove_endpoint("engine-0");
    assert!(refused(&removed));
    let mut elsewhere = ask(&TICKET, NOW);
    elsewhere.regions = Some(vec!["another".into()]);
    let verdict = place(&board(1), &elsewhere, 0, NOW);
    assert!(matches!(verdict, PlacementVerdict::Refuse { .. }));
    let mut excluded = ask(&TICKET, NOW);
    excluded.excluded = vec!["engine-0".into()];
    let verdict = place(&board(1), &excluded, 0, NOW);
    assert!(matches!(verdict, PlacementVerdict::Refuse { .. }));
}

#[test]
fn an_endpoint_that_starts_again_under_its_id_is_judged_anew() {
    let mut board = board(1);
    let plan = sent(place(&board, &ask(&TICKET, NOW), 0, NOW));
    board.begin(1, &ask(&TICKET, NOW), &plan, NOW);
    board.end(1, apricotknot_core::fleet::AttemptEnd::Unreachable, NOW);
    assert_eq!(place(&board, &ask(&TICKET, NOW), 0, NOW), PlacementVerdict::Wait);
    let mut reborn = entry(0);
    reborn.birth = 2;
    board.set_endpoint(reborn);
    sent(place(&board, &ask(&TICKET, NOW), 0, NOW));
}

/// The load: a burst of archives at 2.7 times the usual, and then one of tickets at 2.5 times.
#[test]
fn bursts_of_archives_and_tickets_are_served_on_time() {
    let mut play = FleetPlay::new(14, 1, NEWS_DELAY);
    play.run(Duration::from_secs(10), &BTreeMap::from([("archive", 3.7), ("ticket", 10.0)]));
    play.run(Duration::from_secs(10), &BTreeMap::from([("archive", 0.1), ("ticket", 75.0)]));
    let archives = play.outcomes("archive");
    let tickets = play.outcomes("ticket");
    assert!(archives.on_time_share() >= 0.6, "{archives:?}");
    assert!(tickets.on_time_share() >= 0.9, "{tickets:?}");
    assert!(archives.served_share() >= 0.9, "{archives:?}");
}

/// The same load over six nodes, each of which sees the work of the others a moment late.
#[test]
fn nodes_that_see_one_another_late_serve_nearly_as_well() {
    let mut play = FleetPlay::new(14, 6, NEWS_DELAY);
    play.run(Duration::from_secs(10), &BTreeMap::from([("archive", 3.7), ("ticket", 10.0)]));
    play.run(Duration::from_secs(10), &BTreeMap::from([("archive", 0.1), ("ticket", 75.0)]));
    assert!(play.outcomes("archive").on_time_share() >= 0.5, "{:?}", play.outcomes("archive"));
    assert!(play.outcomes("ticket").on_time_share() >= 0.85, "{:?}", play.outcomes("ticket"));
}

/// The load: a burst of tickets that reaches 71 nodes of a tenth of a core, each of which sees
/// the work of the others 20 ms late, when six more have been placed.
#[test]
fn many_nodes_do_not_choose_the_same_engine_at_once() {
    let mut play = FleetPlay::new(78, 71, Duration::from_millis(20));
    play.run(Duration::from_secs(3), &BTreeMap::from([("ticket", 310.0)]));
    assert!(play.outcomes("ticket").on_time_share() >= 0.95, "{:?}", play.outcomes("ticket"));
}
