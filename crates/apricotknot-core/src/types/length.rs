//! Length classes of prompts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::TokenCount;

/// Maximum length of a [`LengthClass::Short`] prompt, in tokens.
const SHORT_PROMPT_TOKENS: TokenCount = 8_000;

/// Maximum length of a [`LengthClass::Long`] prompt, in tokens.
const LONG_PROMPT_TOKENS: TokenCount = 100_000;

/// Classes of prompts by length, so that short requests do not wait behind long ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LengthClass {
    /// At most 8,000 prompt tokens.
    Short,
    /// More than 8,000 and at most 100,000 prompt tokens.
    Long,
    /// More than 100,000 prompt tokens.
    Archive,
}

impl LengthClass {
    /// All classes, shortest first.
    pub const ALL: [Self; 3] = [Self::Short, Self::Long, Self::Archive];

    /// Returns the class of a prompt with `prompt_tokens` tokens.
    pub fn of(prompt_tokens: TokenCount) -> Self {
        if prompt_tokens <= SHORT_PROMPT_TOKENS {
            return Self::Short;
        }
        if prompt_tokens <= LONG_PROMPT_TOKENS {
            return Self::Long;
        }
        Self::Archive
    }

    /// Returns the name that metrics, logs and resources use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
            Self::Archive => "archive",
        }
    }
}

impl fmt::Display for LengthClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
