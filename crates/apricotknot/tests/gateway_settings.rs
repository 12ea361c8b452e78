//! Settings files of a gateway node, and the template from which the platform renders them.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::path::Path;
use std::time::Duration;

use apricotknot::settings::GatewayNodeSettings;
use apricotknot::settings::SettingsErrorKind;
use apricotknot_core::duty::DutyKind;

/// A settings file without errors.
const VALID_SETTINGS: &str = "[node]\nname = node-1\ndata_centre = north\n\n[gateway]\n\
    callers = 127.0.0.1:8080\noperations = 127.0.0.1:8081\nnews = 127.0.0.1:7000\n\
    revoke_ms = 5000\nstop_s = 8\n\n[store]\naddress = 127.0.0.1:2379\n\n\
    [retries]\nratio = 0.2\nslack = 104\nwindow_s = 10\n\n[data_centres]\nnorth = here\n";

fn parse(text: &str) -> Result<GatewayNodeSettings, apricotknot::settings::SettingsError> {
    GatewayNodeSettings::parse(Path::new("gateway.ini"), text)
}

#[test]
fn a_valid_file_is_read() {
    let file = parse(VALID_SETTINGS).expect("sound settings");
    assert_eq!(&*file.identity.name, "node-1");
    assert!(file.gateway.staleness.max_admit_age < Duration::from_secs(5));
    assert!(file.gateway.staleness.max_admit_age > Duration::from_secs(3));
    assert_eq!(file.gateway.stop_timeout, Duration::from_secs(8));
    assert_eq!(file.gateway.regions.len(), 1);
    assert_eq!(file.gateway.memory_bytes, 160_000_000);
    assert!((file.gateway.retries.slack - 104.0).abs() < f64::EPSILON);
}

#[test]
fn reads_of_the_store_leave_time_for_a_failed_call_before_a_drain_is_due() {
    for (drain_ms, interval_ms) in [(1_000, 300), (2_000, 300), (3_000, 400), (9_000, 1_000)] {
        let text = VALID_SETTINGS.replace("stop_s = 8", &format!("drain_ms = {drain_ms}"));
        let interval = parse(&text).expect("sound settings").gateway.max_read_interval;
        assert_eq!(interval, Duration::from_millis(interval_ms), "drain_ms = {drain_ms}");
    }
}

#[test]
fn faults_are_reported_by_kind() {
    let cases = [
        ("callers = 127.0.0.1:8080", "callers = nowhere", SettingsErrorKind::Invalid),
        ("callers = 127.0.0.1:8080", "", SettingsErrorKind::Missing),
        ("stop_s = 8", "stop_s = 0", SettingsErrorKind::Invalid),
        ("stop_s = 8", "stops_s = 8", SettingsErrorKind::UnknownKey),
        ("stop_s = 8", "memory_mb = 12", SettingsErrorKind::Invalid),
        ("stop_s = 8", "max_descriptors = few", SettingsErrorKind::Invalid),
        ("[retries]", "[retry]", SettingsErrorKind::UnknownSection),
        ("north = here", "north = over there!", SettingsErrorKind::Invalid),
    ];
    for (valid, wrong, kind) in cases {
        let error = parse(&VALID_SETTINGS.replacen(valid, wrong, 1)).expect_err(wrong);
        assert_eq!(error.kind(), kind, "{wrong}: {error}");
    }
}

/// The section that switches duties on.
const DUTIES: &str = "\n[duties]\naddress = 127.0.0.1:8424\nkinds = usage_report, autoscale\n\
    lease_ms = 4000\nusage_window_s = 5\nusage_due_s = 10\ncalls_per_s = 50.0\n";

#[test]
fn duties_are_read_from_a_section_that_may_be_absent() {
    assert_eq!(parse(VALID_SETTINGS).expect("sound settings").gateway.duties, None);
    let file = parse(&format!("{VALID_SETTINGS}{DUTIES}")).expect("sound settings");
    let duties = file.gateway.duties.expect("duties");
    assert_eq!(duties.kinds, DutyKind::ALL);
    assert_eq!(duties.lease_time, Duration::from_secs(4));
    assert_eq!(duties.usage_due, Duration::from_secs(10));
    let none = DUTIES.replace("usage_report, autoscale", "");
    let file = parse(&format!("{VALID_SETTINGS}{none}")).expect("sound settings");
    assert_eq!(file.gateway.duties, None);
}

