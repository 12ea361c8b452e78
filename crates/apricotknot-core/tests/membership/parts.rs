//! Unit tests of the parts of membership.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use apricotknot_core::membership::ConfigAction;
use apricotknot_core::membership::ConfigReplicator;
use apricotknot_core::membership::ConfigTable;
use apricotknot_core::membership::ConfigurationBatch;
use apricotknot_core::membership::ConfigurationRecord;
use apricotknot_core::membership::LeaseKeeper;
use apricotknot_core::membership::MemberAction;
use apricotknot_core::membership::MemberSettings;
use apricotknot_core::membership::MemberState;
use apricotknot_core::membership::MemberTable;
use apricotknot_core::membership::MemberUpdate;
use apricotknot_core::membership::NodeSummary;
use apricotknot_core::membership::OwnerMap;
use apricotknot_core::membership::ProbeKind;
use apricotknot_core::membership::ProbeMessage;
use apricotknot_core::membership::StaleBatch;
use apricotknot_core::membership::next_fencing;
use apricotknot_core::types::NodeId;
use apricotknot_core::types::PoolId;

use crate::fleet::address;
use crate::fleet::node_id;

fn record(key: &str, revision: u64, body: &str) -> ConfigurationRecord {
    ConfigurationRecord { key: Arc::from(key), revision, body: Arc::from(body) }
}

fn batch(since: u64, through: u64, records: &[ConfigurationRecord]) -> ConfigurationBatch {
    ConfigurationBatch { since, through, newest: through, records: records.to_vec() }
}

fn summary(replicator: &ConfigReplicator) -> NodeSummary {
    NodeSummary {
        revision: replicator.table().revision(),
        configuration_digest: replicator.table().digest(),
        ..NodeSummary::default()
    }
}

/// Serves the pulls of `replicator` from `source` until it makes none; returns their number.
fn serve(
    replicator: &mut ConfigReplicator,
    source: &ConfigReplicator,
    peer: &NodeId,
    now: Duration,
) -> usize {
    let mut pulls = 0;
    let mut actions = replicator.receive_summary(peer, &summary(source), now);
    while let Some(ConfigAction::Pull { since, .. }) =
        actions.iter().find(|action| matches!(action, ConfigAction::Pull { .. }))
    {
        pulls += 1;
        actions = replicator.receive(peer, &source.table().batch(*since), now);
    }
    pulls
}

#[test]
fn gaps_and_older_revisions_are_refused() {
    let mut table = ConfigTable::default();
    table.apply_batch(&batch(0, 5, &[record("a", 5, "x")])).unwrap();
    let gap = table.apply_batch(&batch(6, 7, &[record("a", 7, "z")]));
    assert_eq!(gap, Err(StaleBatch::Gap { since: 6, revision: 5 }));
    let older = table.load_snapshot(4, &[record("a", 4, "w")]);
    assert_eq!(older, Err(StaleBatch::Older { given: 4, revision: 5 }));
    assert_eq!(table.get("a").map(|held| held.revision), Some(5));
}

#[test]
fn snapshot_marks_absent_records_deleted() {
    let mut table = ConfigTable::default();
    table.apply_batch(&batch(0, 5, &[record("a", 4, "x"), record("b", 5, "y")])).unwrap();
    let changed = table.load_snapshot(9, &[record("b", 5, "y"), record("c", 7, "z")]).unwrap();
    assert_eq!(changed, [record("c", 7, "z"), record("a", 9, "")]);
    assert!(table.get("a").is_none());
}

/// Writes of other keys advance the revision of the service without a change of a resource.
#[test]
fn writes_apply_across_store_revisions_without_records() {
    let mut replicator = ConfigReplicator::new("a");
    replicator.load_snapshot(40, &[record("a", 6, "x")]).unwrap();
    assert_eq!(replicator.table().revision(), 6);
    // The service advances to 45 without a change of a resource, and to 47 with one.
    assert_eq!(replicator.apply_writes(&batch(40, 45, &[])), Ok(Vec::new()));
    assert_eq!(replicator.table().revision(), 6);
    assert!(replicator.apply_writes(&batch(45, 47, &[record("a", 46, "y")])).is_ok());
    assert_eq!(replicator.table().revision(), 46);
    let gap = replicator.apply_writes(&batch(48, 49, &[record("a", 49, "z")]));
    assert_eq!(gap, Err(StaleBatch::Gap { since: 48, revision: 47 }));
}

#[test]
fn large_configuration_arrives_in_several_batches() {
    let mut source = ConfigReplicator::new("a");
    let body = "x".repeat(200);
    let records: Vec<_> =
        (1..=5_000).map(|number| record(&format!("account/{number}"), number, &body)).collect();
    source.load_snapshot(5_000, &records).unwrap();
    let mut replicator = ConfigReplicator::new("b");
    let pulls = serve(&mut replicator, &source, &node_id(0), Duration::ZERO);
    assert!(pulls > 2);
    assert_eq!(replicator.table().digest(), source.table().digest());
    assert_eq!(replicator.table().records().count(), 5_000);
}

