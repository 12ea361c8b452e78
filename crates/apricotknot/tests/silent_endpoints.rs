//! Gateway nodes as processes, in front of endpoints that are silent for a while and then go on.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::time::Duration;

use apricotknot_standin::users_platform::EndpointFault;
use apricotknot_standin::users_platform::EndpointServer;

use gateway_fleet::Fleet;
use gateway_fleet::expected_stream_body;
use gateway_fleet::lookup_request;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Silence after which another endpoint is tried, and that ends long before the call's deadline.
const SHORT_SILENCE: Duration = Duration::from_millis(4_200);

/// Silence beyond the call's deadline.
const LONG_SILENCE: Duration = Duration::from_secs(20);

/// Sends a stream that pauses for `silence` after two events, while the other engine has `other`;
/// returns the engine that was silent, and the other one.
///
/// # Panics
///
/// Panics if the stream is not complete.
fn stream_past_silence(
    fleet: &Fleet,
    silence: Duration,
    other: EndpointFault,
) -> [&EndpointServer; 2] {
    for engine in &fleet.engines {
        engine.set_fault(EndpointFault::Pause(2, silence));
    }
    std::thread::scope(|scope| {
        let answer = scope.spawn(|| fleet.nodes[0].send(&stream_request("silent", 1_000)));
        let engines = [[0, 1], [1, 0]].map(|order| order.map(|index| &fleet.engines[index]));
        let has_begun = |engines: &[&EndpointServer; 2]| !engines[0].executions().is_empty();
        wait_until("a stream has begun", || engines.iter().any(has_begun));
        let engines = engines.into_iter().find(has_begun).expect("an engine runs it");
        engines[1].set_fault(other);
        let answer = answer.join().expect("an answer");
        assert_eq!((answer.status, answer.is_complete), (200, true), "{answer:?}");
        assert_eq!(answer.body, expected_stream_body());
        engines
    })
}

/// Guards against a stream that is cut because its engine is silent, though it goes on: no other
/// engine takes it.
#[test]
fn a_silent_stream_goes_on_if_no_other_engine_takes_it() {
    let fleet = Fleet::start("silent-full", 1);
    let [silent, other] = stream_past_silence(&fleet, SHORT_SILENCE, EndpointFault::Full);
    assert_eq!(silent.abandoned_streams(), 0);
    assert!(!other.arrivals().is_empty(), "the other engine was tried");
    assert!(other.executions().is_empty());
}

#[test]
fn a_silent_stream_goes_on_if_the_other_engine_breaks_off() {
    let fleet = Fleet::start("silent-broken", 1);
    let [silent, other] =
        stream_past_silence(&fleet, SHORT_SILENCE, EndpointFault::DisconnectAfter(0));
    assert_eq!(silent.abandoned_streams(), 0);
    assert_eq!(other.executions().len(), 1);
}

/// Guards against two endpoints of which neither ends a stream, as each is silent in turn.
#[test]
fn the_first_engine_that_goes_on_continues_a_stream() {
    let fleet = Fleet::start("silent-both", 1);
    let other = EndpointFault::Pause(0, LONG_SILENCE);
    let [silent, other] = stream_past_silence(&fleet, SHORT_SILENCE, other);
    assert_eq!(silent.abandoned_streams(), 0);
    assert_eq!(other.executions()[0].last_event_id, Some(1));
    wait_until("the other engine is left", || other.abandoned_streams() == 1);
}

#[test]
fn an_engine_that_stays_silent_is_replaced_and_left() {
    let fleet = Fleet::start("silent-long", 1);
    let [silent, other] = stream_past_silence(&fleet, LONG_SILENCE, EndpointFault::None);
    assert_eq!(other.executions()[0].last_event_id, Some(1));
    wait_until("the silent engine is left", || silent.abandoned_streams() == 1);
}

/// Guards against a repeatable call that is lost though its endpoint answers in time.
#[test]
fn a_silent_call_is_answered_if_no_other_endpoint_takes_it() {
    let fleet = Fleet::start("silent-call", 1);
    fleet.set_plain_fault(EndpointFault::Pause(0, SHORT_SILENCE));
    std::thread::scope(|scope| {
        let answer = scope.spawn(|| fleet.nodes[0].send(&lookup_request("silent")));
        wait_until("the call runs", || !fleet.plain_runs().is_empty());
        for endpoint in &fleet.plain_endpoints {
            if endpoint.executions().is_empty() {
                endpoint.set_fault(EndpointFault::Full);
            }
        }
        let answer = answer.join().expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (200, "whole answer"), "{answer:?}");
    });
    assert_eq!(fleet.plain_runs().len(), 1);
}
