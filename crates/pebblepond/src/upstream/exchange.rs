//! A call on its connection, until the head of its answer has come.

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

/// Why no answer can be had from a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer closed the connection before the end of a message.
    #[error("closed by the peer")]
    Closed,
    /// The head of the answer is malformed.
    #[error(transparent)]
    Head(#[from] ParseError),
    /// The body of the answer is malformed.
    #[error(transparent)]
    Body(#[from] PayloadError),
    /// No answer to this request can be told from others any more.
    #[error("the answer belongs to no request or to another")]
    Unmatched,
}

/// A request that is sent, and whose answer's head is awaited.
pub(super) struct Exchange {
    /// Gone once it cannot be read any more.
    pub(super) connection: Option<Connection>,
    pub(super) attempt: Attempt,
    id: Option<HeaderValue>,
    /// The answer has no body whatever its head says.
    pub(super) expects_no_body: bool,
}

impl Exchange {
    /// A call of this id, if its answer echoes one.
    pub(super) fn new(connection: Connection, id: Option<HeaderValue>, expects_no_body: bool) -> Exchange {
        let attempt = match id {
            Some(_) => Attempt::named(connection.lacks_id),
            None => Attempt::without_id(),
        };
        Exchange {
            connection: Some(connection),
            attempt,
            id,
            expects_no_body,
        }
    }

    /// Sends the request and reads on until a head that is ours. The peer is
    /// heard while the body is sent: it may answer before the end.
    pub(super) async fn run(
        &mut self,
        head: RequestHead,
        body: RequestBody,
    ) -> Result<ResponseHead, ExchangeError> {
        let connection = self.connection.as_mut().ok_or(ExchangeError::Closed)?;
        let mut request = encode(&mut connection.codec, head, body)?;
        // What the kernel took at first tells not sent from sent in part.
        let taken = connection.io.write(&request.ready).await?;
        if taken == 0 {
            return Err(ExchangeError::Closed);
        }
        let is_all = taken == request.ready.len() && request.rest.is_none();
        self.attempt.on_written(is_all);
        if !is_all {
            let Connection {
                io, buffer, codec, ..
            } = connection;
            let (mut reading, mut writing) = io.split();
            let unsent = &request.ready[taken..];
            let mut sending = std::pin::pin!(send_rest(&mut writing, unsent, request.rest.as_mut()));
            loop {
                let heard = std::pin::pin!(read_head(&mut reading, buffer, codec));
                let head = match select(heard, sending.as_mut()).await {
                    Either::Left((head, _)) => head?,
                    Either::Right((sent, _)) => break sent?,
                };
                let summary = headers::summarize(&head, self.id.as_ref(), self.expects_no_body);
                match self.attempt.head(summary) {
                    HeadAction::Ours => return Ok(head),
                    HeadAction::Interim => {}
                    // Its body would have to be passed over meanwhile.
                    HeadAction::Unmatched | HeadAction::Broken => return Err(ExchangeError::Unmatched),
                }
            }
            self.attempt.on_written(true);
        }
        self.await_head().await
    }

    /// Reads on until a head that is ours.
    async fn await_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            let connection = self.connection.as_mut().ok_or(ExchangeError::Closed)?;
            let Connection {
                io, buffer, codec, ..
            } = connection;
            let head = read_head(io, buffer, codec).await?;
            let summary = headers::summarize(&head, self.id.as_ref(), self.expects_no_body);
            match self.attempt.head(summary) {
                HeadAction::Ours => return Ok(head),
                HeadAction::Interim => {}
                // A surplus answer to another request stands where ours is due.
                HeadAction::Unmatched => {
                    let connection = self.connection.take().ok_or(ExchangeError::Closed)?;
                    self.connection = Some(skip_body(connection).await?);
                }
                HeadAction::Broken => return Err(ExchangeError::Unmatched),
            }
        }
    }

    /// What a failed call means for its request.
    pub(super) fn error(&self) -> CallError {
        match self.attempt.outcome() {
            Outcome::NotRun => CallError::NotSent,
            _ => CallError::Unclear,
        }
    }

    /// Whether the peer seems to have closed the connection before the call.
    pub(super) fn seems_stale(&self) -> bool {
        let is_silent = self.connection.as_ref().is_some_and(|c| c.buffer.is_empty());
        is_silent && self.attempt.phase() < Phase::ResponseStarted
    }
}

/// Reads the body of an answer that is not ours.
async fn skip_body(connection: Connection) -> Result<Connection, ExchangeError> {
    if connection.codec.message_type() == MessageType::None {
        return Ok(connection);
    }
    let mut reader = BodyReader::new(connection);
    while reader.next_part().await?.is_some() {}
    reader.into_connection().ok_or(ExchangeError::Closed)
}
