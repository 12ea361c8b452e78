//! Hop-by-hop headers: they apply to one connection and must not be forwarded.

use actix_http::header::CONNECTION;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::EXPECT;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::PROXY_AUTHENTICATE;
use actix_http::header::PROXY_AUTHORIZATION;
use actix_http::header::TE;
use actix_http::header::TRAILER;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::header::UPGRADE;

/// Hop-by-hop headers, beside those that `Connection` names.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Hop-by-hop headers that are not part of the standard, but still in use.
const LEGACY_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes all hop-by-hop headers, including those that `Connection` names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.into_iter().chain(HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in LEGACY_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
