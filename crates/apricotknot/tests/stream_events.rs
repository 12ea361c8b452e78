//! Gateway nodes as processes, in front of endpoints whose events differ in their ids and lines.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use apricotknot_standin::users_platform::EndpointFault;
use apricotknot_standin::users_platform::EndpointServer;

use gateway_fleet::Fleet;
use gateway_fleet::expected_stream_body;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Checks that a stream with `body` is whole, and that it resumes after its third event, which has the id
/// `resumed_after`.
fn check_stream(fleet: &Fleet, body: &str, resumed_after: u64) {
    let whole = fleet.nodes[0].send(&stream_request("whole", 1_000));
    assert_eq!((whole.status, whole.is_complete, &*whole.body), (200, true, body), "{whole:?}");
    fleet.engines[0].set_fault(EndpointFault::DisconnectAfter(3));
    wait_until("a stream is truncated and resumes", || {
        let resumed = fleet.nodes[0].send(&stream_request("resumed", 1_000));
        assert_eq!((resumed.is_complete, &*resumed.body), (true, body), "{resumed:?}");
        let runs = fleet.engines[1].executions();
        runs.iter().any(|run| run.last_event_id == Some(resumed_after))
    });
}

/// Guards against a stream that is cut at its second event, as its ids rise by more than one.
#[test]
fn a_stream_whose_ids_rise_by_ten_is_whole_and_resumes() {
    let fleet = Fleet::start("ids", 1);
    for engine in &fleet.engines {
        engine.set_event_id_step(10);
    }
    let body = (0..EndpointServer::event_count())
        .map(|number| format!("id: {}\ndata: piece {number}\n\n", 10 * number))
        .collect::<String>();
    check_stream(&fleet, &body, 20);
}

/// Guards against a stream that is lost, as its lines end with CR LF.
#[test]
fn a_stream_whose_lines_end_with_cr_lf_is_whole_and_resumes() {
    let fleet = Fleet::start("lines", 1);
    for engine in &fleet.engines {
        engine.set_line_end("\r\n");
    }
    check_stream(&fleet, &expected_stream_body().replace('\n', "\r\n"), 2);
}
