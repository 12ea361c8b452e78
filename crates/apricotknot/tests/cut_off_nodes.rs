//! Gateway nodes as processes, one of which loses its links to all endpoints.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/fault_proxy.rs"]
mod fault_proxy;
#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::EndpointServer;
use apricotknot_standin::users_platform::ExecutionRecord;

use fault_proxy::Admission;
use fault_proxy::FaultProxy;
use fault_proxy::LinkDirection;
use gateway_fleet::Fleet;
use gateway_fleet::Node;
use gateway_fleet::expected_stream_body;
use gateway_fleet::lookup_request;
use gateway_fleet::next_node_address;
use gateway_fleet::order_request;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;

/// Time from the start of a cut from which first attempts count.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Rounds of requests, one of each kind, that are counted.
const COUNTED_ROUNDS: usize = 8;

/// Prompt that is read in parts by all engines, in tokens.
const LONG_PROMPT: u64 = 130_000;

/// What becomes of the connections between a node and endpoints in a cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CutManner {
    /// All connections hang, and so do new ones.
    Silent,
    /// All connections are reset, and new ones refused.
    Reset,
    /// Connections live on, and new ones are refused.
    NewRefused,
}

/// A fleet whose last node reaches the endpoints over links of its own.
struct CutFleet {
    fleet: Fleet,
    links: Vec<FaultProxy>,
}

impl CutFleet {
    /// Starts `others` nodes with sound links, and one more.
    fn start(name: &str, others: usize) -> Self {
        let mut fleet = Fleet::start(name, others);
        let endpoints = fleet.engines.iter().chain(&fleet.plain_endpoints);
        let endpoints: Vec<_> = endpoints.map(EndpointServer::address).collect();
        let links: Vec<FaultProxy> = endpoints
            .iter()
            .map(|endpoint| FaultProxy::start_at(next_node_address(), *endpoint))
            .collect();
        let replacements = endpoints.iter().zip(&links);
        let replacements =
            replacements.map(|(endpoint, link)| (endpoint.to_string(), link.address().to_string()));
        fleet.add_node(name, replacements.collect(), |address| address);
        Self { fleet, links }
    }

    fn cut_node(&self) -> &Node {
        self.fleet.nodes.last().expect("a node")
    }

    fn cut(&self, manner: CutManner) {
        for link in &self.links {
            link.set_admission(match manner {
                CutManner::Silent => Admission::Unanswered,
                CutManner::Reset | CutManner::NewRefused => Admission::Refused,
            });
            match manner {
                CutManner::Silent => self.set_blocked(true),
                CutManner::Reset => link.reset_all(),
                CutManner::NewRefused => {},
            }
        }
    }

    fn heal(&self) {
        self.set_blocked(false);
        for link in &self.links {
            link.set_admission(Admission::Open);
        }
    }

    fn set_blocked(&self, is_blocked: bool) {
        for link in &self.links {
            link.set_blocked(LinkDirection::ToTarget, is_blocked);
            link.set_blocked(LinkDirection::ToClient, is_blocked);
        }
    }

    /// Returns how many connections the last node has opened over its own links.
    fn own_connections(&self) -> usize {
        self.links.iter().map(FaultProxy::accepted).sum()
    }

    fn executions(&self) -> Vec<ExecutionRecord> {
        let engines = self.fleet.engines.iter().flat_map(EndpointServer::executions);
        engines.chain(self.fleet.plain_runs()).collect()
    }
}

/// Sends one request of each kind; returns how many were served completely, of how many.
fn send_round(node: &Node, name: &str) -> (usize, usize) {
    let streams = [("short", 1_000), ("long", LONG_PROMPT)].map(|(kind, prompt)| {
        let answer = node.send(&stream_request(&format!("{name}-{kind}"), prompt));
        answer.status == 200 && answer.is_complete && answer.body == expected_stream_body()
    });
    let calls = [
        node.send(&order_request(&format!("{name}-order"))),
        node.send(&lookup_request(&format!("{name}-lookup"))),
    ]
    .map(|answer| answer.status == 200 && answer.body == "whole answer");
    let served = streams.iter().chain(&calls).filter(|is_served| **is_served).count();
    (served, streams.len() + calls.len())
}

/// Sends rounds to `node` until `length` has passed.
fn send_for(node: &Node, name: &str, length: Duration) {
    let end = Instant::now() + length;
    let mut round = 0;
    while Instant::now() < end {
        send_round(node, &format!("{name}-{round}"));
        sleep(Duration::from_millis(20));
        round += 1;
    }
}

fn check_cut(name: &str, manner: CutManner) {
    let fleet = CutFleet::start(name, 2);
    let node = fleet.cut_node();
    assert_eq!(send_round(node, "before"), (4, 4), "{manner:?}");
    fleet.cut(manner);
    send_for(node, "settling", SETTLING_TIME);
    let (mut served, mut sent) = (0, 0);
    for round in 0..COUNTED_ROUNDS {
        let (round_served, round_sent) = send_round(node, &format!("cut-{round}"));
        (served, sent) = (served + round_served, sent + round_sent);
    }
    println!("{manner:?}: served {served} of {sent} first attempts");
    assert!(
        served * 3 >= sent * 2,
        "{manner:?}: a node without links served {served} of {sent} first attempts"
    );
    fleet.heal();
    let before = fleet.own_connections();
    wait_until("the node uses its own links again", || {
        send_round(node, "healing");
        fleet.own_connections() > before + 12
    });
    let mut runs = BTreeMap::<String, usize>::new();
    for run in fleet.executions().iter().filter(|run| run.target == "/order/x") {
        *runs.entry(run.request_id.clone()).or_default() += 1;
    }
    runs.remove("healing-order");
    assert!(runs.values().all(|count| *count == 1), "{manner:?}: {runs:?}");
}

#[test]
fn node_whose_links_to_all_endpoints_hang_serves_its_callers() {
    check_cut("hanging", CutManner::Silent);
}

#[test]
fn node_whose_links_to_all_endpoints_are_reset_serves_its_callers() {
    check_cut("reset", CutManner::Reset);
}

#[test]
fn node_that_all_endpoints_refuse_serves_its_callers() {
    check_cut("refused", CutManner::NewRefused);
}

#[test]
fn node_that_is_cut_off_serves_its_callers_while_its_peers_end_one_after_the_other() {
    let fleet = CutFleet::start("ending-peers", 3);
    fleet.cut(CutManner::Silent);
    send_for(fleet.cut_node(), "settling", SETTLING_TIME);
    let (mut served, mut sent) = (0, 0);
    for round in 0..COUNTED_ROUNDS {
        match round {
            2 => fleet.fleet.nodes[0].signal("-KILL"),
            4 => fleet.fleet.nodes[1].signal("-TERM"),
            _ => {},
        }
        let (round_served, round_sent) = send_round(fleet.cut_node(), &format!("cut-{round}"));
        (served, sent) = (served + round_served, sent + round_sent);
    }
    assert!(served * 3 >= sent * 2, "served {served} of {sent} first attempts");
    println!("served {served} of {sent} first attempts");
    let executions = fleet.executions();
    for round in 0..COUNTED_ROUNDS {
        let id = format!("cut-{round}-order");
        let runs = executions.iter().filter(|run| run.request_id == id).count();
        assert!(runs <= 1, "{runs} runs of {id}");
    }
}
