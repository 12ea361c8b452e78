//! Kinds of refusals and failures that a caller may receive.

/// Names every refusal and failure that a caller may receive.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallerErrorKind {
    /// The account has too many requests in progress or uses too many tokens per second.
    AccountLimit,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The endpoint reported a failure.
    EndpointFailed,
    /// The connection to the endpoint broke before the whole answer arrived.
    EndpointLost,
    /// The call already ran, and its answer was too large to be stored.
    IdempotencyAnswerNotKept,
    /// The idempotency key was already used with a different request.
    IdempotencyKeyReused,
    /// The outcome of an earlier call with the same idempotency key is unknown.
    IdempotencyOutcomeUnknown,
    /// The credentials are missing or wrong.
    InvalidCredentials,
    /// The request is malformed.
    InvalidRequest,
    /// The ledger of non-repeatable calls is full.
    LedgerFull,
    /// The ledger of non-repeatable calls could not be written.
    LedgerUnavailable,
    /// The service or path does not exist.
    NotFound,
    /// The node is shutting down.
    NodeStopping,
    /// No endpoint accepts new requests.
    NoEndpoint,
    /// The queue is full, or the request could not start in time.
    Overloaded,
    /// The prompt is larger than any endpoint can hold.
    PromptTooLarge,
    /// The request crashed endpoints and is in quarantine.
    Quarantined,
    /// The body or the headers are larger than allowed.
    RequestTooLarge,
    /// The answer was interrupted after a part was forwarded and could not be resumed.
    StreamBroken,
}

impl CallerErrorKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 20] = [
        Self::AccountLimit,
        Self::CallerDisconnected,
        Self::DeadlineExceeded,
        Self::EndpointFailed,
        Self::EndpointLost,
        Self::IdempotencyAnswerNotKept,
        Self::IdempotencyKeyReused,
        Self::IdempotencyOutcomeUnknown,
        Self::InvalidCredentials,
        Self::InvalidRequest,
        Self::LedgerFull,
        Self::LedgerUnavailable,
        Self::NotFound,
        Self::NodeStopping,
        Self::NoEndpoint,
        Self::Overloaded,
        Self::PromptTooLarge,
        Self::Quarantined,
        Self::RequestTooLarge,
        Self::StreamBroken,
    ];

    /// Returns the HTTP status code of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::InvalidCredentials => 401,
            Self::NotFound => 404,
            Self::IdempotencyAnswerNotKept | Self::IdempotencyOutcomeUnknown => 409,
            Self::PromptTooLarge | Self::RequestTooLarge => 413,
            Self::IdempotencyKeyReused | Self::Quarantined => 422,
            Self::AccountLimit => 429,
            Self::CallerDisconnected => 499,
            Self::EndpointFailed | Self::EndpointLost | Self::StreamBroken => 502,
            Self::LedgerFull
            | Self::LedgerUnavailable
            | Self::NodeStopping
            | Self::NoEndpoint
            | Self::Overloaded => 503,
            Self::DeadlineExceeded => 504,
        }
    }

    /// Returns the code of the error object; it is stable, so that programs may compare it.
    pub fn code(self) -> &'static str {
        match self {
            Self::AccountLimit => "account_limit",
            Self::CallerDisconnected => "caller_gone",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::EndpointFailed => "endpoint_failed",
            Self::EndpointLost => "endpoint_lost",
            Self::IdempotencyAnswerNotKept => "idempotency_answer_not_kept",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::IdempotencyOutcomeUnknown => "idempotency_outcome_unknown",
            Self::InvalidCredentials => "invalid_credentials",
            Self::InvalidRequest => "invalid_request",
            Self::LedgerFull => "ledger_full",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::NotFound => "not_found",
            Self::NodeStopping => "node_stopping",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::PromptTooLarge => "prompt_too_large",
            Self::Quarantined => "quarantined",
            Self::RequestTooLarge => "request_too_large",
            Self::StreamBroken => "stream_broken",
        }
    }

    /// Returns the `type` of the error object that clients of the OpenAI interface expect.
    pub fn error_type(self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            status if status < 500 => "invalid_request_error",
            _ => "server_error",
        }
    }

    /// Returns one clause that states what happened, for the message.
    pub fn summary(self) -> &'static str {
        match self {
            Self::AccountLimit => "the account is at its limit",
            Self::CallerDisconnected => "the caller closed the connection",
            Self::DeadlineExceeded => "the time allowed for the request ran out",
            Self::EndpointFailed => "the endpoint reported a failure",
            Self::EndpointLost => "the connection to the endpoint broke before the answer",
            Self::IdempotencyAnswerNotKept => "the call ran before, and its answer was not kept",
            Self::IdempotencyKeyReused => "the idempotency key was used with another request",
            Self::IdempotencyOutcomeUnknown => "an earlier call with this key has no known outcome",
            Self::InvalidCredentials => "the account key is missing or unknown",
            Self::InvalidRequest => "the request is malformed",
            Self::LedgerFull => "the record of non-repeatable calls is full",
            Self::LedgerUnavailable => "the record of non-repeatable calls can't be written",
            Self::NotFound => "no service answers at this path",
            Self::NodeStopping => "the node is stopping",
            Self::NoEndpoint => "no endpoint may take new work",
            Self::Overloaded => "the request can't start in time",
            Self::PromptTooLarge => "the prompt is larger than any endpoint can hold",
            Self::Quarantined => "the request crashed the endpoints that ran it",
            Self::RequestTooLarge => "the request is larger than allowed",
            Self::StreamBroken => "the answer broke off and could not be resumed",
        }
    }

    /// Returns one sentence that states what the caller can do next, for the message.
    pub fn next_step(self) -> &'static str {
        match self {
            Self::AccountLimit => "Send fewer requests at once, or wait and send it again.",
            Self::CallerDisconnected => "Send it again if the answer is still wanted.",
            Self::DeadlineExceeded => "Check 'executed' before you send it again.",
            Self::EndpointFailed | Self::EndpointLost => {
                "Send it again only if the request may run twice."
            },
            Self::IdempotencyAnswerNotKept => "Ask the service for the result; the call has run.",
            Self::IdempotencyKeyReused => "Use a new key for a new request.",
            Self::IdempotencyOutcomeUnknown => {
                "Ask the service what became of the call; it is not sent again under this key."
            },
            Self::InvalidCredentials => {
                "Send 'Authorization: Bearer KEY' with a key of an account."
            },
            Self::InvalidRequest => "Correct the request.",
            Self::LedgerFull | Self::LedgerUnavailable => {
                "Wait and send it again under the same key."
            },
            Self::NotFound => "List the models at /v1/models, or check the path.",
            Self::NodeStopping | Self::NoEndpoint | Self::Overloaded => "Wait and send it again.",
            Self::PromptTooLarge => "Shorten the prompt or the longest answer.",
            Self::Quarantined => "Change the request, or ask an operator to release it.",
            Self::RequestTooLarge => "Send a smaller request.",
            Self::StreamBroken => "Discard the partial answer and send the request again.",
        }
    }
}
