//! Headers of clients and workers.

use actix_http::header::{self, HeaderMap, HeaderName};

/// Headers that concern one connection only, besides those that `Connection` names.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The number in a header.
pub(super) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The headers of a message that go on to the next connection. The length is set anew with the
/// body.
pub(super) fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &header::HeaderValue)> {
    let named = named_by_connection(headers);
    headers.iter().filter(move |(name, _)| {
        let is_hop_by_hop = HOP_BY_HOP.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str());
        !is_hop_by_hop && *name != header::CONTENT_LENGTH
    })
}

/// The headers that `Connection` names.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|t| t.trim().to_ascii_lowercase()))
        .collect()
}
