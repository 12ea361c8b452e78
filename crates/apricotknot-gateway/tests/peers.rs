//! Tests of the signed datagrams between nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::fleet::BackoffReport;
use apricotknot_core::fleet::CrashReport;
use apricotknot_core::fleet::LeavingReport;
use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PartAnswerReport;
use apricotknot_core::fleet::PartCrashReport;
use apricotknot_core::fleet::RateReport;
use apricotknot_core::fleet::RelayStatus;
use apricotknot_core::fleet::RelayedSnapshot;
use apricotknot_core::fleet::RetryPolicy;
use apricotknot_core::fleet::WaitSnapshot;
use apricotknot_core::fleet::WorkSnapshot;
use apricotknot_core::usage::CountSnapshot;
use apricotknot_core::usage::WindowCounts;
use apricotknot_gateway::control::ControlHandle;
use apricotknot_gateway::control::ControlState;
use apricotknot_gateway::control::FleetLimits;
use apricotknot_gateway::control::NodeRecord;
use apricotknot_gateway::peers::DatagramError;
use apricotknot_gateway::peers::DatagramSeal;
use apricotknot_gateway::peers::PeerMessage;
use apricotknot_gateway::peers::PeerSeals;
use apricotknot_gateway::peers::decode_snapshot;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

fn snapshot() -> LoadSnapshot {
    LoadSnapshot {
        node: "node".into(),
        incarnation: 3,
        sequence: 9,
        works: Vec::new(),
        waits: vec![WaitSnapshot { prompt: 5, age_ms: 6 }],
        crashes: Vec::new(),
        part_crashes: vec![PartCrashReport {
            attempt: 7,
            endpoint: "engine".into(),
            request: 8,
            parts: vec![1, 2],
            age_ms: 30,
        }],
        part_answers: vec![PartAnswerReport { part: 1, age_ms: 40 }],
        rates: vec![RateReport {
            endpoint: "engine".into(),
            incarnation: 2,
            id: 5,
            per_second: Some(2.1),
            age_ms: 50,
        }],
        relay: Some(RelayStatus { open: 3, cut_services: vec!["model".into()] }),
        backoffs: vec![BackoffReport {
            node: "peer".into(),
            endpoint: "engine".into(),
            incarnation: 2,
            left_ms: 70,
        }],
        leaving: vec![LeavingReport { endpoint: "engine".into(), incarnation: 2 }],
        wall_clock_us: None,
        ranks: Vec::new(),
        price_waits: Vec::new(),
        relayed: vec![RelayedSnapshot { age_ms: 60, bytes: vec![1, 2, 3] }],
    }
}

fn counts() -> CountSnapshot {
    let counts = BTreeMap::from([("account".into(), 12), ("other".into(), 1)]);
    CountSnapshot {
        node: "node".into(),
        incarnation: 3,
        first_open: 353_445_121,
        windows: vec![WindowCounts { window: 353_445_120, counts }],
    }
}

#[test]
fn snapshot_is_decoded_as_it_was_encoded() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let datagram = seal.encode(&snapshot()).expect("encoded datagram");
    assert_eq!(seal.decode(&datagram), Ok(snapshot()));
}

#[test]
fn datagram_signed_with_another_secret_is_rejected() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let stranger = DatagramSeal::new(b"another").expect("seal of the secret");
    let datagram = stranger.encode(&snapshot()).expect("encoded datagram");
    assert_eq!(seal.decode(&datagram), Err(DatagramError::InvalidSignature));
    assert_eq!(seal.decode(b"short"), Err(DatagramError::TooShort(5)));
}

#[test]
fn modified_datagram_is_rejected() {
    arbtest::arbtest(|source| {
        let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
        let mut datagram = seal.encode(&snapshot()).expect("encoded datagram");
        let index = source.choose_index(datagram.len())?;
        datagram[index] ^= source.int_in_range(1..=255_u8)?;
        assert_eq!(seal.decode(&datagram), Err(DatagramError::InvalidSignature));
        Ok(())
    });
}

