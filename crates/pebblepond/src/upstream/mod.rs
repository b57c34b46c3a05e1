//! HTTP/1.1 calls to workers and the platform, on connections whose fate is decided here:
//! `actix-http`'s codec over a plain stream. What `awc` would decide in silence (retries, pooling,
//! what a lost connection means) is explicit.
//!
//! - [`Upstream::call`] makes one call; what its answer proves is an [`Outcome`];
//! - [`pool`] keeps idle connections;
//! - [`exchange`] sends a request and finds the head of its answer;
//! - [`connection`] reads and writes messages;
//! - [`api_call`] is the short form for calls to the platform and to a worker's own interface.

mod api_call;
mod connection;
mod exchange;
mod headers;
mod pool;

pub use api_call::{call_api, ApiCall, ApiResponse};

use crate::http_headers::number;
use crate::sockets::{self, is_quiet};
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
use std::time::Duration;

/// A stream of the parts of a body.
pub type BodyParts = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// The body of a call.
pub enum RequestBody {
    /// All of it.
    Whole(Bytes),
    /// Passed on as it comes.
    Streamed {
        /// What has come.
        first: Bytes,
        /// What is still to come.
        rest: BodyParts,
        /// The length, bytes, if it is known.
        length: Option<u64>,
    },
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// Not one byte went out.
    #[error("nothing was sent")]
    NotSent,
    /// Something may have arrived, and nothing usable came back.
    #[error("sent, without a usable answer")]
    Unclear,
}

/// The body of an answer.
pub enum ResponseBody {
    /// All of it.
    Whole(Bytes),
    /// Passed on as it comes, with its length in bytes if it is known.
    Streamed(BodyParts, Option<u64>),
}

/// The answer to a call.
pub struct UpstreamResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: ResponseBody,
    /// What it proves of the request.
    pub outcome: Outcome,
}

/// How one call is to be made.
pub struct CallOptions {
    /// An idle connection may have rested this long, ms; 0 asks for a new one.
    pub max_idle_ms: u64,
    /// Time to connect in, ms.
    pub connect_timeout_ms: u64,
    /// Bytes without an acknowledgement end the connection after this time, ms.
    pub user_timeout_ms: u64,
    /// How the answer is matched with the request.
    pub matching: ResponseMatching,
}

/// How an answer is told from those to other requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseMatching {
    /// It echoes the id of the request, which must not run twice.
    IdNonIdempotent,
    /// It echoes the id of the request.
    Id,
    /// By the connection alone: the peer echoes nothing.
    Connection,
}

/// The node's connections to workers and the platform.
pub struct Upstream {
    config: ServiceConfig,
    pool: ConnectionPool,
}

impl Upstream {
    /// Without any connection.
    pub fn new() -> Rc<Upstream> {
        Rc::new(Upstream {
            config: ServiceConfig::default(),
            pool: ConnectionPool::default(),
        })
    }

    /// Drops idle connections that are past use.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Drops the idle connections to an address.
    pub fn forget(&self, address: &str) {
        self.pool.forget(address);
    }

    /// A connection to make a call on, and how long it has rested if it did.
    async fn connection(
        &self,
        address: &str,
        options: &CallOptions,
    ) -> Result<(Connection, Option<Duration>), CallError> {
        if options.max_idle_ms > 0 {
            let idle = self.pool.take(address, options.max_idle_ms, options.matching);
            if let Some((connection, rested)) = idle {
                return Ok((connection, Some(rested)));
            }
        }
        let io = sockets::connect_for(address, options.connect_timeout_ms, options.user_timeout_ms)
            .await
            .map_err(|_| CallError::NotSent)?;
        if !is_quiet(&io) {
            return Err(CallError::NotSent);
        }
        Ok((Connection::new(io, self.config.clone()), None))
    }

    /// Makes one call. Bodies up to [`c::BUFFERED_BODY_BYTES`] come back whole.
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
        // Without an id the connection matches, so no other request may use it.
        let is_exclusive = id.is_none() && options.matching != ResponseMatching::Connection;
        if is_exclusive {
            options.max_idle_ms = 0;
        }
        let (connection, rested) = self.connection(address, &options).await?;
        let mut exchange = Exchange::new(connection, id, head.method == Method::HEAD);
        let result = exchange.run(head, body).await;
        let (Ok(head), Some(mut connection)) = (result, exchange.connection.take()) else {
            // FIXME: the connection has just been taken, so that this never holds; see ROADMAP.md.
            if let (Some(rested), true) = (rested, exchange.seems_stale()) {
                self.pool.note_stale(rested);
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

/// What follows once an answer has come whole.
struct Completion {
    upstream: Rc<Upstream>,
    address: String,
    attempt: Attempt,
    /// How long the connection may rest, ms.
    idle_ms: u64,
}

impl Completion {
    /// What the answer proves. Its connection, if it goes on, is kept if the attempt lets another
    /// request use it.
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

/// Reads the body that follows a head, whole if it is small.
async fn read_response(
    head: ResponseHead,
    connection: Connection,
    completion: Completion,
) -> Result<UpstreamResponse, ExchangeError> {
    let mut response = UpstreamResponse {
        status: head.status,
        headers: head.headers,
        body: ResponseBody::Whole(Bytes::new()),
        outcome: Outcome::MayHaveRun,
    };
    if connection.codec.message_type() == MessageType::None {
        response.outcome = completion.complete(Some(connection));
        return Ok(response);
    }
    let mut reader = BodyReader::new(connection);
    let mut whole = BytesMut::new();
    while whole.len() <= c::BUFFERED_BODY_BYTES {
        match reader.next_part().await? {
            Some(part) if whole.is_empty() => whole = BytesMut::from(part),
            Some(part) => whole.extend_from_slice(&part),
            None => {
                response.outcome = completion.complete(reader.into_connection());
                response.body = ResponseBody::Whole(whole.freeze());
                return Ok(response);
            }
        }
    }
    let length = number(&response.headers, "Content-Length");
    response.outcome = completion.attempt.outcome();
    let rest = StreamedBody {
        first: Some(whole.freeze()),
        reader,
        completion,
    };
    response.body = ResponseBody::Streamed(rest.into_parts(), length);
    Ok(response)
}

/// The body of an answer that is passed on as it comes.
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
                Err(_) => Some((Err(io::Error::other("the worker broke off")), None)),
            }
        }))
    }
}

#[cfg(test)]
mod tests;
