//! Call of a plain service as the caller sent it.

use std::sync::Arc;

use actix_http::Method;
use actix_http::header::HeaderMap;
use apricotknot_core::ledger::CallKey;
use apricotknot_core::ledger::ContentDigest;
use apricotknot_core::ledger::content_digest;
use apricotknot_core::outcome::CallerError;
use apricotknot_core::outcome::CallerErrorKind;
use apricotknot_core::resources::PlainServiceSpec;
use apricotknot_core::types::AccountId;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::types::RequestId;
use apricotknot_core::types::ServiceId;
use bytes::Bytes;

/// Header that carries the idempotency key of a non-repeatable call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Headers that are not forwarded, because they concern one connection or apricotknot itself.
const UNFORWARDED_HEADERS: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-attempt-id",
];

/// Holds one call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Id of the call.
    pub id: RequestId,
    /// Account of the caller.
    pub account: AccountId,
    /// Service that is called.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URI.
    pub target: Arc<str>,
    /// Headers to forward to the service.
    pub headers: HeaderMap,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Whether the service may safely run the call more than once.
    pub repeatable: bool,
    /// Idempotency key of a non-repeatable call, if the caller sent one.
    pub idempotency_key: Option<CallKey>,
    /// Moment at which the call times out.
    pub deadline: MonotonicTime,
}

impl PlainCall {
    /// Returns the digest of method, target and body.
    ///
    /// It distinguishes a repeated call from a different call with the same idempotency key.
    pub fn content_digest(&self) -> ContentDigest {
        content_digest(&[self.method.as_str().as_bytes(), self.target.as_bytes(), &self.body])
    }

    /// Returns whether a call of `path` may be repeated.
    ///
    /// It may not if `path` is, or lies below, one of the `once_paths` of the policy, which are
    /// relative to the service's prefix.
    pub fn is_repeatable(policy: &PlainServiceSpec, path: &str) -> bool {
        let subpath = path.strip_prefix(&*policy.prefix).unwrap_or(path);
        let subpath = subpath.trim_matches('/');
        !policy.once_paths.iter().any(|non_repeatable_path| {
            let non_repeatable_path = non_repeatable_path.trim_matches('/');
            subpath.strip_prefix(non_repeatable_path).is_some_and(|rest| {
                non_repeatable_path.is_empty() || rest.is_empty() || rest.starts_with('/')
            })
        })
    }

    /// Returns the headers that are forwarded to a service or a caller.
    pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
        let mut forwarded = HeaderMap::new();
        for (name, value) in headers {
            if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
                forwarded.append(name.clone(), value.clone());
            }
        }
        forwarded
    }

    /// Returns the idempotency key that the caller sent, if any.
    ///
    /// # Errors
    ///
    /// Returns an error for the caller if the key is empty, longer than [`MAX_KEY_BYTES`], not
    /// printable ASCII, or sent more than once.
    pub fn parse_idempotency_key(
        headers: &HeaderMap,
        account: &AccountId,
        service: &ServiceId,
    ) -> Result<Option<CallKey>, CallerError> {
        let mut values = headers.get_all(IDEMPOTENCY_KEY_HEADER);
        let Some(value) = values.next() else {
            return Ok(None);
        };
        let text = value.to_str().ok().map(str::trim).filter(|text| {
            !text.is_empty() && text.len() <= MAX_KEY_BYTES && values.next().is_none()
        });
        let Some(text) = text else {
            return Err(CallerError::not_run(CallerErrorKind::InvalidRequest)
                .given(format!("header {IDEMPOTENCY_KEY_HEADER} with {} bytes", value.len()))
                .allowed(format!(
                    "one header of 1 to {MAX_KEY_BYTES} printable ASCII characters"
                )));
        };
        Ok(Some(CallKey::new(account, service, text)))
    }
}
