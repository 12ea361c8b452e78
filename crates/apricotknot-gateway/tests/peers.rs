//! Tests of the signed datagrams between nodes.

use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::PartAnswerReport;
use apricotknot_core::fleet::PartCrashReport;
use apricotknot_core::fleet::WaitSnapshot;
use apricotknot_gateway::peers::DatagramError;
use apricotknot_gateway::peers::DatagramSeal;

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
