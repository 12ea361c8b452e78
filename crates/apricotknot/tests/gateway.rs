//! Gateway nodes as processes, in front of a stand-in of the users' platform.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with the soak test")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use apricotknot_standin::users_platform::EndpointFault;
use apricotknot_standin::users_platform::EndpointServer;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use gateway_fleet::Fleet;
use gateway_fleet::expected_stream_body;
use gateway_fleet::lookup_request;
use gateway_fleet::order_request;
use gateway_fleet::public_request;
use gateway_fleet::read_answer;
use gateway_fleet::read_raw_answer;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

#[test]
fn every_node_serves_every_kind_of_call() {
    let fleet = Fleet::start("serve", 3);
    for (index, node) in fleet.nodes.iter().enumerate() {
        let stream = node.send(&stream_request(&format!("stream-{index}"), 1_000));
        assert_eq!((stream.status, stream.is_complete), (200, true), "{stream:?}");
        assert_eq!(stream.body, expected_stream_body());
        assert!(stream.head.contains("response-seal: sealed"), "{stream:?}");
        let order = node.send(&order_request(&format!("order-{index}")));
        assert_eq!((order.status, order.body.as_str()), (200, "whole answer"));
        let lookup = node.send(&lookup_request(&format!("lookup-{index}")));
        assert_eq!(lookup.status, 200);
    }
    let runs = fleet.plain_runs();
    assert_eq!(runs.len(), 6);
    for run in &runs {
        assert_eq!(
            run.account.as_deref(),
            Some("office"),
            "the account that a caller sends is replaced"
        );
        assert_eq!(run.account_key, None, "the key of the caller is not forwarded");
        assert!(run.remaining_ms > 0 && run.remaining_ms <= 8_000);
    }
    assert!(runs.iter().any(|run| run.target == "/lookup/x?y=1"));
    assert!(runs.iter().any(|run| &run.body[..] == b"order"));
}

#[test]
fn unknown_routes_and_keys_are_refused() {
    let fleet = Fleet::start("refuse", 1);
    let node = &fleet.nodes[0];
    let unknown_route =
        node.send("GET /none/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: a\r\n\r\n");
    assert_eq!(unknown_route.status, 404);
    assert!(
        unknown_route.head.contains("request-id: a"),
        "an error answer names its request: {unknown_route:?}"
    );
    let unknown_key = lookup_request("b").replace(gateway_fleet::KEY, "another");
    assert_eq!(node.send(&unknown_key).status, 401);
    let without_request_id = "GET /lookup/x HTTP/1.1\r\nhost: shop.example\r\n\r\n";
    assert_eq!(node.send(without_request_id).status, 400);
    let long_header = lookup_request("c")
        .replace("request-id", &format!("x: {}\r\nrequest-id", "y".repeat(5_000)));
    assert_eq!(node.send(&long_header).status, 431);
    let large_body = "POST /order/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: d\r\ncontent-length: 99999\r\n\r\n";
    assert_eq!(node.send(large_body).status, 413);
    assert!(fleet.plain_runs().is_empty());
}

#[test]
fn a_truncated_stream_resumes_at_another_engine() {
    let fleet = Fleet::start("resume", 1);
    fleet.engines[0].set_fault(EndpointFault::DisconnectAfter(2));
    fleet.engines[1].set_fault(EndpointFault::DisconnectAfter(2));
    let truncated = fleet.nodes[0].send(&stream_request("cut", 1_000));
    assert!(!truncated.is_complete, "a truncated answer must not look complete: {truncated:?}");
    fleet.engines[1].set_fault(EndpointFault::None);
    fleet.engines[0].set_fault(EndpointFault::None);
    let cut_engine = usize::from(fleet.engines[0].executions().is_empty());
    fleet.engines[cut_engine].set_fault(EndpointFault::DisconnectAfter(3));
    wait_until("a stream is truncated and resumes", || {
        let resumed = fleet.nodes[0].send(&stream_request("resumed", 1_000));
        assert_eq!((resumed.status, resumed.is_complete), (200, true), "{resumed:?}");
        assert_eq!(resumed.body, expected_stream_body());
        fleet.engines[1 - cut_engine].executions().iter().any(|run| run.last_event_id == Some(2))
    });
}

#[test]
fn a_failed_resumption_is_not_written_into_a_started_answer() {
    check_failed_resumption("begun", EndpointFault::DisconnectAfterThenFail(2));
}

#[test]
fn a_message_in_plain_text_is_not_written_into_a_started_stream() {
    check_failed_resumption("message", EndpointFault::DisconnectAfterThenText(2));
}

