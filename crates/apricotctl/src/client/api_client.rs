//! HTTP client of the operators' API that tries the next node when one is unreachable.

use std::time::Duration;

use apricotknot_core::operators::ErrorAnswer;
use awc::Client;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::Method;
use serde::de::DeserializeOwned;

use super::ClientError;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Timeout of a call; longer than the maximum duration of a watch, so that a watch can end first.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(70);

/// Calls the operators' API of the nodes at a list of addresses.
pub(crate) struct ApiClient {
    client: Client,
    servers: Vec<String>,
    token: String,
}

/// Describes whether a failed call may be repeated at another node.
enum CallFailure {
    /// Nothing was sent, so the call may go to another node. Holds the reason.
    NotSent(String),
    /// The request may have been sent, or the node answered; the call must not be repeated.
    Final(ClientError),
}

impl ApiClient {
    /// Creates a client for the nodes at `servers`. An empty `token` sends no authorization.
    pub(crate) fn new(servers: Vec<String>, token: String) -> Self {
        Self { client: Client::builder().timeout(ANSWER_TIMEOUT).finish(), servers, token }
    }

    /// Returns the addresses of the nodes.
    pub(crate) fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Calls the nodes one after the other until one is reachable, and returns its answer.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, ClientError> {
        let mut attempts = Vec::new();
        for server in &self.servers {
            match self.call_server(server, method.clone(), path, body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(CallFailure::Final(error)) => return Err(error),
                Err(CallFailure::NotSent(reason)) => attempts.push(format!("  {server}: {reason}")),
            }
        }
        Err(ClientError::Unreachable { attempts: attempts.join("\n") })
    }

    /// Reads `path` from the node at `server`, without trying another node.
    pub(crate) async fn read_from<T: DeserializeOwned>(
        &self,
        server: &str,
        path: &str,
    ) -> Result<T, ClientError> {
        let answer = self.call_server(server, Method::GET, path, Vec::new()).await;
        answer.map_err(|failure| match failure {
            CallFailure::Final(error) => error,
            CallFailure::NotSent(attempts) => ClientError::Unreachable { attempts },
        })
    }

    async fn call_server<T: DeserializeOwned>(
        &self,
        server: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, CallFailure> {
        let url = format!("http://{server}/api/v1/{path}");
        let mut request = self.client.request(method, url);
        if !self.token.is_empty() {
            request = request.bearer_auth(&self.token);
        }
        let sent = request.content_type("application/json").send_body(body).await;
        let mut response = sent.map_err(|error| classify_send_error(server, &error))?;
        let status = response.status();
        let bytes = response.body().limit(MAX_ANSWER_BYTES).await.map_err(|error| {
            let reason = error.to_string();
            CallFailure::Final(ClientError::Lost { address: server.to_owned(), reason })
        })?;
        if status.is_success() {
            return parse_answer(server, &bytes);
        }
        let answer: ErrorAnswer = parse_answer(server, &bytes)?;
        Err(CallFailure::Final(ClientError::Refused(Box::new(answer.error))))
    }
}

fn parse_answer<T: DeserializeOwned>(server: &str, bytes: &[u8]) -> Result<T, CallFailure> {
    serde_json::from_slice(bytes).map_err(|error| {
        let reason = error.to_string();
        CallFailure::Final(ClientError::Answer { address: server.to_owned(), reason })
    })
}

/// Returns whether the request may have been sent before `error`.
fn classify_send_error(server: &str, error: &SendRequestError) -> CallFailure {
    let reason = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            CallFailure::Final(ClientError::Lost { address: server.to_owned(), reason })
        },
        SendRequestError::Connect(_) | SendRequestError::Url(_) => CallFailure::NotSent(reason),
        _ => CallFailure::Final(ClientError::Lost { address: server.to_owned(), reason }),
    }
}
