//! Answers to clients: a worker's, and those of the node's own.

use super::attempts::AttemptGuard;
use super::headers::end_to_end;
use crate::http_headers::number;
use crate::upstream::{BodyParts, ResponseBody, UpstreamResponse};
use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::{ConnectionType, Response, StatusCode};
use balancer::AttemptResult;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use std::convert::Infallible;
use std::io;
use std::time::Instant;

/// The worker's answer, as the client gets it. A body that comes in parts
/// breaks off visibly if the worker does, or at the deadline.
pub(super) fn to_client(
    answer: UpstreamResponse,
    is_head: bool,
    guard: AttemptGuard,
    response_ms: f64,
    deadline: Instant,
) -> Response<BoxBody> {
    let body = match answer.body {
        ResponseBody::Whole(bytes) => {
            guard.end(AttemptResult::Answered(response_ms));
            if is_head {
                BoxBody::new(OmittedBody {
                    length: number(&answer.headers, "Content-Length").unwrap_or(0),
                })
            } else {
                BoxBody::new(bytes)
            }
        }
        ResponseBody::Streamed(parts, length) => {
            let stream = Box::pin(guarded(parts, guard, response_ms, deadline));
            match length {
                Some(length) => BoxBody::new(SizedStream::new(length, stream)),
                None => BoxBody::new(BodyStream::new(stream)),
            }
        }
    };
    let mut response = Response::with_body(answer.status, body);
    for (name, value) in end_to_end(&answer.headers) {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

/// The parts of a body, until its end, a failure of the worker or the deadline; the end of the
/// attempt is told with them.
fn guarded(
    parts: BodyParts,
    guard: AttemptGuard,
    response_ms: f64,
    deadline: Instant,
) -> impl Stream<Item = io::Result<Bytes>> {
    let state = (parts, Some(guard));
    futures_util::stream::unfold(state, move |(mut parts, guard)| async move {
        let guard = guard?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        match tokio::time::timeout(remaining, parts.next()).await {
            Ok(Some(Ok(part))) => Some((Ok(part), (parts, Some(guard)))),
            Ok(Some(Err(error))) => {
                guard.end(AttemptResult::Failed);
                Some((Err(error), (parts, None)))
            }
            Ok(None) => {
                guard.end(AttemptResult::Answered(response_ms));
                None
            }
            Err(_) => Some((Err(io::Error::other("out of time")), (parts, None))),
        }
    })
}

/// A body that is announced and not sent: that of an answer to `HEAD`.
struct OmittedBody {
    /// Bytes.
    length: u64,
}

impl MessageBody for OmittedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Infallible>>> {
        std::task::Poll::Ready(None)
    }
}

/// An answer of the node's own.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(text))
}

/// An answer after which the connection ends.
pub(super) fn closing(mut response: Response<BoxBody>) -> Response<BoxBody> {
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}
