//! Interface to the headers of callers and endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::RequestHead;
use actix_http::ResponseHead;
use apricotknot_core::fleet::BackoffStatement;
use apricotknot_core::fleet::PromptPartId;
use apricotknot_core::fleet::RateStatement;
use apricotknot_core::fleet::RequestSize;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::TokenCount;
use bytes::Bytes;
use thiserror::Error;

/// Identifies memory that an endpoint has reserved.
pub type ReservationId = Arc<str>;

/// Holds the metadata of a call, from the headers of its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallMetadata {
    /// Id of the request; endpoints repeat it in their answers.
    pub request_id: Arc<str>,
    /// Time that the caller will wait for the answer, if stated.
    pub timeout: Option<Duration>,
    /// Key of the caller's account, if stated.
    pub api_key: Option<Arc<str>>,
    /// Sizes of the prompt and of the output, in tokens.
    pub size: RequestSize,
    /// Id of the last event that the caller received of an earlier stream, if any.
    pub last_event_id: Option<u64>,
    /// Parts of the prompt that other prompts can share; empty if none are stated.
    pub shared_parts: Arc<[PromptPartId]>,
}

/// Reports a header of a caller with an invalid value.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("header {header} is {given:?}; allowed is {allowed}")]
pub struct CallMetadataError {
    /// Name of the header.
    pub header: &'static str,
    /// Value that was given; empty if the header is missing.
    pub given: String,
    /// Values that are allowed.
    pub allowed: &'static str,
}

/// Holds the metadata of one attempt, for the headers that its endpoint receives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptMetadata {
    /// Endpoint that the attempt is meant for; any other one must refuse it.
    pub endpoint: EndpointId,
    /// Account that the request is run for, if any.
    pub account: Option<AccountId>,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Id of the last event that was forwarded; the stream continues after it.
    pub last_event_id: Option<u64>,
    /// Rank among the endpoint's requests, from 0 (first) to 9 (last).
    pub urgency: u8,
    /// Endpoints that prefill parts of the prompt.
    pub helpers: Vec<HelperAddress>,
}

/// Describes a helper: an endpoint that prefills a part of the prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HelperAddress {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Memory that it has reserved for the prompt, if any.
    pub reservation: Option<ReservationId>,
}

/// Requests that an endpoint reserves memory or releases it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReservationRequest {
    /// Reserves memory, or renews the reservation.
    Reserve {
        /// Identifies the reservation.
        id: ReservationId,
        /// Size of the memory, in tokens.
        tokens: TokenCount,
        /// Time after which the reservation expires unless it is renewed.
        ttl: Duration,
    },
    /// Releases memory.
    Release {
        /// Identifies the reservation.
        id: ReservationId,
    },
}

/// Holds the metadata of an answer, from the headers that the endpoint sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Id of the request that is answered, if stated.
    pub request_id: Option<Arc<str>>,
    /// Whether the endpoint marked the answer as its own.
    pub is_sealed: bool,
    /// Whether the endpoint states that it did not and will not run the request.
    pub is_not_run: bool,
    /// Endpoint that caused the request not to run, by id or address.
    pub at_fault: Option<Arc<str>>,
    /// Whether the answer is from another endpoint than the intended one.
    pub is_misdirected: bool,
    /// Rate of requests that the endpoint accepts from all nodes together.
    pub rate_statement: RateStatement,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
    /// Backoff that the endpoint asks for as it refuses the request.
    pub backoff: BackoffStatement,
}

/// Translates between the headers of a platform and the types of the gateway.
pub trait CallProtocol: Clone + 'static {
    /// Reads the metadata of a call from the head of its request.
    ///
    /// # Errors
    ///
    /// Returns the first header with an invalid value.
    fn read_call(&self, head: &RequestHead) -> Result<CallMetadata, CallMetadataError>;

    /// Changes the head of the caller's request into the head of one attempt.
    fn write_attempt(&self, head: &mut RequestHead, metadata: &AttemptMetadata);

    /// Returns the head and body of a request about an endpoint's memory.
    ///
    /// The endpoint answers with status 200 once it has reserved or released the memory.
    fn write_reservation(&self, request: &ReservationRequest) -> (RequestHead, Bytes);

    /// Reads the metadata of an answer from its head.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMetadata;

    /// Adds the platform's headers to the head of an answer by the gateway itself.
    fn write_refusal(&self, head: &mut ResponseHead, request_id: &str);
}
