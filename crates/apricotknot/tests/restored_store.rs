//! Gateway nodes as processes, before a key-value service that comes back from an older copy.

#![allow(clippy::expect_used, reason = "helpers of tests may panic")]

#[allow(dead_code, reason = "shared with other tests")]
#[path = "support/gateway_fleet.rs"]
mod gateway_fleet;

use gateway_fleet::Fleet;
use gateway_fleet::KEY;
use gateway_fleet::lookup_request;
use gateway_fleet::wait_until;

// Guards against records of nodes that are lost until a lease is renewed, or for good.
#[test]
fn nodes_write_their_own_records_again() {
    let fleet = Fleet::start("records", 2);
    let own_keys = || fleet.store.keys("apricotknot/");
    wait_until("both nodes are announced", || own_keys().len() == 3);
    let secret = fleet.store.value("apricotknot/peer-secret").expect("a secret");
    fleet.store.restore(fleet.store.copy().without("apricotknot/"));
    wait_until("both nodes are announced again", || own_keys().len() == 3);
    let found = fleet.store.value("apricotknot/peer-secret");
    assert_eq!(found.as_deref(), Some(&secret[..]), "nodes keep the secret that they share");
}

// Guards against an older configuration that a node takes for the one in force.
#[test]
fn revoked_key_stays_revoked_at_nodes_that_start_before_it_is_written_again() {
    let mut fleet = Fleet::start("revoked", 3);
    let old = fleet.store.copy();
    fleet.configure(&["key-two"]);
    let request = |id: &str| lookup_request(id);
    for node in &fleet.nodes {
        wait_until("the key is revoked", || node.send(&request("a")).status == 401);
    }
    fleet.store.restore(old);
    let knows = |log: Vec<serde_json::Value>| {
        log.iter().any(|line| line["msg"].as_str().is_some_and(|text| text.contains("older copy")))
    };
    for node in &fleet.nodes {
        wait_until("the node knows of the copy", || knows(node.log_lines()));
    }
    wait_until("the newer configuration is kept in the store", || {
        !fleet.store.keys("apricotknot/configuration").is_empty()
    });
    fleet.nodes[2].restart();
    wait_until("the node is ready again", || fleet.nodes[2].is_ready());
    let two = lookup_request("b").replace(KEY, "key-two");
    wait_until("the new key is served", || fleet.nodes[2].send(&two).status == 200);
    for node in &fleet.nodes {
        assert_ne!(node.send(&request("c")).status, 200, "the revoked key is served");
        assert_eq!(node.send(&two).status, 200, "the new key is served");
    }
    fleet.configure(&[KEY]);
    for node in &fleet.nodes {
        wait_until("what operators write next is in force", || {
            node.send(&request("d")).status == 200
        });
    }
}