/// Datagram of the version before sections, signed with the secret `secret`.
const FIRST_DATAGRAM: [u8; 30] = [
    0x04, 0x6e, 0x6f, 0x64, 0x65, 0x03, 0x09, 0x00, 0x01, 0x05, 0x06, 0x00, 0x00, 0x00, 0xeb, 0x8c,
    0x1e, 0xdd, 0x84, 0xe0, 0x13, 0xb2, 0x6b, 0x6a, 0xb4, 0xeb, 0x26, 0xb0, 0x2b, 0x41,
];

/// Length of the signature at the end of a datagram, in bytes.
const TAG_BYTES: usize = 16;

/// Fields of a snapshot as the version before sections reads them.
#[derive(Debug, Deserialize, Serialize)]
struct FirstSnapshot {
    node: String,
    incarnation: u64,
    sequence: u64,
    works: Vec<WorkSnapshot>,
    waits: Vec<WaitSnapshot>,
    crashes: Vec<CrashReport>,
    part_crashes: Vec<PartCrashReport>,
    part_answers: Vec<PartAnswerReport>,
}

#[allow(clippy::expect_used, reason = "test helpers may panic")]
fn sign(bytes: &[u8]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(b"secret").expect("a key");
    mac.update(bytes);
    [bytes, &mac.finalize().into_bytes()[..TAG_BYTES]].concat()
}

#[test]
fn snapshot_of_the_version_before_sections_is_read() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let snapshot = seal.decode(&FIRST_DATAGRAM).expect("a snapshot");
    assert_eq!((&*snapshot.node, snapshot.incarnation, snapshot.sequence), ("node", 3, 9));
    assert_eq!(snapshot.waits, [WaitSnapshot { prompt: 5, age_ms: 6 }]);
    assert!(snapshot.rates.is_empty());
}

#[test]
fn version_before_sections_reads_a_snapshot_with_sections() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let datagram = seal.encode(&snapshot()).expect("encoded datagram");
    let bytes = &datagram[..datagram.len() - TAG_BYTES];
    let first: FirstSnapshot = postcard::from_bytes(bytes).expect("the first fields");
    assert_eq!((&*first.node, first.incarnation, first.sequence), ("node", 3, 9));
    assert_eq!(first.part_answers, snapshot().part_answers);
}

/// Datagram with [`snapshot`], signed with the secret `secret`, as build 30d2527 wrote it.
const LANDED_DATAGRAM: &[u8] = include_bytes!("data/snapshot-30d2527.bin");

/// Record of a node, as build 30d2527 wrote it.
const LANDED_NODE_RECORD: &[u8] = include_bytes!("data/node-30d2527.json");

// Guards against nodes that do not understand one another while builds are replaced, or back.
#[test]
fn snapshots_of_the_landed_build_are_read_and_it_reads_those_of_this_one() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    assert_eq!(seal.decode(LANDED_DATAGRAM), Ok(snapshot()));
    let own = seal.encode(&snapshot()).expect("encoded datagram");
    let (landed, own) =
        [LANDED_DATAGRAM, &own].map(|bytes| bytes[..bytes.len() - TAG_BYTES].to_vec()).into();
    assert!(own.starts_with(&landed), "what the landed build reads comes first and is the same");
}

/// Work of a node whose callers have two ranks.
fn ranked_snapshot() -> LoadSnapshot {
    let work = WorkSnapshot {
        endpoint: "engine".into(),
        is_helper: false,
        prompt: 5_000,
        memory: 5_100,
        read_ms: 30,
        is_writing: false,
        age_ms: 20,
        pause_limit_ms: 250,
    };
    let works = vec![work.clone(), WorkSnapshot { prompt: 260_000, ..work }];
    LoadSnapshot { works, ranks: vec![0, -2], relayed: Vec::new(), ..snapshot() }
}

