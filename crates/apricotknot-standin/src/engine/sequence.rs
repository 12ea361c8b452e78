//! One generation inside the engine.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use apricotknot_core::types::ServiceId;
use apricotknot_core::types::TokenCount;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

use super::answer::token_text;
use super::log::EventLog;

/// Says through which interface a generation was requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CompletionKind {
    /// Chat completion.
    Chat,
    /// Plain completion.
    Text,
}

/// Describes a requested generation.
#[derive(Clone, Debug)]
pub(super) struct SequenceRequest {
    pub(super) attempt_id: String,
    pub(super) request_id: Option<String>,
    pub(super) priority: u8,
    pub(super) kind: CompletionKind,
    pub(super) model: ServiceId,
    pub(super) prompt_digest: u64,
    pub(super) blocks: Vec<u64>,
    pub(super) prompt_tokens: TokenCount,
    pub(super) output_tokens: TokenCount,
    pub(super) max_tokens: TokenCount,
    /// Number of tokens after which the generation stalls until it is cancelled.
    pub(super) stall_after: Option<TokenCount>,
    pub(super) poison: bool,
    /// Value of the field `padding` in each streamed chunk.
    pub(super) padding: Arc<str>,
}

/// Holds one generation that the engine has accepted.
pub(super) struct Sequence {
    pub(super) request: SequenceRequest,
    pub(super) arrival: u64,
    pub(super) generation_tag: u32,
    pub(super) cached_tokens: TokenCount,
    pub(super) prefill_remaining: TokenCount,
    pub(super) running: bool,
    pub(super) generated: TokenCount,
    pub(super) detached_since: Option<Instant>,
    pub(super) log: Rc<EventLog>,
}

impl Sequence {
    /// Generates one token; returns whether the answer is complete.
    pub(super) fn decode(&mut self) -> bool {
        if self.generated < self.request.output_tokens {
            let text = token_text(self.request.prompt_digest, self.generation_tag, self.generated);
            let event = self.chunk(Some(&text));
            self.log.push(event, &text);
            self.generated += 1;
        }
        if self.generated < self.request.output_tokens {
            return false;
        }
        let event = self.chunk(None);
        self.log.push(event, "");
        self.log.push(Bytes::from_static(b"data: [DONE]\n\n"), "");
        true
    }

    /// Returns the key-value cache that the generation occupies, in tokens.
    pub(super) fn held_tokens(&self) -> TokenCount {
        self.request.prompt_tokens + self.generated
    }

    /// Returns the most key-value cache that the generation can occupy, in tokens.
    pub(super) fn committed_tokens(&self) -> TokenCount {
        self.request.prompt_tokens + self.request.max_tokens
    }

    /// Returns whether the generation has reached the length at which its prompt makes it stall.
    pub(super) fn is_stalled(&self) -> bool {
        self.request.stall_after.is_some_and(|tokens| self.generated >= tokens)
    }

    /// Returns the answer for a request without streaming.
    pub(super) fn whole_answer(&self) -> Value {
        let text = self.log.text();
        let (object, choice) = match self.request.kind {
            CompletionKind::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": self.finish_reason()}),
            ),
            CompletionKind::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": self.finish_reason()}),
            ),
        };
        json!({"id": self.answer_id(), "object": object, "created": 0,
            "model": &*self.request.model, "choices": [choice], "usage": self.usage()})
    }

    /// Formats one event; the texts of tokens and the ids contain nothing to escape in JSON.
    fn chunk(&self, text: Option<&str>) -> Bytes {
        let text_or_empty = text.unwrap_or("");
        let finish = match text {
            Some(_) => "null".to_owned(),
            None => format!("\"{}\"", self.finish_reason()),
        };
        let (object, content) = match (self.request.kind, text) {
            (CompletionKind::Chat, Some(text)) => {
                ("chat.completion.chunk", format!("\"delta\":{{\"content\":\"{text}\"}}"))
            },
            (CompletionKind::Chat, None) => ("chat.completion.chunk", "\"delta\":{}".to_owned()),
            (CompletionKind::Text, _) => {
                ("text_completion", format!("\"text\":\"{text_or_empty}\""))
            },
        };
        let usage = match text {
            Some(_) => String::new(),
            None => format!(",\"usage\":{}", self.usage()),
        };
        Bytes::from(format!(
            "id: {}\ndata: {{\"id\":\"{}\",\"object\":\"{object}\",\"created\":0,\"model\":{},\
             \"choices\":[{{\"index\":0,{content},\"finish_reason\":{finish}}}],\
             \"padding\":\"{}\"{usage}}}\n\n",
            self.generated,
            self.answer_id(),
            Value::from(&*self.request.model),
            self.request.padding,
        ))
    }

    fn usage(&self) -> Value {
        json!({"prompt_tokens": self.request.prompt_tokens, "completion_tokens": self.generated,
            "total_tokens": self.held_tokens(),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens}})
    }

    fn finish_reason(&self) -> &'static str {
        if self.request.output_tokens < self.request.max_tokens { "stop" } else { "length" }
    }

    fn answer_id(&self) -> String {
        format!("cmpl-{}", self.request.attempt_id)
    }
}
