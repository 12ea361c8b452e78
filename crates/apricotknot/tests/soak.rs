//! Real processes under random faults from outside, and what callers and endpoints see of it.
//!
//! By hand: `SOAK_SEEDS=100..150 cargo test --release --test soak by_hand -- --ignored --nocapture`.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[path = "support/fault_proxy.rs"]
mod fault_proxy;
#[allow(dead_code, reason = "shared with the tests of single faults")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;
#[path = "support/soak_callers.rs"]
mod soak_callers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::users_platform::EndpointServer;
use apricotknot_standin::users_platform::EndpointTrouble;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use fault_proxy::FaultProxy;
use fault_proxy::LinkWay;
use gateway_fleet::Fleet;
use gateway_fleet::KEY;
use gateway_fleet::lookup_request;
use gateway_fleet::order_request;
use gateway_fleet::stream_request;
use gateway_fleet::wait_until;
use soak_callers::LOST_KEY;
use soak_callers::SoakBook;
use soak_callers::SoakKind;
use soak_callers::lock;
use soak_callers::start_callers;

/// Seeds of every run of the tests; each that ever failed is added, with its cause.
const CI_SEEDS: [u64; 2] = [1, 2];

/// Time of one soak in which faults begin.
const FAULT_TIME: Duration = Duration::from_secs(5);

/// Time in which a fault may begin after the one before it, in milliseconds.
const FAULT_GAPS_MS: std::ops::Range<u64> = 50..500;

/// Time that a fault lasts, in milliseconds.
const FAULT_LENGTHS_MS: std::ops::Range<u64> = 100..1_800;

/// Delay of a slow link, in milliseconds.
const LINK_DELAYS_MS: std::ops::Range<u64> = 20..300;

/// Pause between two signals of a series.
const SIGNAL_PAUSE: Duration = Duration::from_millis(60);

/// Nodes of each soak.
const NODES: usize = 3;

/// Series of signals that a node gets.
const SIGNAL_SERIES: [&[&str]; 5] =
    [&["-STOP"], &["-KILL"], &["-TERM"], &["-STOP", "-KILL"], &["-TERM", "-HUP", "-KILL"]];

/// Most runs of a request that may run again.
const MAX_RUNS: usize = 2;

/// One fault that has an end.
#[derive(Clone, Copy, Debug)]
enum SoakFault {
    LinkDelay(usize, u64),
    LinkHeld(usize, LinkWay),
    LinkSilent(usize),
    LinkBroken(usize),
    Endpoint(usize, EndpointTrouble),
    /// The same at both endpoints of a service.
    Service(usize, EndpointTrouble),
    Leaving(usize),
    Signals(usize, usize),
    StoreDown,
    HistoryGone,
    KeyTaken,
}