/// Without a comparison of digests, a record would stay in force after its deletion was evicted.
#[test]
fn digest_mismatch_repairs_a_forgotten_deletion() {
    let mut source = ConfigReplicator::new("a");
    let mut replicator = ConfigReplicator::new("b");
    let first = batch(0, 1, &[record("old", 1, "x")]);
    source.apply_writes(&first).unwrap();
    replicator.apply_writes(&first).unwrap();
    // These are more deletions than the table keeps; that of the old key is evicted first.
    for number in 0..5_000_u64 {
        let key = if number == 0 { "old".into() } else { format!("key/{number}") };
        let revision = 2 + number;
        source.apply_writes(&batch(revision - 1, revision, &[record(&key, revision, "")])).unwrap();
    }
    serve(&mut replicator, &source, &node_id(0), Duration::ZERO);
    assert_eq!(replicator.table().revision(), source.table().revision());
    assert!(replicator.table().get("old").is_some(), "the deletion did not arrive");
    serve(&mut replicator, &source, &node_id(0), Duration::from_secs(1));
    assert!(replicator.table().get("old").is_none());
    assert_eq!(replicator.table().digest(), source.table().digest());
}

#[test]
fn failed_pull_is_retried_at_another_peer() {
    let mut replicator = ConfigReplicator::new("c");
    let newest_reported = NodeSummary { revision: 9, ..NodeSummary::default() };
    let first = replicator.receive_summary(&node_id(1), &newest_reported, Duration::ZERO);
    assert_eq!(first, [ConfigAction::Pull { peer: node_id(1), since: 0 }]);
    assert!(replicator.receive_summary(&node_id(2), &newest_reported, Duration::ZERO).is_empty());
    assert!(replicator.pull_failed(&node_id(1), Duration::ZERO).is_empty());
    let second = replicator.tick(Duration::from_secs(1));
    assert_eq!(second, [ConfigAction::Pull { peer: node_id(2), since: 0 }]);
    assert_eq!(replicator.newest_known(), 9);
}

/// Ticks the table, acknowledges the pings that it sends, and returns the nodes that it pinged.
fn tick_answered(table: &mut MemberTable, others: &[MemberUpdate], now: Duration) -> Vec<NodeId> {
    let mut pinged = Vec::new();
    for action in table.tick(now) {
        let MemberAction::Send { to, message } = action else {
            continue;
        };
        let sender = others.iter().find(|member| member.node == to.node).cloned();
        let sender = sender.unwrap_or_else(|| panic!("{to:?} is not a member"));
        let ack = ProbeMessage { kind: ProbeKind::Ack, sender, ..*message };
        table.receive(&ack, now);
        pinged.push(to.node);
    }
    pinged
}

#[test]
fn node_that_a_call_could_not_reach_is_probed_next() {
    let member = |index: usize| MemberUpdate {
        node: node_id(index),
        incarnation: 1,
        state: MemberState::Alive,
        address: address(index),
        data_centre: Arc::from("dc"),
    };
    let others: Vec<_> = (1..6).map(member).collect();
    for unreachable in &others {
        let settings = MemberSettings::default();
        let mut table = MemberTable::new(settings, member(0), Vec::new(), Duration::ZERO);
        table.merge(&others, Duration::ZERO);
        for tick in 1..40 {
            tick_answered(&mut table, &others, Duration::from_millis(100 * tick));
        }
        table.hint_unreachable(&unreachable.node);
        let pinged = tick_answered(&mut table, &others, Duration::from_secs(4));
        assert_eq!(pinged, std::slice::from_ref(&unreachable.node));
    }
}

#[test]
fn removing_a_member_moves_only_its_own_pools() {
    let members: Vec<_> = (0..50).map(node_id).collect();
    let all = OwnerMap::new(1, members.clone());
    let fewer = OwnerMap::new(2, members.iter().skip(1).cloned());
    let mut owned: BTreeMap<NodeId, usize> = BTreeMap::new();
    for index in 0..1_000 {
        let pool = PoolId::from(format!("service/{index}"));
        let owner = all.owner_of(&pool, |_| true).unwrap();
        *owned.entry(owner.clone()).or_default() += 1;
        assert_eq!(*owner, all.holders_of(&pool, 8)[0]);
        if *owner != members[0] {
            assert_eq!(fewer.owner_of(&pool, |_| true), Some(owner));
        }
        let next = all.owner_of(&pool, |node| node != owner);
        assert_eq!(next, all.holders_of(&pool, 2).get(1));
    }
    assert!(owned.values().all(|count| (5..=45).contains(count)), "{owned:?}");
}

#[test]
fn later_owners_get_larger_fencing_numbers() {
    let first = next_fencing(3, 0);
    let second = next_fencing(3, first);
    assert!(second > first);
    assert!(next_fencing(4, second) > second);
}

#[test]
fn lease_expires_on_the_local_clock() {
    let mut keeper = LeaseKeeper::new("a");
    let at = Duration::from_secs;
    assert!(keeper.tick(at(100)).is_some());
    keeper.renewed();
    assert!(keeper.holds(at(129)));
    assert!(!keeper.holds(at(130)));
    // The duration counts from the sending of the renewal, even if the response is late.
    assert!(keeper.tick(at(129)).is_some());
    keeper.renewed();
    assert!(!keeper.holds(at(159)));
    let writes = (160..1_160).filter(|second| {
        let is_sent = keeper.tick(at(*second)).is_some();
        keeper.renewed();
        is_sent
    });
    assert!(writes.count() <= 112, "about one renewal every ten seconds");
}