/// Checks that a stream whose resumption fails as `fault` says ends visibly incomplete.
fn check_failed_resumption(name: &str, fault: EndpointFault) {
    let fleet = Fleet::start(name, 1);
    for engine in &fleet.engines {
        engine.set_fault(fault);
    }
    let raw = read_raw_answer(fleet.nodes[0].caller_address, &stream_request(name, 1_000));
    assert_eq!(raw.matches("HTTP/1.1").count(), 1, "{raw}");
    assert!(!raw.contains("upstream") && !raw.contains("whole answer"), "{raw}");
    assert!(raw.contains("piece 1") && !raw.ends_with("0\r\n\r\n"), "{raw}");
    let runs = fleet.engines.iter().flat_map(EndpointServer::executions);
    assert!(
        runs.filter(|run| run.last_event_id.is_some()).count() > 0,
        "the stream was resumed at another engine"
    );
}

#[test]
fn a_refusal_of_another_request_does_not_count_as_not_run() {
    let fleet = Fleet::start("another", 1);
    fleet.set_plain_fault(EndpointFault::RefuseAnother);
    let answer = fleet.nodes[0].send(&order_request("mine"));
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(answer.body.contains("\"executed\":\"unknown\""), "{answer:?}");
    assert_eq!(fleet.plain_runs().len(), 1, "the call was not sent again");
}

/// Guards against a call that runs twice: its endpoint ran it and answered with a status that tells
/// callers that it has not.
#[test]
fn a_refusal_that_does_not_say_not_run_is_no_promise_to_the_caller() {
    let fleet = Fleet::start("false-refusal", 1);
    for status in [503, 429, 408] {
        fleet.set_plain_fault(EndpointFault::FalseRefusal(status));
        let answer = fleet.nodes[0].send(&order_request(&format!("order-{status}")));
        assert_eq!(answer.status, 502, "{answer:?}");
        assert!(answer.body.contains("\"executed\":\"unknown\""), "{answer:?}");
        assert!(!answer.head.contains("response-seal"), "{answer:?}");
    }
    assert_eq!(fleet.plain_runs().len(), 3);
    fleet.set_plain_fault(EndpointFault::FalseRefusal(503));
    let repeatable = fleet.nodes[0].send(&lookup_request("lookup"));
    assert_eq!(repeatable.status, 503, "a repeatable call gets what its endpoint says");
    assert!(repeatable.head.contains("response-seal: sealed"), "{repeatable:?}");
}

#[test]
fn a_non_repeatable_call_is_sent_once() {
    let fleet = Fleet::start("once", 1);
    let node = &fleet.nodes[0];
    fleet.set_plain_fault(EndpointFault::DropAnswer);
    let lost = node.send(&order_request("lost"));
    assert_eq!(lost.status, 502, "a call that may have run is not reported as not executed");
    assert!(lost.body.contains("\"executed\":\"unknown\""));
    assert_eq!(fleet.plain_runs().len(), 1);
    fleet.set_plain_fault(EndpointFault::WrongRequestId);
    wait_until("the service gets calls again", || {
        node.send(&order_request("crossed")).status == 502
    });
    fleet.set_plain_fault(EndpointFault::Full);
    let before = fleet.plain_runs().len();
    wait_until("the service answers that it is full", || {
        let full = node.send(&order_request("full"));
        full.status == 503 && full.head.contains("retry-after: ")
    });
    assert_eq!(fleet.plain_runs().len(), before);
}

#[test]
fn a_failure_of_every_endpoint_is_forwarded_to_the_caller() {
    let fleet = Fleet::start("again", 1);
    fleet.set_plain_fault(EndpointFault::ServerError);
    let failed = fleet.nodes[0].send(&lookup_request("failed"));
    assert_eq!(failed.status, 500);
    assert!(
        failed.head.contains("response-seal"),
        "the failure is the answer of the endpoint: {failed:?}"
    );
}

#[test]
fn a_long_prompt_gets_a_prefill_helper() {
    let fleet = Fleet::start("share", 1);
    let long = fleet.nodes[0].send(&stream_request("long", 60_000));
    assert_eq!((long.status, long.is_complete), (200, true));
    let runs: Vec<_> = fleet.engines.iter().flat_map(EndpointServer::executions).collect();
    assert_eq!(runs.len(), 1);
    let helpers = runs[0].helpers.clone().expect("the request names a helper");
    let addresses: Vec<_> =
        fleet.engines.iter().map(|engine| engine.address().to_string()).collect();
    assert!(addresses.contains(&helpers), "the helper {helpers} is an engine that only prefills");
}

