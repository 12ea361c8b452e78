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
    let change = path.record_reached(&service, ENDPOINTS, later);
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
        path.record_reached(&service, ENDPOINTS, now);
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
