//! HTTP/1.1 calls to workers and the platform. They use the codec of `actix-http` over a plain
//! stream, so that decisions that `awc` would make implicitly (retries, pooling, the meaning of a
//! lost connection) are explicit here.
//!
//! - [`Upstream::call`] makes one call; what its response proves is an [`Outcome`];
//! - [`pool`] keeps idle connections;
//! - [`exchange`] sends a request and finds the head of its response;
//! - [`connection`] reads and writes messages;
//! - [`api_call`] is the short form for calls to the platform and to the control interface of a
//!   worker.

mod api_call;
mod connection;
mod exchange;
mod headers;
mod pool;

pub use api_call::{call_api, ApiCall, ApiResponse};

use crate::http_headers::parse_number;
use crate::sockets::{self, has_no_unread_input};
use actix_http::h1::MessageType;
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, ResponseHead, ServiceConfig, StatusCode};
use balancer::{Attempt, Outcome};
use bytes::{Bytes, BytesMut};
use config::constants as c;
use connection::{BodyReader, Connection};
use exchange::{Exchange, ExchangeError};
use futures_util::Stream;
use pool::ConnectionPool;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A stream of the parts of a body.
pub type BodyParts = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// Body of a request.
pub enum RequestBody {
    /// The complete body.
    Buffered(Bytes),
    /// The body is streamed as it is received.
    Streamed {
        /// The part that has been received.
        first: Bytes,
        /// The part that is still to be received.
        rest: BodyParts,
        /// Total length in bytes, if it is known.
        length: Option<u64>,
    },
}

/// Reason why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("no byte of the request was sent")]
    NotSent,
    /// A part of the request may have arrived, and no usable response was received.
    #[error("request sent, but no usable response received")]
    Unclear,
}

/// Body of a response.
pub enum ResponseBody {
    /// The complete body.
    Buffered(Bytes),
    /// The body is streamed as it is received, with its length in bytes if it is known.
    Streamed(BodyParts, Option<u64>),
}

/// Response to a call.
pub struct UpstreamResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: ResponseBody,
    /// What the response proves about the execution of the request.
    pub outcome: Outcome,
}

/// Options of one call.
pub struct CallOptions {
    /// Longest idle time of a pooled connection that may be used, in milliseconds; 0 requires a new
    /// connection.
    pub max_idle_ms: u64,
    /// Time limit for connecting, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time after which unacknowledged bytes end the connection, in milliseconds.
    pub user_timeout_ms: u64,
    /// How the response is matched with the request.
    pub matching: ResponseMatching,
    /// When the address was chosen.
    pub chosen_at: Instant,
}

/// Time from the choice of an address to the send after which the send is logged as late, in
/// milliseconds: more than any time limit for connecting.
const LATE_SEND_MS: u64 = 1000;

/// How a response is distinguished from responses to other requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseMatching {
    /// The response echoes the id of the request, which must not run twice.
    IdNonIdempotent,
    /// The response echoes the id of the request.
    Id,
    /// Only the connection matches the response: the peer echoes no id.
    Connection,
}

/// Connections of the node to workers and the platform.
pub struct Upstream {
    config: ServiceConfig,
    pool: ConnectionPool,
}

impl Upstream {
    /// Creates an instance without connections.
    pub fn new() -> Rc<Upstream> {
        Rc::new(Upstream {
            config: ServiceConfig::default(),
            pool: ConnectionPool::default(),
        })
    }

    /// Closes idle connections whose idle time limit has passed.
    pub fn close_expired_connections(&self) {
        self.pool.sweep();
    }

    /// Closes the idle connections to an address.
    pub fn close_idle_connections(&self, address: &str) {
        self.pool.forget(address);
    }

    /// Returns a connection for a call, and for how long it has been idle if it was taken from the
    /// pool.
    async fn connection(
        &self,
        address: &str,
        options: &CallOptions,
    ) -> Result<(Connection, Option<Duration>), CallError> {
        if options.max_idle_ms > 0 {
            let idle = self.pool.take(address, options.max_idle_ms, options.matching);
            if let Some((connection, idle_time)) = idle {
                return Ok((connection, Some(idle_time)));
            }
        }
        let io =
            sockets::connect_with_reset_on_drop(address, options.connect_timeout_ms, options.user_timeout_ms)
                .await
                .map_err(|_| CallError::NotSent)?;
        if !has_no_unread_input(&io) {
            return Err(CallError::NotSent);
        }
        Ok((Connection::new(io, self.config.clone()), None))
    }