#[test]
fn a_prompt_larger_than_one_engine_uses_memory_of_two() {
    let fleet = Fleet::start("hold", 1);
    for engine in &fleet.engines {
        engine.set_event_interval(Duration::from_millis(150));
    }
    let huge = fleet.nodes[0].send(&stream_request("huge", 150_000));
    assert_eq!((huge.status, huge.is_complete), (200, true), "{huge:?}");
    let runs: Vec<_> = fleet.engines.iter().flat_map(EndpointServer::executions).collect();
    assert!(runs[0].helpers.as_deref().is_some_and(|helpers| helpers.contains('/')));
    wait_until("the memory is released", || {
        fleet.engines.iter().map(EndpointServer::reserved_tokens).sum::<u64>() == 0
            && fleet.engines.iter().map(EndpointServer::released_reservations).sum::<usize>() > 0
    });
    let refused = fleet.nodes[0].send(&stream_request("too-large", 900_000));
    assert_eq!(refused.status, 503, "a prompt larger than the fleet's memory is refused");
    assert!(refused.body.contains("\"executed\":\"no\""));
}

#[test]
fn a_revoked_key_is_refused_by_all_nodes() {
    let mut fleet = Fleet::start("revoke", 2);
    fleet.configure(&["key-two"]);
    for node in &fleet.nodes {
        wait_until("the key is refused", || node.send(&lookup_request("revoked")).status == 401);
    }
}

/// Guards against a client whose header ends the service of every node that it reaches.
#[test]
fn a_token_count_beyond_all_numbers_is_refused_and_stops_nothing() {
    let fleet = Fleet::start("token-count", 1);
    let node = &fleet.nodes[0];
    for count in ["45000,18446744073709551615", "18446744073709551615,18446744073709551615"] {
        let request = stream_request("huge", 1_000).replace("1000,300", count);
        assert!(request.contains(count), "{request}");
        let answer = node.send(&request);
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.contains("\"executed\":\"no\""), "{answer:?}");
    }
    let past_the_last_event = stream_request("event", 1_000)
        .replace("token-count", "last-event-id: 18446744073709551615\r\ntoken-count");
    let _ = node.send(&past_the_last_event);
    assert_eq!(node.send(&stream_request("sound", 1_000)).status, 200);
    assert!(node.is_ready());
}

/// Guards against a fleet that runs the requests of everybody once no account has a key left.
#[test]
fn the_last_revoked_key_opens_no_route() {
    let mut fleet = Fleet::start("last-key", 2);
    fleet.configure(&[]);
    for node in &fleet.nodes {
        wait_until("the key is refused", || node.send(&lookup_request("revoked")).status == 401);
    }
    fleet.nodes[1].restart();
    wait_until("the node is ready", || fleet.nodes[1].is_ready());
    let ran_before = fleet.plain_runs().len();
    let unknown_key = lookup_request("b").replace(gateway_fleet::KEY, "another");
    let without_key = lookup_request("c").replace("x-api-key: key-one\r\n", "");
    for node in &fleet.nodes {
        for request in [&lookup_request("a"), &unknown_key, &without_key] {
            assert_eq!(node.send(request).status, 401, "{request}");
        }
    }
    assert_eq!(fleet.plain_runs().len(), ran_before);
    fleet.configure(&[gateway_fleet::KEY]);
    for node in &fleet.nodes {
        wait_until("the key is back", || node.send(&lookup_request("back")).status == 200);
    }
}

#[test]
fn a_node_without_the_store_becomes_unready_and_refuses_calls() {
    let fleet = Fleet::start("blind", 1);
    fleet.store.set_down(true);
    wait_until("the node is not ready", || !fleet.nodes[0].is_ready());
    let refused = fleet.nodes[0].send(&lookup_request("blind"));
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: "));
    fleet.store.set_down(false);
    wait_until("the node is ready again", || fleet.nodes[0].is_ready());
    assert_eq!(fleet.nodes[0].send(&lookup_request("seeing")).status, 200);
}

/// Guards against a wrong 404 or 401: while the store is unreachable, an unknown route or key may
/// have been added there, so the node must not answer that it does not exist.
#[test]
fn a_node_without_the_store_answers_503_for_unknown_routes_and_keys() {
    let fleet = Fleet::start_with("unsure", 1, "revoke_ms = 60000\napply_ms = 2500");
    let node = &fleet.nodes[0];
    let unknown_route = "GET /none/x HTTP/1.1\r\nhost: shop.example\r\nrequest-id: a\r\n\r\n";
    let unknown_key = lookup_request("b").replace(gateway_fleet::KEY, "another");
    assert_eq!((node.send(unknown_route).status, node.send(&unknown_key).status), (404, 401));
    fleet.store.set_down(true);
    wait_until("an unknown route is answered with 503", || node.send(unknown_route).status == 503);
    let unverified = node.send(&unknown_key);
    assert_eq!(unverified.status, 503);
    assert!(unverified.head.contains("retry-after: "));
    assert_eq!(node.send(&lookup_request("known")).status, 200);
}

