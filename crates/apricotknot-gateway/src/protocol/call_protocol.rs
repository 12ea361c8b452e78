//! How callers and endpoints write what they say beside a request's body.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::RequestHead;
use actix_http::ResponseHead;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::TokenCount;
use bytes::Bytes;
use thiserror::Error;

/// Names memory that an endpoint has set aside.
pub type ReservationId = Arc<str>;

/// Holds what a caller says of its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallMetadata {
    /// Identifies the request; endpoints repeat it in their answers.
    pub request_id: Arc<str>,
    /// Time that the caller will wait, where it says.
    pub timeout: Option<Duration>,
    /// Key of the caller's account, where there is one.
    pub api_key: Option<Arc<str>>,
    /// What the request asks of a model engine.
    pub size: RequestSize,
    /// Number of the last event that the caller has of an earlier stream.
    pub last_event_id: Option<u64>,
}

/// Reports what is wrong with what a caller says of its request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("header {header} is {given:?}; allowed is {allowed}")]
pub struct CallMetadataError {
    /// Header that is wrong.
    pub header: &'static str,
    /// What it holds.
    pub given: String,
    /// What it may hold.
    pub allowed: &'static str,
}

/// Describes one attempt to the endpoint that is to run it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptMetadata {
    /// Endpoint that is meant; any other one must refuse.
    pub endpoint: EndpointId,
    /// Account that the request is run for, where it has one.
    pub account: Option<AccountId>,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Number of the last event that was forwarded; the stream goes on after it.
    pub last_event_id: Option<u64>,
    /// Rank among the endpoint's requests, 0 first to 9 last.
    pub urgency: u8,
    /// Endpoints that help to read the prompt.
    pub helpers: Vec<HelperAddress>,
}

/// Names an endpoint that helps to read a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperAddress {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Memory that it has set aside for the prompt.
    pub reservation: Option<ReservationId>,
}

/// Asks an endpoint to set memory aside, or to free it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReservationRequest {
    /// Sets memory aside, or renews it.
    Reserve {
        /// Names the memory.
        id: ReservationId,
        /// Size of the memory, in tokens.
        tokens: TokenCount,
        /// Time after which it is free again unless it is renewed.
        ttl: Duration,
    },
    /// Frees memory.
    Release {
        /// Names the memory.
        id: ReservationId,
    },
}

/// Holds what an endpoint says in the head of its answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerMetadata {
    /// Request that is answered, where the endpoint says.
    pub request_id: Option<Arc<str>>,
    /// Whether the endpoint vouches for the answer.
    pub is_sealed: bool,
    /// Whether the endpoint says that it did not and will not run the request.
    pub is_not_run: bool,
    /// Endpoint whose fault it is that the request was not run, by id or address.
    pub at_fault: Option<Arc<str>>,
    /// Whether another endpoint than the one meant has answered.
    pub is_misdirected: bool,
}

/// Translates between the headers of a platform and the terms of the product.
pub trait CallProtocol: Clone + 'static {
    /// Reads what a caller says of its request.
    ///
    /// # Errors
    ///
    /// Returns the first header that cannot be understood.
    fn read_call(&self, head: &RequestHead) -> Result<CallMetadata, CallMetadataError>;

    /// Turns the caller's head into that of one attempt.
    fn write_attempt(&self, head: &mut RequestHead, metadata: &AttemptMetadata);

    /// Writes an order about an endpoint's memory; it is answered with status 200 once done.
    fn write_reservation(&self, request: &ReservationRequest) -> (RequestHead, Bytes);

    /// Reads what an endpoint says in the head of its answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMetadata;

    /// Adds to the head of a refusal what callers need to know, beside the standard headers.
    fn write_refusal(&self, head: &mut ResponseHead, request_id: &str);
}
