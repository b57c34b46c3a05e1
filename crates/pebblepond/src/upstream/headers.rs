//! Interpretation of response headers: what they state about the request and the connection.

use crate::http_headers::connection_options;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use balancer::{HeadSummary, IdEcho};
use config::constants as c;

/// Header in which workers echo the id of the attempt that a response belongs to.
pub(super) const ATTEMPT_ID: &str = "attempt-id";
/// Margin subtracted from the idle timeout that a peer announces, in milliseconds.
const IDLE_MARGIN_MS: u64 = 1000;

/// Returns the value of a header that occurs exactly once.
pub(super) fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name);
    values.next().filter(|_| values.next().is_none())
}

/// Returns whether the end of a response body can be determined. If only the end of the connection
/// marks it, a truncated body looks complete.
pub(super) fn is_framed(head: &ResponseHead) -> bool {
    let framing_headers = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let statuses_without_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    statuses_without_body.contains(&head.status)
        || framing_headers.iter().any(|h| head.headers.contains_key(h))
}

/// Summarizes what a response head states about the request with this id.
pub(super) fn summarize(head: &ResponseHead, id: Option<&HeaderValue>, expects_no_body: bool) -> HeadSummary {
    let headers = &head.headers;
    HeadSummary {
        status: head.status.as_u16(),
        echo: match (id, single_value(headers, ATTEMPT_ID)) {
            (Some(sent_id), Some(echoed_id)) if sent_id == echoed_id => IdEcho::Same,
            _ if headers.contains_key(ATTEMPT_ID) => IdEcho::Different,
            _ => IdEcho::Missing,
        },
        not_executed: headers.contains_key("not-executed"),
        is_sealed_and_framed: headers.contains_key("server-seal") && (expects_no_body || is_framed(head)),
    }
}

/// Returns whether the peer closes the connection after this response.
pub(super) fn says_close(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}

/// Returns the time for which a connection may stay idle, in milliseconds: one second less than the
/// peer announced.
pub(super) fn idle_limit_ms(headers: &HeaderMap) -> u64 {
    let announced_s = headers
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.split(',').find_map(|t| t.trim().strip_prefix("timeout=")))
        .and_then(|v| v.trim().parse::<u64>().ok());
    match announced_s {
        Some(seconds) => (seconds * 1000)
            .saturating_sub(IDLE_MARGIN_MS)
            .min(c::IDLE_REUSE_MS),
        None => c::IDLE_REUSE_MS,
    }
}
