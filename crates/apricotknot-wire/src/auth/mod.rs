//! Authenticated connections between nodes.
//!
//! Both ends prove that they know a shared key, see [`accept`] and [`connect`]. Afterwards each
//! direction carries numbered and sealed frames, see [`FrameWriter`] and [`FrameReader`]: a frame
//! that was altered, repeated, omitted or reordered closes the connection. Payloads are
//! authenticated, but not encrypted.

mod counters;
mod frame;
mod handshake;
mod hello;
mod key;

pub use counters::TrafficCounters;
pub use frame::FrameError;
pub use frame::FrameReader;
pub use frame::FrameWriter;
pub use frame::MAX_FRAME_BYTES;
pub use handshake::HandshakeError;
pub use handshake::HandshakeErrorKind;
pub use handshake::SessionKeys;
pub use handshake::accept;
pub use handshake::connect;
pub use hello::PeerIdentity;
pub use key::KeyError;
pub use key::KeyRing;
pub use key::MIN_KEY_BYTES;
pub use key::SharedKey;
