//! HTTP clients of endpoints, and what their errors say.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;

use super::NoDelayConnector;

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Header that names the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header that says whether a refused call ran.
pub const EXECUTED_HEADER: &str = "x-executed";

/// Creates a client of endpoints with at most `max_connections` connections at once.
pub fn endpoint_client(max_connections: usize) -> Client {
    let connector = Connector::new()
        .connector(NoDelayConnector::default())
        .timeout(CONNECT_TIMEOUT)
        .limit(max_connections);
    Client::builder().connector(connector).disable_redirects().no_default_headers().finish()
}

/// Returns whether a byte of the request may have left before `error`.
///
/// The client reports a connection closed in place of an answer as a connect error too.
pub fn may_have_been_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => true,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => false,
        _ => true,
    }
}
