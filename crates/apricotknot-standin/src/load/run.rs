//! An open-loop run: each request is sent at its arrival time, whether or not earlier requests
//! have been answered.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::types::ExecutionCertainty;
use apricotknot_core::types::LengthClass;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde_json::Value;

use super::ArrivalStream;
use super::LoadOutcome;
use super::LoadRecorder;
use super::PromptArrival;
use super::SiteProfile;
use crate::engine::verify_answer;
use crate::fleet::FleetClient;
use crate::fleet::FleetError;
use crate::fleet::StreamSummary;
use crate::fleet::chat_body;

/// Path that prompts are sent to.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Describes the servers to which requests are sent.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// Addresses to which requests are sent in rotation.
    pub addresses: Vec<SocketAddr>,
    /// Model that the requests name.
    pub model: String,
    /// Keys of the accounts, one for each of the site's `account_shares`; empty to send none.
    pub keys: Vec<String>,
}

/// Describes a run.
#[derive(Clone, Copy, Debug)]
pub struct LoadSettings {
    /// User whose arrivals are generated.
    pub site: SiteProfile,
    /// Average number of requests a second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of prompt tokens that an engine prefills a second.
    pub prefill_tokens_per_second: u64,
    /// Time between decode steps of an engine.
    pub step_interval: Duration,
}

impl LoadSettings {
    fn ideal_first_token(&self, arrival: &PromptArrival) -> Duration {
        let seconds = arrival.prompt_tokens as f64 / self.prefill_tokens_per_second as f64;
        Duration::from_secs_f64(seconds) + self.step_interval
    }
}

/// Sends a request for each arrival and returns the outcomes when all requests have ended.
pub async fn run_load(settings: LoadSettings, target: LoadTarget) -> LoadRecorder {
    let recorder = Rc::new(RefCell::new(LoadRecorder::default()));
    let client = FleetClient::new();
    let target = Rc::new(target);
    let arrivals = ArrivalStream::new(settings.site, settings.rate, settings.seed);
    let start = Instant::now();
    let in_flight = FuturesUnordered::new();
    for arrival in arrivals.take_while(|arrival| arrival.since_start < settings.duration) {
        let client = client.clone();
        let target = Rc::clone(&target);
        let recorder = Rc::clone(&recorder);
        let delay = arrival.since_start.saturating_sub(start.elapsed());
        actix_rt::time::sleep(delay).await;
        in_flight.push(actix_rt::spawn(async move {
            let class = LengthClass::of(arrival.prompt_tokens);
            let (outcome, code) =
                send(&client, &target, &arrival, settings.ideal_first_token(&arrival)).await;
            let mut recorder = recorder.borrow_mut();
            recorder.record(class, outcome);
            if let Some(code) = code {
                recorder.record_refusal_code(class, code);
            }
        }));
    }
    in_flight.for_each(|_| async {}).await;
    recorder.take()
}

async fn send(
    client: &FleetClient,
    target: &LoadTarget,
    arrival: &PromptArrival,
    ideal_first_token: Duration,
) -> (LoadOutcome, Option<String>) {
    let prompt = arrival.prompt();
    let body = chat_body(&target.model, &prompt, arrival.answer_tokens, true);
    let bearer = target.keys.get(arrival.account).map(|key| format!("Bearer {key}"));
    let headers: Vec<(&str, &str)> =
        bearer.iter().map(|bearer| ("authorization", bearer.as_str())).collect();
    let index = usize::try_from(arrival.number).unwrap_or(0) % target.addresses.len();
    let address = target.addresses[index];
    match client.stream(address, CHAT_PATH, &headers, &body).await {
        Err(_) => (LoadOutcome::Broken, None),
        Ok(Err(refusal)) => {
            let outcome = LoadOutcome::Refused(parse_certainty(refusal.header("x-executed")));
            (outcome, refusal.json()["error"]["code"].as_str().map(str::to_owned))
        },
        Ok(Ok(stream)) => {
            let summary = stream.finish().await;
            let tokens = usize::try_from(arrival.answer_tokens).unwrap_or(0);
            let code = summary.as_ref().ok().and_then(|summary| summary.error.as_ref());
            let code = code.and_then(|error| error["code"].as_str()).map(str::to_owned);
            let is_correct =
                |text: &str| verify_answer(&target.model, &prompt, text, tokens).is_ok();
            (classify_outcome(summary, is_correct, ideal_first_token), code)
        },
    }
}

fn classify_outcome(
    summary: Result<StreamSummary, FleetError>,
    is_correct: impl Fn(&str) -> bool,
    ideal_first_token: Duration,
) -> LoadOutcome {
    let Ok(summary) = summary else {
        return LoadOutcome::Broken;
    };
    if let Some(error) = &summary.error {
        return LoadOutcome::Refused(parse_certainty(error["executed"].as_str()));
    }
    match summary.first_token {
        Some(first_token) if summary.done && is_correct(&summary.text) => {
            LoadOutcome::Answered { first_token, ideal_first_token }
        },
        _ if summary.done => LoadOutcome::Wrong,
        _ => LoadOutcome::Broken,
    }
}

fn parse_certainty(name: Option<&str>) -> ExecutionCertainty {
    let name = Value::from(name.unwrap_or("unknown"));
    serde_json::from_value(name).unwrap_or(ExecutionCertainty::Unknown)
}
