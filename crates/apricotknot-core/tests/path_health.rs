//! Tests of when a node counts as cut off from endpoints.

use std::time::Duration;

use apricotknot_core::fleet::PathHealth;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::ServiceId;

const NOW: MonotonicTime = Duration::from_secs(100);

/// Number of endpoints of each service.
const ENDPOINTS: usize = 8;

fn endpoint(number: usize) -> EndpointId {
    format!("engine-{number}").into()
}

#[test]
fn one_endpoint_that_is_down_does_not_count_as_a_cut() {
    let (mut path, service) = (PathHealth::default(), ServiceId::from("model"));
    for step in 0..50 {
        let now = NOW + Duration::from_millis(step * 20);
        assert_eq!(path.record_unreached(&service, &endpoint(1), ENDPOINTS, now), None);
    }
    assert!(!path.is_cut_off(&service, ENDPOINTS, NOW));
    assert!(path.is_suspect(NOW));
}

#[test]
fn several_endpoints_in_a_row_count_as_a_cut_until_one_is_reached() {
    let (mut path, service) = (PathHealth::default(), ServiceId::from("model"));
    assert_eq!(path.record_unreached(&service, &endpoint(1), ENDPOINTS, NOW), None);
    let later = NOW + Duration::from_millis(250);
    let change = path.record_unreached(&service, &endpoint(2), ENDPOINTS, later);
    assert!(change.is_some_and(|it| it.is_cut_off && it.after == Duration::from_millis(250)));
    assert_eq!(path.record_unreached(&service, &endpoint(3), ENDPOINTS, later), None);
    let other = ServiceId::from("desk");
    assert!(path.is_cut_off(&other, ENDPOINTS, later), "three endpoints stand for all services");
    let change = path.record_reached(&service, &endpoint(4), ENDPOINTS, later);
    assert!(change.is_some_and(|it| !it.is_cut_off));
    assert!(!path.is_cut_off(&service, ENDPOINTS, later) && !path.is_suspect(later));
}

#[test]
fn endpoints_that_are_reached_between_failures_count_as_no_cut() {
    let (mut path, service) = (PathHealth::default(), ServiceId::from("model"));
    for step in 0..20 {
        let now = NOW + Duration::from_millis(step * 100);
        path.record_unreached(&service, &endpoint(step as usize % 4), ENDPOINTS, now);
        assert!(!path.is_cut_off(&service, ENDPOINTS, now));
        path.record_reached(&service, &endpoint(9), ENDPOINTS, now);
    }
}

#[test]
fn failures_are_forgotten_after_some_seconds() {
    let (mut path, service) = (PathHealth::default(), ServiceId::from("model"));
    path.record_unreached(&service, &endpoint(1), ENDPOINTS, NOW);
    let later = NOW + Duration::from_secs(6);
    assert!(!path.is_suspect(later));
    assert_eq!(path.record_unreached(&service, &endpoint(2), ENDPOINTS, later), None);
}

#[test]
fn only_endpoint_of_a_service_stands_for_the_service() {
    let (mut path, service) = (PathHealth::default(), ServiceId::from("desk"));
    assert!(path.record_unreached(&service, &endpoint(1), 1, NOW).is_some());
    assert!(!path.is_cut_off(&ServiceId::from("model"), ENDPOINTS, NOW));
}

#[test]
fn link_of_an_endpoint_that_only_others_reach_counts_as_cut_until_it_works() {
    let (mut path, service) = (PathHealth::default(), ServiceId::from("model"));
    path.record_relayed(&endpoint(1), NOW);
    assert!(!path.is_link_cut(&endpoint(1), NOW), "this node has not tried it");
    for number in [1, 2] {
        path.record_unreached(&service, &endpoint(number), ENDPOINTS, NOW);
        path.record_relayed(&endpoint(number), NOW);
    }
    path.record_reached(&service, &endpoint(3), ENDPOINTS, NOW);
    assert!(!path.is_cut_off(&service, ENDPOINTS, NOW));
    assert!(path.is_link_cut(&endpoint(1), NOW) && path.is_link_cut(&endpoint(2), NOW));
    assert!(!path.is_link_cut(&endpoint(3), NOW));
    let later = NOW + Duration::from_secs(4);
    path.record_unreached(&service, &endpoint(1), ENDPOINTS, later);
    let much_later = NOW + Duration::from_secs(8);
    assert!(path.is_link_cut(&endpoint(2), much_later), "a failed probe stands for all");
    path.record_reached(&service, &endpoint(1), ENDPOINTS, much_later);
    assert!(!path.is_link_cut(&endpoint(2), much_later), "and so does one that succeeds");
}
