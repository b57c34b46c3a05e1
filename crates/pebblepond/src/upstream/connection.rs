//! One HTTP/1.1 connection: encoding of requests, and reading of heads and bodies.

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

/// Room for the head of a request, bytes.
const HEAD_CAPACITY: usize = 1024;
/// Room for the frame of a chunk, bytes.
const CHUNK_OVERHEAD: usize = 20;

/// A connection between two messages.
pub(super) struct Connection {
    pub(super) io: TcpStream,
    /// What has been read and not yet decoded.
    pub(super) buffer: BytesMut,
    pub(super) codec: ClientCodec,
    /// Its last answer bore no id: a duplicate of it would bear none.
    pub(super) lacks_id: bool,
}

impl Connection {
    /// A connection on which nothing has been sent.
    pub(super) fn new(io: TcpStream, config: ServiceConfig) -> Connection {
        Connection {
            io,
            buffer: BytesMut::new(),
            codec: ClientCodec::new(config),
            lacks_id: false,
        }
    }

    /// Whether another request may follow on it.
    pub(super) fn is_between_messages(&self) -> bool {
        self.codec.keep_alive() && self.buffer.is_empty()
    }
}

/// The rest of a request's body.
pub(super) struct UnsentBody {
    parts: BodyParts,
    /// It goes out in chunks, since its length is not known.
    is_chunked: bool,
}

/// A request as far as it is encoded.
pub(super) struct EncodedRequest {
    /// The bytes that are at hand.
    pub(super) ready: BytesMut,
    pub(super) rest: Option<UnsentBody>,
}

/// Encodes a request as far as it is at hand.
pub(super) fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: RequestBody,
) -> Result<EncodedRequest, io::Error> {
    let mut ready = BytesMut::with_capacity(HEAD_CAPACITY);
    let unsent = |parts, is_chunked| Some(UnsentBody { parts, is_chunked });
    let (size, first, rest) = match body {
        RequestBody::Whole(whole) if whole.is_empty() => (BodySize::None, whole, None),
        RequestBody::Whole(whole) => (BodySize::Sized(whole.len() as u64), whole, None),
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

/// Sends what is left of a request. A body that breaks off gets no end.
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
        let mut chunk = BytesMut::with_capacity(part.len() + CHUNK_OVERHEAD);
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

/// Reads the head of an answer; it may be dropped and called again.
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

/// Reads the body of an answer.
pub(super) struct BodyReader {
    io: TcpStream,
    buffer: BytesMut,
    codec: ClientPayloadCodec,
    /// The body ends where the connection does.
    ends_with_connection: bool,
    lacks_id: bool,
}

impl BodyReader {
    /// The reader of the body that follows the head just read.
    pub(super) fn new(connection: Connection) -> BodyReader {
        BodyReader {
            ends_with_connection: connection.codec.message_type() == MessageType::Stream,
            io: connection.io,
            buffer: connection.buffer,
            codec: connection.codec.into_payload_codec(),
            lacks_id: connection.lacks_id,
        }
    }

    /// The connection, if it goes on after the body.
    pub(super) fn into_connection(self) -> Option<Connection> {
        (!self.ends_with_connection).then(|| Connection {
            io: self.io,
            buffer: self.buffer,
            codec: self.codec.into_message_codec(),
            lacks_id: self.lacks_id,
        })
    }

    /// The next part; `None` at the proper end.
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
