//! Header parsing shared by the proxy and the calls to workers.

use actix_http::header::{self, HeaderMap};

/// Returns the value of a header as a number, if the header is present and valid.
pub fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the options of the `Connection` header: names of headers that apply to this connection
/// only, and `close`.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(str::trim))
}