struct Soak {
    fleet: Fleet,
    /// Proxies before the four endpoints and the store.
    links: Vec<FaultProxy>,
    book: Arc<SoakBook>,
    random: StdRng,
    /// Faults under way, with their ends.
    pending: Vec<(Instant, SoakFault)>,
    began: Instant,
    history: Vec<String>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let mut links = Vec::new();
        let fleet = Fleet::start_wired(&format!("soak-{seed}"), NODES, |address| {
            links.push(FaultProxy::start(address));
            links.last().map_or(address, FaultProxy::address)
        });
        let book = SoakBook::new(fleet.nodes.iter().map(|node| node.callers));
        Self {
            fleet,
            links,
            book: Arc::new(book),
            random: StdRng::seed_from_u64(seed),
            pending: Vec::new(),
            began: Instant::now(),
            history: Vec::new(),
        }
    }

    /// Plays one seed; returns which promises were broken.
    fn run(seed: u64) -> Vec<String> {
        let mut soak = Self::start(seed);
        soak.fleet.configure(&[KEY, LOST_KEY]);
        let with_lost_key = lookup_request("begin").replace(KEY, LOST_KEY);
        for node in &soak.fleet.nodes {
            wait_until("both keys are in force", || node.send(&with_lost_key).status == 200);
        }
        let callers = start_callers(&soak.book, seed);
        let end = Instant::now() + FAULT_TIME;
        while Instant::now() < end {
            soak.begin_fault();
            let gap = soak.random.random_range(FAULT_GAPS_MS);
            sleep(Duration::from_millis(gap));
            soak.end_faults(Instant::now());
        }
        while let Some((end, _)) = soak.pending.iter().max_by_key(|(end, _)| *end) {
            let end = *end;
            soak.end_faults(end);
        }
        soak.check_recovery();
        soak.book.is_over.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().expect("a caller ends");
        }
        wait_until("memory at engines is free again", || {
            soak.fleet.engines.iter().all(|engine| engine.reserved() == 0)
        });
        soak.check_runs();
        let mut breaches = std::mem::take(&mut *lock(&soak.book.breaches));
        if !breaches.is_empty() {
            breaches.extend(soak.history);
            breaches.extend(soak.fleet.nodes.iter().map(|node| format!("log {:?}", node.log)));
        }
        breaches
    }

    // Faults

    fn begin_fault(&mut self) {
        let (link, node) = (self.random.random_range(0..5), self.random.random_range(0..NODES));
        let endpoint = self.random.random_range(0..4);
        let trouble = match self.random.random_range(0..9) {
            0..2 => EndpointTrouble::CutAfter(2),
            2..5 => EndpointTrouble::CutAfterThenFail(1),
            5 => EndpointTrouble::Full,
            6 => EndpointTrouble::LostAnswer,
            7 => EndpointTrouble::Crossed,
            _ => EndpointTrouble::Failing,
        };
        let fault = match self.random.random_range(0..16) {
            0 => SoakFault::LinkDelay(link, self.random.random_range(LINK_DELAYS_MS)),
            1 => SoakFault::LinkHeld(link, LinkWay::Out),
            2 => SoakFault::LinkHeld(link, LinkWay::Back),
            3 => SoakFault::LinkSilent(link),
            4 => SoakFault::LinkBroken(link),
            5..7 => SoakFault::Endpoint(endpoint, trouble),
            7..10 => SoakFault::Service(endpoint / 2, trouble),
            10 => SoakFault::Leaving(endpoint),
            11..14 => SoakFault::Signals(node, self.random.random_range(0..SIGNAL_SERIES.len())),
            14 => SoakFault::StoreDown,
            _ if lock(&self.book.revoked).is_none() => SoakFault::KeyTaken,
            _ => SoakFault::HistoryGone,
        };
        let is_taken = |(_, other): &(Instant, SoakFault)| {
            matches!((other, fault), (SoakFault::Signals(one, _), SoakFault::Signals(two, _))
                if *one == two)
        };
        if self.pending.iter().any(is_taken) {
            return;
        }
        let length = Duration::from_millis(self.random.random_range(FAULT_LENGTHS_MS));
        self.history.push(format!("{:?} {fault:?} for {length:?}", self.began.elapsed()));
        self.apply(fault);
        self.pending.push((Instant::now() + length, fault));
    }

    fn apply(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::LinkDelay(link, delay) => {
                self.links[link].set_delay(Duration::from_millis(delay));
            },
            SoakFault::LinkHeld(link, way) => self.links[link].set_held(way, true),
            SoakFault::LinkSilent(link) => {
                self.links[link].set_held(LinkWay::Out, true);
                self.links[link].set_held(LinkWay::Back, true);
            },
            SoakFault::LinkBroken(link) => self.links[link].break_all(),
            SoakFault::Endpoint(endpoint, trouble) => self.endpoint(endpoint).set_trouble(trouble),
            SoakFault::Service(service, trouble) => self.trouble_service(service, trouble),
            SoakFault::Leaving(endpoint) => self.announce(endpoint, "draining"),
            SoakFault::Signals(node, series) => {
                self.book.nodes[node].set_disturbed(true);
                for signal in SIGNAL_SERIES[series] {
                    self.fleet.nodes[node].signal(signal);
                    sleep(SIGNAL_PAUSE);
                }
            },
            SoakFault::StoreDown => self.fleet.store.set_down(true),
            SoakFault::HistoryGone => self.fleet.store.forget_history(),
            SoakFault::KeyTaken => {
                self.fleet.configure(&[KEY]);
                *lock(&self.book.revoked) = Some(Instant::now());
            },
        }
    }

    fn end_faults(&mut self, now: Instant) {
        let pending = std::mem::take(&mut self.pending);
        let (over, pending) = pending.into_iter().partition(|(end, _)| *end <= now);
        self.pending = pending;
        let over: Vec<(Instant, SoakFault)> = over;
        for (_, fault) in over {
            self.revert(fault);
        }
    }

    fn revert(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::LinkDelay(link, _) => self.links[link].set_delay(Duration::ZERO),
            SoakFault::LinkHeld(link, _) | SoakFault::LinkSilent(link) => {
                self.links[link].set_held(LinkWay::Out, false);
                self.links[link].set_held(LinkWay::Back, false);
            },
            SoakFault::Endpoint(endpoint, _) => {
                self.endpoint(endpoint).set_trouble(EndpointTrouble::None);
            },
            SoakFault::Service(service, _) => {
                self.trouble_service(service, EndpointTrouble::None);
            },
            SoakFault::Leaving(endpoint) => self.announce(endpoint, "ready"),
            SoakFault::Signals(node, series) => {
                match SIGNAL_SERIES[series] {
                    ["-STOP"] => self.fleet.nodes[node].signal("-CONT"),
                    _ => self.fleet.nodes[node].restart(),
                }
                self.book.nodes[node].set_disturbed(false);
            },
            SoakFault::StoreDown => self.fleet.store.set_down(false),
            SoakFault::LinkBroken(_) | SoakFault::HistoryGone | SoakFault::KeyTaken => {},
        }
    }

    fn trouble_service(&self, service: usize, trouble: EndpointTrouble) {
        for endpoint in [service * 2, service * 2 + 1] {
            self.endpoint(endpoint).set_trouble(trouble);
        }
    }

    fn endpoint(&self, index: usize) -> &EndpointServer {
        self.fleet.engines.iter().chain(&self.fleet.desks).nth(index).expect("an endpoint")
    }

    fn announce(&self, index: usize, state: &str) {
        let (id, service) = match index {
            0 | 1 => (format!("engine-{}", index + 1), "model"),
            _ => (format!("desk-{}", index - 1), "desk"),
        };
        self.fleet.announce(&id, service, self.endpoint(index), state);
    }

    // Checks

    /// Checks that all is served again once nothing is wrong any more.
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
            if node.has_ended() {
                self.book.breach(format!("node {index} has ended by itself"));
            }
        }
    }

    /// Checks what endpoints ran against what callers were told.
    fn check_runs(&self) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for endpoint in self.fleet.engines.iter().chain(&self.fleet.desks) {
            for run in endpoint.runs() {
                *runs.entry(run.request_id).or_default() += 1;
            }
        }
        for call in lock(&self.book.sent).iter() {
            let count = runs.get(&call.id).copied().unwrap_or_default();
            if call.is_denied && count > 0 {
                self.book.breach(format!("{count} runs, though it was said not to run: {call:?}"));
            }
            let most = if call.kind == SoakKind::Order { 1 } else { MAX_RUNS };
            if count > most {
                self.book.breach(format!("{count} runs: {call:?}"));
            }
        }
    }
}

fn play(seeds: impl Iterator<Item = u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        let breaches = Soak::run(seed);
        println!("seed {seed}: {} broken promises", breaches.len());
        if !breaches.is_empty() {
            println!("{}", breaches.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "promises were broken on seeds {failed:?}");
}

#[test]
fn promises_hold_under_random_faults() {
    play(CI_SEEDS.into_iter());
}

#[test]
#[ignore = "takes minutes; by hand"]
fn by_hand() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "100..150".to_owned());
    let (first, last) = seeds.split_once("..").expect("SOAK_SEEDS=first..last");
    let parse = |text: &str| text.parse::<u64>().expect("a number in SOAK_SEEDS");
    play(parse(first)..parse(last));
}
