//! Runs a node, a key-value service and two engines in one process, and sends three prompts.
//!
//! ```text
//! cargo run --release --example quickstart
//! ```

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use apricotknot::NodeProcess;
use apricotknot::NodeSettings;
use apricotknot::store::EtcdStore;
use apricotknot::store::KeyValueStore;
use apricotknot::store::SwapRequest;
use apricotknot::store::resource_key;
use apricotknot::telemetry::build_logger;
use apricotknot_core::admission::DecisionOutcome;
use apricotknot_core::admission::DecisionRecord;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_standin::engine::EngineServer;
use apricotknot_standin::engine::EngineSettings;
use apricotknot_standin::key_value::KeyValueServer;
use awc::Client;
use futures::StreamExt;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

/// Name of the model that the engines serve.
const MODEL: &str = "repair-assistant";

/// API key of the client account.
const ACCOUNT_KEY: &str = "quickstart-key";

/// Key-value cache of each engine, in tokens.
const ENGINE_TOKENS: u64 = 200_000;

/// Bytes of prompt text that the node counts as one token.
const BYTES_PER_TOKEN: usize = 4;

fn main() -> Result<(), Box<dyn Error>> {
    let store = KeyValueServer::start(any_loopback_address())?;
    let engines = [start_engine()?, start_engine()?];
    let addresses = [engines[0].address(), engines[1].address()];
    actix_rt::System::new().block_on(run(store.address(), &addresses))
}

async fn run(store: SocketAddr, engines: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    write_resources(store, engines).await?;
    let settings = NodeSettings::parse(Path::new("quickstart.ini"), &settings_text(store))?;
    let node = NodeProcess::start(
        &settings,
        build_logger(&settings.log, &settings.identity, std::io::stderr()),
    )?;
    println!("node on {}, engines on {engines:?}\n", node.caller_address());
    wait_until_ready(node.caller_address()).await?;
    send_prompt(&node, "a short question", 300, true).await?;
    send_prompt(&node, "the same question, whole answer", 300, false).await?;
    send_prompt(&node, "a long case history", 60_000, true).await?;
    node.stop(std::future::pending()).await;
    Ok(())
}

/// Sends a prompt of about `tokens` tokens, and prints the answer and the decision about it.
async fn send_prompt(
    node: &NodeProcess,
    title: &str,
    tokens: usize,
    stream: bool,
) -> Result<(), Box<dyn Error>> {
    let text = "Collar worn through at the fold. ".repeat(tokens * BYTES_PER_TOKEN / 33 + 1);
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 12,
        "stream": stream,
    });
    let started = Instant::now();
    let mut response = Client::default()
        .post(format!("http://{}/v1/chat/completions", node.caller_address()))
        .bearer_auth(ACCOUNT_KEY)
        .timeout(Duration::from_secs(60))
        .send_json(&body)
        .await?;
    let status = response.status();
    let id = response.headers().get("x-request-id").cloned();
    println!("{title}: {tokens} tokens, {status}, first byte after {:?}", started.elapsed());
    while let Some(chunk) = response.next().await {
        print!("{}", String::from_utf8_lossy(&chunk?));
    }
    println!();
    if let Some(id) = id.and_then(|id| u128::from_str_radix(id.to_str().ok()?, 16).ok()) {
        match node.control().explain(id).await {
            Some(record) => println!("{}\n", describe(&record)),
            None => println!("no decision is recorded\n"),
        }
    }
    Ok(())
}

fn describe(record: &DecisionRecord) -> String {
    let DecisionOutcome::Granted { endpoint, reason, .. } = &record.outcome else {
        return format!("not run: {:?}", record.outcome);
    };
    format!(
        "ran on {endpoint} because of {reason:?}; queued {:?}; account {}; {} tokens of memory",
        record.queued_for, record.account, record.memory_tokens
    )
}

async fn wait_until_ready(address: SocketAddr) -> Result<(), Box<dyn Error>> {
    let client = Client::default();
    loop {
        let response = client.get(format!("http://{address}/readyz")).send().await?;
        if response.status().is_success() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Writes the resources directly to the store, before the node starts.
async fn write_resources(store: SocketAddr, engines: &[SocketAddr]) -> Result<(), Box<dyn Error>> {
    let store = EtcdStore::new([store.to_string()]);
    let digest = hex::encode(Sha256::digest(ACCOUNT_KEY));
    let mut records = vec![
        json!({ "name": "sapporo", "kind": "data-centre", "spec": { "region": "hokkaido" } }),
        json!({ "name": "office", "kind": "account", "spec": { "key_digests": [digest] } }),
        json!({
            "name": MODEL, "kind": "service",
            "spec": { "mode": { "model": { "max_context_tokens": ENGINE_TOKENS } } },
        }),
    ];
    for (index, address) in engines.iter().enumerate() {
        records.push(json!({
            "name": format!("engine-{index}"), "kind": "endpoint",
            "spec": {
                "service": MODEL, "data_centre": "sapporo", "address": address,
                "memory_tokens": ENGINE_TOKENS, "cold_memory_tokens": ENGINE_TOKENS / 2,
            },
        }));
    }
    for value in records {
        let mut record: ResourceRecord = serde_json::from_value(value)?;
        record.generation = 1;
        let key = resource_key(&ResourceKey::new(record.spec.kind(), record.name.clone()));
        store.swap(&SwapRequest::create(key, serde_json::to_vec(&record)?)).await?;
    }
    Ok(())
}

fn start_engine() -> Result<EngineServer, Box<dyn Error>> {
    let settings = EngineSettings::default().model(MODEL).memory_tokens(ENGINE_TOKENS);
    Ok(EngineServer::start(settings)?)
}

fn settings_text(store: SocketAddr) -> String {
    format!(
        "[node]\nname = node-1\ndata_centre = sapporo\n\
         [callers]\nlisten = 127.0.0.1:0\n\
         [operators]\nlisten = 127.0.0.1:0\n\
         [peers]\nlisten = 127.0.0.1:0\nkey = 00112233445566778899aabbccddeeff\n\
         [store]\naddresses = {store}\n\
         [shutdown]\nunready_wait_ms = 0\n\
         [log]\nlevel = warning\n"
    )
}

fn any_loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
