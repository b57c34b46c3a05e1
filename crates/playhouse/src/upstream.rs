//! HTTP/1.1 calls to workers and the platform, on connections that are ours
//! to judge: `actix-http`'s codec over a plain stream. What `awc` would decide
//! in silence (retries, pooling, what a lost connection means) is decided here.

use crate::sockets;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use playbill::constants as c;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A stream of body parts.
pub type Parts = Pin<Box<dyn Stream<Item = std::io::Result<Bytes>>>>;

/// The body of a call.
pub enum Sending {
    Whole(Bytes),
    /// The first part, the rest, and the length if it is known.
    Streamed(Bytes, Parts, Option<u64>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Not one byte went out.
    NotSent,
    /// Something may have arrived, and nothing usable came back.
    Unclear,
}

pub enum AnswerBody {
    Whole(Bytes),
    Streamed(Parts, Option<u64>),
}

pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: AnswerBody,
}

/// How one call is to be made.
pub struct Terms {
    /// An idle connection may be this old; 0 asks for a new one.
    pub reuse_ms: u64,
    pub connect_ms: u64,
    /// Bytes without an acknowledgement end the connection after this time.
    pub silence_ms: u64,
}

struct Line {
    io: TcpStream,
    buf: BytesMut,
    codec: ClientCodec,
}

struct Idle {
    line: Line,
    since: Instant,
    /// The peer may end it from then on.
    until: Instant,
}

/// The node's connections to workers and the platform.
pub struct Upstream {
    config: ServiceConfig,
    idle: RefCell<HashMap<String, Vec<Idle>>>,
    /// Peers have lately forgotten connections that rested: how long one may
    /// rest for now, in ms, and until when that holds.
    wary: Cell<Option<(u64, Instant)>>,
}

impl Upstream {
    pub fn new() -> Rc<Upstream> {
        Rc::new(Upstream {
            config: ServiceConfig::default(),
            idle: RefCell::default(),
            wary: Cell::new(None),
        })
    }