// Guards against ranks that a build without them cannot skip.
#[test]
fn landed_build_reads_work_whose_ranks_are_told_in_a_section() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let ranked = seal.encode(&ranked_snapshot()).expect("encoded datagram");
    assert_eq!(seal.decode(&ranked), Ok(ranked_snapshot()));
    let plain = LoadSnapshot { ranks: Vec::new(), ..ranked_snapshot() };
    let plain = seal.encode(&plain).expect("encoded datagram");
    let (plain, ranked) =
        [&plain, &ranked].map(|bytes| bytes[..bytes.len() - TAG_BYTES].to_vec()).into();
    // Number, length and value of the section, which follows all that the landed build writes.
    let section = [&[7, 3, 0, 0, 0][..], &[2, 0, 0xfe]].concat();
    assert_eq!(ranked, [plain, section].concat());
}

// Guards against a section of waits that a build without it cannot skip.
#[test]
fn landed_build_reads_waits_whose_causes_are_told_in_a_section() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let waits = vec![WaitSnapshot { prompt: 5, age_ms: 6 }, WaitSnapshot { prompt: 7, age_ms: 8 }];
    let plain = LoadSnapshot { waits, relayed: Vec::new(), ..snapshot() };
    let held = LoadSnapshot { price_waits: vec![false, true], ..plain.clone() };
    let [plain, bytes] = [&plain, &held].map(|snapshot| seal.encode(snapshot).expect("datagram"));
    assert_eq!(seal.decode(&bytes), Ok(held));
    let (plain, bytes) =
        [&plain, &bytes].map(|bytes| bytes[..bytes.len() - TAG_BYTES].to_vec()).into();
    // Number, length and value of the section, which follows all that the landed build writes.
    let section = [&[8, 3, 0, 0, 0][..], &[2, 0, 1]].concat();
    assert_eq!(bytes, [plain, section].concat());
}

#[test]
fn node_record_of_the_landed_build_is_read_and_written_alike() {
    let record: NodeRecord = serde_json::from_slice(LANDED_NODE_RECORD).expect("a record");
    assert_eq!((record.incarnation, record.data_centre.as_deref()), (7, Some("north")));
    assert_eq!(serde_json::to_vec(&record).expect("encoded record"), LANDED_NODE_RECORD);
    let newer = br#"{"address":"127.0.0.1:1","incarnation":7,"field of a newer build":[1]}"#;
    serde_json::from_slice::<NodeRecord>(newer).expect("unknown fields are skipped");
}

// Guards against nodes of the landed build that take counts for the load of some node.
#[test]
fn landed_build_drops_counts_and_skips_the_clock() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let datagram = seal.encode_counts(&counts()).expect("encoded counts");
    // The landed build reads each datagram as a snapshot.
    assert_eq!(seal.decode(&datagram), Err(DatagramError::Malformed));
    let read = postcard::from_bytes::<FirstSnapshot>(seal.open(&datagram).expect("signed content"));
    read.expect_err("counts are no snapshot");
    let with_clock = LoadSnapshot { wall_clock_us: Some(1_767_225_600_000_000), ..snapshot() };
    let datagram = seal.encode(&with_clock).expect("encoded datagram");
    assert_eq!(seal.decode(&datagram), Ok(with_clock));
    let landed = &LANDED_DATAGRAM[..LANDED_DATAGRAM.len() - TAG_BYTES];
    let added = seal.open(&datagram).expect("signed content").strip_prefix(landed);
    let added = added.expect("what the landed build reads comes first and is the same");
    assert_eq!(added[..5], [6, 8, 0, 0, 0], "the head of one section that it skips");
    assert_eq!(added.len(), 5 + 8);
}

// Guards against counts that cost more between data centres than the design says.
#[test]
fn counts_of_eight_accounts_in_two_windows_fit_in_230_bytes() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let account = |index| format!("tenant{index}").into();
    let windows = [353_445_120, 353_445_121].map(|window| WindowCounts {
        window,
        counts: (0..8).map(|index| (account(index), 100)).collect(),
    });
    let counts = CountSnapshot {
        node: "node-of-centre1".into(),
        incarnation: 1_767_225_600_000,
        windows: windows.to_vec(),
        ..counts()
    };
    let datagram = seal.encode_counts(&counts).expect("encoded counts");
    assert!(datagram.len() <= 230, "{} bytes", datagram.len());
}

