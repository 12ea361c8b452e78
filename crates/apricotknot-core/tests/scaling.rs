//! Checks how many endpoints are ordered, and what they leave unserved.

#[path = "support/fake_fleet.rs"]
mod fake_fleet;

use std::time::Duration;

use crate::fake_fleet::ApiMode;
use crate::fake_fleet::FakeFleet;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn without_traffic_only_the_minimum_is_ordered() {
    let mut fleet = FakeFleet::new(4, 6, 40);
    fleet.run(seconds(60), 0.0);
    assert_eq!(fleet.orders.len(), 3);
    assert_eq!([fleet.count("a"), fleet.count("b"), fleet.count("c")], [6, 6, 6]);
}

#[test]
fn wave_of_load_does_not_move_the_endpoints_after_its_first_crest() {
    let mut fleet = FakeFleet::new(10, 2, 40);
    let wave = |fleet: &mut FakeFleet| {
        fleet.run(seconds(10), 12.0);
        fleet.run(seconds(10), 30.0);
    };
    wave(&mut fleet);
    wave(&mut fleet);
    let settled_at = fleet.now;
    fleet.worst_shortage = 0.0;
    for _ in 0..12 {
        wave(&mut fleet);
    }
    assert!(fleet.orders_since(settled_at).is_empty(), "{:?}", fleet.orders);
    assert_eq!(fleet.worst_shortage, 0.0);
    // The crest must leave free endpoints, by its spread: 30 + 2 * sqrt(30).
    assert!(fleet.total() >= 41 && fleet.total() <= 50, "{}", fleet.total());
}

#[test]
fn lasting_burst_is_served_after_one_boot_time() {
    let mut fleet = FakeFleet::new(10, 2, 60);
    fleet.run(seconds(30), 15.0);
    fleet.run(seconds(14), 60.0);
    fleet.worst_shortage = 0.0;
    fleet.run(seconds(30), 60.0);
    assert_eq!(fleet.worst_shortage, 0.0);
}

#[test]
fn load_that_comes_in_batches_finds_free_endpoints() {
    let mut fleet = FakeFleet::new(10, 2, 60);
    let batches = |fleet: &mut FakeFleet| {
        for _ in 0..20 {
            fleet.run(Duration::from_millis(500), 10.0);
            fleet.run(Duration::from_millis(500), 70.0);
        }
    };
    batches(&mut fleet);
    fleet.worst_shortage = 0.0;
    batches(&mut fleet);
    assert_eq!(fleet.worst_shortage, 0.0);
}

#[test]
fn short_burst_within_the_reserve_orders_nothing() {
    let mut fleet = FakeFleet::new(12, 2, 60);
    fleet.run(seconds(30), 20.0);
    fleet.run(seconds(2), 30.0);
    fleet.run(seconds(30), 20.0);
    assert!(fleet.orders.is_empty(), "{:?}", fleet.orders);
}

#[test]
fn calm_gives_endpoints_back_slowly_and_the_next_burst_orders_them_again() {
    let mut fleet = FakeFleet::new(10, 2, 60);
    fleet.run(seconds(60), 50.0);
    let crest = fleet.total();
    fleet.run(seconds(60), 5.0);
    assert_eq!(fleet.total(), crest, "the crest is remembered");
    fleet.run(seconds(240), 5.0);
    assert!(fleet.total() <= 14, "{}", fleet.total());
    assert!(fleet.total() >= 10, "{}", fleet.total());
    let calm = fleet.orders.len();
    fleet.run(seconds(14), 50.0);
    fleet.worst_shortage = 0.0;
    fleet.run(seconds(60), 50.0);
    assert_eq!(fleet.worst_shortage, 0.0);
    assert!(fleet.orders.len() - calm <= 24, "{:?}", fleet.orders);
}

#[test]
fn loss_of_a_data_centre_is_borne_and_replaced_elsewhere() {
    let mut fleet = FakeFleet::new(15, 2, 60);
    fleet.run(seconds(30), 30.0);
    fleet.lose("c");
    fleet.run(seconds(60), 30.0);
    assert_eq!(fleet.worst_shortage, 0.0);
    assert!(fleet.count("a") + fleet.count("b") >= 41, "{}", fleet.total());
}

#[test]
fn data_centre_that_the_holder_cannot_reach_gets_no_order_that_takes_endpoints_away() {
    let mut fleet = FakeFleet::new(15, 2, 60);
    fleet.run(seconds(30), 30.0);
    fleet.unreachable.insert("c".to_owned());
    let since = fleet.now;
    fleet.run(seconds(30), 30.0);
    assert!(fleet.orders_since(since).iter().all(|order| &*order.data_centre != "c"));
    assert_eq!(fleet.count("c"), 15);
}

