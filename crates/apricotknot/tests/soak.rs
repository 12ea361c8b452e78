//! Soak test: node processes under random faults, checked against the answers that callers receive
//! and the requests that endpoints run.
//!
//! Faults are injected from outside the processes: at connections, endpoints and the store, and by
//! signals. To run other seeds:
//!
//! ```text
//! SOAK_SEEDS=100..150 cargo test --release --test soak by_hand -- --ignored --nocapture
//! ```
//!
//! `SOAK_NODES` sets the number of nodes, from two on. With `SOAK_OTHER_PROGRAM`, the path of a
//! program of another build, nodes start as that build, and each restart chooses one of both.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/fault_proxy.rs"]
mod fault_proxy;
#[allow(dead_code, reason = "shared with the tests of single faults")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;
#[path = "support/soak_callers.rs"]
mod soak_callers;
#[path = "support/soak_checks.rs"]
mod soak_checks;
#[path = "support/soak_fault.rs"]
mod soak_fault;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::DutyFault;
use apricotknot_standin::users_platform::EndpointFault;
use apricotknot_standin::users_platform::EndpointServer;
use apricotknot_standin::users_platform::MetadataCopy;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use fault_proxy::Admission;
use fault_proxy::FaultProxy;
use fault_proxy::LinkDirection;
use gateway_fleet::Fleet;
use gateway_fleet::KEY;
use gateway_fleet::lookup_request;
use gateway_fleet::next_node_address;
use gateway_fleet::order_request;
use gateway_fleet::own_program;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;
use soak_callers::REVOKED_KEY;
use soak_callers::SoakLog;
use soak_callers::lock;
use soak_callers::start_callers;
use soak_checks::check_duties;
use soak_checks::check_runs;
use soak_fault::SIGNAL_SERIES;
use soak_fault::SoakFault;
use soak_fault::endpoint_id;
use soak_fault::random_endpoint_fault;
use soak_fault::set_blocked;

/// Seeds that every test run uses. A seed that fails is added here, with the cause of the failure.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Time during which new faults begin.
const FAULT_PHASE: Duration = Duration::from_secs(5);

/// Time between the starts of two faults, in milliseconds.
const FAULT_INTERVALS_MS: std::ops::Range<u64> = 50..500;

/// Duration of a fault, in milliseconds.
const FAULT_DURATIONS_MS: std::ops::Range<u64> = 100..1_800;

/// Delay of a slow connection, in milliseconds.
const LINK_DELAYS_MS: std::ops::Range<u64> = 20..300;

/// Time between two signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(60);

/// Rate of requests, in requests per second, that a limited endpoint names.
const NAMED_RATE_LIMIT: &str = "2.5";

/// Backoff, in seconds, that an endpoint asks for.
const NAMED_RETRY_AFTER: &str = "0.7";

/// Time after which the API for duties carries out calls without an answer.
const LATE_CALL: Duration = Duration::from_millis(2_500);

/// Index of the store among the proxies.
const STORE: usize = 4;

/// Time after the store came back from a copy until operators and endpoints write again.
const REWRITE_DELAY: Duration = Duration::from_millis(400);

/// Number of nodes, unless `SOAK_NODES` names another one.
const DEFAULT_NODE_COUNT: usize = 3;

