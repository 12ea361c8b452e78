//! What nodes tell one another, as signed datagrams.
//!
//! News is a state, not a call: a lost datagram is made good by the next one, and nobody waits for
//! an answer. Remote calls would add a connection and an answer for each pair of nodes.

mod datagram_error;
mod datagram_seal;

pub use datagram_error::DatagramError;
pub use datagram_seal::DatagramSeal;
