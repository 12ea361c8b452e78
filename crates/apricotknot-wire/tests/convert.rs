//! Messages are read as they were written, and malformed or oversized messages are refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::ChargePart;
use apricotknot_core::admission::ChargeSource;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::PlacementReason;
use apricotknot_core::admission::ReconcileScope;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::admission::RequestSubmission;
use apricotknot_core::admission::ShareMessage;
use apricotknot_core::admission::TokenUsage;
use apricotknot_core::membership::DrainNotice;
use apricotknot_core::membership::DrainSubject;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::membership::NodeSummary;
use apricotknot_core::membership::ProbeKind;
use apricotknot_core::membership::ProbeMessage;
use apricotknot_core::types::AttemptOutcome;
use apricotknot_core::types::RequestProfile;
use apricotknot_wire::convert;
use apricotknot_wire::convert::ConvertErrorKind;
use apricotknot_wire::generated::peer_capnp;
use apricotknot_wire::message::GrantReply;
use apricotknot_wire::message::GrantRequest;
use apricotknot_wire::message::OwnerHint;
use apricotknot_wire::message::PoolReport;
use apricotknot_wire::message::ReportKind;
use capnp::message::Builder;
use capnp::message::ReaderOptions;

/// Returns an update that suspects `node`.
fn suspect_update(node: &str) -> MemberUpdate {
    MemberUpdate {
        node: Arc::from(node),
        incarnation: 7,
        state: MemberState::Suspect,
        address: SocketAddr::from(([127, 0, 0, 1], 4000)),
        data_centre: Arc::from("dc-1"),
    }
}

/// Returns a probe message with all optional fields set.
fn sample_probe() -> ProbeMessage {
    ProbeMessage {
        kind: ProbeKind::IndirectPing,
        sequence: 3,
        sender: suspect_update("a"),
        target: Arc::from("c"),
        target_address: Some(SocketAddr::from(([127, 0, 0, 1], 4001))),
        summary: NodeSummary {
            epoch: 1,
            revision: 2,
            digest: 3,
            coverage_revision: 4,
            coverage_epoch: 5,
            coverage: vec![1, 2],
            drain_digest: 6,
            configuration_digest: 7,
        },
        updates: vec![suspect_update("b")],
        notices: vec![DrainNotice {
            subject: DrainSubject::Endpoint,
            name: Arc::from("engine-1"),
            out: true,
            version: 9,
            origin: Arc::from("a"),
        }],
    }
}

fn encode_probe(message: &ProbeMessage) -> Vec<u8> {
    let mut builder = Builder::new_default();
    convert::write_probe(message, builder.init_root());
    capnp::serialize::write_message_to_words(&builder)
}

fn decode_probe(bytes: &[u8]) -> Result<ProbeMessage, ConvertErrorKind> {
    let reader = capnp::serialize::read_message(bytes, ReaderOptions::new())
        .map_err(|_| ConvertErrorKind::Malformed)?;
    let root = reader
        .get_root::<peer_capnp::probe_message::Reader<'_>>()
        .map_err(|_| ConvertErrorKind::Malformed)?;
    convert::read_probe(root).map_err(|error| error.kind())
}

#[test]
fn probes_are_read_as_written() {
    assert_eq!(decode_probe(&encode_probe(&sample_probe())), Ok(sample_probe()));
}

fn grant_request() -> GrantRequest {
    let profile = RequestProfile {
        id: 1 << 90,
        account: Arc::from("office"),
        service: Arc::from("repair"),
        prompt_tokens: 1_000,
        max_output_tokens: 100,
        fingerprint: 11,
        prefix_blocks: vec![1, 2, 3],
        deadline: Duration::from_secs(50),
    };
    let submission = RequestSubmission {
        profile,
        attempt: (1 << 100) + 5,
        node: Arc::from("a"),
        excluded: vec![Arc::from("engine-2")],
    };
    GrantRequest { pool: Arc::from("repair/0"), submission }
}

#[test]
fn deadlines_are_converted_to_the_receivers_clock() {
    let request = grant_request();
    let mut builder = Builder::new_default();
    convert::write_grant_request(&request, Duration::from_secs(20), builder.init_root());
    let root = builder.get_root_as_reader().unwrap();
    let read =
        convert::read_grant_request(root, Arc::from("a"), Duration::from_secs(1_000)).unwrap();
    assert_eq!(read.submission.profile.deadline, Duration::from_secs(1_030));
    assert_eq!(read.submission.profile.prefix_blocks, [1, 2, 3]);
    assert_eq!(read.submission.excluded, request.submission.excluded);
}

#[test]
fn replies_are_read_as_written_and_grants_never_last_longer() {
    let request = grant_request();
    let amount = BudgetAmount::new(1_100, 1);
    let source = ChargeSource { lender: Arc::from("b"), incarnation: 3, number: 4 };
    let granted_at = Duration::from_millis(25_250);
    let ticket = GrantTicket {
        request: request.submission.profile.id,
        attempt: request.submission.attempt,
        account: Arc::from("office"),
        node: Arc::from("a"),
        endpoint: Arc::from("engine-1"),
        pool: request.pool.clone(),
        epoch: 1,
        fencing: 2,
        memory_tokens: 1_100,
        granted_at,
        expires_at: granted_at + Duration::from_secs(2),
        start_within: Duration::from_secs(2),
        priority: 6,
        reason: PlacementReason::PrefixCached,
        queued_for: Duration::from_millis(250),
    };
    let refusal = RefusalNotice {
        request: ticket.request,
        attempt: ticket.attempt,
        node: ticket.node.clone(),
        reason: RefusalReason::TooLarge { needed: 9, largest: 8 },
        retry_after: Duration::from_secs(1),
        shortage: None,
    };
    for reply in [
        GrantReply::Granted {
            ticket: Box::new(ticket),
            charges: vec![ChargePart { source, amount }],
        },
        GrantReply::Refused(Box::new(refusal)),
        GrantReply::NotOwner(OwnerHint { owner: Arc::from("c"), epoch: 9 }),
    ] {
        let mut builder = Builder::new_default();
        convert::write_grant_reply(&reply, builder.init_root());
        let root = builder.get_root_as_reader().unwrap();
        let requested_at = Duration::from_secs(25);
        assert_eq!(convert::read_grant_reply(root, &request, requested_at).unwrap(), reply);
    }
}