    /// Drops idle connections that are past use.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, lines| {
            lines.retain(|l| now < l.until);
            !lines.is_empty()
        });
    }

    /// Drops the idle connections to an address.
    pub fn forget(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// A connection that had rested for this long ended under a call: for a
    /// while none is used again that has rested half as long.
    fn forgotten(&self, rested: Duration) {
        let now = Instant::now();
        let half = rested.as_millis() as u64 / 2;
        let least = match self.wary.get() {
            Some((least, until)) if now < until => half.min(least),
            _ => half,
        };
        self.wary
            .set(Some((least, now + Duration::from_millis(c::WARY_MS))));
    }

    /// An idle connection, and how long it has rested.
    fn take_idle(&self, address: &str, reuse_ms: u64) -> Option<(Line, Duration)> {
        let now = Instant::now();
        let reuse_ms = match self.wary.get() {
            Some((least, until)) if now < until => reuse_ms.min(least),
            _ => reuse_ms,
        };
        let mut idle = self.idle.borrow_mut();
        let lines = idle.get_mut(address)?;
        while let Some(i) = lines.pop() {
            let young = now.duration_since(i.since) < Duration::from_millis(reuse_ms);
            // Anything to read, an end or stray bytes, makes it useless.
            let mut probe = [0u8; 1];
            let quiet = matches!(i.line.io.try_read(&mut probe), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if young && now < i.until && quiet && i.line.buf.is_empty() {
                return Some((i.line, now.duration_since(i.since)));
            }
        }
        None
    }

    fn keep(&self, address: &str, line: Line, for_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        let lines = idle.entry(address.to_string()).or_default();
        let since = Instant::now();
        if lines.len() < c::IDLE_CONNECTIONS {
            lines.push(Idle {
                line,
                since,
                until: since + Duration::from_millis(for_ms),
            });
        }
    }

    /// Makes one call. Bodies up to [`c::WHOLE_BODY_BYTES`] come back whole.
    pub async fn call(
        self: &Rc<Self>,
        address: &str,
        head: RequestHead,
        body: Sending,
        terms: Terms,
    ) -> Result<Answer, Fault> {
        let reused = if terms.reuse_ms > 0 {
            self.take_idle(address, terms.reuse_ms)
        } else {
            None
        };
        let (mut line, rested) = match reused {
            Some((line, rested)) => (line, Some(rested)),
            None => (
                Line {
                    io: sockets::connect_for(address, terms.connect_ms, terms.silence_ms)
                        .await
                        .map_err(|_| Fault::NotSent)?,
                    buf: BytesMut::new(),
                    codec: ClientCodec::new(self.config.clone()),
                },
                None,
            ),
        };
        let attempt = head.headers.get(ATTEMPT).cloned();
        let ended = |fault| {
            if let Some(rested) = rested {
                self.forgotten(rested);
            }
            fault
        };
        send(&mut line, head, body).await.map_err(ended)?;
        let mut strangers = 0;
        let head = loop {
            let read = read_head(&mut line).await;
            let head = read.map_err(|()| {
                if line.buf.is_empty() {
                    ended(Fault::Unclear)
                } else {
                    Fault::Unclear
                }
            })?;
            if answers(&head, attempt.as_ref()) {
                break head;
            }
            // A surplus answer to somebody else stands where ours is due.
            strangers += 1;
            if strangers > c::STRANGE_ANSWERS {
                return Err(Fault::Unclear);
            }
            line = pass_over(line).await.map_err(|()| Fault::Unclear)?;
        };
        let idle_ms = if strangers > 0 || says_close(&head.headers) {
            0
        } else {
            idle_time(&head.headers)
        };
        let mut answer = Answer {
            status: head.status,
            headers: head.headers.clone(),
            body: AnswerBody::Whole(Bytes::new()),
        };
        let kind = line.codec.message_type();
        if kind == MessageType::None {
            self.finish(address, line, idle_ms);
            return Ok(answer);
        }
        let mut reader = Reader {
            io: line.io,
            buf: line.buf,
            codec: line.codec.into_payload_codec(),
            to_end: kind == MessageType::Stream,
        };
        let mut whole = BytesMut::new();
        while whole.len() <= c::WHOLE_BODY_BYTES {
            match reader.next().await {
                Ok(Some(part)) if whole.is_empty() => whole = BytesMut::from(part),
                Ok(Some(part)) => whole.extend_from_slice(&part),
                Ok(None) => {
                    self.finish_reader(address, reader, idle_ms);
                    answer.body = AnswerBody::Whole(whole.freeze());
                    return Ok(answer);
                }
                Err(()) => return Err(Fault::Unclear),
            }
        }
        let length = answer
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        answer.body = AnswerBody::Streamed(
            self.clone()
                .rest(address.to_string(), whole.freeze(), reader, idle_ms),
            length,
        );
        Ok(answer)
    }

    fn rest(self: Rc<Self>, address: String, first: Bytes, reader: Reader, idle_ms: u64) -> Parts {
        let state = Some((Some(first), reader, self, address));
        Box::pin(futures_util::stream::unfold(state, move |state| async move {
            let (first, mut reader, me, address) = state?;
            if let Some(first) = first {
                return Some((Ok(first), Some((None, reader, me, address))));
            }
            match reader.next().await {
                Ok(Some(part)) => Some((Ok(part), Some((None, reader, me, address)))),
                Ok(None) => {
                    me.finish_reader(&address, reader, idle_ms);
                    None
                }
                Err(()) => Some((Err(std::io::Error::other("the worker broke off")), None)),
            }
        }))
    }

    fn finish(&self, address: &str, line: Line, idle_ms: u64) {
        if idle_ms > 0 && line.codec.keep_alive() && line.buf.is_empty() {
            self.keep(address, line, idle_ms);
        }
    }

    fn finish_reader(&self, address: &str, reader: Reader, idle_ms: u64) {
        if !reader.to_end {
            let Reader { io, buf, codec, .. } = reader;
            self.finish(
                address,
                Line {
                    io,
                    buf,
                    codec: codec.into_message_codec(),
                },
                idle_ms,
            );
        }
    }
}

/// Workers echo the id of the try that an answer belongs to.
const ATTEMPT: &str = "attempt-id";

/// Whether an answer belongs to the try of this id. A success must say so;
/// what turns a request away may leave the id out.
fn answers(head: &ResponseHead, attempt: Option<&HeaderValue>) -> bool {
    match (attempt, head.headers.get(ATTEMPT)) {
        (None, _) => true,
        (Some(_), None) => !head.status.is_success(),
        (Some(ours), Some(theirs)) => ours == theirs,
    }
}

/// Reads the body of an answer that is not ours.
async fn pass_over(line: Line) -> Result<Line, ()> {
    if line.codec.message_type() == MessageType::None {
        return Ok(line);
    }
    let mut reader = Reader {
        to_end: line.codec.message_type() == MessageType::Stream,
        io: line.io,
        buf: line.buf,
        codec: line.codec.into_payload_codec(),
    };
    while reader.next().await?.is_some() {}
    if reader.to_end {
        return Err(());
    }
    Ok(Line {
        io: reader.io,
        buf: reader.buf,
        codec: reader.codec.into_message_codec(),
    })
}

fn says_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case("close")))
}