    /// Makes one call. Bodies of up to [`c::BUFFERED_BODY_BYTES`] are returned completely.
    pub async fn call(
        self: &Rc<Self>,
        address: &str,
        head: RequestHead,
        body: RequestBody,
        mut options: CallOptions,
    ) -> Result<UpstreamResponse, CallError> {
        let id = match options.matching {
            ResponseMatching::Connection => None,
            ResponseMatching::IdNonIdempotent | ResponseMatching::Id => {
                headers::single_value(&head.headers, headers::ATTEMPT_ID).cloned()
            }
        };
        // Without an id only the connection matches the response, so no other request may use it.
        let is_exclusive = id.is_none() && options.matching != ResponseMatching::Connection;
        if is_exclusive {
            options.max_idle_ms = 0;
        }
        let (connection, idle_time) = self.connection(address, &options).await?;
        let waited_ms = options.chosen_at.elapsed().as_millis() as u64;
        if waited_ms >= LATE_SEND_MS {
            log::warn!("event=late_send address={address} waited_ms={waited_ms}");
        }
        let mut exchange = Exchange::new(connection, id, head.method == Method::HEAD);
        let result = exchange.run(head, body).await;
        let (Ok(head), Some(mut connection)) = (result, exchange.connection.take()) else {
            // FIXME: the connection was taken above, so that this condition never holds; see
            // ROADMAP.md.
            if let (Some(idle_time), true) = (idle_time, exchange.seems_stale()) {
                self.pool.note_stale(idle_time);
            }
            return Err(exchange.error());
        };
        connection.lacks_id = exchange.attempt.lacks_id();
        let is_framed = exchange.expects_no_body || headers::is_framed(&head);
        let idle_ms = if is_exclusive || !is_framed || headers::says_close(&head.headers) {
            0
        } else {
            headers::idle_limit_ms(&head.headers)
        };
        let completion = Completion {
            upstream: self.clone(),
            address: address.to_string(),
            attempt: exchange.attempt,
            idle_ms,
        };
        let response = read_response(head, connection, completion).await;
        response.map_err(|_| CallError::Unclear)
    }
}

/// Work that follows when a response has been received completely.
struct Completion {
    upstream: Rc<Upstream>,
    address: String,
    attempt: Attempt,
    /// Time for which the connection may stay idle, in milliseconds.
    idle_ms: u64,
}

impl Completion {
    /// Completes the attempt and returns what its response proves. The connection, if it stays
    /// open, is kept in the pool if the attempt allows another request on it.
    fn complete(mut self, connection: Option<Connection>) -> Outcome {
        self.attempt.on_complete();
        if let Some(connection) = connection {
            let is_usable = self.attempt.may_reuse_connection() && connection.is_between_messages();
            if self.idle_ms > 0 && is_usable {
                let pool = &self.upstream.pool;
                pool.put(self.address, connection, self.idle_ms);
            }
        }
        self.attempt.outcome()
    }
}

/// Reads the body that follows a head; a small body is read completely.
async fn read_response(
    head: ResponseHead,
    connection: Connection,
    completion: Completion,
) -> Result<UpstreamResponse, ExchangeError> {
    let mut response = UpstreamResponse {
        status: head.status,
        headers: head.headers,
        body: ResponseBody::Buffered(Bytes::new()),
        outcome: Outcome::MayHaveRun,
    };
    if connection.codec.message_type() == MessageType::None {
        response.outcome = completion.complete(Some(connection));
        return Ok(response);
    }
    let mut reader = BodyReader::new(connection);
    let mut buffered = BytesMut::new();
    while buffered.len() <= c::BUFFERED_BODY_BYTES {
        match reader.next_part().await? {
            Some(part) if buffered.is_empty() => buffered = BytesMut::from(part),
            Some(part) => buffered.extend_from_slice(&part),
            None => {
                response.outcome = completion.complete(reader.into_connection());
                response.body = ResponseBody::Buffered(buffered.freeze());
                return Ok(response);
            }
        }
    }
    let length = parse_number(&response.headers, "Content-Length");
    response.outcome = completion.attempt.outcome();
    let rest = StreamedBody {
        first: Some(buffered.freeze()),
        reader,
        completion,
    };
    response.body = ResponseBody::Streamed(rest.into_parts(), length);
    Ok(response)
}

/// A response body that is streamed as it is received.
struct StreamedBody {
    first: Option<Bytes>,
    reader: BodyReader,
    completion: Completion,
}

impl StreamedBody {
    fn into_parts(self) -> BodyParts {
        Box::pin(futures_util::stream::unfold(Some(self), |body| async move {
            let mut body = body?;
            if let Some(first) = body.first.take() {
                return Some((Ok(first), Some(body)));
            }
            match body.reader.next_part().await {
                Ok(Some(part)) => Some((Ok(part), Some(body))),
                Ok(None) => {
                    body.completion.complete(body.reader.into_connection());
                    None
                }
                Err(_) => Some((
                    Err(io::Error::other("response body ended early or is malformed")),
                    None,
                )),
            }
        }))
    }
}

#[cfg(test)]
mod tests;
