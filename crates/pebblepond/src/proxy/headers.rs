//! Headers that go on from one connection to the next.

use crate::http_headers::connection_options;
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

/// The headers of a message that go on to the next connection. The length is set anew with the
/// body.
pub(super) fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &header::HeaderValue)> {
    let options = connection_options(headers).map(str::to_ascii_lowercase);
    let named: Vec<String> = options.collect();
    headers.iter().filter(move |(name, _)| {
        let is_hop_by_hop = HOP_BY_HOP.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str());
        !is_hop_by_hop && *name != header::CONTENT_LENGTH
    })
}