/// Guards against the account of a key that was taken away, on a public route: a node that the store
/// turns away cannot know whose key it is, and serves only requests without one.
#[test]
fn a_node_without_the_store_names_no_account_on_a_public_route() {
    let mut fleet = Fleet::start("vouch", 1);
    let send = |fleet: &Fleet, id: &str, key: Option<&str>| {
        let answer = fleet.nodes[0].send(&public_request(id, key));
        let run = fleet.plain_runs().into_iter().find(|run| run.request_id == id);
        (answer, run.map(|run| run.account))
    };
    let held = |fleet: &Fleet, id: &str| send(fleet, id, Some(gateway_fleet::KEY));
    let office = Some("office".to_owned());
    assert_eq!(held(&fleet, "held").1, Some(office.clone()));
    assert_eq!(send(&fleet, "other", Some("another")).1, Some(None));
    fleet.store.set_down(true);
    fleet.configure(&["key-two"]);
    wait_until("the node is not ready", || !fleet.nodes[0].is_ready());
    for (id, key) in [("taken", gateway_fleet::KEY), ("added", "key-two"), ("strange", "another")] {
        let (answer, run) = send(&fleet, id, Some(key));
        assert_eq!((answer.status, run), (503, None), "{id}: {answer:?}");
        assert!(answer.head.contains("retry-after: "), "{answer:?}");
        assert!(answer.body.contains("\"executed\":\"no\""), "{answer:?}");
    }
    let (answer, run) = send(&fleet, "keyless", None);
    assert_eq!((answer.status, run), (200, Some(None)), "{answer:?}");
    fleet.store.set_down(false);
    wait_until("the node is ready", || fleet.nodes[0].is_ready());
    assert_eq!(send(&fleet, "added-back", Some("key-two")).1, Some(office));
    assert_eq!(held(&fleet, "taken-back").1, Some(None));
}

#[test]
fn a_node_rereads_the_store_after_compaction() {
    let mut fleet = Fleet::start("compact", 1);
    fleet.store.compact_history();
    fleet.configure(&["key-two"]);
    fleet.store.compact_history();
    wait_until("the new keys are in force", || {
        fleet.nodes[0].send(&lookup_request("compact")).status == 401
    });
}

#[test]
fn draining_endpoints_and_evacuated_data_centres_get_no_calls() {
    let fleet = Fleet::start("leave", 1);
    let node = &fleet.nodes[0];
    fleet.announce("engine-1", "model", &fleet.engines[0], "draining");
    fleet.store.put_bytes("servers/strange", b"no entry at all");
    wait_until("the first engine gets no calls", || {
        let before = fleet.engines[0].executions().len();
        for index in 0..4 {
            assert_eq!(node.send(&stream_request(&format!("leave-{index}"), 1_000)).status, 200);
        }
        fleet.engines[0].executions().len() == before
    });
    fleet.store.put("op/evacuate/north", &serde_json::json!({}));
    wait_until("the data centre gets no calls", || {
        node.send(&stream_request("emptied", 1_000)).status == 503
    });
    fleet.store.remove("op/evacuate/north");
    wait_until("the data centre gets calls again", || {
        node.send(&stream_request("back", 1_000)).status == 200
    });
}

#[test]
fn a_disconnect_of_the_caller_cancels_its_stream() {
    let fleet = Fleet::start("gone", 1);
    for engine in &fleet.engines {
        engine.set_event_interval(Duration::from_millis(500));
    }
    let mut stream =
        TcpStream::connect(fleet.nodes[0].caller_address).expect("a connection is opened");
    stream.write_all(stream_request("left", 1_000).as_bytes()).expect("the request is sent");
    wait_until("the stream is running", || {
        fleet.engines.iter().any(|engine| !engine.executions().is_empty())
    });
    drop(stream);
    wait_until("the engine cancels the stream", || {
        fleet.engines.iter().any(|engine| engine.abandoned_streams() == 1)
    });
}

