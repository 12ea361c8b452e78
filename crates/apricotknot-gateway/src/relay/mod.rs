//! Connections to endpoints by way of another node.
//!
//! A node that is cut off from the endpoints asks a peer to connect to one, and then sends and
//! receives over that connection. It alone decides, as for a connection of its own: where the request
//! runs, how often, until when, and what the caller gets. The peer passes bytes on, and only to
//! endpoints that it would use itself.
//!
//! Both ends prove that they know the secret of the fleet. The answer's bytes travel in frames, so
//! that the end of an answer differs from the end of the peer.

mod relay_end;
mod relay_error;
mod relay_message;
mod relay_session;
mod relayed_request;
mod relayed_stream;

pub use relay_error::RelayError;
pub use relay_error::RelayRefusal;
pub use relay_session::RelaySession;
pub use relayed_stream::RelayedStream;

use relay_end::RelayEnd;
use relayed_request::RelayedRequest;
