//! Answer text that a test can verify.
//!
//! Each token is a word of sixteen hexadecimal digits: eight follow from the prompt and the
//! token's position, eight name the generation. A cut, reordered, crossed or spliced answer is
//! therefore found by its text alone.

use thiserror::Error;

use super::digest::hash_parts;
use super::digest::prompt_digest;

/// Hexadecimal digits of a word that follow from prompt and position.
const CONTENT_DIGITS: usize = 8;

/// Says what is wrong with an answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AnswerError {
    /// The answer has another number of tokens.
    #[error("answer has {given} tokens, expected {expected}")]
    Length {
        /// Tokens found.
        given: usize,
        /// Tokens expected.
        expected: usize,
    },
    /// A token does not follow from the prompt at its position.
    #[error("token {position} is {given:?}, expected the content {expected:?}")]
    Content {
        /// Position in the answer, from 0.
        position: usize,
        /// Token found.
        given: String,
        /// Content expected.
        expected: String,
    },
    /// A token comes from another generation than the first one.
    #[error("token {position} comes from another generation")]
    Spliced {
        /// Position in the answer, from 0.
        position: usize,
    },
}

/// Returns the token at `position`, with its leading space.
pub(crate) fn token_text(prompt_digest: u64, generation: u32, position: u64) -> String {
    format!(" {}{generation:08x}", token_content(prompt_digest, position))
}

fn token_content(prompt_digest: u64, position: u64) -> String {
    format!("{:08x}", hash_parts(&[prompt_digest, position]) >> 32)
}

/// Checks that `text` is one whole answer of `tokens` tokens to `prompt`.
///
/// # Errors
///
/// Returns what is wrong first.
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