#[test]
fn a_graceful_shutdown_completes_streams_in_flight() {
    let mut fleet = Fleet::start("stop", 1);
    for engine in &fleet.engines {
        engine.set_event_interval(Duration::from_millis(300));
    }
    let mut stream =
        TcpStream::connect(fleet.nodes[0].caller_address).expect("a connection is opened");
    stream.write_all(stream_request("slow", 1_000).as_bytes()).expect("the request is sent");
    sleep(Duration::from_millis(400));
    fleet.nodes[0].signal("-HUP");
    fleet.nodes[0].signal("-TERM");
    let slow = read_answer(&mut stream);
    assert_eq!((slow.status, slow.is_complete), (200, true), "{slow:?}");
    assert_eq!(slow.body, expected_stream_body());
    assert_eq!(fleet.nodes[0].wait_for_exit(), Some(0));
    // The node removes its registration, so that other nodes need not wait until its lease expires.
    assert!(fleet.store.keys("apricotknot/nodes/").is_empty());
}

#[test]
fn a_planned_stop_waits_until_slow_callers_have_read_their_answers() {
    /// Far more than the buffers of the system hold for one connection.
    const ANSWER_BYTES: usize = 3_900_000;
    let mut fleet = Fleet::start("unread", 1);
    fleet.set_plain_fault(EndpointFault::LargeAnswer(ANSWER_BYTES));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    socket.connect(&fleet.nodes[0].caller_address.into()).expect("a connection is opened");
    let mut stream = TcpStream::from(socket);
    stream.write_all(order_request("unread").as_bytes()).expect("the request is sent");
    wait_until("the service has run the call", || fleet.plain_runs().len() == 1);
    sleep(Duration::from_millis(200));
    fleet.nodes[0].signal("-TERM");
    wait_until("the node accepts no more requests", || {
        let lines = fleet.nodes[0].log_lines();
        lines.iter().any(|line| line["msg"] == "node: closed to requests")
    });
    sleep(Duration::from_secs(1));
    let answer = read_answer(&mut stream);
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body.len(), ANSWER_BYTES);
    assert_eq!(fleet.nodes[0].wait_for_exit(), Some(0));
}

#[test]
fn a_stopping_node_refuses_new_requests() {
    let mut fleet = Fleet::start("late", 1);
    for engine in &fleet.engines {
        engine.set_event_interval(Duration::from_millis(800));
    }
    let node = &fleet.nodes[0];
    let mut idle_connection =
        TcpStream::connect(node.caller_address).expect("a connection is opened");
    idle_connection.write_all(lookup_request("before").as_bytes()).expect("the request is sent");
    assert_eq!(read_answer(&mut idle_connection).status, 200);
    let mut stream = TcpStream::connect(node.caller_address).expect("a connection is opened");
    stream.write_all(stream_request("slow", 1_000).as_bytes()).expect("the request is sent");
    wait_until("the stream is running", || {
        fleet.engines.iter().any(|engine| !engine.executions().is_empty())
    });
    node.signal("-TERM");
    wait_until("the node accepts no more requests", || {
        node.log_lines().iter().any(|line| line["msg"] == "node: closed to requests")
    });
    idle_connection.write_all(order_request("late").as_bytes()).expect("the request is sent");
    let late = read_answer(&mut idle_connection);
    assert_eq!(late.status, 503, "{late:?}");
    assert!(late.body.contains("\"executed\":\"no\"") && late.head.contains("connection: close"));
    let slow = read_answer(&mut stream);
    assert_eq!((slow.status, slow.is_complete), (200, true), "{slow:?}");
    assert!(fleet.plain_runs().iter().all(|run| run.request_id != "late"));
    assert_eq!(fleet.nodes[0].wait_for_exit(), Some(0));
}

#[test]
fn the_log_records_placement_and_outcome_of_a_request() {
    let fleet = Fleet::start("log", 1);
    assert_eq!(fleet.nodes[0].send(&stream_request("told", 1_000)).status, 200);
    wait_until("both log lines are written", || {
        let lines = fleet.nodes[0].log_lines();
        let find_line = |message: &str| {
            lines.iter().find(|line| line["msg"] == message && line["request"] == "told").cloned()
        };
        let (Some(placed), Some(completed)) = (find_line("call: placed"), find_line("call: over"))
        else {
            return false;
        };
        assert_eq!(placed["version"], fleet.version);
        assert!(placed["knowledge_ms"].is_u64());
        assert_eq!(
            (&completed["outcome"], &completed["executed"]),
            (&"answered".into(), &"yes".into())
        );
        assert_eq!(completed["endpoint"], placed["endpoint"]);
        true
    });
}

#[test]
fn nodes_register_in_the_store() {
    let fleet = Fleet::start("find", 3);
    wait_until("all nodes are registered", || fleet.store.keys("apricotknot/nodes/").len() == 3);
    assert_eq!(fleet.store.keys("apricotknot/peer-secret").len(), 1);
}
