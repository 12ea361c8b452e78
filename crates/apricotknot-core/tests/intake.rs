//! What clients may occupy together, and who gives way.

use std::time::Duration;

use apricotknot_core::intake::IntakeId;
use apricotknot_core::intake::IntakeLimits;
use apricotknot_core::intake::IntakeRefusal;
use apricotknot_core::intake::IntakeTable;

const KIB: usize = 1_024;

/// Returns a table for 1 MiB of requests on four connections.
fn table() -> IntakeTable {
    IntakeTable::new(IntakeLimits::new(1_024 * KIB, 4))
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Opens a connection whose request holds `held` bytes.
fn open(table: &mut IntakeTable, held: usize, now: Duration) -> IntakeId {
    let id = table.open(now);
    assert_eq!(table.grow(id, held, now), Ok(Vec::new()));
    id
}

#[test]
fn stalled_body_that_holds_most_for_longest_gives_way() {
    let mut table = table();
    let small = open(&mut table, 100 * KIB, at(0));
    let large = open(&mut table, 700 * KIB, at(500));
    let next = table.open(at(2_000));
    assert_eq!(table.grow(next, 200 * KIB, at(2_000)), Ok(vec![large]));
    assert_eq!(table.grow(large, 800 * KIB, at(2_000)), Err(IntakeRefusal::GaveWay));
    assert!(!table.serve(large), "what gave way does not run");
    assert_eq!(table.grow(small, 101 * KIB, at(2_000)), Ok(Vec::new()));
}

/// Guards against the body of an upload that is sent on after its answer, and counts for nobody.
#[test]
fn memory_of_a_request_that_goes_on_beside_its_connection_is_held() {
    let mut table = table();
    let caller = open(&mut table, 800 * KIB, at(0));
    assert!(table.serve(caller));
    let rest = table.split_off(caller, at(10));
    table.finish(caller, at(20));
    assert_eq!((table.used(), table.connections()), (800 * KIB, 2));
    let next = table.open(at(5_000));
    let refused = table.grow(next, 200 * KIB, at(5_000));
    assert!(matches!(refused, Err(IntakeRefusal::Spent { .. })), "it gives way to none");
    table.close(rest);
    assert_eq!((table.used(), table.grow(next, 200 * KIB, at(5_010))), (0, Ok(Vec::new())));
}

#[test]
fn body_that_gets_on_never_gives_way() {
    let mut table = table();
    let sender = open(&mut table, 800 * KIB, at(0));
    for second in 1..10 {
        table.record(sender, 4 * KIB, at(900 * second));
    }
    let next = table.open(at(8_500));
    let refused = table.grow(next, 200 * KIB, at(8_500));
    assert_eq!(refused, Err(IntakeRefusal::Spent { used: 800 * KIB, limit: 896 * KIB }));
    assert_eq!(table.make_room(at(8_500)), None);
}

#[test]
fn byte_now_and_then_is_no_progress() {
    let mut table = table();
    let dripping = open(&mut table, 800 * KIB, at(0));
    for step in 1..20 {
        table.record(dripping, 1, at(100 * step));
    }
    let next = table.open(at(2_000));
    assert_eq!(table.grow(next, 200 * KIB, at(2_000)), Ok(vec![dripping]));
}

#[test]
fn request_that_runs_keeps_what_it_holds_until_it_ends() {
    let mut table = table();
    let running = open(&mut table, 800 * KIB, at(0));
    assert!(table.serve(running));
    let next = table.open(at(60_000));
    assert!(table.grow(next, 200 * KIB, at(60_000)).is_err());
    table.finish(running, at(60_000));
    assert_eq!(table.grow(next, 200 * KIB, at(60_000)), Ok(Vec::new()));
    assert_eq!(table.used(), 200 * KIB);
}

#[test]
fn large_requests_leave_room_for_small_ones() {
    let mut table = table();
    open(&mut table, 896 * KIB, at(0));
    let large = table.open(at(0));
    assert!(table.grow(large, 65 * KIB, at(0)).is_err());
    let small = table.open(at(0));
    assert_eq!(table.grow(small, 64 * KIB, at(0)), Ok(Vec::new()));
}

#[test]
fn every_way_out_gives_memory_back() {
    let mut table = table();
    let closed = open(&mut table, 300 * KIB, at(0));
    let finished = open(&mut table, 300 * KIB, at(0));
    table.close(closed);
    table.finish(finished, at(0));
    table.close(finished);
    table.close(closed);
    assert_eq!((table.used(), table.connections()), (0, 0));
}

#[test]
fn silent_connection_gives_way_to_a_new_one() {
    let mut table = table();
    let idle = table.open(at(0));
    assert!(table.serve(idle));
    table.finish(idle, at(10));
    let silent = table.open(at(500));
    let running = table.open(at(0));
    assert!(table.serve(running));
    assert_eq!(table.make_room(at(5_000)), None, "there is room");
    table.open(at(5_000));
    assert!(!table.has_room());
    assert_eq!(table.make_room(at(5_000)), Some(silent), "it has never sent a request");
    assert_eq!(table.make_room(at(5_000)), None, "there is room");
    assert!(table.has_room());
    table.open(at(5_000));
    assert!(!table.has_room(), "one is still about to close");
    assert_eq!(table.make_room(at(5_000)), None, "no more may be about to close");
    table.close(silent);
    assert_eq!(table.make_room(at(5_000)), Some(idle));
}

#[test]
fn connections_that_began_just_now_do_not_give_way() {
    let mut table = table();
    for _ in 0..4 {
        table.open(at(0));
    }
    assert_eq!(table.make_room(at(999)), None);
    assert!(table.make_room(at(1_000)).is_some());
}

/// Opens a connection whose request of `size` waits for an endpoint from `now` on.
fn queue(table: &mut IntakeTable, size: u64, now: Duration) -> IntakeId {
    let id = table.open(now);
    assert!(table.serve(id));
    table.queue(id, size, now);
    id
}

/// Guards against a table full of waiting requests that takes no client: the one that would be served
/// last gives way, and one that runs never does.
#[test]
fn waiting_request_that_would_be_served_last_gives_way() {
    let mut table = table();
    let running = table.open(at(0));
    assert!(table.serve(running));
    let short = queue(&mut table, 5_000, at(0));
    let first_long = queue(&mut table, 100_000, at(100));
    let last_long = queue(&mut table, 100_000, at(200));
    assert_eq!(table.make_room(at(300)), None, "it has only begun to wait");
    assert_eq!(table.make_room(at(400)), Some(last_long));
    assert_eq!(table.make_room(at(400)), None, "one connection is about to close already");
    assert!(!table.serve(last_long), "what gave way does not run");
    table.close(last_long);
    let next = table.open(at(500));
    assert!(table.serve(next));
    assert!(table.serve(first_long), "it has found an endpoint");
    assert_eq!(table.make_room(at(600)), Some(short));
    table.close(short);
    let other = table.open(at(700));
    assert!(table.serve(other));
    assert_eq!(table.make_room(at(5_000)), None, "requests that run keep their connections");
}

#[test]
fn stalled_clients_give_way_before_waiting_requests() {
    let mut table = table();
    let waiting = queue(&mut table, 100_000, at(0));
    let silent = table.open(at(500));
    for _ in 0..2 {
        let running = table.open(at(600));
        assert!(table.serve(running));
    }
    assert_eq!(table.make_room(at(2_000)), Some(silent));
    table.close(silent);
    assert!(table.serve(waiting));
    table.finish(waiting, at(2_100));
    table.queue(waiting, 100_000, at(2_100));
    assert_eq!(table.make_room(at(2_200)), None, "a client without a request does not wait");
}
