//! Calls with small JSON bodies, whose answers the connection alone matches: to the platform, and
//! to the interface of a worker.

use super::{CallError, CallOptions, RequestBody, ResponseBody, ResponseMatching, Upstream};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode};
use bytes::{Bytes, BytesMut};
use config::constants as c;
use futures_util::StreamExt;
use std::rc::Rc;
use std::time::Duration;

/// A call to an interface.
pub struct ApiCall<'a> {
    /// Method of the request.
    pub method: Method,
    /// Address and port.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The worker that is meant; any other turns the call away.
    pub worker: Option<&'a str>,
    /// A JSON body.
    pub body: Option<Bytes>,
    /// Time for the head of the answer, and again for its body, ms.
    pub timeout_ms: u64,
    /// On a connection that nobody has used: its answer is nobody else's.
    pub on_new_connection: bool,
}

/// The whole answer to such a call.
#[derive(Debug)]
pub struct ApiResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

/// Makes a call whose answer is read whole.
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
    };
    let body = RequestBody::Whole(call.body.unwrap_or_default());
    let answered = upstream.call(call.address, head, body, options);
    let response = tokio::time::timeout(timeout, answered)
        .await
        .map_err(|_| CallError::Unclear)??;
    let body = tokio::time::timeout(timeout, read_whole(response.body))
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

async fn read_whole(body: ResponseBody) -> Result<Bytes, CallError> {
    match body {
        ResponseBody::Whole(body) => Ok(body),
        ResponseBody::Streamed(mut parts, _) => {
            let mut whole = BytesMut::new();
            while let Some(part) = parts.next().await {
                whole.extend_from_slice(&part.map_err(|_| CallError::Unclear)?);
            }
            Ok(whole.freeze())
        }
    }
}
