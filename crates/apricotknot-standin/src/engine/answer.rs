//! Answer text that a test can verify without other knowledge of the engine.
//!
//! Each token is a word of sixteen hexadecimal digits. The first eight are a hash of the prompt and
//! the token's position, the last eight identify the generation. The text alone therefore shows
//! whether an answer is truncated, reordered, mixed from two generations, or belongs to another
//! prompt.

use thiserror::Error;

use super::digest::hash_parts;
use super::digest::prompt_digest;

/// Hexadecimal digits at the start of a word that are computed from prompt and position.
const CONTENT_DIGITS: usize = 8;

/// Describes the first difference between an answer and the expected one.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AnswerError {
    /// The number of tokens differs from the expected one.
    #[error("answer has {given} tokens, expected {expected}")]
    Length {
        /// Tokens found.
        given: usize,
        /// Tokens expected.
        expected: usize,
    },
    /// A token is not the one computed from the prompt and the position.
    #[error("token {position} is {given:?}, expected the first digits {expected:?}")]
    Content {
        /// Position in the answer, from 0.
        position: usize,
        /// Token found.
        given: String,
        /// Expected first eight digits of the token.
        expected: String,
    },
    /// A token belongs to a different generation than the first token.
    #[error("token {position} belongs to a different generation")]
    Spliced {
        /// Position in the answer, from 0.
        position: usize,
    },
}

/// Returns the token at `position`, with a leading space.
pub(crate) fn token_text(prompt_digest: u64, generation: u32, position: u64) -> String {
    format!(" {}{generation:08x}", token_content(prompt_digest, position))
}

fn token_content(prompt_digest: u64, position: u64) -> String {
    format!("{:08x}", hash_parts(&[prompt_digest, position]) >> 32)
}

/// Checks that `text` is the complete answer of one generation to `prompt`, `tokens` tokens long.
///
/// # Errors
///
/// Returns the first difference found; the number of tokens is checked last.
pub fn verify_answer(
    model: &str,
    prompt: &str,
    text: &str,
    tokens: usize,
) -> Result<(), AnswerError> {
    let digest = prompt_digest(model, prompt);
    let words: Vec<&str> = text.split_whitespace().collect();
    let mut generation = None;
    for (position, word) in words.iter().enumerate() {
        let expected = token_content(digest, position as u64);
        let (found, tag) = word.split_at_checked(CONTENT_DIGITS).unwrap_or((*word, ""));
        if found != expected {
            return Err(AnswerError::Content { position, given: (*word).to_owned(), expected });
        }
        if *generation.get_or_insert(tag) != tag {
            return Err(AnswerError::Spliced { position });
        }
    }
    if words.len() != tokens {
        return Err(AnswerError::Length { given: words.len(), expected: tokens });
    }
    Ok(())
}
