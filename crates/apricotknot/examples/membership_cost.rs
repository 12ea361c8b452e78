//! Measures the cost of membership for each node: bytes, frames and processor time at several
//! fleet sizes.
//!
//! All nodes run in one process on one thread and communicate over loopback. In the first window
//! one resource changes and one data centre is drained. That is the rate of the design size: one
//! change in 24 seconds.

use std::cell::Cell;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotknot::peers::ClusterAction;
use apricotknot::peers::KeyRing;
use apricotknot::peers::PeerHandler;
use apricotknot::peers::PeerIdentity;
use apricotknot::peers::PeerOptions;
use apricotknot::peers::PeerService;
use apricotknot::peers::SharedKey;
use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::ConfigurationRecord;
use apricotknot_core::membership::DrainSubject;
use apricotknot_core::membership::EpochAction;
use apricotknot_core::membership::MemberList;
use apricotknot_core::membership::StoredList;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::OwnerHint;
use apricotknot_wire::message::PoolReport;

type ExampleResult<T> = Result<T, Box<dyn Error>>;

/// Number of nodes of each run.
const SIZES: [usize; 5] = [4, 8, 16, 32, 64];

/// Time for the nodes to discover one another.
const WARMUP_TIME: Duration = Duration::from_secs(45);

/// Time between two changes of the configuration at the design size.
const WINDOW: Duration = Duration::from_secs(24);

/// Interval between two checks of how far a change has spread.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Size of the resource that changes, in bytes.
const BODY_BYTES: usize = 300;

/// Records the newest request for the stored member list, which [`answer_list_calls`] answers.
#[derive(Default)]
struct CostHandler {
    wants_list_read: Cell<bool>,
    list_to_write: Cell<Option<MemberList>>,
}

impl PeerHandler for CostHandler {
    fn handle_action(&self, action: ClusterAction) {
        match action {
            ClusterAction::List(EpochAction::ReadList) => self.wants_list_read.set(true),
            ClusterAction::List(EpochAction::WriteList { list, .. }) => {
                self.list_to_write.set(Some(list));
            },
            _ => {},
        }
    }

    async fn request_grant(self: Rc<Self>, peer: PeerIdentity, _: GrantRequest) -> GrantReply {
        GrantReply::NotOwner(OwnerHint { owner: peer.node, epoch: 0 })
    }

    fn handle_reports(&self, _: &PeerIdentity, _: Vec<PoolReport>) {}

    fn handle_shares(&self, _: &PeerIdentity, _: Vec<ShareMessage>) {}
}

/// Holds a node of the fleet and the handler of its actions.
struct CostNode {
    service: PeerService<CostHandler>,
    handler: Rc<CostHandler>,
}

/// Holds the measurements of one fleet size.
struct CostMeasurement {
    nodes: usize,
    bytes: f64,
    frames: f64,
    core_percent: f64,
    in_force_ms: f64,
    drained_ms: f64,
    covered_ms: f64,
}

/// Returns the processor time that this thread has used.
fn processor_time() -> ExampleResult<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split_whitespace().next().unwrap_or_default().parse()?;
    Ok(Duration::from_nanos(nanos))
}

async fn start_nodes(size: usize) -> ExampleResult<Vec<CostNode>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut nodes: Vec<CostNode> = Vec::new();
    for index in 0..size {
        let ring = KeyRing::new(SharedKey::new(&[7; 32])?);
        let seeds: Vec<_> = nodes.iter().take(3).map(|node| node.service.address()).collect();
        let options = PeerOptions::new(format!("node-{index}"), any, ring)
            .data_centre(format!("dc-{}", index % 3))
            .seeds(seeds);
        let handler = Rc::new(CostHandler::default());
        let service = PeerService::start(options, Rc::clone(&handler)).await?;
        nodes.push(CostNode { service, handler });
    }
    Ok(nodes)
}

/// Answers the nodes' requests to read and write the member list from `stored`.
fn answer_list_calls(nodes: &[CostNode], stored: &mut StoredList) {
    for node in nodes {
        if node.handler.wants_list_read.take() {
            node.service.command(|cluster, now| cluster.list_read(stored, now));
        }
        if let Some(list) = node.handler.list_to_write.take() {
            let is_next = list.epoch > stored.list.as_ref().map_or(0, |list| list.epoch);
            if is_next {
                stored.list = Some(list);
                stored.revision += 1;
                node.service.command(|cluster, _| cluster.list_written());
            } else {
                node.service.command(|cluster, now| cluster.list_conflicted(now));
            }
        }
    }
}

