//! Settings files of a gateway node, and the template from which the platform renders them.

#![allow(clippy::expect_used, reason = "test helpers may panic")]

use std::path::Path;
use std::time::Duration;

use apricotknot::settings::GatewayNodeSettings;
use apricotknot::settings::SettingsErrorKind;

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

/// Replaces the placeholders of the template as the platform does, with example values.
#[test]
fn the_deploy_template_renders_to_a_valid_file() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/gateway.ini");
    let mut text = std::fs::read_to_string(path).expect("the template can be read");
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
    let file = parse(&text).expect("sound settings");
    assert_eq!(file.gateway.regions.len(), 2);
    assert_eq!(file.gateway.peer_address.port(), 7_340);
    assert_eq!(file.gateway.reserved_idle_time, Duration::from_secs(7));
    assert_eq!((file.gateway.memory_bytes, file.gateway.max_descriptors), (260_000_000, 4_100));
}
