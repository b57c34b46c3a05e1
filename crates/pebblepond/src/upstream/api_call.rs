//! Calls with small JSON bodies to the platform and to the control interface of a worker. Their
//! responses are matched by the connection alone.

use super::{CallError, CallOptions, RequestBody, ResponseBody, ResponseMatching, Upstream};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode};
use bytes::{Bytes, BytesMut};
use config::constants as c;
use futures_util::StreamExt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call to a JSON interface.
pub struct ApiCall<'a> {
    /// Method of the request.
    pub method: Method,
    /// Address and port.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Identifier of the addressed worker; any other worker rejects the call.
    pub worker: Option<&'a str>,
    /// JSON body of the request.
    pub body: Option<Bytes>,
    /// Time limit for the head of the response, and again for its body, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the call is made on a new connection, so that its response cannot belong to another
    /// request.
    pub on_new_connection: bool,
}

/// Complete response to an [`ApiCall`].
#[derive(Debug)]
pub struct ApiResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

/// Makes a call and reads the complete response.
pub async fn call_api(upstream: &Rc<Upstream>, call: ApiCall<'_>) -> Result<ApiResponse, CallError> {
    let timeout = Duration::from_millis(call.timeout_ms);
    let head = request_head(&call)?;
    let options = CallOptions {
        max_idle_ms: if call.on_new_connection {
            0
        } else {
            c::IDLE_REUSE_NON_IDEMPOTENT_MS
        },
        connect_timeout_ms: c::CONNECT_TIMEOUT_MS.min(call.timeout_ms),
        user_timeout_ms: c::WORKER_USER_TIMEOUT_MS + 2 * c::DEFAULT_RTT_MS as u64,
        matching: ResponseMatching::Connection,
        chosen_at: Instant::now(),
    };
    let body = RequestBody::Buffered(call.body.unwrap_or_default());
    let call_result = upstream.call(call.address, head, body, options);
    let response = tokio::time::timeout(timeout, call_result)
        .await
        .map_err(|_| CallError::Unclear)??;
    let body = tokio::time::timeout(timeout, read_completely(response.body))
        .await
        .map_err(|_| CallError::Unclear)??;
    Ok(ApiResponse {
        status: response.status,
        headers: response.headers,
        body,
    })
}

fn request_head(call: &ApiCall) -> Result<RequestHead, CallError> {
    let mut head = RequestHead::default();
    head.method = call.method.clone();
    head.uri = call.path.parse().map_err(|_| CallError::NotSent)?;
    if let Ok(host) = HeaderValue::from_str(call.address) {
        head.headers.insert(header::HOST, host);
    }
    if let Some(worker) = call.worker.and_then(|w| HeaderValue::from_str(w).ok()) {
        head.headers
            .insert(HeaderName::from_static("expected-instance"), worker);
    }
    if call.body.is_some() {
        head.headers
            .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    Ok(head)
}

async fn read_completely(body: ResponseBody) -> Result<Bytes, CallError> {
    match body {
        ResponseBody::Buffered(body) => Ok(body),
        ResponseBody::Streamed(mut parts, _) => {
            let mut buffered = BytesMut::new();
            while let Some(part) = parts.next().await {
                buffered.extend_from_slice(&part.map_err(|_| CallError::Unclear)?);
            }
            Ok(buffered.freeze())
        }
    }
}
