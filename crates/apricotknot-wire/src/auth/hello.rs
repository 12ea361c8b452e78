//! The first messages on a connection, in bytes.

use std::str;
use std::sync::Arc;

use apricotknot_core::types::IncarnationNumber;
use apricotknot_core::types::NodeId;

use super::handshake::HandshakeError;
use super::key::KEY_ID_BYTES;
use crate::convert::limits::MAX_NAME_BYTES;

/// Length of a random number that is used once, in bytes.
pub(super) const NONCE_BYTES: usize = 32;

/// First bytes of every hello; the digit is the version of the handshake.
const MAGIC: [u8; 4] = *b"AKP1";

/// Most keys that a hello names.
const MAX_KEYS: usize = 4;

/// Names one end of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerIdentity {
    /// Node.
    pub node: NodeId,
    /// Life of the node.
    pub incarnation: IncarnationNumber,
}

/// Says who speaks, whom it wants to speak to, and which keys it knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Hello {
    pub(super) identity: PeerIdentity,
    pub(super) nonce: [u8; NONCE_BYTES],
    /// Node that the speaker wants to reach; empty when it only knows an address.
    pub(super) expected: NodeId,
    pub(super) keys: Vec<[u8; KEY_ID_BYTES]>,
}

impl Hello {
    /// Returns the hello in bytes.
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

    /// Reads a hello.
    pub(super) fn decode(mut bytes: &[u8]) -> Result<Self, HandshakeError> {
        if read_bytes(&mut bytes, MAGIC.len())? != MAGIC {
            return Err(HandshakeError::Malformed("does not start as a hello"));
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
            return Err(HandshakeError::Malformed("has bytes left over"));
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
        bytes.split_at_checked(length).ok_or(HandshakeError::Malformed("is cut short"))?;
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
        .map_err(|_| HandshakeError::Malformed("has a name that is not text"))?;
    Ok(Arc::from(name))
}
