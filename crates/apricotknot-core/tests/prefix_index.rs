//! Tests of the index from prompt blocks to the endpoints that hold them.

use apricotknot_core::admission::CacheChange;
use apricotknot_core::prefix_cache::BLOCK_TOKENS;
use apricotknot_core::prefix_cache::PrefixIndex;
use apricotknot_core::types::EndpointId;

fn blocks(first: u64, count: u64) -> Vec<u64> {
    (first..first + count).collect()
}

#[test]
fn longer_prompt_with_the_same_prefix_finds_the_endpoint() {
    let mut index = PrefixIndex::new(100);
    let endpoint: EndpointId = "e1".into();
    index.record_grant(&blocks(1, 8), &endpoint);
    let mut longer = blocks(1, 8);
    longer.extend(blocks(1_000, 8));
    assert_eq!(index.cached_tokens(&longer), [(endpoint, 8 * BLOCK_TOKENS)]);
    assert_eq!(index.cached_tokens(&blocks(500, 4)), []);
}

#[test]
fn index_stays_within_its_capacity_and_keeps_used_blocks() {
    let mut index = PrefixIndex::new(50);
    for round in 0..1_000 {
        index.record_grant(&blocks(round * 100, 64), &"e1".into());
        index.record_grant(&blocks(1_000_000, 1), &"e2".into());
        assert!(index.len() <= 50);
    }
    assert_eq!(
        index.cached_tokens(&blocks(1_000_000, 1)).len(),
        1,
        "a block that is used again is kept"
    );
}

#[test]
fn reports_do_not_displace_granted_holders_and_evictions_do() {
    let mut index = PrefixIndex::new(50);
    index.record_grant(&[1], &"granted".into());
    for reporter in ["r1", "r2", "r3", "r4", "r5"] {
        index.record_report(1, &reporter.into(), CacheChange::Stored);
    }
    let known = index.cached_tokens(&[1]);
    assert_eq!(known[0].0, "granted".into());
    assert_eq!(known.len(), 4);
    index.record_report(1, &"granted".into(), CacheChange::Evicted);
    assert!(!index.cached_tokens(&[1]).iter().any(|(holder, _)| &**holder == "granted"));
    index.remove_endpoint(&"r5".into());
    assert!(!index.cached_tokens(&[1]).iter().any(|(holder, _)| &**holder == "r5"));
}