/// Runs one seed.
struct Soak {
    fleet: Fleet,
    /// Proxies for the four endpoints and the store.
    proxies: Vec<FaultProxy>,
    /// Proxies over which the last node alone reaches the four endpoints and the store.
    links: Vec<FaultProxy>,
    log: Arc<SoakLog>,
    random: StdRng,
    /// Copies of the store that it comes back from.
    copies: Vec<MetadataCopy>,
    /// Faults in progress, with the times at which they end.
    active_faults: Vec<(Instant, SoakFault)>,
    started_at: Instant,
    /// Program of another build, if there is one.
    other_program: Option<PathBuf>,
    /// Descriptions of all faults, with their start times and durations.
    history: Vec<String>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let mut proxies = Vec::new();
        let name = format!("soak-{seed}");
        // Nodes of a build before duties do not know their settings.
        let has_duties = std::env::var_os("SOAK_OTHER_PROGRAM").is_none();
        let mut fleet = Fleet::start_with_proxies(&name, node_count() - 1, has_duties, |address| {
            proxies.push(FaultProxy::start(address));
            proxies.last().map_or(address, FaultProxy::address)
        });
        let endpoints = fleet.engines.iter().chain(&fleet.plain_endpoints);
        let shared: Vec<_> = endpoints.map(|endpoint| fleet.proxied_address(endpoint)).collect();
        let start_link = |address| FaultProxy::start_at(next_node_address(), address);
        let mut links: Vec<FaultProxy> = shared.iter().copied().map(start_link).collect();
        let replacements = shared
            .iter()
            .zip(&links)
            .map(|(address, link)| (address.to_string(), link.address().to_string()));
        fleet.add_node(&name, replacements.collect(), |address| {
            links.push(start_link(address));
            links.last().map_or(address, FaultProxy::address)
        });
        let log = SoakLog::new(fleet.nodes.iter().map(|node| node.caller_address));
        Self {
            fleet,
            proxies,
            links,
            log: Arc::new(log),
            random: StdRng::seed_from_u64(seed),
            copies: Vec::new(),
            active_faults: Vec::new(),
            started_at: Instant::now(),
            other_program: std::env::var_os("SOAK_OTHER_PROGRAM").map(PathBuf::from),
            history: Vec::new(),
        }
    }

    /// Runs one seed and returns the violated guarantees, followed by the faults and the log paths.
    fn run(seed: u64) -> Vec<String> {
        let mut soak = Self::start(seed);
        soak.begin_with_other_program();
        soak.fleet.configure(&[KEY, REVOKED_KEY]);
        let with_revoked_key = lookup_request("begin").replace(KEY, REVOKED_KEY);
        for node in &soak.fleet.nodes {
            wait_until("both keys are in force", || node.send(&with_revoked_key).status == 200);
        }
        let callers = start_callers(&soak.log, seed);
        let end = Instant::now() + FAULT_PHASE;
        while Instant::now() < end {
            soak.begin_fault();
            let gap = soak.random.random_range(FAULT_INTERVALS_MS);
            sleep(Duration::from_millis(gap));
            soak.end_faults(Instant::now());
        }
        while let Some((end, _)) = soak.active_faults.iter().max_by_key(|(end, _)| *end) {
            let end = *end;
            soak.end_faults(end);
        }
        soak.check_recovery();
        soak.log.is_finished.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().expect("a caller finishes");
        }
        wait_until("all memory at engines is released", || {
            soak.fleet.engines.iter().all(|engine| engine.reserved_tokens() == 0)
        });
        check_runs(&soak.fleet, &soak.log);
        check_duties(&soak.fleet, &soak.log);
        let mut violations = std::mem::take(&mut *lock(&soak.log.violations));
        if !violations.is_empty() {
            violations.extend(soak.history);
            violations.extend(soak.fleet.nodes.iter().map(|node| format!("log {:?}", node.log)));
        }
        violations
    }

    /// Starts a random fault, unless it is a signal to a node that is signalled already.
    fn begin_fault(&mut self) {
        let (proxy, node) =
            (self.random.random_range(0..5), self.random.random_range(0..self.fleet.nodes.len()));
        let endpoint = self.random.random_range(0..4);
        // A build before does not know that a refusal may be none.
        let has_false_refusals = self.other_program.is_none();
        let endpoint_fault = random_endpoint_fault(&mut self.random, has_false_refusals);
        let fault = match self.random.random_range(0..33) {
            0 => SoakFault::LinkDelay(proxy, self.random.random_range(LINK_DELAYS_MS)),
            1 => SoakFault::LinkBlocked(proxy, LinkDirection::ToTarget),
            2 => SoakFault::LinkBlocked(proxy, LinkDirection::ToClient),
            3 => SoakFault::LinkBlockedBothWays(proxy),
            4 => SoakFault::LinkReset(proxy),
            5..7 => SoakFault::Endpoint(endpoint, endpoint_fault),
            7..10 => SoakFault::Service(endpoint / 2, endpoint_fault),
            10 => SoakFault::EndpointDraining(endpoint),
            11..14 => SoakFault::Signals(node, self.random.random_range(0..SIGNAL_SERIES.len())),
            14 => SoakFault::StoreDown,
            15 | 16 => SoakFault::StoreRestored(self.copies.len()),
            17 | 18 => SoakFault::RateLimited(endpoint),
            20 => SoakFault::BackoffRequested(endpoint),
            21 => SoakFault::Leaving(endpoint),
            22 | 23 => SoakFault::NodeCut(Admission::Refused),
            24 | 25 => SoakFault::NodeCut(Admission::Unanswered),
            26 | 27 => SoakFault::LinkSilenced(STORE),
            28 => SoakFault::LinkSilenced(endpoint),
            29 => SoakFault::EndpointRemoved(endpoint),
            30 => SoakFault::DutyApi(DutyFault::Silent),
            31 => SoakFault::DutyApi(DutyFault::Late(LATE_CALL)),
            32 => SoakFault::DutyApi(DutyFault::Status(503)),
            _ if lock(&self.log.revoked_at).is_none() => SoakFault::KeyRevoked,
            _ => SoakFault::StoreCompacted,
        };
        let is_signalled = |(_, other): &(Instant, SoakFault)| {
            matches!((other, fault), (SoakFault::Signals(one, _), SoakFault::Signals(two, _))
                if *one == two)
        };
        if self.active_faults.iter().any(is_signalled) {
            return;
        }
        let length = Duration::from_millis(self.random.random_range(FAULT_DURATIONS_MS));
        self.history.push(format!("{:?} {fault:?} for {length:?}", self.started_at.elapsed()));
        self.apply(fault);
        self.active_faults.push((Instant::now() + length, fault));
    }

    fn apply(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::LinkDelay(proxy, delay) => {
                let delay = Duration::from_millis(delay);
                self.ways_to(proxy).for_each(|way| way.set_delay(delay));
            },
            SoakFault::LinkBlocked(proxy, direction) => {
                self.ways_to(proxy).for_each(|way| way.set_blocked(direction, true));
            },
            SoakFault::LinkBlockedBothWays(proxy) => {
                self.ways_to(proxy).for_each(|way| set_blocked(way, true));
            },
            SoakFault::LinkReset(proxy) => self.ways_to(proxy).for_each(FaultProxy::reset_all),
            SoakFault::LinkSilenced(proxy) => {
                self.ways_to(proxy).for_each(FaultProxy::silence_open);
            },
            SoakFault::EndpointRemoved(endpoint) => {
                self.fleet.store.remove(&format!("servers/{}", endpoint_id(endpoint)));
            },
            SoakFault::BackoffRequested(endpoint) => {
                self.endpoint(endpoint).set_retry_after(Some(NAMED_RETRY_AFTER))
            },
            SoakFault::Leaving(endpoint) => self.endpoint(endpoint).set_leaving(true),
            SoakFault::NodeCut(admission) => {
                for link in &self.links[..STORE] {
                    link.set_admission(admission);
                    match admission {
                        Admission::Unanswered => set_blocked(link, true),
                        Admission::Open | Admission::Refused => link.reset_all(),
                    }
                }
            },
            SoakFault::Endpoint(endpoint, endpoint_fault) => {
                self.endpoint(endpoint).set_fault(endpoint_fault)
            },
            SoakFault::Service(service, endpoint_fault) => {
                self.set_service_fault(service, endpoint_fault)
            },
            SoakFault::EndpointDraining(endpoint) => self.announce(endpoint, "draining"),
            SoakFault::RateLimited(endpoint) => {
                self.endpoint(endpoint).set_rate_limit(Some(NAMED_RATE_LIMIT));
            },
            SoakFault::Signals(node, series) => {
                self.log.nodes[node].set_disturbed(true);
                for signal in SIGNAL_SERIES[series] {
                    self.fleet.nodes[node].signal(signal);
                    sleep(SIGNAL_PAUSE);
                }
            },
            SoakFault::StoreDown => self.fleet.store.set_down(true),
            SoakFault::StoreCompacted => self.fleet.store.compact_history(),
            SoakFault::StoreRestored(_) => self.copies.push(self.fleet.store.copy()),
            SoakFault::StoreOutdated => {},
            SoakFault::DutyApi(fault) => self.set_duty_fault(fault),
            SoakFault::KeyRevoked => {
                self.fleet.configure(&[KEY]);
                *lock(&self.log.revoked_at) = Some(Instant::now());
            },
        }
    }

    /// Reverts all faults that end by `now`.
    fn end_faults(&mut self, now: Instant) {
        let active_faults = std::mem::take(&mut self.active_faults);
        let (ended, active_faults) = active_faults.into_iter().partition(|(end, _)| *end <= now);
        self.active_faults = active_faults;
        let ended: Vec<(Instant, SoakFault)> = ended;
        for (_, fault) in ended {
            self.revert(fault);
        }
    }

    fn revert(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::LinkDelay(proxy, _) => {
                self.ways_to(proxy).for_each(|way| way.set_delay(Duration::ZERO));
            },
            SoakFault::LinkBlocked(proxy, _) | SoakFault::LinkBlockedBothWays(proxy) => {
                self.ways_to(proxy).for_each(|way| set_blocked(way, false));
            },
            SoakFault::BackoffRequested(endpoint) => self.endpoint(endpoint).set_retry_after(None),
            SoakFault::Leaving(endpoint) => {
                self.endpoint(endpoint).set_leaving(false);
                self.fleet.begin_lifetime(&endpoint_id(endpoint));
                self.announce(endpoint, "ready");
            },
            SoakFault::NodeCut(_) => {
                for link in &self.links[..STORE] {
                    link.set_admission(Admission::Open);
                    set_blocked(link, false);
                }
            },
            SoakFault::Endpoint(endpoint, _) => {
                self.endpoint(endpoint).set_fault(EndpointFault::None);
            },
            SoakFault::Service(service, _) => {
                self.set_service_fault(service, EndpointFault::None);
            },
            SoakFault::EndpointDraining(endpoint) | SoakFault::EndpointRemoved(endpoint) => {
                self.announce(endpoint, "ready");
            },
            SoakFault::RateLimited(endpoint) => self.endpoint(endpoint).set_rate_limit(None),
            SoakFault::Signals(node, series) => {
                match SIGNAL_SERIES[series] {
                    ["-STOP"] => self.fleet.nodes[node].signal("-CONT"),
                    _ => {
                        let program = self.choose_program();
                        self.fleet.nodes[node].restart_as(&program);
                    },
                }
                self.log.nodes[node].set_disturbed(false);
            },
            SoakFault::StoreDown => self.fleet.store.set_down(false),
            SoakFault::StoreRestored(copy) => {
                self.fleet.store.restore(self.copies[copy].clone());
                let end = Instant::now() + REWRITE_DELAY;
                self.active_faults.push((end, SoakFault::StoreOutdated));
            },
            SoakFault::StoreOutdated => self.write_again(),
            SoakFault::DutyApi(_) => self.set_duty_fault(DutyFault::None),
            SoakFault::LinkReset(_)
            | SoakFault::LinkSilenced(_)
            | SoakFault::StoreCompacted
            | SoakFault::KeyRevoked => {},
        }
    }

    /// Returns the program that a node starts with: that of one of both builds, if there are two.
    fn choose_program(&mut self) -> PathBuf {
        match &self.other_program {
            Some(program) if self.random.random_bool(0.5) => program.clone(),
            _ => own_program().to_owned(),
        }
    }

    /// Replaces all nodes by those of the other build, if there is one.
    fn begin_with_other_program(&mut self) {
        let Some(program) = self.other_program.clone() else {
            return;
        };
        for node in &mut self.fleet.nodes {
            node.restart_as(&program);
            wait_until("a node of the other build is ready", || node.is_ready());
        }
    }

    /// Writes what operators and endpoints have written and the store may have lost.
    fn write_again(&self) {
        let is_revoked = lock(&self.log.revoked_at).is_some();
        let keys: &[&str] = if is_revoked { &[KEY] } else { &[KEY, REVOKED_KEY] };
        self.fleet.write_configuration(keys);
        for index in 0..4 {
            let is_draining = self.active_faults.iter().any(|(_, fault)| {
                matches!(fault, SoakFault::EndpointDraining(draining) if *draining == index)
            });
            self.announce(index, if is_draining { "draining" } else { "ready" });
        }
    }

    /// Returns the proxies that a fault of the way to an endpoint or to the store affects.
    fn ways_to(&self, index: usize) -> impl Iterator<Item = &FaultProxy> {
        // The last node's links to endpoints lead to the proxies of the others.
        let own = self.links.get(index).filter(|_| index == STORE);
        self.proxies.get(index).into_iter().chain(own)
    }

    fn set_duty_fault(&self, fault: DutyFault) {
        if let Some(api) = &self.fleet.duty_api {
            api.set_fault(fault);
        }
    }

    fn set_service_fault(&self, service: usize, endpoint_fault: EndpointFault) {
        for endpoint in [service * 2, service * 2 + 1] {
            self.endpoint(endpoint).set_fault(endpoint_fault);
        }
    }

    /// Returns an engine for the indices 0 and 1, a plain endpoint for 2 and 3.
    fn endpoint(&self, index: usize) -> &EndpointServer {
        self.fleet
            .engines
            .iter()
            .chain(&self.fleet.plain_endpoints)
            .nth(index)
            .expect("the index of an endpoint")
    }

    fn announce(&self, index: usize, state: &str) {
        let service = if index < 2 { "model" } else { "desk" };
        self.fleet.announce(&endpoint_id(index), service, self.endpoint(index), state);
    }

    /// Checks that every node serves all kinds of calls again after the faults have ended.
    fn check_recovery(&mut self) {
        for (index, node) in self.fleet.nodes.iter_mut().enumerate() {
            wait_until("a node is ready again", || node.is_ready());
            let mut number = 0;
            for make in [lookup_request, order_request, |id: &str| stream_request(id, 1_000)] {
                wait_until("all kinds of calls are served again", || {
                    number += 1;
                    node.send(&make(&format!("calm-{index}-{number}"))).status == 200
                });
            }
            if node.has_exited() {
                self.log.record_violation(format!("node {index} exited without a signal"));
            }
        }
    }
}

fn node_count() -> usize {
    let count = std::env::var("SOAK_NODES").ok().and_then(|text| text.parse().ok());
    count.unwrap_or(DEFAULT_NODE_COUNT).max(2)
}

/// Runs all seeds, prints the violations and fails if there are any.
fn run_seeds(seeds: impl Iterator<Item = u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = Soak::run(seed);
        println!("seed {seed}: {} violations", violations.len());
        if !violations.is_empty() {
            println!("{}", violations.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "guarantees were violated on seeds {failed:?}");
}

#[test]
fn guarantees_hold_under_random_faults() {
    run_seeds(CI_SEEDS.into_iter());
}

#[test]
#[ignore = "takes minutes; run by hand"]
fn by_hand() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "100..150".to_owned());
    let (first, last) = seeds.split_once("..").expect("SOAK_SEEDS=first..last");
    let parse = |text: &str| text.parse::<u64>().expect("a number in SOAK_SEEDS");
    run_seeds(parse(first)..parse(last));
}
