//! HTTP client for endpoints, and classification of its errors.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;

use super::NoDelayConnector;

/// Time limit for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Header that carries the id of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header that states whether a refused call was executed.
pub const EXECUTED_HEADER: &str = "x-executed";

/// Creates an HTTP client for endpoints with at most `max_connections` concurrent connections.
pub fn endpoint_client(max_connections: usize) -> Client {
    let connector = Connector::new()
        .connector(NoDelayConnector::default())
        .timeout(CONNECT_TIMEOUT)
        .limit(max_connections);
    Client::builder().connector(connector).disable_redirects().no_default_headers().finish()
}

/// Returns whether any byte of the request may have been sent before `error`.
///
/// The client also reports a connection that was closed instead of answered as a connect error;
/// this case counts as sent.
pub fn may_have_been_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => true,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => false,
        _ => true,
    }
}
