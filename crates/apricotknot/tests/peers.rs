//! Peer services over TCP: joining, spreading of configuration and drains, calls, crashes and
//! rejoining.

use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use apricotknot::peers::ClusterAction;
use apricotknot::peers::KeyRing;
use apricotknot::peers::PeerErrorKind;
use apricotknot::peers::PeerHandler;
use apricotknot::peers::PeerIdentity;
use apricotknot::peers::PeerOptions;
use apricotknot::peers::PeerService;
use apricotknot::peers::SharedKey;
use apricotknot::peers::batch_of;
use apricotknot::peers::records_of;
use apricotknot::peers::updates_of;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::admission::ShareMessage;
use apricotknot_core::membership::ConfigAction;
use apricotknot_core::membership::ConfigReplicator;
use apricotknot_core::membership::ConfigurationRecord;
use apricotknot_core::membership::DrainSubject;
use apricotknot_core::membership::MemberSettings;
use apricotknot_core::membership::MemberState;
use apricotknot_core::resources::DataCentreSpec;
use apricotknot_core::resources::ResourceChange;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::RequestProfile;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::OwnerHint;
use apricotknot_wire::message::PoolReport;
use apricotknot_wire::message::ReportKind;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

type TestResult = Result<(), Box<dyn Error>>;

/// Longest time that a test waits for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct RecordingHandler {
    actions: RefCell<Vec<ClusterAction>>,
    reports: RefCell<Vec<(NodeId, PoolReport)>>,
    shares: RefCell<Vec<ShareMessage>>,
}

impl PeerHandler for RecordingHandler {
    fn handle_action(&self, action: ClusterAction) {
        self.actions.borrow_mut().push(action);
    }

    async fn request_grant(self: Rc<Self>, peer: PeerIdentity, _: GrantRequest) -> GrantReply {
        GrantReply::NotOwner(OwnerHint { owner: peer.node, epoch: 4 })
    }

    fn handle_reports(&self, peer: &PeerIdentity, reports: Vec<PoolReport>) {
        let reports = reports.into_iter().map(|report| (peer.node.clone(), report));
        self.reports.borrow_mut().extend(reports);
    }

    fn handle_shares(&self, _: &PeerIdentity, messages: Vec<ShareMessage>) {
        self.shares.borrow_mut().extend(messages);
    }
}

struct TestNode {
    service: PeerService<RecordingHandler>,
    handler: Rc<RecordingHandler>,
}

fn member_settings() -> MemberSettings {
    MemberSettings::default()
        .probe_period(Duration::from_millis(200))
        .probe_timeout(Duration::from_millis(150))
        .pause_limit(Duration::from_secs(30))
        .join_timeout(Duration::from_secs(1))
}

async fn start(
    index: usize,
    incarnation: u64,
    listen: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> Result<TestNode, Box<dyn Error>> {
    let ring = KeyRing::new(SharedKey::new(&[7; 32])?);
    let options = PeerOptions::new(format!("node-{index}"), listen, ring)
        .incarnation(incarnation)
        .seeds(seeds)
        .members(member_settings());
    let handler = Rc::new(RecordingHandler::default());
    let service = PeerService::start(options, Rc::clone(&handler)).await?;
    Ok(TestNode { service, handler })
}

async fn start_fleet(size: usize) -> Result<Vec<TestNode>, Box<dyn Error>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut nodes: Vec<TestNode> = Vec::new();
    for index in 0..size {
        let seeds = nodes.first().map(|node| node.service.address()).into_iter().collect();
        nodes.push(start(index, 1, any, seeds).await?);
    }
    wait_until(|| nodes.iter().all(|node| live(node) == size && node.service.may_act())).await;
    Ok(nodes)
}

fn live(node: &TestNode) -> usize {
    node.service.query(|cluster, _| cluster.table().live().count())
}

