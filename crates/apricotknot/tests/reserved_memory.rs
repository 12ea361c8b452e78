//! Memory that helpers reserve for a long prompt, as a gateway node uses it.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::EndpointFault;
use serde_json::Value;

use gateway_fleet::Fleet;
use gateway_fleet::read_answer;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Time for which reserved memory may stay unused.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Time from the start of the first attempt to the end of the last one.
const LONGEST_WAIT: Duration = Duration::from_secs(8);

/// Sets the longest time that operators let the routes of `fleet` wait, in milliseconds.
fn set_route_timeouts(fleet: &Fleet, millis: u64) {
    let bytes = fleet.store.value("op/config").expect("the configuration");
    let mut configuration: Value = serde_json::from_slice(&bytes).expect("JSON");
    configuration["version"] = (fleet.version + 1).into();
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = millis.into();
    }
    fleet.store.put("op/config", &configuration);
}

// Guards against memory that engines keep for a prompt which none of them begins.
#[test]
fn reserved_memory_that_no_engine_begins_to_use_is_released() {
    let limits = format!("revoke_ms = 3000\nreserved_idle_ms = {}", IDLE_LIMIT.as_millis());
    let fleet = Fleet::start_with("unused", 1, &limits);
    set_route_timeouts(&fleet, 30_000);
    wait_until("the configuration is applied", || {
        fleet.nodes[0].log_lines().iter().any(|line| line["version"] == fleet.version + 1)
    });
    for engine in &fleet.engines {
        engine.set_fault(EndpointFault::Silent);
    }
    let request = stream_request("long", 130_000)
        .replace("request-deadline: 8000", "request-deadline: 25000");
    let mut caller = TcpStream::connect(fleet.nodes[0].caller_address).expect("a connection");
    caller.write_all(request.as_bytes()).expect("the request is sent");
    let reserved = || fleet.engines.iter().map(|engine| engine.reserved_tokens()).sum::<u64>();
    wait_until("memory is reserved", || reserved() > 0);
    let began = Instant::now();
    let mut held_since = began;
    let mut longest = Duration::ZERO;
    wait_until("the call has ended and holds no memory", || {
        match reserved() {
            0 => held_since = Instant::now(),
            _ => longest = longest.max(held_since.elapsed()),
        }
        reserved() == 0 && began.elapsed() > LONGEST_WAIT
    });
    assert!(longest < IDLE_LIMIT, "memory was held unused for {longest:?}");
    assert_eq!(read_answer(&mut caller).status, 502);
}
