//! What of a message's head concerns only one connection.

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

/// Headers that concern only one connection, beside those that `Connection` names.
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

/// Names of older headers that concern only one connection.
const LEGACY_HOP_BY_HOP_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes the headers that concern only one connection.
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
