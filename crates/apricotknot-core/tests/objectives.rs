//! Tests the counts and reports of service-level objectives; random counts are checked against a
//! list of all requests.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use apricotknot_core::objectives::BudgetDimension;
use apricotknot_core::objectives::BudgetFault;
use apricotknot_core::objectives::BurnAlert;
use apricotknot_core::objectives::BurnReport;
use apricotknot_core::objectives::BurnWindow;
use apricotknot_core::objectives::FinishedRequest;
use apricotknot_core::objectives::NodeResponse;
use apricotknot_core::objectives::ObjectiveTracker;
use apricotknot_core::objectives::SLOTS_PER_WINDOW;
use apricotknot_core::objectives::WindowCounter;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::types::LengthClass;
use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

const INPUT_BYTES: u64 = 1_000;
const HOUR: Duration = Duration::from_secs(3_600);

fn tracker(node: &str) -> ObjectiveTracker {
    let text = r#"{"kind": "service", "name": "assistant", "spec": {
        "mode": {"model": {"max_context_tokens": 1000}}, "objectives": [{"class": "short",
        "first_token_ms": 570, "between_tokens_ms": 42, "good_permille": 950}]}}"#;
    let record = ResourceRecord::from_json(text.as_bytes()).unwrap();
    let mut table = ResourceTable::new();
    table.apply(&UpdateBatch::complete(1, vec![ResourceUpdate::present(record, 1)])).unwrap();
    let mut tracker = ObjectiveTracker::new(node, Duration::ZERO);
    tracker.configure(&table.snapshot());
    tracker
}

fn request(first_token_ms: u64) -> FinishedRequest {
    FinishedRequest {
        service: "assistant".into(),
        class: LengthClass::Short,
        account: "clerks".into(),
        endpoint: Some("engine-1".into()),
        data_centre: Some("north-1".into()),
        first_token: Some(Duration::from_millis(first_token_ms)),
        between_tokens: Some(Duration::from_millis(10)),
        fault: None,
    }
}

/// Counts requests at random times, and compares each window with the list of all requests.
fn check_windows(input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut counter = WindowCounter::default();
    let mut log = Vec::new();
    let mut now = Duration::ZERO;
    while !input.is_empty() {
        let max_step = *input.choose(&[1, 60, 3_600, 200_000])?;
        now += Duration::from_secs(input.int_in_range(0..=max_step)?);
        let is_good = input.arbitrary()?;
        counter.count(is_good, now);
        log.push((now, is_good));
        let later = now + Duration::from_secs(input.int_in_range(0..=max_step)?);
        for window in BurnWindow::ALL {
            let slot = window.length() / SLOTS_PER_WINDOW as u32;
            let start =
                (later.as_nanos() / slot.as_nanos() + 1).saturating_sub(SLOTS_PER_WINDOW as u128);
            let is_within = |at: Duration| at.as_nanos() / slot.as_nanos() >= start;
            let within: Vec<_> = log.iter().filter(|(at, _)| is_within(*at)).collect();
            let good = within.iter().filter(|(_, is_good)| *is_good).count() as u64;
            let total = counter.total(window, later);
            assert_eq!((total.good, total.total()), (good, within.len() as u64), "{window:?}");
        }
    }
    Ok(())
}

/// Runs the check for the seeds 1 to `FUZZ_SEEDS`, by default 100.
#[test]
fn windows_count_exactly_the_requests_within_them() {
    let seeds = std::env::var("FUZZ_SEEDS").map_or(100, |text| text.parse().unwrap());
    for seed in 1..=seeds {
        arbtest(check_windows).seed((seed * 0x9E37_79B9) << 32 | INPUT_BYTES);
    }
}

#[test]
fn a_request_is_judged_by_the_objective_of_its_class() {
    let mut tracker = tracker("n1");
    assert_eq!(tracker.record_request(&request(570), HOUR), None);
    assert_eq!(tracker.record_request(&request(571), HOUR), Some(BudgetFault::SlowFirstToken));
    let slow = FinishedRequest { between_tokens: Some(HOUR), ..request(1) };
    assert_eq!(tracker.record_request(&slow, HOUR), Some(BudgetFault::SlowBetweenTokens));
    let long = FinishedRequest { class: LengthClass::Archive, ..request(100_000) };
    assert_eq!(
        tracker.record_request(&long, HOUR),
        None,
        "no objective is configured for the class"
    );
    let lost = FinishedRequest { fault: Some(BudgetFault::Lost), first_token: None, ..request(1) };
    assert_eq!(tracker.record_request(&lost, HOUR), Some(BudgetFault::Lost));
}

#[test]
fn a_report_merges_nodes_and_names_missing_and_restarted_ones() {
    let (mut first, mut second) = (tracker("n1"), tracker("n2"));
    for _ in 0..90 {
        first.record_request(&request(100), HOUR);
    }
    for _ in 0..10 {
        second.record_request(&request(9_000), HOUR);
    }
    let now = HOUR + Duration::from_secs(30);
    let missing = NodeResponse::Missing { node: "n3".into(), reason: "timed out".into() };
    let responses = [
        NodeResponse::Reached(first.snapshot(now)),
        NodeResponse::Reached(second.snapshot(now)),
        missing,
    ];
    let text = serde_json::to_string(&first.snapshot(now)).unwrap();
    assert_eq!(serde_json::from_str::<serde_json::Value>(&text).unwrap()["node"], "n1");
    let report = BurnReport::merge(&responses);
    let series = &report.series[0];
    assert_eq!(series.windows[0].count.total(), 100);
    let burn = series.windows[0].burn.unwrap();
    assert!(
        (burn - 2.0).abs() < 1e-9,
        "10% bad requests with 5% allowed must burn at rate 2: {burn}"
    );
    assert_eq!(series.alerts, [BurnAlert::SlowBurn]);
    assert_eq!(series.first_token.count(), 100);
    assert!(series.first_token.percentile(50.0).unwrap().abs_diff(100) <= 2);
    assert!(series.first_token.percentile(99.0).unwrap().abs_diff(9_000) <= 100);
    let fault = series.contributors.iter().find(|share| share.dimension == BudgetDimension::Fault);
    assert_eq!((&*fault.unwrap().name, fault.unwrap().permille), ("slow-first-token", 1_000));
    assert_eq!(report.missing().map(|node| &*node.node).collect::<Vec<_>>(), ["n3"]);
    assert_eq!(report.nodes[0].partial, [BurnWindow::SixHours, BurnWindow::ThreeDays]);
}

#[test]
fn an_empty_window_has_no_burn_rate() {
    let mut tracker = tracker("n1");
    tracker.record_request(&request(9_000), Duration::ZERO);
    let response = NodeResponse::Reached(tracker.snapshot(2 * HOUR));
    let series = &BurnReport::merge(&[response]).series[0];
    let burns: Vec<_> = series.windows.iter().map(|window| window.burn.is_some()).collect();
    assert_eq!(burns, [false, false, true, true]);
}
