//! Binary encoding of the hello, the first message of each end of a connection.

use std::str;
use std::sync::Arc;

use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::NodeId;

use super::handshake::HandshakeError;
use super::key::KEY_ID_BYTES;
use crate::convert::limits::MAX_NAME_BYTES;

/// Size of a nonce, in bytes.
pub(super) const NONCE_BYTES: usize = 32;

/// First bytes of every hello. The digit is the version of the handshake.
const MAGIC: [u8; 4] = *b"AKP1";

/// Maximum number of keys in a hello.
const MAX_KEYS: usize = 4;

/// Identifies the node at one end of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// Name of the node.
    pub node: NodeId,
    /// Incarnation of the node; grows when the node restarts or refutes a suspicion.
    pub incarnation: IncarnationNumber,
}

/// Names the sender, the peer that it expects and the keys that it knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Hello {
    pub(super) identity: PeerIdentity,
    pub(super) nonce: [u8; NONCE_BYTES],
    /// Node that the sender expects; empty when it knows only an address.
    pub(super) expected: NodeId,
    pub(super) keys: Vec<[u8; KEY_ID_BYTES]>,
}

impl Hello {
    /// Encodes the hello.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        write_name(&mut bytes, &self.identity.node);
        bytes.extend(self.identity.incarnation.to_be_bytes());
        bytes.extend(self.nonce);
        write_name(&mut bytes, &self.expected);
        bytes.push(self.keys.len() as u8);
        for key in &self.keys {
            bytes.extend(key);
        }
        bytes
    }

    /// Decodes a hello and refuses one that is truncated, too long or malformed.
    pub(super) fn decode(mut bytes: &[u8]) -> Result<Self, HandshakeError> {
        if read_bytes(&mut bytes, MAGIC.len())? != MAGIC {
            return Err(HandshakeError::Malformed(
                "does not start with the magic bytes of a hello",
            ));
        }
        let node = read_name(&mut bytes)?;
        let incarnation = IncarnationNumber::from_be_bytes(read_array(&mut bytes)?);
        let nonce = read_array(&mut bytes)?;
        let expected = read_name(&mut bytes)?;
        let [count] = read_array(&mut bytes)?;
        if usize::from(count) > MAX_KEYS {
            return Err(HandshakeError::Malformed("names too many keys"));
        }
        let keys = (0..count).map(|_| read_array(&mut bytes)).collect::<Result<_, _>>()?;
        if !bytes.is_empty() {
            return Err(HandshakeError::Malformed("has extra bytes at its end"));
        }
        if node.is_empty() {
            return Err(HandshakeError::Malformed("names no node"));
        }
        Ok(Self { identity: PeerIdentity { node, incarnation }, nonce, expected, keys })
    }
}

fn write_name(bytes: &mut Vec<u8>, name: &str) {
    bytes.extend((name.len() as u16).to_be_bytes());
    bytes.extend(name.as_bytes());
}

fn read_bytes<'a>(bytes: &mut &'a [u8], length: usize) -> Result<&'a [u8], HandshakeError> {
    let (head, rest) =
        bytes.split_at_checked(length).ok_or(HandshakeError::Malformed("is truncated"))?;
    *bytes = rest;
    Ok(head)
}

fn read_array<const LENGTH: usize>(bytes: &mut &[u8]) -> Result<[u8; LENGTH], HandshakeError> {
    let mut array = [0; LENGTH];
    array.copy_from_slice(read_bytes(bytes, LENGTH)?);
    Ok(array)
}

fn read_name(bytes: &mut &[u8]) -> Result<NodeId, HandshakeError> {
    let length = usize::from(u16::from_be_bytes(read_array(bytes)?));
    if length > MAX_NAME_BYTES {
        return Err(HandshakeError::Malformed("has a name that is too long"));
    }
    let name = str::from_utf8(read_bytes(bytes, length)?)
        .map_err(|_| HandshakeError::Malformed("has a name that is not UTF-8"))?;
    Ok(Arc::from(name))
}
