//! What the headers of an answer say of its request and its connection.

use crate::http_headers::connection_options;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use balancer::{HeadSummary, IdEcho};
use config::constants as c;

/// Workers echo the id of the attempt that an answer belongs to.
pub(super) const ATTEMPT_ID: &str = "attempt-id";
/// What is taken off the time that a peer announces for idle connections, ms.
const IDLE_MARGIN_MS: u64 = 1000;

/// The value of a header that is given once.
pub(super) fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name);
    values.next().filter(|_| values.next().is_none())
}

/// Whether one can tell where the body of an answer ends; if only by the end of
/// the connection, a cut looks like an end.
pub(super) fn is_framed(head: &ResponseHead) -> bool {
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let without_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    without_body.contains(&head.status) || framing.iter().any(|h| head.headers.contains_key(h))
}

/// What a head says of the request of this id.
pub(super) fn summarize(head: &ResponseHead, id: Option<&HeaderValue>, expects_no_body: bool) -> HeadSummary {
    let headers = &head.headers;
    HeadSummary {
        status: head.status.as_u16(),
        echo: match (id, single_value(headers, ATTEMPT_ID)) {
            (Some(ours), Some(theirs)) if ours == theirs => IdEcho::Ours,
            _ if headers.contains_key(ATTEMPT_ID) => IdEcho::Other,
            _ => IdEcho::Missing,
        },
        not_executed: headers.contains_key("not-executed"),
        sealed: headers.contains_key("server-seal") && (expects_no_body || is_framed(head)),
    }
}

/// Whether the peer ends the connection after this answer.
pub(super) fn says_close(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

/// How long a connection may rest, ms: a second less than its peer announced.
pub(super) fn idle_limit_ms(headers: &HeaderMap) -> u64 {
    let announced_s = headers
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.split(',').find_map(|t| t.trim().strip_prefix("timeout=")))
        .and_then(|v| v.trim().parse::<u64>().ok());
    match announced_s {
        Some(s) => (s * 1000).saturating_sub(IDLE_MARGIN_MS).min(c::IDLE_REUSE_MS),
        None => c::IDLE_REUSE_MS,
    }
}
