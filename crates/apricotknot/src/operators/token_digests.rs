//! Authentication of operators by their tokens.

use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// Start of an `Authorization` header that carries a token.
const AUTH_SCHEME: &str = "Bearer ";

/// Holds the digests of the tokens that operators may present.
#[derive(Clone, Debug, Default)]
pub struct TokenDigests(Vec<Arc<str>>);

impl TokenDigests {
    /// Creates a list of SHA-256 digests in lower-case hexadecimal; an empty list accepts no token.
    pub fn new(digests: impl Into<Vec<Arc<str>>>) -> Self {
        Self(digests.into())
    }

    /// Returns whether the value of an `Authorization` header carries one of the tokens.
    ///
    /// The time taken depends neither on the token nor on which digest it matches.
    pub fn accepts(&self, authorization: Option<&str>) -> bool {
        let Some(token) = authorization.and_then(|value| value.strip_prefix(AUTH_SCHEME)) else {
            return false;
        };
        let digest = hex::encode(Sha256::digest(token.as_bytes()));
        let matches = self.0.iter().map(|known| known.as_bytes().ct_eq(digest.as_bytes()));
        matches.fold(Choice::from(0), |found, next| found | next).into()
    }
}
