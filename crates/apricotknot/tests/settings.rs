//! Settings files of a node: parsed values, defaults and error messages.

#![expect(clippy::expect_used, reason = "test helpers may panic")]

use std::path::Path;
use std::time::Duration;

use apricotknot::NodeSettings;
use apricotknot::settings::LogFormat;

/// A settings file with only the keys that have no default.
const MINIMAL_SETTINGS: &str = "\
[node]
name = node-1
data_centre = sapporo-1
[callers]
listen = 127.0.0.1:8080
[operators]
listen = 127.0.0.1:9090
[peers]
listen = 127.0.0.1:7070
key = 000102030405060708090a0b0c0d0e0f
[store]
addresses = 127.0.0.1:2379
";

fn parse(text: &str) -> Result<NodeSettings, String> {
    NodeSettings::parse(Path::new("node.ini"), text).map_err(|error| error.to_string())
}

/// Returns the error message for the minimal settings with `old` replaced by `new`.
fn parse_error(old: &str, new: &str) -> String {
    assert!(MINIMAL_SETTINGS.contains(old), "{old}");
    parse(&MINIMAL_SETTINGS.replacen(old, new, 1)).expect_err(new)
}

#[test]
fn smallest_file_gets_defaults() {
    let settings = parse(MINIMAL_SETTINGS).unwrap();
    assert_eq!(&*settings.identity.name, "node-1");
    assert_eq!(settings.callers.traffic_threads, 2);
    assert_eq!(settings.callers.max_body_bytes, 16 << 20);
    assert_eq!(settings.store.timeout, Duration::from_secs(2));
    assert_eq!(settings.shutdown.drain_timeout, Duration::from_secs(600));
    assert_eq!(settings.log.format, LogFormat::Text);
    assert!(settings.peers.known_peers.is_empty() && settings.peers.previous_key.is_none());
}

#[test]
fn given_values_override_defaults() {
    let digest = "ab".repeat(32);
    let text = MINIMAL_SETTINGS
        .replace("[peers]\n", "[peers]\nknown = b@127.0.0.1:1, c@127.0.0.1:2\n")
        + "calls_per_second = 7\n[log]\nformat = json\n[shutdown]\nunready_wait_ms = 0\n";
    let text = text.replace(":9090\n", &format!(":9090\ntoken_digests = {digest}, {digest}\n"));
    let settings = parse(&text).unwrap();
    assert_eq!(settings.peers.known_peers.len(), 2);
    assert_eq!(settings.store.calls_per_second, 7);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.operators.token_digests.len(), 2);
    assert_eq!(settings.shutdown.unready_wait, Duration::ZERO);
}

#[test]
fn each_error_names_section_key_value_and_allowed_values() {
    let names = "1 to 63 letters, digits, '-', '.' and '_', a letter or digit first";
    assert_eq!(
        parse_error("name = node-1", "name = node-1 ; a comment"),
        format!("node.ini: [node] key `name` has the value `node-1 ; a comment`; allowed: {names}")
    );
    assert_eq!(
        parse_error("name = node-1\n", ""),
        format!("node.ini: [node] key `name` is missing; allowed: {names}")
    );
    assert_eq!(
        parse_error("127.0.0.1:8080", "localhost"),
        "node.ini: [callers] key `listen` has the value `localhost`; \
         allowed: an IP address and port, such as 127.0.0.1:8080"
    );
    assert_eq!(
        parse_error("[operators]", "traffic_threads = 65\n[operators]"),
        "node.ini: [callers] key `traffic_threads` has the value `65`; \
         allowed: a whole number from 1 to 64"
    );
    assert_eq!(
        parse_error("key = 000102030405060708090a0b0c0d0e0f", "key = 0001"),
        "node.ini: [peers] key `key` has the value `hidden`; \
         allowed: at least 32 hexadecimal digits"
    );
    assert_eq!(
        parse_error("addresses = 127.0.0.1:2379", "adresses = 127.0.0.1:2379"),
        "node.ini: [store] key `addresses` is missing; \
         allowed: addresses such as 127.0.0.1:2379, separated by commas"
    );
}

#[test]
fn misspelled_names_get_a_hint() {
    let key = parse_error("[peers]", "token_digest = a\n[peers]");
    assert!(key.ends_with("did you mean `token_digests`?"), "{key}");
    let section = parse_error("[store]", "[stroe]");
    assert!(section.ends_with("did you mean `store`?"), "{section}");
}

#[test]
fn secrets_are_never_shown() {
    let settings = parse(MINIMAL_SETTINGS).unwrap();
    assert!(!format!("{settings:?}").contains("00010203"));
    assert!(!parse_error("0d0e0f", "0d0e0g").contains("00010203"));
}
