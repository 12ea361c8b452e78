//! Configuration that the nodes of a test fleet follow.

use serde_json::Value;
use serde_json::json;

/// Returns a configuration with a model service, a plain service and a route of each kind.
pub(crate) fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "shop.example", "prefix": prefix, "routeType": kind,
            "timeoutMs": 8000, "targetLatencyMs": 1000, "priority": 1, "service": service,
            "attempts": attempts, "public": name == "open", "resumable": kind == "streaming",
            "gapAimMs": 1000,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("stream", "/model/", "streaming", "model", 2),
            route("order", "/order/", "non_idempotent", "desk", 1),
            route("lookup", "/lookup/", "idempotent", "desk", 2),
            route("open", "/open/", "idempotent", "desk", 2),
        ],
        "services": [
            {
                "name": "model", "coldStartS": 3.0, "coldPerS": 26.0,
                "engine": {
                    "slots": 4, "kvCapacity": 100_000, "stride": 43, "step_ms": 1.0,
                    "per_seq_ms": 0.002, "context_per_k": 0.004, "read_per_s": 206_000.0,
                    "pairs_per_m": 0.138,
                },
            },
            {"name": "desk", "coldStartS": 0.0, "coldPerS": 0.0},
        ],
        "limits": {
            "maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "office", "apiKeys": keys}],
    })
}
