//! What the proxy and the calls to workers read from headers.

use actix_http::header::{self, HeaderMap};

/// The number in a header.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The options that `Connection` names: headers of this connection only, and `close`.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(str::trim))
}