async fn wait_until(mut is_done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_done() {
        assert!(start.elapsed() < WAIT_LIMIT, "condition not met within {WAIT_LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[actix_rt::test]
async fn configuration_and_drains_reach_all_nodes_without_the_store() -> TestResult {
    let nodes = start_fleet(4).await?;
    let record = ConfigurationRecord {
        key: Arc::from("account/office"),
        revision: 5,
        body: Arc::from("{}"),
    };
    nodes[2].service.command(|cluster, _| {
        cluster.load_configuration(9, std::slice::from_ref(&record)).unwrap_or_default()
    });
    let revision =
        |node: &TestNode| node.service.query(|cluster, _| cluster.replicator().table().revision());
    wait_until(|| nodes.iter().all(|node| revision(node) == 5)).await;
    nodes[1].service.command(|cluster, _| cluster.drain(DrainSubject::DataCentre, "dc-1", true));
    let is_out = |node: &TestNode| {
        node.service.query(|cluster, _| {
            cluster.drains().get(DrainSubject::DataCentre, "dc-1").is_some_and(|notice| notice.out)
        })
    };
    wait_until(|| nodes.iter().all(is_out)).await;
    for node in &nodes {
        let actions = node.handler.actions.borrow();
        let applied = actions.iter().filter(|action| matches!(action, ClusterAction::Apply { .. }));
        assert_eq!(applied.count(), 1);
        let drained = actions.iter().filter(|action| matches!(action, ClusterAction::Drain { .. }));
        assert_eq!(drained.count(), 1);
    }
    Ok(())
}

#[actix_rt::test]
async fn calls_reach_the_peer_with_the_callers_identity() -> TestResult {
    let nodes = start_fleet(2).await?;
    let profile = RequestProfile {
        id: 1,
        account: Arc::from("office"),
        service: Arc::from("repair"),
        prompt_tokens: 10,
        max_output_tokens: 10,
        fingerprint: 0,
        prefix_blocks: Vec::new(),
        deadline: Duration::from_secs(60),
    };
    let submission =
        RequestSubmission { profile, attempt: 2, node: NodeId::from("node-0"), excluded: vec![] };
    let pool: Arc<str> = Arc::from("repair/0");
    let request = GrantRequest { pool: pool.clone(), submission };
    let peer = NodeId::from("node-1");
    let reply = nodes[0].service.request_grant(&peer, &request, WAIT_LIMIT).await?;
    let hint = OwnerHint { owner: NodeId::from("node-0"), epoch: 4 };
    assert_eq!(reply, GrantReply::NotOwner(hint));
    let report = PoolReport { pool, kind: ReportKind::Started { attempt: 2 } };
    nodes[0].service.send_reports(&peer, std::slice::from_ref(&report)).await?;
    let reports = nodes[1].handler.reports.borrow().clone();
    assert_eq!(reports, [(NodeId::from("node-0"), report)]);
    let message = ShareMessage::Retire { endpoint: Arc::from("engine-1"), epoch: 3 };
    nodes[0].service.send_shares(&peer, std::slice::from_ref(&message)).await?;
    assert_eq!(*nodes[1].handler.shares.borrow(), [message]);
    let unknown = nodes[0].service.send_reports(&NodeId::from("nobody"), &[]).await;
    assert_eq!(unknown.map_err(|error| error.kind()), Err(PeerErrorKind::Unknown));
    Ok(())
}

#[actix_rt::test]
async fn crashed_node_is_detected_and_rejoins() -> TestResult {
    let mut nodes = start_fleet(4).await?;
    let crashed = nodes.remove(3);
    let address = crashed.service.address();
    drop(crashed);
    let state = |node: &TestNode| {
        let id = NodeId::from("node-3");
        node.service.query(|cluster, _| cluster.table().state_of(&id))
    };
    wait_until(|| nodes.iter().all(|node| state(node) == Some(MemberState::Left))).await;
    // The address may stay in use until the last connections are closed.
    let start_time = Instant::now();
    let seeds = vec![nodes[0].service.address()];
    let restarted = loop {
        match start(3, 2, address, seeds.clone()).await {
            Ok(node) => break node,
            Err(_) if start_time.elapsed() < WAIT_LIMIT => {
                tokio::time::sleep(Duration::from_millis(50)).await;
            },
            Err(error) => return Err(error),
        }
    };
    wait_until(|| nodes.iter().all(|node| state(node) == Some(MemberState::Alive))).await;
    wait_until(|| live(&restarted) == 4).await;
    Ok(())
}

#[actix_rt::test]
async fn leaving_node_is_marked_left() -> TestResult {
    let nodes = start_fleet(3).await?;
    nodes[1].service.command(|cluster, _| cluster.leave());
    let id = NodeId::from("node-1");
    let has_left = |node: &TestNode| {
        node.service.query(|cluster, _| cluster.table().state_of(&id) == Some(MemberState::Left))
    };
    wait_until(|| has_left(&nodes[0]) && has_left(&nodes[2])).await;
    Ok(())
}

#[actix_rt::test]
async fn unauthenticated_peers_are_refused_and_counted() -> TestResult {
    let nodes = start_fleet(1).await?;
    let counters = nodes[0].service.counters();
    let mut stream = TcpStream::connect(nodes[0].service.address()).await?;
    stream.write_all(b"\x00\x10GET / HTTP/1.1\r\n").await?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert_eq!(answer, b"");
    wait_until(|| counters.malformed() == 1).await;
    let ring = KeyRing::new(SharedKey::new(&[8; 32])?);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let options = PeerOptions::new("intruder", any, ring)
        .seeds(vec![nodes[0].service.address()])
        .members(member_settings());
    let intruder = PeerService::start(options, Rc::new(RecordingHandler::default())).await?;
    wait_until(|| counters.unauthenticated() >= 1).await;
    assert_eq!(counters.connections_accepted(), 0);
    assert_eq!(live(&nodes[0]), 1);
    drop(intruder);
    Ok(())
}

#[test]
fn configuration_converts_between_resource_table_and_peers() -> TestResult {
    let spec = ResourceSpec::DataCentre(DataCentreSpec::default());
    let present = ResourceUpdate::present(ResourceRecord::new("dc-1", spec.clone()), 5);
    let other = ResourceUpdate::present(ResourceRecord::new("dc-2", spec), 6);
    let complete = UpdateBatch::complete(40, vec![other, present]);
    let mut replicator = ConfigReplicator::new("node-0");
    replicator.load_snapshot(complete.revision, &records_of(&complete)?)?;
    assert_eq!(replicator.table().revision(), 6);
    // The store's revision is ahead of that of the newest resource; later writes must still apply.
    let key = ResourceKey::new(ResourceKind::DataCentre, "dc-1");
    let removal = UpdateBatch::incremental(40, 41, vec![ResourceUpdate::removed(key.clone(), 41)]);
    let actions = replicator.apply_writes(&batch_of(&removal, records_of(&removal)?))?;
    let [ConfigAction::Apply { records, revision }] = &actions[..] else {
        return Err("expected exactly one Apply action".into());
    };
    let mut table = ResourceTable::new();
    table.apply(&complete)?;
    let changes = table.apply(&updates_of(records, *revision))?;
    assert!(matches!(&changes[..], [ResourceChange::Removed(_)]), "{changes:?}");
    assert_eq!(table.revision(), 41);
    let all: Vec<_> = replicator.table().batch(0).records;
    let mut empty = ResourceTable::new();
    empty.apply(&updates_of(&all, 41))?;
    assert_eq!(empty.snapshot(), table.snapshot());
    Ok(())
}
