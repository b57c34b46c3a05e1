//! Checks of a request before a worker is selected.

use super::response::{plain_text, with_connection_close};
use super::{Proxy, Refusal};
use crate::balancer_actor::DrawService;
use crate::http_headers::parse_number;
use crate::upstream::RequestBody;
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::BytesMut;
use config::{constants as c, ClientLimits, Configuration, Route};
use futures_util::StreamExt;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes that each header takes in addition to its name and value: colon, space and line end.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// A request that passed all checks and may be forwarded.
pub(super) struct CheckedRequest {
    pub(super) target: Target,
    pub(super) body: RequestBody,
}

/// Destination and deadline of a request.
pub(super) struct Target {
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// Key of the request, if the service is partitioned.
    pub(super) key: Option<u32>,
    pub(super) deadline: Instant,
    pub(super) client: Option<IpAddr>,
}

impl Target {
    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Proxy {
    /// Checks a request and reads its body, or returns the response with which it is refused.
    pub(super) async fn check(&self, request: &mut Request) -> Result<CheckedRequest, Refusal> {
        let arrived = Instant::now();
        self.context.counters.increment("requests");
        if self.context.is_refusing_requests.get() {
            return Err(with_connection_close(
                self.refuse("refused_leaving", c::RETRY_AFTER_MS),
            ));
        }
        let state = self.context.state.get();
        let config = match &state.configuration {
            Some(config) if self.context.can_serve() => config.clone(),
            _ => {
                let refusal = self.refuse("not_current", c::RETRY_AFTER_NOT_CURRENT_MS);
                return Err(with_connection_close(refusal));
            }
        };
        let route = self.route(request, &config)?;
        let timeout_ms = parse_number(request.headers(), "Deadline-Ms").unwrap_or(route.timeout_ms);
        let deadline = arrived + Duration::from_millis(timeout_ms.min(route.timeout_ms));
        let latest_deadline = self.context.latest_request_deadline.get();
        if latest_deadline.is_some_and(|latest| deadline > latest) {
            // The request may outlast the process and would then be aborted.
            return Err(with_connection_close(
                self.refuse("refused_leaving", c::RETRY_AFTER_MS),
            ));
        }
        let service = self.service(&route).await;
        let key = key(request, &config, &service)?;
        let body = read_body(request, config.limits).await?;
        let client = request.peer_addr().map(|a| a.ip());
        let target = Target {
            route,
            service,
            key,
            deadline,
            client,
        };
        Ok(CheckedRequest { target, body })
    }

    /// Returns the route of a request, or the response that reports the error in the request.
    fn route(&self, request: &Request, config: &Configuration) -> Result<Arc<Route>, Refusal> {
        let headers = request.headers();
        let header_bytes = |(name, value): (&header::HeaderName, &HeaderValue)| {
            name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES
        };
        let size: usize = headers.iter().map(header_bytes).sum();
        if size + request.uri().path().len() > config.limits.header_bytes {
            return Err(with_connection_close(plain_text(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the header is too large",
            )));
        }
        if headers.get_all(header::HOST).count() != 1 {
            return Err(with_connection_close(plain_text(
                StatusCode::BAD_REQUEST,
                "Host must be given once",
            )));
        }
        let host = headers
            .get(header::HOST)
            .and_then(|h| h.to_str().ok())
            .unwrap_or("");
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let Some(route) = config.route(host, request.uri().path()) else {
            self.context.counters.increment("no_route");
            return Err(plain_text(StatusCode::NOT_FOUND, "no route"));
        };
        Ok(route.clone())
    }

    /// Returns the service for a request on a route, drawn by weight if the route has several.
    async fn service(&self, route: &Arc<Route>) -> Arc<str> {
        if let [single] = route.split.as_slice() {
            return single.service.clone();
        }
        let drawn = self.balancer_actor.send(DrawService(route.clone())).await;
        drawn.unwrap_or_default().into()
    }

    /// Creates a final response with the promise that the request was not executed, and counts it.
    pub(super) fn refuse(&self, counter: &'static str, retry_after_ms: u64) -> Response<BoxBody> {
        self.context.counters.increment(counter);
        let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "not run; come back");
        let retry_after_s = format!("{:.3}", retry_after_ms as f64 / 1000.0);
        if let Ok(retry_after) = HeaderValue::from_str(&retry_after_s) {
            response.headers_mut().insert(header::RETRY_AFTER, retry_after);
        }
        response
    }
}

/// Returns the key of a request, if its service is partitioned.
fn key(request: &Request, config: &Configuration, service: &str) -> Result<Option<u32>, Refusal> {
    if !config.services.get(service).is_some_and(|s| s.partitioned) {
        return Ok(None);
    }
    match parse_number(request.headers(), "Shard-Key") {
        Some(key) if key < u64::from(control_state::KEY_SPACE) => Ok(Some(key as u32)),
        _ => Err(plain_text(
            StatusCode::BAD_REQUEST,
            "Shard-Key is missing or no key",
        )),
    }
}

/// Buffers a small body completely; a large body is streamed to the worker.
async fn read_body(request: &mut Request, limits: ClientLimits) -> Result<RequestBody, Refusal> {
    let length = parse_number(request.headers(), "Content-Length");
    let too_large =
        || with_connection_close(plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    if length.is_some_and(|l| l > limits.body_bytes) {
        return Err(too_large());
    }
    let mut payload = request.take_payload();
    let mut buffered = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| {
            with_connection_close(plain_text(StatusCode::BAD_REQUEST, "the body cannot be read"))
        })?;
        buffered.extend_from_slice(&part);
        if buffered.len() as u64 > limits.body_bytes {
            return Err(too_large());
        }
        if buffered.len() > c::BUFFERED_BODY_BYTES {
            let mut received_bytes = buffered.len() as u64;
            let rest = payload.map(move |part| {
                let part = part.map_err(std::io::Error::other)?;
                received_bytes += part.len() as u64;
                if received_bytes > limits.body_bytes {
                    return Err(std::io::Error::other("request body exceeds BodyMaxBytes"));
                }
                Ok(part)
            });
            return Ok(RequestBody::Streamed {
                first: buffered.freeze(),
                rest: Box::pin(rest),
                length,
            });
        }
    }
    Ok(RequestBody::Buffered(buffered.freeze()))
}
