//! Seals of the secrets that nodes have shared.

use super::DatagramError;
use super::DatagramSeal;
use super::PeerMessage;

/// Holds the seal of the secret in force, and that of the secret before.
///
/// Nodes learn of a new secret one after the other; until all have, some sign with the one before.
#[derive(Clone, Debug, Default)]
pub struct PeerSeals {
    secret: Vec<u8>,
    current: Option<DatagramSeal>,
    previous: Option<DatagramSeal>,
}

impl PeerSeals {
    /// Sets the secret in force; returns whether it is another one than before.
    pub fn set_secret(&mut self, secret: &[u8]) -> bool {
        if self.current.is_some() && self.secret == secret {
            return false;
        }
        self.secret = secret.to_vec();
        self.previous = std::mem::replace(&mut self.current, DatagramSeal::new(secret));
        true
    }
}

impl PeerSeals {
    /// Returns the seal of the secret in force, or `None` before the first one is set.
    pub fn current(&self) -> Option<&DatagramSeal> {
        self.current.as_ref()
    }

    /// Returns the first seal, that in force before the one before, for which `matches` holds.
    pub(crate) fn find(&self, matches: impl Fn(&DatagramSeal) -> bool) -> Option<&DatagramSeal> {
        self.current.iter().chain(&self.previous).find(|seal| matches(seal))
    }

    /// Returns the message in a datagram, or `None` before a secret is set.
    ///
    /// # Errors
    ///
    /// Returns why neither of the seals accepts the datagram.
    pub fn decode(&self, datagram: &[u8]) -> Result<Option<PeerMessage>, DatagramError> {
        let Some(current) = &self.current else {
            return Ok(None);
        };
        let content = match (current.open(datagram), &self.previous) {
            (Err(DatagramError::InvalidSignature), Some(previous)) => previous.open(datagram),
            (content, _) => content,
        };
        PeerMessage::decode(content?).map(Some)
    }
}