/// How long a connection may stay idle: a second less than its peer announced.
fn idle_time(headers: &HeaderMap) -> u64 {
    let announced = headers
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.split(',').find_map(|t| t.trim().strip_prefix("timeout=")))
        .and_then(|v| v.trim().parse::<u64>().ok());
    match announced {
        Some(s) => (s * 1000).saturating_sub(1000).min(c::IDLE_REUSE_MS),
        None => c::IDLE_REUSE_MS,
    }
}

async fn send(line: &mut Line, head: RequestHead, body: Sending) -> Result<(), Fault> {
    let mut out = BytesMut::with_capacity(1024);
    let (size, first, mut rest) = match body {
        Sending::Whole(b) if b.is_empty() => (BodySize::None, b, None),
        Sending::Whole(b) => (BodySize::Sized(b.len() as u64), b, None),
        Sending::Streamed(first, rest, length) => (
            length.map_or(BodySize::Stream, BodySize::Sized),
            first,
            Some(rest),
        ),
    };
    let head = RequestHeadType::Owned(head);
    line.codec
        .encode(Message::Item((head, size)), &mut out)
        .map_err(|_| Fault::NotSent)?;
    if !first.is_empty() {
        line.codec
            .encode(Message::Chunk(Some(first)), &mut out)
            .map_err(|_| Fault::NotSent)?;
    }
    if rest.is_none() && size != BodySize::None {
        line.codec
            .encode(Message::Chunk(None), &mut out)
            .map_err(|_| Fault::NotSent)?;
    }
    let mut gone = 0;
    while gone < out.len() {
        match line.io.write(&out[gone..]).await {
            Ok(n) if n > 0 => gone += n,
            _ => return Err(if gone == 0 { Fault::NotSent } else { Fault::Unclear }),
        }
    }
    if let Some(parts) = &mut rest {
        while let Some(part) = parts.next().await {
            let part = part.map_err(|_| Fault::Unclear)?;
            out.clear();
            line.codec
                .encode(Message::Chunk(Some(part)), &mut out)
                .map_err(|_| Fault::Unclear)?;
            line.io.write_all(&out).await.map_err(|_| Fault::Unclear)?;
        }
        out.clear();
        line.codec
            .encode(Message::Chunk(None), &mut out)
            .map_err(|_| Fault::Unclear)?;
        line.io.write_all(&out).await.map_err(|_| Fault::Unclear)?;
    }
    Ok(())
}

