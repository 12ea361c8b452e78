//! Gateway nodes as processes, beside another writer that leaves odd records among the endpoints'.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use gateway_fleet::Fleet;
use gateway_fleet::lookup_request;
use gateway_fleet::wait_until;

/// Returns the record of an endpoint of the service `desk`, with `address` and `cold_ms` in JSON.
fn record(address: &str, cold_ms: &str, other: &str) -> String {
    format!(
        "{{\"service\":\"desk\",\"addr\":{address},\"zone\":\"north\",\"slots\":4,\
         \"state\":\"ready\",\"coldRemainingMs\":{cold_ms},\"seq\":1,\"born\":1,\"other\":{other}}}"
    )
}

#[test]
fn odd_records_do_not_stop_nodes_from_following_the_others() {
    let mut fleet = Fleet::start("odd", 2);
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let address = "\"127.0.0.1:9\"";
    let odd = [
        record("\"127.0.0.1:99999\"", "0", "1"),
        record(&nested, "0", "1"),
        record(address, "0", &nested),
        record(address, "1e400", "1"),
        // Fits in a duration, but not in one that began before now.
        record(address, "1.8446744073709549e22", "1"),
        nested,
    ];
    for (number, record) in odd.iter().enumerate() {
        fleet.store.put_bytes(&format!("servers/odd-{number}"), record.as_bytes());
    }
    fleet.configure(&["key-two"]);
    for (index, node) in fleet.nodes.iter().enumerate() {
        let request = lookup_request(&format!("after-{index}"));
        wait_until("a node follows the configuration", || node.send(&request).status == 401);
        let request = request.replace(gateway_fleet::KEY, "key-two");
        wait_until("a node serves the new key", || node.send(&request).status == 200);
    }
    // A node that starts reads them all at once.
    fleet.nodes[0].restart();
    wait_until("a node that starts is ready", || fleet.nodes[0].is_ready());
    for node in &mut fleet.nodes {
        assert!(!node.has_exited(), "no node ends");
    }
}
