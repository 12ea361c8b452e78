//! Fields of a prompt request that the node reads.

use std::fmt;
use std::sync::Arc;

use apricotknot_core::types::PromptDigest;
use apricotknot_core::types::TokenCount;
use serde::Deserialize;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::Visitor;

use super::content::TextSeed;

/// Holds the fields of a prompt request that the node reads.
///
/// The body itself is forwarded to the engine unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptEnvelope {
    /// Name of the model that the prompt is for.
    pub model: Arc<str>,
    /// Whether the caller requests the answer as a stream of events.
    pub stream: bool,
    /// Most tokens of the answer, if the caller limits them.
    pub max_tokens: Option<TokenCount>,
    /// Length and digests of the prompt, whose text itself is not kept.
    pub digest: PromptDigest,
}

impl<'de> Deserialize<'de> for PromptEnvelope {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EnvelopeVisitor)
    }
}

/// Identifies a field of a prompt request.
#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum EnvelopeField {
    MaxCompletionTokens,
    MaxTokens,
    Messages,
    Model,
    Prompt,
    Stream,
    #[serde(other)]
    Other,
}

#[derive(Default)]
struct EnvelopeBuilder {
    model: Option<Arc<str>>,
    stream: bool,
    max_tokens: Option<TokenCount>,
    digest: PromptDigest,
    has_prompt: bool,
}

impl EnvelopeBuilder {
    fn build<E: Error>(self) -> Result<PromptEnvelope, E> {
        if !self.has_prompt {
            return Err(E::custom("missing field `messages` or `prompt`"));
        }
        let model = self.model.ok_or_else(|| E::missing_field("model"))?;
        if self.max_tokens == Some(0) {
            return Err(E::custom("`max_tokens` is 0; allowed: 1 or more"));
        }
        Ok(PromptEnvelope {
            model,
            stream: self.stream,
            max_tokens: self.max_tokens,
            digest: self.digest,
        })
    }
}

struct EnvelopeVisitor;

impl<'de> Visitor<'de> for EnvelopeVisitor {
    type Value = PromptEnvelope;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON object with `model` and `messages` or `prompt`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<PromptEnvelope, A::Error> {
        let mut builder = EnvelopeBuilder::default();
        while let Some(field) = fields.next_key()? {
            match field {
                EnvelopeField::Model => builder.model = Some(fields.next_value()?),
                EnvelopeField::Stream => {
                    builder.stream = fields.next_value::<Option<bool>>()?.unwrap_or_default();
                },
                EnvelopeField::MaxCompletionTokens | EnvelopeField::MaxTokens => {
                    let given: Option<TokenCount> = fields.next_value()?;
                    builder.max_tokens = builder.max_tokens.max(given);
                },
                EnvelopeField::Messages | EnvelopeField::Prompt => {
                    builder.has_prompt = true;
                    fields.next_value_seed(TextSeed { digest: &mut builder.digest })?;
                },
                EnvelopeField::Other => {
                    fields.next_value::<IgnoredAny>()?;
                },
            }
        }
        builder.build()
    }
}
