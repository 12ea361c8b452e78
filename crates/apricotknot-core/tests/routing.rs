//! Tests of routes, API keys and the weights of services.

use std::collections::BTreeMap;
use std::time::Duration;

use apricotknot_core::routing::CallKind;
use apricotknot_core::routing::ConfigurationTrust;
use apricotknot_core::routing::KeyFault;
use apricotknot_core::routing::KeyPolicy;
use apricotknot_core::routing::KeyTable;
use apricotknot_core::routing::RouteSpec;
use apricotknot_core::routing::RouteTable;
use apricotknot_core::routing::WeightedTarget;

fn route(name: &str, host: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![WeightedTarget { service: "one".into(), weight: 1 }],
        kind: CallKind::Idempotent,
        max_attempts: 2,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        pause_limit: None,
        priority: 1,
        is_public: false,
        is_resumable: false,
        regions: Vec::new(),
    }
}

#[test]
fn longest_path_prefix_wins() {
    let table = RouteTable::new([
        route("all", "a.example", "/"),
        route("part", "a.example", "/part/"),
        route("deep", "a.example", "/part/deep/"),
        route("other", "b.example", "/part/"),
    ]);
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/part/deep/x").as_deref(), Some("deep"));
    assert_eq!(name("a.example", "/part/deep").as_deref(), Some("part"));
    assert_eq!(name("A.Example", "/partly/x").as_deref(), Some("all"));
    assert_eq!(name("b.example", "/part/deep/x").as_deref(), Some("other"));
    assert_eq!(name("b.example", "/x"), None);
    assert_eq!(name("c.example", "/"), None);
}

#[test]
fn longest_prefix_lookup_agrees_with_a_linear_search() {
    arbtest::arbtest(|source| {
        let parts = ["", "a/", "b/", "a/b/", "a/b/a/", "b/b/"];
        let mut routes = Vec::new();
        for _ in 0..source.int_in_range(0..=6)? {
            let prefix = format!("/{}", source.choose(&parts)?);
            routes.push(route(&prefix, "h", &prefix));
        }
        let path = format!("/{}{}", source.choose(&parts)?, source.choose(&["", "a", "x"])?);
        let expected = routes
            .iter()
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
            .map(|route| route.prefix.to_string());
        let table = RouteTable::new(routes);
        let found = table.find("h", &path).map(|route| route.prefix.to_string());
        assert_eq!(found, expected, "{path}");
        Ok(())
    });
}

#[test]
fn services_are_picked_in_proportion_to_their_weights() {
    let mut split_route = route("split", "h", "/");
    split_route.targets = vec![
        WeightedTarget { service: "nine".into(), weight: 90 },
        WeightedTarget { service: "none".into(), weight: 0 },
        WeightedTarget { service: "one".into(), weight: 10 },
    ];
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for step in 0..1_000_u32 {
        let service =
            split_route.pick_service(step * (u32::MAX / 1_000)).expect("a target has a weight");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    assert!(counts["nine"].abs_diff(900) <= 1, "{counts:?}");
    assert!(!counts.contains_key("none"));
    split_route.targets.clear();
    assert_eq!(split_route.pick_service(7), None);
}

#[test]
fn keys_map_to_accounts_and_are_not_printed_by_debug() {
    let table = KeyTable::new([("secret".into(), "office".into())]);
    assert_eq!(table.account("secret").map(|account| &**account), Some("office"));
    assert_eq!(table.account("Secret"), None);
    assert!(!format!("{table:?}").contains("secret"));
}

/// Guards against an account that an outdated configuration names: a key is answered by a recent
/// configuration or not at all, whether or not the route needs it, and no key is answered always
/// where none is needed.
#[test]
fn accounts_are_named_by_recent_configurations_only() {
    let keys = KeyPolicy::Required(KeyTable::new([("held".into(), "office".into())]));
    let trusts = [(true, true), (true, false), (false, true), (false, false)];
    for (may_admit, may_deny) in trusts {
        let trust = ConfigurationTrust { may_admit, may_deny };
        for is_public in [true, false] {
            let verify = |key| {
                let verified = keys.verify(key, is_public, trust);
                verified.map(|account| account.map(|account| account.to_string()))
            };
            let absent = match (may_admit && may_deny, is_public) {
                (false, _) => Err(KeyFault::Outdated),
                (true, true) => Ok(None),
                (true, false) => Err(KeyFault::Unknown),
            };
            let held = may_admit.then(|| Some("office".to_owned())).ok_or(KeyFault::Outdated);
            assert_eq!(verify(Some("held")), held, "{is_public} {trust:?}");
            assert_eq!(verify(Some("unknown")), absent, "{is_public} {trust:?}");
            let without_key = if is_public { Ok(None) } else { absent };
            assert_eq!(verify(None), without_key, "{is_public} {trust:?}");
        }
        let verified = KeyPolicy::NotRequired.verify(Some("unknown"), false, trust);
        assert_eq!(verified.is_ok(), may_admit && may_deny, "{trust:?}");
        assert_eq!(KeyPolicy::NotRequired.verify(None, false, trust), Ok(None));
    }
}
