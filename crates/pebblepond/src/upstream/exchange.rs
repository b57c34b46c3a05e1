//! A call on its connection, until the head of its response is received.

use super::connection::{encode, read_head, send_rest, BodyReader, Connection};
use super::headers;
use super::{CallError, RequestBody};
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::MessageType;
use actix_http::header::HeaderValue;
use actix_http::{RequestHead, ResponseHead};
use balancer::{Attempt, HeadAction, Outcome, Phase};
use futures_util::future::{select, Either};
use std::io;
use tokio::io::AsyncWriteExt;

/// Reason why no response can be read from a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer closed the connection before the end of a message.
    #[error("connection closed by the peer before the end of a message")]
    Closed,
    /// The head of the response is malformed.
    #[error(transparent)]
    Head(#[from] ParseError),
    /// The body of the response is malformed.
    #[error(transparent)]
    Body(#[from] PayloadError),
    /// A response to this request can no longer be distinguished from others.
    #[error("response does not belong to the request that was sent")]
    Unmatched,
}

/// A request that is being sent or whose response head is awaited.
pub(super) struct Exchange {
    /// `None` once the connection can no longer be read.
    pub(super) connection: Option<Connection>,
    pub(super) attempt: Attempt,
    id: Option<HeaderValue>,
    /// Whether the response has no body, whatever its head says.
    pub(super) expects_no_body: bool,
}

impl Exchange {
    /// Creates an exchange on `connection`; `id` is the id of the request, if the response echoes
    /// it.
    pub(super) fn new(connection: Connection, id: Option<HeaderValue>, expects_no_body: bool) -> Exchange {
        let attempt = match id {
            Some(_) => Attempt::with_id(connection.lacks_id),
            None => Attempt::without_id(),
        };
        Exchange {
            connection: Some(connection),
            attempt,
            id,
            expects_no_body,
        }
    }

    /// Sends the request and reads until the head of its response. The connection is also read
    /// while the body is sent, since the peer may respond before the end of the body.
    pub(super) async fn run(
        &mut self,
        head: RequestHead,
        body: RequestBody,
    ) -> Result<ResponseHead, ExchangeError> {
        let connection = self.connection.as_mut().ok_or(ExchangeError::Closed)?;
        let mut request = encode(&mut connection.codec, head, body)?;
        // The number of bytes that the kernel accepts first distinguishes an unsent request from a
        // partly sent one.
        let sent_bytes = connection.io.write(&request.ready).await?;
        if sent_bytes == 0 {
            return Err(ExchangeError::Closed);
        }
        let is_completely_sent = sent_bytes == request.ready.len() && request.rest.is_none();
        self.attempt.on_written(is_completely_sent);
        if !is_completely_sent {
            let Connection {
                io, buffer, codec, ..
            } = connection;
            let (mut reading, mut writing) = io.split();
            let unsent = &request.ready[sent_bytes..];
            let mut sending = std::pin::pin!(send_rest(&mut writing, unsent, request.rest.as_mut()));
            loop {
                let receiving = std::pin::pin!(read_head(&mut reading, buffer, codec));
                let head = match select(receiving, sending.as_mut()).await {
                    Either::Left((head, _)) => head?,
                    Either::Right((result, _)) => break result?,
                };
                let summary = headers::summarize(&head, self.id.as_ref(), self.expects_no_body);
                match self.attempt.on_head(summary) {
                    HeadAction::Accepted => return Ok(head),
                    HeadAction::Interim => {}
                    // The body of the unmatched response would have to be skipped while sending.
                    HeadAction::Unmatched | HeadAction::Broken => return Err(ExchangeError::Unmatched),
                }
            }
            self.attempt.on_written(true);
        }
        self.await_head().await
    }

    /// Reads until the head of the response to this request.
    async fn await_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            let connection = self.connection.as_mut().ok_or(ExchangeError::Closed)?;
            let Connection {
                io, buffer, codec, ..
            } = connection;
            let head = read_head(io, buffer, codec).await?;
            let summary = headers::summarize(&head, self.id.as_ref(), self.expects_no_body);
            match self.attempt.on_head(summary) {
                HeadAction::Accepted => return Ok(head),
                HeadAction::Interim => {}
                // A surplus response to another request arrived before the expected one.
                HeadAction::Unmatched => {
                    let connection = self.connection.take().ok_or(ExchangeError::Closed)?;
                    self.connection = Some(skip_body(connection).await?);
                }
                HeadAction::Broken => return Err(ExchangeError::Unmatched),
            }
        }
    }

    /// Returns the error of a failed call, by what is known of the execution of its request.
    pub(super) fn error(&self) -> CallError {
        match self.attempt.outcome() {
            Outcome::NotRun => CallError::NotSent,
            _ => CallError::Unclear,
        }
    }

    /// Returns whether the peer appears to have closed the connection before the call.
    pub(super) fn seems_stale(&self) -> bool {
        let has_received_nothing = self.connection.as_ref().is_some_and(|c| c.buffer.is_empty());
        has_received_nothing && self.attempt.phase() < Phase::ResponseStarted
    }
}

/// Reads and discards the body of a response to another request.
async fn skip_body(connection: Connection) -> Result<Connection, ExchangeError> {
    if connection.codec.message_type() == MessageType::None {
        return Ok(connection);
    }
    let mut reader = BodyReader::new(connection);
    while reader.next_part().await?.is_some() {}
    reader.into_connection().ok_or(ExchangeError::Closed)
}
