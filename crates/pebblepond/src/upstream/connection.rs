//! One HTTP/1.1 connection: encoding of requests, and reading of response heads and bodies.

use super::exchange::ExchangeError;
use super::{BodyParts, RequestBody};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// Initial capacity for the head of a request, in bytes.
const HEAD_CAPACITY_BYTES: usize = 1024;
/// Capacity for the framing of a chunk, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 20;

/// A connection between two messages.
pub(super) struct Connection {
    pub(super) io: TcpStream,
    /// Bytes that were read but not yet decoded.
    pub(super) buffer: BytesMut,
    pub(super) codec: ClientCodec,
    /// Whether the last response had no id: a duplicate of it would have none either.
    pub(super) lacks_id: bool,
}

impl Connection {
    /// Creates a connection on which nothing has been sent.
    pub(super) fn new(io: TcpStream, config: ServiceConfig) -> Connection {
        Connection {
            io,
            buffer: BytesMut::new(),
            codec: ClientCodec::new(config),
            lacks_id: false,
        }
    }

    /// Returns whether the connection is in a state in which another request may follow.
    pub(super) fn is_between_messages(&self) -> bool {
        self.codec.keep_alive() && self.buffer.is_empty()
    }
}

/// Part of a request's body that has not been sent.
pub(super) struct UnsentBody {
    parts: BodyParts,
    /// Whether the body is sent in chunks because its length is unknown.
    is_chunked: bool,
}

/// A request, encoded as far as it is available.
pub(super) struct EncodedRequest {
    /// Encoded bytes that are ready to send.
    pub(super) ready: BytesMut,
    pub(super) rest: Option<UnsentBody>,
}

/// Encodes the part of a request that is available.
pub(super) fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: RequestBody,
) -> Result<EncodedRequest, io::Error> {
    let mut ready = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    let unsent = |parts, is_chunked| Some(UnsentBody { parts, is_chunked });
    let (size, first, rest) = match body {
        RequestBody::Buffered(buffered) if buffered.is_empty() => (BodySize::None, buffered, None),
        RequestBody::Buffered(buffered) => (BodySize::Sized(buffered.len() as u64), buffered, None),
        RequestBody::Streamed {
            first,
            rest,
            length: Some(length),
        } => (BodySize::Sized(length), first, unsent(rest, false)),
        RequestBody::Streamed {
            first,
            rest,
            length: None,
        } => (BodySize::Stream, first, unsent(rest, true)),
    };
    let head = RequestHeadType::Owned(head);
    codec.encode(Message::Item((head, size)), &mut ready)?;
    if !first.is_empty() {
        codec.encode(Message::Chunk(Some(first)), &mut ready)?;
    }
    if rest.is_none() && size != BodySize::None {
        codec.encode(Message::Chunk(None), &mut ready)?;
    }
    Ok(EncodedRequest { ready, rest })
}

/// Sends the rest of a request. A body that breaks off is sent without an end marker.
pub(super) async fn send_rest(
    io: &mut (impl AsyncWrite + Unpin),
    ready: &[u8],
    rest: Option<&mut UnsentBody>,
) -> Result<(), io::Error> {
    io.write_all(ready).await?;
    let Some(UnsentBody { parts, is_chunked }) = rest else {
        return Ok(());
    };
    while let Some(part) = parts.next().await {
        let part = part?;
        if part.is_empty() {
            continue;
        }
        if !*is_chunked {
            io.write_all(&part).await?;
            continue;
        }
        let mut chunk = BytesMut::with_capacity(part.len() + CHUNK_OVERHEAD_BYTES);
        chunk.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        chunk.extend_from_slice(&part);
        chunk.extend_from_slice(b"\r\n");
        io.write_all(&chunk).await?;
    }
    if *is_chunked {
        io.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// Reads the head of a response. The future is cancel-safe: it may be dropped and the function
/// called again.
pub(super) async fn read_head(
    io: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    codec: &mut ClientCodec,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        if !buffer.is_empty() {
            if let Some(head) = codec.decode(buffer)? {
                return Ok(head);
            }
        }
        if io.read_buf(buffer).await? == 0 {
            return Err(ExchangeError::Closed);
        }
    }
}

/// Reader of the body of a response.
pub(super) struct BodyReader {
    io: TcpStream,
    buffer: BytesMut,
    codec: ClientPayloadCodec,
    /// Whether the end of the connection marks the end of the body.
    ends_with_connection: bool,
    lacks_id: bool,
}

impl BodyReader {
    /// Creates the reader of the body that follows the head just read.
    pub(super) fn new(connection: Connection) -> BodyReader {
        BodyReader {
            ends_with_connection: connection.codec.message_type() == MessageType::Stream,
            io: connection.io,
            buffer: connection.buffer,
            codec: connection.codec.into_payload_codec(),
            lacks_id: connection.lacks_id,
        }
    }

    /// Returns the connection if it stays open after the body.
    pub(super) fn into_connection(self) -> Option<Connection> {
        (!self.ends_with_connection).then(|| Connection {
            io: self.io,
            buffer: self.buffer,
            codec: self.codec.into_message_codec(),
            lacks_id: self.lacks_id,
        })
    }

    /// Reads the next part of the body; returns `None` at its regular end.
    pub(super) async fn next_part(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if let Some(item) = self.codec.decode(&mut self.buffer)? {
                return Ok(item);
            }
            if self.io.read_buf(&mut self.buffer).await? == 0 {
                let is_end = self.ends_with_connection && self.buffer.is_empty();
                return if is_end {
                    Ok(None)
                } else {
                    Err(ExchangeError::Closed)
                };
            }
        }
    }
}