#[test]
fn faults_of_duties_are_reported_by_kind_and_key() {
    let cases = [
        ("usage_report,", "usage_reports,", SettingsErrorKind::Invalid, "kinds"),
        ("address = 127.0.0.1:8424\n", "", SettingsErrorKind::Missing, "address"),
        ("127.0.0.1:8424", "somewhere", SettingsErrorKind::Invalid, "address"),
        ("lease_ms = 4000", "lease_ms = 0", SettingsErrorKind::Invalid, "lease_ms"),
        ("calls_per_s = 50.0", "calls_per_s = 0", SettingsErrorKind::Invalid, "calls_per_s"),
        ("kinds", "duties", SettingsErrorKind::UnknownKey, "duties"),
    ];
    for (valid, wrong, kind, key) in cases {
        let text = format!("{VALID_SETTINGS}{}", DUTIES.replacen(valid, wrong, 1));
        let error = parse(&text).expect_err(wrong);
        assert_eq!((error.kind(), error.get_key()), (kind, key), "{error}");
        assert_eq!(error.get_section(), "duties");
    }
}

/// Replaces the placeholders of the template as the platform does, with example values.
fn render_template(has_duties: bool) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/gateway.ini");
    let mut text = std::fs::read_to_string(path).expect("the template can be read");
    let (begin, end) = ("{{#cloud.dutyPerS}}", "{{/cloud.dutyPerS}}");
    let (before, rest) = text.split_once(begin).expect("begin of the duties");
    let (duties, after) = rest.split_once(end).expect("end of the duties");
    text = if has_duties { format!("{before}{duties}{after}") } else { format!("{before}{after}") };
    let duty_values = [
        ("{{cloud.addr}}", "10.200.0.113:8424"),
        ("{{cloud.duties}}", "usage_report,autoscale"),
        ("{{cloud.dutyPerS}}", "50.0"),
        ("{{bounds.leaseMs}}", "3000"),
        ("{{bounds.reportWindowS}}", "5"),
        ("{{bounds.usageLateS}}", "10"),
    ];
    for (placeholder, value) in duty_values {
        assert_eq!(text.contains(placeholder), has_duties, "{placeholder}");
        text = text.replace(placeholder, value);
    }
    let values = [
        ("{{nodeName}}", "front-hkd-sap-1"),
        ("{{zone}}", "hkd-sap"),
        ("{{listen.front}}", "10.1.0.40:8227"),
        ("{{listen.ready}}", "10.1.0.40:8220"),
        ("{{ip}}", "10.1.0.40"),
        ("{{internalPorts.0}}", "7340"),
        ("{{bounds.revokeMs}}", "5000"),
        ("{{bounds.configApplyMs}}", "3000"),
        ("{{bounds.drainMs}}", "4000"),
        ("{{bounds.graceS}}", "8"),
        (
            "{{#bounds.idleMaxMs}}reserved_idle_ms = {{bounds.idleMaxMs}}\n{{/bounds.idleMaxMs}}",
            "reserved_idle_ms = 7000",
        ),
        (
            "{{#limits.memoryMb}}memory_mb = {{limits.memoryMb}}\n{{/limits.memoryMb}}",
            "memory_mb = 260",
        ),
        (
            "{{#limits.maxFds}}max_descriptors = {{limits.maxFds}}\n{{/limits.maxFds}}",
            "max_descriptors = 4100",
        ),
        ("{{bounds.retryBudgetRatio}}", "0.2"),
        ("{{bounds.retryBudgetSlack}}", "104"),
        ("{{bounds.budgetWindowS}}", "10"),
        ("{{platform.addr}}", "10.200.1.7:8223"),
        ("{{#zones}}{{@}} = {{.}}\n{{/zones}}", "hkd-sap = hkd\nhkd-asa = hkd\n"),
    ];
    for (placeholder, value) in values {
        assert!(text.contains(placeholder), "{placeholder}");
        text = text.replace(placeholder, value);
    }
    assert!(!text.contains("{{"), "a placeholder of the template has no value: {text}");
    text
}

#[test]
fn the_deploy_template_renders_to_a_valid_file() {
    let duties = parse(&render_template(true)).expect("sound settings").gateway.duties;
    assert_eq!(duties.expect("duties").kinds, DutyKind::ALL);
    let file = parse(&render_template(false)).expect("sound settings");
    assert_eq!(file.gateway.duties, None);
    assert_eq!(file.gateway.regions.len(), 2);
    assert_eq!(file.gateway.peer_address.port(), 7_340);
    assert_eq!(file.gateway.reserved_idle_time, Duration::from_secs(7));
    assert_eq!((file.gateway.memory_bytes, file.gateway.max_descriptors), (260_000_000, 4_100));
}
