//! Client of services that offer the etcd v3 JSON gateway.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use apricotknot_core::types::RevisionNumber;
use awc::Client;
use awc::ClientResponse;
use awc::Connector;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::EtcdWatch;
use super::KeyRange;
use super::KeyValueStore;
use super::LeaseId;
use super::StoreEntry;
use super::StoreError;
use super::SwapOutcome;
use super::SwapRequest;
use super::etcd_messages::Base64Bytes;
use super::etcd_messages::LeaseMessage;
use super::etcd_messages::QuotedNumber;
use super::etcd_messages::RangeRequest;
use super::etcd_messages::RangeResponse;
use super::etcd_messages::StreamedResponse;
use super::etcd_messages::TxnRequest;
use super::etcd_messages::TxnResponse;
use super::etcd_messages::WatchCreateRequest;
use super::etcd_messages::WatchRequest;
use super::etcd_messages::prefix_end;
use crate::transport::NoDelayConnector;
use crate::transport::may_have_been_sent;

/// Largest value that the store holds, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Largest number of keys that one call reads.
const MAX_PAGE_KEYS: i64 = 5_000;

/// Number of bytes of a failed answer that the error message shows.
const MAX_REASON_BYTES: usize = 200;

/// Default time limit of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls the JSON gateway over HTTP.
///
/// When a call fails before its answer begins, or times out, later calls use the next address and new
/// connections: those that are open may all have gone silent.
pub struct EtcdStore {
    /// Client that holds the connections which later calls may use.
    client: RefCell<Client>,
    addresses: Vec<String>,
    address_index: Cell<usize>,
    timeout: Duration,
}

