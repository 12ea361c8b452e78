//! Gateway nodes as processes, in front of endpoints that state limits of their request rate.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::EndpointServer;

use gateway_fleet::Answer;
use gateway_fleet::Fleet;
use gateway_fleet::Node;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Callers that send one request after the other to each node.
const CALLERS_PER_NODE: usize = 2;

/// Time after the first limited answer from which the limit holds.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Time for which requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(4);

/// Ends the load when it is dropped, also by a failed check.
struct StopGuard<'a>(&'a AtomicBool);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Sends requests to all nodes while `check` runs; passes each answer to `on_answer`.
fn under_load(fleet: &Fleet, on_answer: impl Fn(Answer) + Sync, check: impl FnOnce()) {
    let (is_over, next_id) = (AtomicBool::new(false), AtomicUsize::new(0));
    let call = |node: &Node| {
        while !is_over.load(Ordering::Acquire) {
            let id = next_id.fetch_add(1, Ordering::Relaxed);
            on_answer(node.send(&stream_request(&format!("r{id}"), 1_000)));
            sleep(Duration::from_millis(5));
        }
    };
    thread::scope(|scope| {
        for node in &fleet.nodes {
            for _ in 0..CALLERS_PER_NODE {
                scope.spawn(|| call(node));
            }
        }
        let _guard = StopGuard(&is_over);
        check();
    });
}

/// Returns the requests that reach `engine` in [`COUNTED_TIME`], and the seconds that were counted.
fn count_requests(engine: &EndpointServer) -> (usize, f64) {
    let (before, began) = (engine.executions().len(), Instant::now());
    sleep(COUNTED_TIME);
    (engine.executions().len() - before, began.elapsed().as_secs_f64())
}

#[test]
fn endpoint_that_states_a_limit_gets_no_more_than_it_allows() {
    let fleet = Fleet::start("limit", 3);
    let refused = AtomicUsize::new(0);
    let on_answer = |answer: Answer| {
        _ = refused.fetch_add(usize::from(answer.status != 200), Ordering::Relaxed)
    };
    under_load(&fleet, on_answer, || {
        wait_until("both engines serve", || {
            fleet.engines.iter().all(|engine| !engine.executions().is_empty())
        });
        fleet.engines[0].set_rate_limit(Some("2"));
        let before = fleet.engines[0].executions().len();
        wait_until("a limited answer", || fleet.engines[0].executions().len() > before);
        sleep(SETTLING_TIME);
        let (limited, seconds) = count_requests(&fleet.engines[0]);
        let allowed = 2.0 * seconds * 1.5 + 5.0;
        assert!(limited as f64 <= allowed, "{limited} requests in {seconds} s, {allowed} allowed");
        assert!(limited >= 2, "the limit is used: {limited} requests");
        fleet.engines[0].set_rate_limit(None);
        let before = fleet.engines[0].executions().len();
        wait_until("the limit ends", || fleet.engines[0].executions().len() > before + 100);
    });
    assert_eq!(refused.into_inner(), 0, "the other engine serves what the limit leaves");
}

#[test]
fn request_that_the_limits_leave_no_room_for_is_refused_with_a_time_to_come_back() {
    let fleet = Fleet::start("limits", 2);
    for engine in &fleet.engines {
        engine.set_rate_limit(Some("0.5"));
    }
    let refusals = Mutex::new(Vec::new());
    let on_answer = |answer: Answer| {
        if answer.status != 200 {
            refusals.lock().expect("refusals").push(answer);
        }
    };
    under_load(&fleet, on_answer, || {
        wait_until("requests are refused", || refusals.lock().expect("refusals").len() > 20);
    });
    for refusal in refusals.into_inner().expect("refusals") {
        assert_eq!(refusal.status, 503, "{refusal:?}");
        assert!(refusal.head.contains("retry-after: "), "{refusal:?}");
        assert!(refusal.body.contains("\"executed\":\"no\""), "{refusal:?}");
    }
}
