//! Parses completion requests.

use apricotknot_core::types::TokenCount;
use serde_json::Value;

use super::EngineSettings;
use super::digest::block_digests;
use super::digest::prompt_digest;
use super::sequence::CompletionKind;
use super::sequence::SequenceRequest;
use crate::http::HttpCall;

/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: usize = 4;

/// Text in a prompt that makes the engine crash once the prompt is in the batch.
const POISON_MARKER: &str = "[[poison]]";

/// Priority of a request without an `x-priority` header.
const DEFAULT_PRIORITY: u8 = 5;

/// Says why a completion request was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestError {
    /// The body is not a completion request.
    Malformed,
    /// The engine serves another model.
    UnknownModel,
}

/// Holds a parsed completion request.
pub(super) struct CompletionRequest {
    pub(super) sequence: SequenceRequest,
    pub(super) stream: bool,
}

/// Parses a completion request.
///
/// Marks in the prompt control the generation: `[[answer:N]]` sets the length of the answer,
/// `[[stall:N]]` stops the generation after N tokens, and `[[poison]]` crashes the engine.
pub(super) fn read_request(
    call: &HttpCall,
    kind: CompletionKind,
    settings: &EngineSettings,
) -> Result<CompletionRequest, RequestError> {
    let body = call.json();
    let prompt = prompt_text(&body, kind).ok_or(RequestError::Malformed)?;
    let model = body["model"].as_str().ok_or(RequestError::Malformed)?;
    if model != &*settings.model {
        return Err(RequestError::UnknownModel);
    }
    let output_limit =
        body["max_completion_tokens"].as_u64().or_else(|| body["max_tokens"].as_u64());
    let requested_tokens = marker_number(&prompt, "[[answer:").or(output_limit);
    let output = requested_tokens.unwrap_or(settings.default_output_tokens);
    let max_tokens = output_limit.unwrap_or(output);
    let attempt_id = call.header("x-attempt-id").map_or_else(random_attempt_id, str::to_owned);
    let priority = call.header("x-priority").and_then(|text| text.parse().ok());
    let sequence = SequenceRequest {
        attempt_id,
        request_id: call.header("x-request-id").map(str::to_owned),
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        kind,
        model: settings.model.clone(),
        prompt_digest: prompt_digest(model, &prompt),
        blocks: block_digests(model, &prompt),
        prompt_tokens: prompt.len().div_ceil(TOKEN_BYTES).max(1) as TokenCount,
        output_tokens: output.min(max_tokens),
        max_tokens,
        stall_after: marker_number(&prompt, "[[stall:"),
        poison: prompt.contains(POISON_MARKER),
        padding: settings.chunk_padding.clone(),
    };
    Ok(CompletionRequest { sequence, stream: body["stream"].as_bool().unwrap_or(false) })
}

fn random_attempt_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn prompt_text(body: &Value, kind: CompletionKind) -> Option<String> {
    match kind {
        CompletionKind::Text => body["prompt"].as_str().map(str::to_owned),
        CompletionKind::Chat => {
            let messages = body["messages"].as_array()?;
            messages.iter().map(|message| content_text(&message["content"])).collect()
        },
    }
}

fn content_text(content: &Value) -> Option<String> {
    match content {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => {
            Some(parts.iter().filter_map(|part| part["text"].as_str()).collect())
        },
        _ => None,
    }
}

fn marker_number(prompt: &str, marker: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(marker)?;
    let (number, _) = rest.split_once("]]")?;
    number.parse().ok()
}