/// Answers requests for the member list during `time`.
async fn run_for(nodes: &[CostNode], stored: &mut StoredList, time: Duration) {
    let start = Instant::now();
    while start.elapsed() < time {
        answer_list_calls(nodes, stored);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the time until `is_done` returns true, at most `limit`, in milliseconds.
async fn time_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> f64 {
    let start = Instant::now();
    while !is_done() && start.elapsed() < limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    start.elapsed().as_secs_f64() * 1e3
}

/// Returns the bytes and frames that all nodes have sent and received.
fn traffic(nodes: &[CostNode]) -> (u64, u64) {
    let all = nodes.iter().map(|node| node.service.counters());
    all.fold((0, 0), |(bytes, frames), counters| {
        let traffic = counters.traffic();
        (
            bytes + traffic.sent_bytes() + traffic.received_bytes(),
            frames + traffic.sent_frames() + traffic.received_frames(),
        )
    })
}

async fn measure(size: usize) -> ExampleResult<CostMeasurement> {
    let nodes = start_nodes(size).await?;
    let mut stored = StoredList::default();
    run_for(&nodes, &mut stored, WARMUP_TIME).await;
    let start = (traffic(&nodes), processor_time()?, Instant::now());
    let record = ConfigurationRecord {
        key: Arc::from("account/office"),
        revision: 1,
        body: Arc::from("x".repeat(BODY_BYTES)),
    };
    nodes[0].service.command(|cluster, _| {
        cluster.load_configuration(1, std::slice::from_ref(&record)).unwrap_or_default()
    });
    let revision =
        |node: &CostNode| node.service.query(|cluster, _| cluster.replicator().table().revision());
    let in_force_ms = time_until(WINDOW, || nodes.iter().all(|node| revision(node) == 1)).await;
    let is_covered = || {
        let report = nodes[0].service.query(|cluster, _| cluster.coverage());
        report.in_force == size
    };
    let covered_ms = in_force_ms + time_until(WINDOW, is_covered).await;
    nodes[0].service.command(|cluster, _| cluster.drain(DrainSubject::DataCentre, "dc-1", true));
    let is_drained = |node: &CostNode| {
        node.service
            .query(|cluster, _| cluster.drains().get(DrainSubject::DataCentre, "dc-1").is_some())
    };
    let drained_ms = time_until(WINDOW, || nodes.iter().all(is_drained)).await;
    // The checks above use processor time, so processor time is measured in a second window without
    // them.
    run_for(&nodes, &mut stored, WINDOW.saturating_sub(start.2.elapsed())).await;
    let quiet_start = (traffic(&nodes), processor_time()?, Instant::now());
    run_for(&nodes, &mut stored, WINDOW).await;
    let (after, after_time) = (traffic(&nodes), processor_time()?);
    let per_node = 1.0 / size as f64;
    let seconds = start.2.elapsed().as_secs_f64();
    Ok(CostMeasurement {
        nodes: size,
        bytes: (after.0 - start.0.0) as f64 * per_node / seconds,
        frames: (after.1 - start.0.1) as f64 * per_node / seconds,
        core_percent: (after_time - quiet_start.1).as_secs_f64() * 100.0 * per_node
            / quiet_start.2.elapsed().as_secs_f64(),
        in_force_ms,
        drained_ms,
        covered_ms,
    })
}

/// Returns the slope of a value over the binary logarithm of the size: its growth per doubling.
fn slope_per_doubling(rows: &[CostMeasurement], value: impl Fn(&CostMeasurement) -> f64) -> f64 {
    let points: Vec<_> = rows.iter().map(|row| ((row.nodes as f64).log2(), value(row))).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    covariance / variance
}

#[actix_rt::main]
async fn main() -> ExampleResult<()> {
    let mut rows = Vec::new();
    println!("| nodes | bytes/s | frames/s | core % | in force ms | drained ms | reported ms |");
    println!("|---:|---:|---:|---:|---:|---:|---:|");
    for size in SIZES {
        let row = measure(size).await?;
        println!(
            "| {} | {:.0} | {:.2} | {:.3} | {:.0} | {:.0} | {:.0} |",
            row.nodes,
            row.bytes,
            row.frames,
            row.core_percent,
            row.in_force_ms,
            row.drained_ms,
            row.covered_ms
        );
        rows.push(row);
    }
    let bytes = slope_per_doubling(&rows, |row| row.bytes);
    let core = slope_per_doubling(&rows, |row| row.core_percent);
    println!("slope per doubling: {bytes:.0} bytes/s, {core:.4} core %");
    println!("bounds: 3000 bytes/s and 1.7 core % for all control at 810 nodes");
    Ok(())
}
