//! Types of settings that are parsed from text.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use apricotknot_core::resources::is_key_digest;
use apricotknot_core::resources::is_valid_name;
use apricotknot_core::types::NodeId;

/// Reports that a text cannot be parsed as the type of its setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the text does not have the format of its setting")]
pub struct TextFormatError;

/// Holds the name of another node and the address of its peer interface, written `NAME@ADDRESS`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownPeer {
    /// Name of the node.
    pub node: NodeId,
    /// Address on which its peer interface listens.
    pub address: SocketAddr,
}

impl FromStr for KnownPeer {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = text.split_once('@').ok_or(TextFormatError)?;
        if !is_valid_name(name) {
            return Err(TextFormatError);
        }
        let address = address.parse().map_err(|_| TextFormatError)?;
        Ok(Self { node: name.into(), address })
    }
}

/// Holds the SHA-256 digest of an operator's token as 64 lower-case hexadecimal digits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct TokenDigest {
    pub(super) text: Arc<str>,
}

impl FromStr for TokenDigest {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !is_key_digest(text) {
            return Err(TextFormatError);
        }
        Ok(Self { text: text.into() })
    }
}

/// Selects the format of log records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text, for people to read.
    Text,
}

impl FromStr for LogFormat {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(TextFormatError),
        }
    }
}

/// Selects the lowest severity of log records that are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Details for the analysis of faults.
    Debug,
    /// Faults after which an operation or the process cannot continue.
    Error,
    /// Events of normal operation.
    Info,
    /// Events that an operator should look into.
    Warning,
}

impl FromStr for LogLevel {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "debug" => Ok(Self::Debug),
            "error" => Ok(Self::Error),
            "info" => Ok(Self::Info),
            "warning" => Ok(Self::Warning),
            _ => Err(TextFormatError),
        }
    }
}

/// Holds a secret; its `Debug` output does not show the value.
#[derive(Clone, Eq, PartialEq)]
pub struct SecretKey {
    bytes: Vec<u8>,
}

impl SecretKey {
    /// Smallest length of a secret, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Returns the bytes of the secret.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl FromStr for SecretKey {
    type Err = TextFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = hex::decode(text).map_err(|_| TextFormatError)?;
        if bytes.len() < Self::MIN_BYTES {
            return Err(TextFormatError);
        }
        Ok(Self { bytes })
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKey(hidden)")
    }
}
