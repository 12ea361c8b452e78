//! Measures the time from an accepted change until every node has it in force.
//!
//! ```text
//! cargo run --release -p apricotknot --example in_force [NODES] [CHANGES]
//! ```

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use apricotknot::NodeProcess;
use apricotknot::NodeSettings;
use apricotknot::operators::ResourceWriter;
use apricotknot::store::EtcdStore;
use apricotknot::telemetry::build_logger;
use apricotknot_core::resources::DataCentreSpec;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::types::RevisionNumber;
use apricotknot_standin::key_value::KeyValueServer;
use awc::Client;
use hdrhistogram::Histogram;
use serde_json::Value;

/// Number of nodes, unless given.
const DEFAULT_NODES: usize = 8;

/// Number of changes, unless given.
const DEFAULT_CHANGES: usize = 200;

/// Interval between two checks of the nodes.
const POLL_INTERVAL: Duration = Duration::from_micros(100);

/// Time after which a change that is not in force on all nodes fails the run.
const MAX_WAIT: Duration = Duration::from_secs(30);

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let nodes = arguments.next().map_or(Ok(DEFAULT_NODES), |text| text.parse())?;
    let changes = arguments.next().map_or(Ok(DEFAULT_CHANGES), |text| text.parse())?;
    let store = KeyValueServer::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    actix_rt::System::new().block_on(measure(store.address(), nodes, changes))
}

async fn measure(store: SocketAddr, count: usize, changes: usize) -> Result<(), Box<dyn Error>> {
    let writer = ResourceWriter::new(EtcdStore::new([store.to_string()]));
    let spec = ResourceSpec::DataCentre(DataCentreSpec::default());
    let receipt = writer.put(ResourceRecord::new("north-1", spec)).await?;
    let nodes: Result<Vec<_>, _> = (0..count).map(|index| start_node(index, store)).collect();
    let nodes = nodes?;
    wait_for(&nodes, receipt.revision).await?;
    let calls_before = store_calls(store).await?;
    let key = ResourceKey::new(ResourceKind::DataCentre, "north-1");
    let mut times = Histogram::<u64>::new(3)?;
    for step in 0..changes {
        let duty = if step % 2 == 0 { DutyState::Out } else { DutyState::In };
        let receipt = writer.set_duty(&key, duty).await?;
        times.record(wait_for(&nodes, receipt.revision).await?)?;
    }
    let calls = store_calls(store).await? - calls_before;
    println!("nodes {count}, changes {changes}; from the accepted answer until in force on all:");
    for percentile in [50.0, 95.0, 99.0, 100.0] {
        println!("  p{percentile:<5} {:>8} us", times.value_at_percentile(percentile));
    }
    println!("  store calls: {calls}, of them {} by the writer", 2 * changes);
    for node in nodes {
        node.stop(std::future::pending()).await;
    }
    Ok(())
}

/// Waits until every node has the revision in force, and returns the duration in microseconds.
///
/// # Errors
///
/// Returns an error after [`MAX_WAIT`].
async fn wait_for(nodes: &[NodeProcess], revision: RevisionNumber) -> Result<u64, Box<dyn Error>> {
    let started = Instant::now();
    while nodes.iter().any(|node| node.control().view().revision() < revision) {
        if started.elapsed() > MAX_WAIT {
            return Err("a change did not come into force in time".into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(u64::try_from(started.elapsed().as_micros())?)
}

/// Returns the number of calls that the store has received.
async fn store_calls(store: SocketAddr) -> Result<u64, Box<dyn Error>> {
    let url = format!("http://{store}/standin/stats");
    let stats: Value = Client::default().get(url).send().await?.json().await?;
    Ok(stats["total"].as_u64().unwrap_or_default())
}

fn start_node(index: usize, store: SocketAddr) -> Result<NodeProcess, Box<dyn Error>> {
    let text = format!(
        "[node]\nname = node-{index}\ndata_centre = north-1\n\
         [callers]\nlisten = 127.0.0.1:0\ntraffic_threads = 1\n\
         [operators]\nlisten = 127.0.0.1:0\n\
         [peers]\nlisten = 127.0.0.1:0\nkey = 00112233445566778899aabbccddeeff\n\
         [store]\naddresses = {store}\n[shutdown]\nunready_wait_ms = 0\n[log]\nlevel = error\n"
    );
    let settings = NodeSettings::parse(Path::new("in_force.ini"), &text)?;
    Ok(NodeProcess::start(
        &settings,
        build_logger(&settings.log, &settings.identity, std::io::stderr()),
    )?)
}