#[test]
fn share_messages_are_read_as_written() {
    let endpoint: Arc<str> = Arc::from("engine-1");
    let loan = ChargeSource { lender: Arc::from("b"), incarnation: 3, number: 4 };
    let scope = ReconcileScope::Earlier { lender: Arc::from("b"), incarnation: 3 };
    let kept = BudgetAmount::new(5, 6);
    let requested_at = Duration::from_nanos(123_456_789);
    let messages = vec![
        ShareMessage::Borrow { endpoint: endpoint.clone(), epoch: 1, requested_at, incarnation: 2 },
        ShareMessage::Lend {
            endpoint: endpoint.clone(),
            epoch: 1,
            loan: loan.clone(),
            amount: kept,
            term: Duration::from_secs(10),
            requested_at,
            incarnation: 2,
        },
        ShareMessage::Recall { endpoint: endpoint.clone(), loan: loan.clone() },
        ShareMessage::Return { endpoint: endpoint.clone(), loan: loan.clone(), kept },
        ShareMessage::Returned { endpoint: endpoint.clone(), loan: loan.clone() },
        ShareMessage::Reconcile { endpoint: endpoint.clone(), scope: ReconcileScope::Loan(loan) },
        ShareMessage::Holdings { endpoint: endpoint.clone(), scope, held: kept },
        ShareMessage::Retire { endpoint: endpoint.clone(), epoch: 7 },
        ShareMessage::Retired { endpoint, epoch: 7, kept },
    ];
    let mut builder = Builder::new_default();
    let params = builder.init_root::<peer_capnp::peer::shares_params::Builder<'_>>();
    convert::write_share_messages(&messages, params.init_messages(messages.len() as u32));
    let params = builder.get_root_as_reader::<peer_capnp::peer::shares_params::Reader<'_>>();
    let read = convert::read_share_messages(params.unwrap().get_messages().unwrap());
    assert_eq!(read.unwrap(), messages);
}

#[test]
fn reports_are_read_as_written() {
    let attempt = 1 << 70;
    let usage = TokenUsage { prompt_tokens: 1, completion_tokens: 2, cached_tokens: 3 };
    let ended = |usage| ReportKind::Ended {
        attempt,
        outcome: AttemptOutcome::Lost,
        confirmed_free: true,
        usage,
    };
    let kinds = [
        ReportKind::Withdrawn { request: 1 << 80, attempt },
        ReportKind::Started { attempt },
        ReportKind::FirstToken { attempt, after: Duration::from_millis(7) },
        ended(Some(usage)),
        ended(None),
        ReportKind::ConnectionReset { endpoint: Arc::from("engine-1") },
        ReportKind::BootSeen { endpoint: Arc::from("engine-1"), boot: Arc::from("boot") },
    ];
    let reports: Vec<_> =
        kinds.into_iter().map(|kind| PoolReport { pool: Arc::from("repair/0"), kind }).collect();
    let mut builder = Builder::new_default();
    let params = builder.init_root::<peer_capnp::peer::report_params::Builder<'_>>();
    convert::write_reports(&reports, params.init_reports(reports.len() as u32));
    let params = builder.get_root_as_reader::<peer_capnp::peer::report_params::Reader<'_>>();
    let read = convert::read_reports(params.unwrap().get_reports().unwrap());
    assert_eq!(read.unwrap(), reports);
}

#[test]
fn oversized_messages_are_refused() {
    let mut message = sample_probe();
    message.updates = vec![suspect_update("b"); convert::limits::MAX_PROBE_UPDATES + 1];
    assert_eq!(decode_probe(&encode_probe(&message)), Err(ConvertErrorKind::Oversized));
    message = sample_probe();
    message.target = Arc::from("x".repeat(convert::limits::MAX_NAME_BYTES + 1));
    assert_eq!(decode_probe(&encode_probe(&message)), Err(ConvertErrorKind::Oversized));
}

#[test]
fn malformed_addresses_are_refused() {
    let mut builder = Builder::new_default();
    convert::write_probe(&sample_probe(), builder.init_root());
    let root = builder.get_root::<peer_capnp::probe_message::Builder<'_>>().unwrap();
    root.get_sender().unwrap().set_address("nowhere");
    let reader = builder.get_root_as_reader().unwrap();
    let error = convert::read_probe(reader).unwrap_err();
    assert_eq!(error.kind(), ConvertErrorKind::Malformed);
}

#[test]
fn damaged_messages_never_panic() {
    let encoded = encode_probe(&sample_probe());
    for index in 0..encoded.len() {
        for bit in 0..8 {
            let mut damaged = encoded.clone();
            damaged[index] ^= 1 << bit;
            let _ = decode_probe(&damaged);
        }
        let _ = decode_probe(&encoded[..index]);
    }
}
