//! A node that relays connections to an endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::ServiceConfig;
use apricotknot_core::fleet::EndpointEntry;
use apricotknot_core::fleet::EndpointPhase;
use apricotknot_core::intake::IntakeLimits;
use apricotknot_gateway::GatewayMetrics;
use apricotknot_gateway::clock::BootClock;
use apricotknot_gateway::control::SharedState;
use apricotknot_gateway::control::StalenessLimits;
use apricotknot_gateway::driver::TrafficContext;
use apricotknot_gateway::endpoint::AnswerBudget;
use apricotknot_gateway::intake::IntakeControl;
use apricotknot_gateway::intake::IntakeMetrics;
use apricotknot_gateway::peers::DatagramSeal;
use apricotknot_gateway::peers::PeerSeals;
use apricotknot_gateway::protocol::RecordChange;
use apricotknot_gateway::relay::RelayError;
use apricotknot_gateway::relay::RelaySession;
use apricotknot_gateway::relay::RelayedStream;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::test_node::NOW;
use super::test_node::TestNode;
use super::test_node::desired;
use super::test_node::entry;
use super::test_node::update_of;

/// Secret of the fleet of the tests.
pub(crate) const SECRET: &[u8] = b"secret of the fleet";

/// A node that relays, and the endpoint `engine-0`.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    pub(crate) endpoint: TcpListener,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    /// Accepts connections of nodes; ends all of them when it is aborted.
    pub(crate) sessions: JoinHandle<()>,
}

impl Relay {
    pub(crate) async fn start(phase: EndpointPhase) -> Self {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.expect("an endpoint");
        let address = endpoint.local_addr().expect("its address");
        let mut node = TestNode::new();
        let records = vec![
            RecordChange::Configuration(Box::new(desired(1))),
            RecordChange::EndpointAnnounced(EndpointEntry { address, phase, ..entry(0) }),
        ];
        node.state.apply_snapshot(update_of(records), NOW);
        let limits = StalenessLimits { max_admit_age: Duration::MAX, max_deny_age: Duration::MAX };
        let shared = Arc::new(SharedState::new(limits));
        let mut seals = PeerSeals::default();
        seals.set_secret(SECRET);
        shared.set_peer_seals(seals);
        let metrics = Arc::new(GatewayMetrics::new());
        let context = TrafficContext {
            node: "relay".into(),
            reserved_idle_time: Duration::from_secs(9),
            counts_usage: false,
            protocol: (),
            http: ServiceConfig::default(),
            shared: Arc::clone(&shared),
            control: node.handle.clone(),
            clock: BootClock,
            answer_budget: Arc::new(AnswerBudget::new(1_024 * 1_024)),
            metrics: Arc::clone(&metrics),
            logger: Logger::root(Discard, o!()),
        };
        actix_rt::spawn(async move {
            loop {
                node.process_commands(NOW);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let limits = IntakeLimits::new(1_024, 1_024);
        let logger = Logger::root(Discard, o!());
        let intake = IntakeControl::new("peers", limits, IntakeMetrics::default(), logger);
        let sessions = actix_rt::spawn(async move {
            let mut sessions = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let session = RelaySession::new(context.clone(), stream, intake.open());
                sessions.spawn_local(session.run());
            }
        });
        Self { address, endpoint, shared, metrics, sessions }
    }

    pub(crate) async fn open(&self) -> Result<RelayedStream, RelayError> {
        self.open_with(SECRET, "engine-0").await
    }

    pub(crate) async fn open_with(
        &self,
        secret: &[u8],
        endpoint: &str,
    ) -> Result<RelayedStream, RelayError> {
        let seal = DatagramSeal::new(secret).expect("a seal");
        RelayedStream::open(self.address, "node".into(), endpoint.into(), &seal).await
    }

    /// Opens a connection for a request of `request_bytes`; returns both of its ends.
    pub(crate) async fn open_both(&self, request_bytes: usize) -> (RelayedStream, TcpStream) {
        let mut stream = self.open().await.expect("a relayed connection");
        stream.state_request_length(u64::try_from(request_bytes).expect("a length"));
        stream.flush().await.expect("the length is sent");
        let (accepted, _) = self.endpoint.accept().await.expect("a connection at the endpoint");
        (stream, accepted)
    }
}