impl EtcdStore {
    /// Creates a client of the service at `addresses`, each an `IP:PORT`.
    ///
    /// It must be called on a thread with a running actix system.
    pub fn new<I, A>(addresses: I) -> Self
    where
        I: IntoIterator<Item = A>,
        A: Into<String>,
    {
        Self {
            client: RefCell::new(new_client()),
            addresses: addresses.into_iter().map(Into::into).collect(),
            address_index: Cell::new(0),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets the time limit of a call.
    pub fn timeout(mut self, timeout: impl Into<Duration>) -> Self {
        self.timeout = timeout.into();
        self
    }

    /// Sends `query` to the gateway's path `call` and returns the parsed answer, within the time
    /// limit.
    async fn call<Q, A>(&self, call: &'static str, query: &Q) -> Result<A, StoreError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let limit = self.timeout;
        match actix_rt::time::timeout(limit, self.exchange(call, query)).await {
            Ok(answer) => answer,
            Err(_) => {
                self.abandon_connections();
                Err(StoreError::TimedOut { limit })
            },
        }
    }

    /// Sends `query` and reads the answer, without a time limit.
    async fn exchange<Q, A>(&self, call: &'static str, query: &Q) -> Result<A, StoreError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let address = self.current_address();
        let mut response = self.send_request(&address, call, query).await?;
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(|error| {
            StoreError::Broken { address: address.clone(), reason: error.to_string() }
        })?;
        check_status(&address, status, &body)?;
        serde_json::from_slice(&body)
            .map_err(|error| StoreError::Malformed { call, reason: error.to_string() })
    }

    /// Sends `query` and returns the response once its head was received.
    async fn send_request<Q: Serialize>(
        &self,
        address: &str,
        call: &'static str,
        query: &Q,
    ) -> Result<Response, StoreError> {
        let url = format!("http://{address}/v3/{call}");
        let client = self.client.borrow().clone();
        client.post(url).send_json(query).await.map_err(|error| {
            self.abandon_connections();
            send_error(address, &error)
        })
    }

    /// Makes later calls use the next address, and new connections.
    fn abandon_connections(&self) {
        self.address_index.set(self.address_index.get().wrapping_add(1));
        self.client.replace(new_client());
    }

    /// Returns the address that calls use now; empty if the client has none.
    fn current_address(&self) -> String {
        let count = self.addresses.len().max(1);
        self.addresses.get(self.address_index.get() % count).cloned().unwrap_or_default()
    }
}

fn new_client() -> Client {
    let connector = Connector::new().connector(NoDelayConnector::default());
    Client::builder().connector(connector).disable_timeout().finish()
}

/// Response whose body has not been read.
type Response = ClientResponse;

/// Converts a failure to send, with whether the request may have been sent.
fn send_error(address: &str, error: &SendRequestError) -> StoreError {
    let address = address.to_owned();
    let reason = error.to_string();
    match may_have_been_sent(error) {
        true => StoreError::Broken { address, reason },
        false => StoreError::Unreachable { address, reason },
    }
}

/// Returns an error unless the status is a success; a status 4xx counts as a rejection.
fn check_status(address: &str, status: StatusCode, body: &[u8]) -> Result<(), StoreError> {
    if status.is_success() {
        return Ok(());
    }
    let start = &body[..body.len().min(MAX_REASON_BYTES)];
    let reason = String::from_utf8_lossy(start).into_owned();
    let address = address.to_owned();
    let status = status.as_u16();
    if (400..500).contains(&status) {
        return Err(StoreError::Rejected { address, status, reason });
    }
    Err(StoreError::Failed { address, status, reason })
}

fn parse_entries(answer: RangeResponse) -> Result<Vec<StoreEntry>, StoreError> {
    answer.kvs.into_iter().map(|pair| pair.into_entry("kv/range")).collect()
}

impl KeyValueStore for EtcdStore {
    type Watch = EtcdWatch;

    async fn swap(&self, request: &SwapRequest) -> Result<SwapOutcome, StoreError> {
        let size = request.value.as_ref().map_or(0, Vec::len);
        if size > MAX_VALUE_BYTES {
            let key = request.key.to_string();
            return Err(StoreError::TooLarge { key, size, limit: MAX_VALUE_BYTES });
        }
        let answer: TxnResponse = self.call("kv/txn", &TxnRequest::from_swap(request)).await?;
        let revision = answer.header.revision.revision();
        if answer.succeeded {
            return Ok(SwapOutcome::Written { revision });
        }
        let ranges = answer.responses.into_iter().filter_map(|step| step.response_range);
        let pair = ranges.flat_map(|range| range.kvs).next();
        let current = pair.map(|pair| pair.into_entry("kv/txn")).transpose()?;
        Ok(SwapOutcome::Conflict { current, revision })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let seconds = i64::try_from(ttl.as_secs().max(1)).unwrap_or(i64::MAX);
        let query = LeaseMessage { id: QuotedNumber(0), ttl: QuotedNumber(seconds) };
        let answer: LeaseMessage = self.call("lease/grant", &query).await?;
        Ok(answer.id.0)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let query = LeaseMessage { id: QuotedNumber(lease), ttl: QuotedNumber(0) };
        let answer: StreamedResponse<LeaseMessage> = self.call("lease/keepalive", &query).await?;
        let seconds = answer.result.unwrap_or_default().ttl.0;
        Ok(Duration::from_secs(u64::try_from(seconds).unwrap_or_default()))
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let query = LeaseMessage { id: QuotedNumber(lease), ttl: QuotedNumber(0) };
        let _: serde_json::Value = self.call("lease/revoke", &query).await?;
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let query = RangeRequest {
            key: Base64Bytes(key.as_bytes().to_vec()),
            range_end: None,
            limit: QuotedNumber(1),
            revision: QuotedNumber(0),
        };
        let answer: RangeResponse = self.call("kv/range", &query).await?;
        Ok(parse_entries(answer)?.into_iter().next())
    }

    async fn range(&self, prefix: &str) -> Result<KeyRange, StoreError> {
        let mut range = KeyRange::default();
        let mut start = prefix.as_bytes().to_vec();
        loop {
            let query = RangeRequest {
                key: Base64Bytes(start),
                range_end: Some(Base64Bytes(prefix_end(prefix))),
                limit: QuotedNumber(MAX_PAGE_KEYS),
                revision: QuotedNumber::from_revision(range.revision),
            };
            let answer: RangeResponse = self.call("kv/range", &query).await?;
            if range.revision == 0 {
                range.revision = answer.header.revision.revision();
            }
            let more = answer.more;
            range.entries.extend(parse_entries(answer)?);
            match range.entries.last() {
                Some(last) if more => start = [last.key.as_bytes(), &[0]].concat(),
                _ => return Ok(range),
            }
        }
    }

    async fn watch(&self, prefix: &str, from: RevisionNumber) -> Result<EtcdWatch, StoreError> {
        let address = self.current_address();
        let query = WatchRequest {
            create_request: WatchCreateRequest {
                key: Base64Bytes(prefix.as_bytes().to_vec()),
                range_end: Base64Bytes(prefix_end(prefix)),
                start_revision: QuotedNumber::from_revision(from),
                progress_notify: true,
            },
        };
        let opening = self.send_request(&address, "watch", &query);
        let limit = self.timeout;
        let response = actix_rt::time::timeout(limit, opening).await.map_err(|_| {
            self.abandon_connections();
            StoreError::TimedOut { limit }
        })??;
        check_status(&address, response.status(), &[])?;
        Ok(EtcdWatch::new(address, from, Box::pin(response)))
    }
}
