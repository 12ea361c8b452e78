//! Planned shutdowns: each node is replaced in turn while callers send requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_standin::engine::verify_answer;
use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::ProcessSignal;
use apricotknot_standin::fleet::StreamSummary;
use apricotknot_standin::fleet::chat_body;
use apricotknot_standin::fleet::eventually;

/// Model that the callers request.
const MODEL: &str = "standin";

/// Path of the callers' requests.
const CHAT: &str = "/v1/chat/completions";

/// Number of nodes.
const NODES: usize = 3;

/// Number of concurrent callers; each sends one request after another.
const CALLERS: usize = 12;

/// Length of each answer, in tokens.
const OUTPUT_TOKENS: usize = 40;

/// Counts the outcomes that the callers saw.
#[derive(Debug, Default)]
struct CallTally {
    answered: Cell<u64>,
    refused: Cell<u64>,
    faults: RefCell<Vec<String>>,
}

/// Chooses nodes in turn, skipping those that do not report themselves ready.
struct Balancer {
    fleet: Rc<RefCell<FleetHarness>>,
    nodes: Vec<SocketAddr>,
    next: Cell<usize>,
}

impl Balancer {
    async fn choose(&self) -> Option<SocketAddr> {
        let client = self.fleet.borrow().client.clone();
        for _ in 0..NODES {
            let index = self.next.get();
            self.next.set((index + 1) % NODES);
            let answer = client.get(self.nodes[index], "/readyz").await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Some(self.nodes[index]);
            }
        }
        None
    }
}

async fn run_caller(
    balancer: Rc<Balancer>,
    caller: usize,
    tally: Rc<CallTally>,
    stop: Rc<Cell<bool>>,
) {
    let account = FleetHarness::account_headers();
    let client = balancer.fleet.borrow().client.clone();
    for number in 0.. {
        if stop.get() {
            return;
        }
        let Some(node) = balancer.choose().await else {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let prompt = format!("caller {caller} question {number}");
        let is_stream = number % 2 == 0;
        let body = chat_body(MODEL, &prompt, OUTPUT_TOKENS as u64, is_stream);
        match client.post(node, CHAT, &account, &body).await {
            Ok(answer) if answer.status == 200 => {
                let text = match is_stream {
                    true => StreamSummary::parse(&answer.body, Instant::now()).text,
                    false => answer.completion_text(),
                };
                match verify_answer(MODEL, &prompt, &text, OUTPUT_TOKENS) {
                    Ok(()) => tally.answered.set(tally.answered.get() + 1),
                    Err(fault) => tally.faults.borrow_mut().push(format!("{prompt}: {fault:?}")),
                }
            },
            Ok(answer) if answer.header("x-executed") == Some("no") => {
                tally.refused.set(tally.refused.get() + 1);
            },
            Ok(answer) => {
                tally.faults.borrow_mut().push(format!("{prompt}: {}", answer.json()));
            },
            Err(error) => tally.faults.borrow_mut().push(format!("{prompt}: {error}")),
        }
    }
}

#[actix_rt::test]
async fn rolling_replacement_interrupts_loses_and_repeats_no_request() {
    let engine = || EnginePlan::default().option("--step-ms", 2);
    let settings = FleetSettings::default()
        .nodes(NODES)
        .engine(engine())
        .engine(engine())
        .node_setting("shutdown", "unready_wait_ms", 500);
    let fleet = Rc::new(RefCell::new(FleetHarness::start(settings).await.unwrap()));
    let nodes = fleet.borrow().nodes.iter().map(|node| node.callers).collect();
    let balancer = Rc::new(Balancer { fleet: Rc::clone(&fleet), nodes, next: Cell::new(0) });
    let tally = Rc::new(CallTally::default());
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let call = run_caller(balancer.clone(), caller, tally.clone(), stop.clone());
            actix_rt::spawn(call)
        })
        .collect();
    for index in 0..NODES {
        let before = tally.answered.get();
        assert!(eventually(async || tally.answered.get() > before + 20).await, "{tally:?}");
        fleet.borrow_mut().nodes[index].process.signal(ProcessSignal::Terminate);
        let ended =
            eventually(async || fleet.borrow_mut().nodes[index].process.exit_status().is_some());
        assert!(ended.await, "node {index} must exit: {}", fleet.borrow().node_log_tail(index));
        let status = fleet.borrow_mut().nodes[index].process.exit_status();
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        fleet.borrow_mut().restart_node(index).unwrap();
        let address = balancer.nodes[index];
        let client = fleet.borrow().client.clone();
        let is_ready = eventually(async || {
            client.get(address, "/readyz").await.is_ok_and(|answer| answer.status == 200)
        });
        assert!(
            is_ready.await,
            "node {index} must become ready: {}",
            fleet.borrow().node_log_tail(index)
        );
    }
    let before = tally.answered.get();
    assert!(eventually(async || tally.answered.get() > before + 20).await, "{tally:?}");
    stop.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    let (answered, refused) = (tally.answered.get(), tally.refused.get());
    let mut executions = 0;
    let mut finished = 0;
    let engines: Vec<_> = fleet.borrow().engines.iter().map(|engine| engine.address).collect();
    let client = fleet.borrow().client.clone();
    for engine in engines {
        let stats = client.get(engine, "/standin/stats").await.unwrap().json();
        executions += stats["executions"].as_object().unwrap().len() as u64;
        finished += stats["finished"].as_u64().unwrap();
    }
    println!("answered {answered}, refused as not run {refused}, executions {executions}");
    assert_eq!(*tally.faults.borrow(), Vec::<String>::new());
    assert_eq!(executions, answered);
    assert_eq!(finished, answered);
}
