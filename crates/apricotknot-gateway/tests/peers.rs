//! Signed news between nodes.

use apricotknot_core::fleet::LoadSnapshot;
use apricotknot_core::fleet::WaitSnapshot;
use apricotknot_gateway::peers::NewsError;
use apricotknot_gateway::peers::NewsSeal;

fn news() -> LoadSnapshot {
    LoadSnapshot {
        node: "node".into(),
        incarnation: 3,
        sequence: 9,
        works: Vec::new(),
        waits: vec![WaitSnapshot { prompt: 5, age_ms: 6 }],
        crashes: Vec::new(),
    }
}

#[test]
fn news_is_read_as_it_was_written() {
    let seal = NewsSeal::new(b"secret").expect("a seal");
    let datagram = seal.write(&news()).expect("a datagram");
    assert_eq!(seal.read(&datagram), Ok(news()));
}

#[test]
fn news_of_strangers_is_not_taken_in() {
    let seal = NewsSeal::new(b"secret").expect("a seal");
    let stranger = NewsSeal::new(b"another").expect("a seal");
    let datagram = stranger.write(&news()).expect("a datagram");
    assert_eq!(seal.read(&datagram), Err(NewsError::Forged));
    assert_eq!(seal.read(b"short"), Err(NewsError::Short(5)));
}

#[test]
fn no_changed_datagram_is_taken_in() {
    arbtest::arbtest(|source| {
        let seal = NewsSeal::new(b"secret").expect("a seal");
        let mut datagram = seal.write(&news()).expect("a datagram");
        let index = source.choose_index(datagram.len())?;
        datagram[index] ^= source.int_in_range(1..=255_u8)?;
        assert_eq!(seal.read(&datagram), Err(NewsError::Forged));
        Ok(())
    });
}
