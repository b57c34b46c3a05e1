//! Selection of the end-to-end headers, which are forwarded from one connection to the next.

use crate::http_headers::connection_options;
use actix_http::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop headers, in addition to those that `Connection` names.
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

/// Returns the headers of a message that are forwarded. `Content-Length` is omitted, since it is
/// set again with the body.
pub(super) fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &header::HeaderValue)> {
    let options = connection_options(headers).map(str::to_ascii_lowercase);
    let named_by_connection: Vec<String> = options.collect();
    headers.iter().filter(move |(name, _)| {
        let is_hop_by_hop =
            HOP_BY_HOP.contains(&name.as_str()) || named_by_connection.iter().any(|n| n == name.as_str());
        !is_hop_by_hop && *name != header::CONTENT_LENGTH
    })
}