async fn read_head(line: &mut Line) -> Result<ResponseHead, ()> {
    loop {
        if !line.buf.is_empty() {
            if let Some(head) = line.codec.decode(&mut line.buf).map_err(|_| ())? {
                // Interim answers are not asked for.
                return if head.status.is_informational() {
                    Err(())
                } else {
                    Ok(head)
                };
            }
        }
        match line.io.read_buf(&mut line.buf).await {
            Ok(n) if n > 0 => {}
            _ => return Err(()),
        }
    }
}

struct Reader {
    io: TcpStream,
    buf: BytesMut,
    codec: ClientPayloadCodec,
    /// The body ends where the connection does.
    to_end: bool,
}

impl Reader {
    /// The next part; `None` at the proper end.
    async fn next(&mut self) -> Result<Option<Bytes>, ()> {
        loop {
            if let Some(item) = self.codec.decode(&mut self.buf).map_err(|_| ())? {
                return Ok(item);
            }
            match self.io.read_buf(&mut self.buf).await {
                Ok(n) if n > 0 => {}
                Ok(_) if self.to_end && self.buf.is_empty() => return Ok(None),
                _ => return Err(()),
            }
        }
    }
}

/// A call with a JSON body, or none, whose answer is read whole.
pub async fn simple(
    upstream: &Rc<Upstream>,
    method: actix_http::Method,
    address: &str,
    path: &str,
    body: Option<Bytes>,
    wait_ms: u64,
) -> Result<(StatusCode, HeaderMap, Bytes), Fault> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse().map_err(|_| Fault::NotSent)?;
    if let Ok(host) = HeaderValue::from_str(address) {
        head.headers.insert(header::HOST, host);
    }
    if body.is_some() {
        head.headers
            .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let terms = Terms {
        reuse_ms: c::IDLE_REUSE_ONCE_MS,
        connect_ms: c::CONNECT_MS.min(wait_ms),
        silence_ms: c::WORKER_SILENCE_MS + 2 * c::FAR_MS as u64,
    };
    let call = upstream.call(address, head, Sending::Whole(body.unwrap_or_default()), terms);
    let answer = tokio::time::timeout(Duration::from_millis(wait_ms), call)
        .await
        .map_err(|_| Fault::Unclear)??;
    match answer.body {
        AnswerBody::Whole(body) => Ok((answer.status, answer.headers, body)),
        AnswerBody::Streamed(mut parts, _) => {
            let mut whole = BytesMut::new();
            let read = async {
                while let Some(part) = parts.next().await {
                    whole.extend_from_slice(&part.map_err(|_| Fault::Unclear)?);
                }
                Ok(())
            };
            tokio::time::timeout(Duration::from_millis(wait_ms), read)
                .await
                .map_err(|_| Fault::Unclear)??;
            Ok((answer.status, answer.headers, whole.freeze()))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[actix_rt::test]
    async fn once_a_peer_forgot_a_rested_connection_none_that_rested_half_as_long_is_used() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let upstream = Upstream::new();
        let rest = |upstream: &Upstream, io, s: u64| {
            let line = Line {
                io,
                buf: BytesMut::new(),
                codec: ClientCodec::new(ServiceConfig::default()),
            };
            upstream.keep(&address, line, 100_000);
            if let Some(idle) = upstream
                .idle
                .borrow_mut()
                .get_mut(&address)
                .and_then(|l| l.last_mut())
            {
                idle.since = Instant::now() - Duration::from_secs(s);
            }
        };
        let mut used = Vec::new();
        for (rested, forgot) in [(30, false), (30, true), (5, true)] {
            let io = TcpStream::connect(&address).await.expect("connects");
            rest(&upstream, io, rested);
            if forgot {
                upstream.forgotten(Duration::from_secs(40));
            }
            used.push(upstream.take_idle(&address, 60_000).is_some());
        }
        assert_eq!(used, [true, false, true]);
    }
}