#[test]
fn counts_are_decoded_as_they_were_encoded_also_with_fields_of_a_later_version() {
    let mut seals = PeerSeals::default();
    seals.set_secret(b"secret");
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let datagram = seal.encode_counts(&counts()).expect("encoded counts");
    assert_eq!(seals.decode(&datagram), Ok(Some(PeerMessage::Counts(counts()))));
    let mut content = datagram[..datagram.len() - TAG_BYTES].to_vec();
    content.extend([1, 2, 3]);
    assert_eq!(seals.decode(&sign(&content)), Ok(Some(PeerMessage::Counts(counts()))));
    content.truncate(20);
    assert_eq!(seals.decode(&sign(&content)), Err(DatagramError::Malformed));
}

#[test]
fn section_that_is_not_known_is_skipped() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    let datagram = seal.encode(&snapshot()).expect("encoded datagram");
    let mut bytes = datagram[..datagram.len() - TAG_BYTES].to_vec();
    bytes.extend([200, 3, 0, 0, 0, 1, 2, 3]);
    assert_eq!(seal.decode(&sign(&bytes)), Ok(snapshot()));
    bytes.extend([200, 9, 0, 0, 0, 1]);
    assert_eq!(seal.decode(&sign(&bytes)), Err(DatagramError::Malformed));
}

#[test]
fn datagram_is_read_with_the_secret_before_until_all_nodes_know_the_new_one() {
    let mut seals = PeerSeals::default();
    let load = || PeerMessage::Load(Box::new(snapshot()));
    let sealed = |secret: &[u8]| {
        let seal = DatagramSeal::new(secret).expect("seal of the secret");
        seal.encode(&snapshot()).expect("encoded datagram")
    };
    assert_eq!(seals.decode(&sealed(b"first")), Ok(None));
    assert!(seals.set_secret(b"first") && !seals.set_secret(b"first"));
    assert_eq!(seals.decode(&sealed(b"second")), Err(DatagramError::InvalidSignature));
    assert!(seals.set_secret(b"second"));
    for secret in ["first", "second"] {
        assert_eq!(seals.decode(&sealed(secret.as_bytes())), Ok(Some(load())));
    }
    assert_eq!(seals.decode(&sealed(b"third")), Err(DatagramError::InvalidSignature));
}

/// Name of the node that receives malformed snapshots.
const OWN_NODE: &str = "own";

#[test]
fn signed_bytes_that_are_no_snapshot_are_rejected_without_a_panic() {
    let seal = DatagramSeal::new(b"secret").expect("seal of the secret");
    arbtest::arbtest(|source| {
        let mut bytes = seal.encode(&snapshot()).expect("encoded datagram");
        bytes.truncate(bytes.len() - TAG_BYTES);
        for _ in 0..source.int_in_range(1..=8_u8)? {
            match source.int_in_range(0..=2_u8)? {
                0 => bytes.truncate(source.choose_index(bytes.len().max(1))?),
                1 => bytes.push(source.arbitrary()?),
                _ if bytes.is_empty() => {},
                _ => {
                    let index = source.choose_index(bytes.len())?;
                    bytes[index] = source.arbitrary()?;
                },
            }
        }
        let Ok(snapshot) = seal.decode(&sign(&bytes)) else {
            return Ok(());
        };
        // What can be decoded is also applied, with the snapshots that it passes on.
        let mut state = malformed_receiver();
        for relayed in &snapshot.relayed {
            if let Ok(snapshot) = decode_snapshot(&relayed.bytes) {
                state.apply_peer_snapshot(snapshot, Duration::from_secs(9));
            }
        }
        state.apply_peer_snapshot(snapshot, Duration::from_secs(9));
        state.tick(Duration::from_secs(9));
        state.next_snapshot(Duration::from_secs(9));
        Ok(())
    });
}

/// Returns the state of a node that knows no endpoint.
fn malformed_receiver() -> ControlState {
    let (sender, _commands) = tokio::sync::mpsc::unbounded_channel();
    let retries = RetryPolicy { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    let regions = BTreeMap::from([("north".into(), "here".into())]);
    let limits = FleetLimits { retries };
    ControlState::new(ControlHandle::new(sender), OWN_NODE.into(), 1, regions, limits)
}
