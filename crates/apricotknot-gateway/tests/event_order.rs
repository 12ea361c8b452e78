//! Tests of the order of a stream's events, whose ids increase by one or by more.

use apricotknot_gateway::endpoint::EventOrder;
use apricotknot_gateway::endpoint::EventPosition;

/// Returns the order of a stream of which one attempt sent events with `ids`.
fn order_of(ids: &[u64]) -> EventOrder {
    let mut order = EventOrder::default();
    for (index, id) in ids.iter().enumerate() {
        let position = if index == 0 { EventPosition::Begins } else { EventPosition::Follows };
        assert!(order.allows(Some(*id), position), "{id} of {ids:?}");
        order.record(Some(*id), position);
    }
    order
}

/// Guards against a stream that is cut at its second event, as its ids rise by more than one.
#[test]
fn ids_of_one_attempt_rise_by_any_step() {
    let order = order_of(&[0, 10, 11, 40]);
    for id in [40, 39, 0] {
        assert!(!order.allows(Some(id), EventPosition::Follows), "{id} comes twice, or too late");
    }
    assert!(order.allows(Some(41), EventPosition::Follows));
    assert!(order.allows(None, EventPosition::Follows));
}

#[test]
fn attempt_that_continues_a_stream_leaves_no_larger_gap_than_it_had() {
    for (ids, next, is_allowed) in [
        (vec![0, 1, 2], 3, true),
        (vec![0, 1, 2], 4, false),
        (vec![0, 1, 2], 2, false),
        (vec![10, 20, 30], 40, true),
        (vec![10, 20, 30], 50, false),
        (vec![7], 9, true),
        (vec![7], 7, false),
    ] {
        let order = order_of(&ids);
        assert_eq!(
            order.allows(Some(next), EventPosition::Continues),
            is_allowed,
            "{ids:?} {next}"
        );
    }
    assert!(
        !order_of(&[1]).allows(None, EventPosition::Continues),
        "nobody knows what it continues"
    );
}

#[test]
fn caller_that_has_read_events_gets_later_ones_only() {
    let order = EventOrder::after(Some(30));
    assert!(order.allows(Some(40), EventPosition::Begins));
    assert!(!order.allows(Some(30), EventPosition::Begins));
    assert!(order.allows(None, EventPosition::Begins));
    assert_eq!(order.last_id(), Some(30));
}