#[test]
fn evacuated_data_centre_is_replaced_elsewhere_and_gets_no_order() {
    let mut fleet = FakeFleet::new(15, 2, 60);
    fleet.run(seconds(30), 30.0);
    fleet.evacuated.insert("c".to_owned());
    let since = fleet.now;
    fleet.run(seconds(30), 30.0);
    assert_eq!(fleet.worst_shortage, 0.0);
    assert!(fleet.orders_since(since).iter().all(|order| &*order.data_centre != "c"));
    assert!(fleet.count("a") + fleet.count("b") >= 41, "{}", fleet.total());
    fleet.evacuated.clear();
    fleet.run(seconds(60), 30.0);
    assert_eq!(fleet.count("c"), 15);
}

#[test]
fn crashed_endpoints_are_not_ordered_while_they_start_again() {
    let mut fleet = FakeFleet::new(16, 2, 60);
    fleet.run(seconds(30), 30.0);
    fleet.crash("a", 10, seconds(10));
    fleet.run(seconds(30), 30.0);
    assert!(fleet.orders.is_empty(), "{:?}", fleet.orders);
    fleet.crash("a", 16, seconds(3_600));
    fleet.run(seconds(60), 44.0);
    assert!(fleet.total() >= 58, "{}", fleet.total());
}

#[test]
fn silent_api_gets_few_calls_and_its_endpoints_come_after_it_is_back() {
    let mut fleet = FakeFleet::new(10, 2, 60);
    fleet.api = ApiMode::Down;
    fleet.run(seconds(120), 40.0);
    // Seven calls for each data centre, at delays from 1 to 60 s, and three more while the mean rises.
    assert!(fleet.orders.len() <= 30, "{}", fleet.orders.len());
    fleet.api = ApiMode::Prompt;
    fleet.run(seconds(80), 40.0);
    fleet.worst_shortage = 0.0;
    fleet.run(seconds(30), 40.0);
    assert_eq!(fleet.worst_shortage, 0.0);
}

#[test]
fn orders_that_are_carried_out_late_end_at_what_is_wanted() {
    let mut fleet = FakeFleet::new(10, 2, 60);
    fleet.api = ApiMode::Late(seconds(7));
    fleet.run(seconds(20), 20.0);
    fleet.run(seconds(20), 50.0);
    fleet.api = ApiMode::Prompt;
    fleet.run(seconds(60), 50.0);
    let settled_at = fleet.now;
    fleet.worst_shortage = 0.0;
    fleet.run(seconds(30), 50.0);
    assert_eq!(fleet.worst_shortage, 0.0);
    assert!(fleet.orders_since(settled_at).is_empty(), "{:?}", fleet.orders);
}

#[test]
fn limits_hold_in_each_data_centre_and_for_the_service_as_a_whole() {
    let mut each = FakeFleet::new(26, 31, 76);
    each.run(seconds(20), 30.0);
    assert_eq!([each.count("a"), each.count("b"), each.count("c")], [31, 31, 31]);
    each.run(seconds(300), 1_000.0);
    assert!(each.orders.iter().all(|(_, order)| (31..=76).contains(&order.desired)));
    assert_eq!(each.total(), 228);

    let mut whole = FakeFleet::new(26, 31, 76).with_total_max(80);
    whole.run(seconds(20), 60.0);
    let since = whole.now;
    whole.run(seconds(600), 60.0);
    assert_eq!(whole.total(), 80);
    // At most one call a minute for each data centre once the endpoints don't come.
    assert!(whole.orders_since(since).len() <= 45, "{}", whole.orders_since(since).len());
}

#[test]
fn successor_orders_from_what_it_sees() {
    let mut fleet = FakeFleet::new(10, 2, 60);
    fleet.run(seconds(30), 50.0);
    let crest = fleet.total();
    fleet.replace_holder();
    let since = fleet.now;
    fleet.run(seconds(60), 50.0);
    assert!(fleet.orders_since(since).is_empty(), "{:?}", fleet.orders_since(since));
    assert_eq!(fleet.total(), crest);

    fleet.run(seconds(2), 90.0);
    fleet.replace_holder();
    fleet.run(seconds(16), 90.0);
    fleet.worst_shortage = 0.0;
    fleet.run(seconds(20), 90.0);
    assert_eq!(fleet.worst_shortage, 0.0);
}

#[test]
fn data_centre_that_gives_no_endpoints_is_replaced_by_others() {
    let mut fleet = FakeFleet::new(10, 2, 60);
    fleet.refusing.insert("a".to_owned());
    fleet.run(seconds(90), 40.0);
    assert_eq!(fleet.count("a"), 10);
    fleet.worst_shortage = 0.0;
    fleet.run(seconds(30), 40.0);
    assert_eq!(fleet.worst_shortage, 0.0);
    assert!(fleet.total() >= 53, "{}", fleet.total());
}

#[test]
fn endpoints_that_are_taken_away_after_a_release_are_ordered_at_once() {
    let mut fleet = FakeFleet::new(16, 16, 60);
    fleet.run(seconds(30), 30.0);
    fleet.release("a", 30.0);
    assert!(fleet.orders.is_empty(), "{:?}", fleet.orders);
    fleet.empty("a", 5);
    fleet.run(seconds(1), 30.0);
    assert_eq!(fleet.orders.len(), 1);
    fleet.run(seconds(10), 30.0);
    assert_eq!(fleet.count("a"), 16);
}
