//! HTTP/1.1 calls to workers and the platform, on connections that are ours
//! to judge: `actix-http`'s codec over a plain stream. What `awc` would decide
//! in silence (retries, pooling, what a lost connection means) is decided here.

use crate::sockets::{self, is_quiet};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use balancer::{Attempt, HeadAction, HeadSummary, IdEcho, Outcome, Phase};
use bytes::{Bytes, BytesMut};
use config::constants as c;
use futures_util::future::{select, Either};
use futures_util::{Stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
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
    /// What it proves of the request.
    pub outcome: Outcome,
}

/// How one call is to be made.
pub struct Terms {
    /// An idle connection may be this old; 0 asks for a new one.
    pub reuse_ms: u64,
    pub connect_ms: u64,
    /// Bytes without an acknowledgement end the connection after this time.
    pub silence_ms: u64,
    /// What the answer must echo.
    pub pairing: Pairing,
}

/// How an answer is told from those to others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pairing {
    /// It echoes the id of the request, which must not run twice.
    IdOnce,
    /// It echoes the id of the request.
    Id,
    /// By the connection alone: the peer echoes nothing.
    Connection,
}

struct Line {
    io: TcpStream,
    buf: BytesMut,
    codec: ClientCodec,
    /// Its last answer bore no id: a doubled one would bear none.
    nameless: bool,
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
        self.wary.set(Some((
            least,
            now + Duration::from_millis(c::STALE_CONNECTION_CAUTION_MS),
        )));
    }

    /// An idle connection, and how long it has rested.
    fn take_idle(&self, address: &str, reuse_ms: u64, pairing: Pairing) -> Option<(Line, Duration)> {
        let now = Instant::now();
        let reuse_ms = match self.wary.get() {
            Some((least, until)) if now < until => reuse_ms.min(least),
            _ => reuse_ms,
        };
        let mut idle = self.idle.borrow_mut();
        let lines = idle.get_mut(address)?;
        let usable = |i: &Idle| {
            let young = now.duration_since(i.since) < Duration::from_millis(reuse_ms);
            young && now < i.until && i.line.buf.is_empty() && is_quiet(&i.line.io)
        };
        let mut passed = None;
        for at in (0..lines.len()).rev() {
            if pairing == Pairing::IdOnce && lines[at].line.nameless {
                passed = Some(at);
                continue;
            }
            let i = lines.remove(at);
            if usable(&i) {
                return Some((i.line, now.duration_since(i.since)));
            }
            passed = passed.map(|p| p - 1);
        }
        // The new one stands in the place of the oldest that it cannot use, so that
        // the worker does not get more of them.
        if let Some(at) = passed {
            lines.remove(at);
        }
        None
    }

    fn keep(&self, address: &str, line: Line, for_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        let lines = idle.entry(address.to_string()).or_default();
        let since = Instant::now();
        if lines.len() < c::MAX_IDLE_CONNECTIONS {
            lines.push(Idle {
                line,
                since,
                until: since + Duration::from_millis(for_ms),
            });
        }
    }

    /// A connection to make a call on, and how long it has rested if it did.
    async fn line(&self, address: &str, terms: &Terms) -> Result<(Line, Option<Duration>), Fault> {
        if terms.reuse_ms > 0 {
            if let Some((line, rested)) = self.take_idle(address, terms.reuse_ms, terms.pairing) {
                return Ok((line, Some(rested)));
            }
        }
        let io = sockets::connect_for(address, terms.connect_ms, terms.silence_ms).await;
        let io = io.map_err(|_| Fault::NotSent)?;
        if !is_quiet(&io) {
            return Err(Fault::NotSent);
        }
        let line = Line {
            io,
            buf: BytesMut::new(),
            codec: ClientCodec::new(self.config.clone()),
            nameless: false,
        };
        Ok((line, None))
    }

    /// Makes one call. Bodies up to [`c::WHOLE_BODY_BYTES`] come back whole.
    pub async fn call(
        self: &Rc<Self>,
        address: &str,
        head: RequestHead,
        body: Sending,
        mut terms: Terms,
    ) -> Result<Answer, Fault> {
        let id = match terms.pairing {
            Pairing::Connection => None,
            Pairing::IdOnce | Pairing::Id => single(&head.headers, ATTEMPT).cloned(),
        };
        // Without an id the connection pairs, so nobody else may use it.
        let alone = id.is_none() && terms.pairing != Pairing::Connection;
        if alone {
            terms.reuse_ms = 0;
        }
        let (line, rested) = self.line(address, &terms).await?;
        let mut exchange = Exchange {
            attempt: match id {
                Some(_) => Attempt::named(line.nameless),
                None => Attempt::without_id(),
            },
            id,
            bodiless: head.method == Method::HEAD,
            line: Some(line),
        };
        let run = exchange.run(head, body).await;
        let (Ok(head), Some(mut line)) = (run, exchange.line.take()) else {
            let (fault, forgotten) = exchange.fault();
            if let (Some(rested), true) = (rested, forgotten) {
                self.forgotten(rested);
            }
            return Err(fault);
        };
        let mut attempt = exchange.attempt;
        line.nameless = attempt.lacks_id();
        let framed = exchange.bodiless || is_framed(&head);
        let idle_ms = if alone || !framed || says_close(&head.headers) {
            0
        } else {
            idle_time(&head.headers)
        };
        let mut answer = Answer {
            status: head.status,
            headers: head.headers.clone(),
            body: AnswerBody::Whole(Bytes::new()),
            outcome: Outcome::MayHaveRun,
        };
        let kind = line.codec.message_type();
        if kind == MessageType::None {
            attempt.on_complete();
            answer.outcome = attempt.outcome();
            self.finish(address, line, idle_ms, &attempt);
            return Ok(answer);
        }
        let mut reader = Reader::new(line);
        let mut whole = BytesMut::new();
        while whole.len() <= c::BUFFERED_BODY_BYTES {
            match reader.next().await {
                Ok(Some(part)) if whole.is_empty() => whole = BytesMut::from(part),
                Ok(Some(part)) => whole.extend_from_slice(&part),
                Ok(None) => {
                    attempt.on_complete();
                    answer.outcome = attempt.outcome();
                    self.finish_reader(address, reader, idle_ms, &attempt);
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
        answer.outcome = attempt.outcome();
        let rest = Rest {
            first: Some(whole.freeze()),
            reader,
            upstream: self.clone(),
            address: address.to_string(),
            attempt,
            idle_ms,
        };
        answer.body = AnswerBody::Streamed(rest.into_parts(), length);
        Ok(answer)
    }

    /// Keeps the connection if the attempt lets another request use it.
    fn finish(&self, address: &str, line: Line, idle_ms: u64, attempt: &Attempt) {
        let usable = attempt.may_reuse_connection() && line.codec.keep_alive() && line.buf.is_empty();
        if idle_ms > 0 && usable {
            self.keep(address, line, idle_ms);
        }
    }

    fn finish_reader(&self, address: &str, reader: Reader, idle_ms: u64, attempt: &Attempt) {
        if let Some(line) = reader.into_line() {
            self.finish(address, line, idle_ms, attempt);
        }
    }
}

/// The part of an answer that is passed on as it comes.
struct Rest {
    first: Option<Bytes>,
    reader: Reader,
    upstream: Rc<Upstream>,
    address: String,
    attempt: Attempt,
    idle_ms: u64,
}

impl Rest {
    fn into_parts(self) -> Parts {
        Box::pin(futures_util::stream::unfold(Some(self), |rest| async move {
            let mut rest = rest?;
            if let Some(first) = rest.first.take() {
                return Some((Ok(first), Some(rest)));
            }
            match rest.reader.next().await {
                Ok(Some(part)) => Some((Ok(part), Some(rest))),
                Ok(None) => {
                    rest.attempt.on_complete();
                    rest.upstream
                        .finish_reader(&rest.address, rest.reader, rest.idle_ms, &rest.attempt);
                    None
                }
                Err(()) => Some((Err(std::io::Error::other("the worker broke off")), None)),
            }
        }))
    }
}

/// A call on its connection, until the head of its answer has come.
struct Exchange {
    /// Gone once it cannot be read any more.
    line: Option<Line>,
    attempt: Attempt,
    id: Option<HeaderValue>,
    /// Its answer has no body whatever the head says.
    bodiless: bool,
}

impl Exchange {
    /// Sends the request and reads on until a head that is ours. The peer is
    /// heard while the body is sent: it may answer before the end.
    async fn run(&mut self, head: RequestHead, body: Sending) -> Result<ResponseHead, ()> {
        let line = self.line.as_mut().ok_or(())?;
        let (out, mut rest) = encode(&mut line.codec, head, body)?;
        // What the kernel took at first tells not sent from in part.
        let taken = match line.io.write(&out).await {
            Ok(n) if n > 0 => n,
            _ => return Err(()),
        };
        let all = taken == out.len() && rest.is_none();
        self.attempt.on_written(all);
        if !all {
            let Line { io, buf, codec, .. } = line;
            let (mut reading, mut writing) = io.split();
            let mut sending = std::pin::pin!(send(&mut writing, &out[taken..], rest.as_mut()));
            loop {
                let heard = std::pin::pin!(read_head(&mut reading, buf, codec));
                let head = match select(heard, sending.as_mut()).await {
                    Either::Left((head, _)) => head?,
                    Either::Right((sent, _)) => break sent?,
                };
                match self.attempt.head(judge(&head, self.id.as_ref(), self.bodiless)) {
                    HeadAction::Ours => return Ok(head),
                    HeadAction::Interim => {}
                    // Its body would have to be passed over meanwhile.
                    HeadAction::Unmatched | HeadAction::Broken => return Err(()),
                }
            }
            self.attempt.on_written(true);
        }
        loop {
            let Line { io, buf, codec, .. } = self.line.as_mut().ok_or(())?;
            let head = read_head(io, buf, codec).await?;
            match self.attempt.head(judge(&head, self.id.as_ref(), self.bodiless)) {
                HeadAction::Ours => return Ok(head),
                HeadAction::Interim => {}
                // A surplus answer to somebody else stands where ours is due.
                HeadAction::Unmatched => {
                    let line = self.line.take().ok_or(())?;
                    self.line = Some(pass_over(line).await?);
                }
                HeadAction::Broken => return Err(()),
            }
        }
    }

    /// How a call failed, and whether its connection seems to have been closed
    /// before it.
    fn fault(&self) -> (Fault, bool) {
        let silent = self.line.as_ref().is_some_and(|l| l.buf.is_empty());
        let fault = match self.attempt.outcome() {
            Outcome::NotRun => Fault::NotSent,
            _ => Fault::Unclear,
        };
        (fault, silent && self.attempt.phase() < Phase::ResponseStarted)
    }
}

/// Workers echo the id of the try that an answer belongs to.
const ATTEMPT: &str = "attempt-id";

/// The one value of a header.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut all = headers.get_all(name);
    all.next().filter(|_| all.next().is_none())
}

/// Whether one can tell where the body of an answer ends; if only by the end of
/// the connection, a cut looks like an end.
fn is_framed(head: &ResponseHead) -> bool {
    let told = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    bodiless.contains(&head.status) || told.iter().any(|h| head.headers.contains_key(h))
}

/// What a head says of the request of this id.
fn judge(head: &ResponseHead, id: Option<&HeaderValue>, bodiless: bool) -> HeadSummary {
    let headers = &head.headers;
    HeadSummary {
        status: head.status.as_u16(),
        echo: match (id, single(headers, ATTEMPT)) {
            (Some(ours), Some(theirs)) if ours == theirs => IdEcho::Ours,
            _ if headers.contains_key(ATTEMPT) => IdEcho::Other,
            _ => IdEcho::Missing,
        },
        not_executed: headers.contains_key("not-executed"),
        sealed: headers.contains_key("server-seal") && (bodiless || is_framed(head)),
    }
}

/// Reads the body of an answer that is not ours.
async fn pass_over(line: Line) -> Result<Line, ()> {
    if line.codec.message_type() == MessageType::None {
        return Ok(line);
    }
    let mut reader = Reader::new(line);
    while reader.next().await?.is_some() {}
    reader.into_line().ok_or(())
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

/// The rest of a body, and whether it goes out in chunks.
type Remaining = (Parts, bool);

/// The bytes of a request as far as they are at hand, and what is left of it.
fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: Sending,
) -> Result<(BytesMut, Option<Remaining>), ()> {
    let mut out = BytesMut::with_capacity(1024);
    let (size, first, rest) = match body {
        Sending::Whole(b) if b.is_empty() => (BodySize::None, b, None),
        Sending::Whole(b) => (BodySize::Sized(b.len() as u64), b, None),
        Sending::Streamed(first, rest, Some(length)) => (BodySize::Sized(length), first, Some((rest, false))),
        Sending::Streamed(first, rest, None) => (BodySize::Stream, first, Some((rest, true))),
    };
    let head = RequestHeadType::Owned(head);
    let mut put = |message| codec.encode(message, &mut out).map_err(|_| ());
    put(Message::Item((head, size)))?;
    if !first.is_empty() {
        put(Message::Chunk(Some(first)))?;
    }
    if rest.is_none() && size != BodySize::None {
        put(Message::Chunk(None))?;
    }
    Ok((out, rest))
}

/// Sends what is left of a request. A body that breaks off gets no end.
async fn send(
    io: &mut (impl AsyncWrite + Unpin),
    out: &[u8],
    rest: Option<&mut Remaining>,
) -> Result<(), ()> {
    io.write_all(out).await.map_err(|_| ())?;
    let Some((parts, chunked)) = rest else {
        return Ok(());
    };
    while let Some(part) = parts.next().await {
        let part = part.map_err(|_| ())?;
        if part.is_empty() {
            continue;
        }
        if !*chunked {
            io.write_all(&part).await.map_err(|_| ())?;
            continue;
        }
        let mut chunk = BytesMut::with_capacity(part.len() + 20);
        chunk.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        chunk.extend_from_slice(&part);
        chunk.extend_from_slice(b"\r\n");
        io.write_all(&chunk).await.map_err(|_| ())?;
    }
    if *chunked {
        io.write_all(b"0\r\n\r\n").await.map_err(|_| ())?;
    }
    Ok(())
}

/// Reads the head of an answer; it may be dropped and called again.
async fn read_head(
    io: &mut (impl AsyncRead + Unpin),
    buf: &mut BytesMut,
    codec: &mut ClientCodec,
) -> Result<ResponseHead, ()> {
    loop {
        if !buf.is_empty() {
            if let Some(head) = codec.decode(buf).map_err(|_| ())? {
                return Ok(head);
            }
        }
        match io.read_buf(buf).await {
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
    nameless: bool,
}

impl Reader {
    fn new(line: Line) -> Reader {
        Reader {
            to_end: line.codec.message_type() == MessageType::Stream,
            io: line.io,
            buf: line.buf,
            codec: line.codec.into_payload_codec(),
            nameless: line.nameless,
        }
    }

    /// The connection, if it goes on after the body.
    fn into_line(self) -> Option<Line> {
        (!self.to_end).then(|| Line {
            io: self.io,
            buf: self.buf,
            codec: self.codec.into_message_codec(),
            nameless: self.nameless,
        })
    }

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

/// A call that the connection pairs with its answer.
pub struct Simple<'a> {
    pub method: Method,
    pub address: &'a str,
    pub path: &'a str,
    /// The worker that is meant; any other turns the call away.
    pub worker: Option<&'a str>,
    /// A JSON body.
    pub body: Option<Bytes>,
    pub wait_ms: u64,
    /// On a connection that nobody has used: its answer is nobody else's.
    pub fresh: bool,
}

/// Makes a call whose answer is read whole.
pub async fn simple(
    upstream: &Rc<Upstream>,
    Simple {
        method,
        address,
        path,
        worker,
        body,
        wait_ms,
        fresh,
    }: Simple<'_>,
) -> Result<(StatusCode, HeaderMap, Bytes), Fault> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse().map_err(|_| Fault::NotSent)?;
    if let Ok(host) = HeaderValue::from_str(address) {
        head.headers.insert(header::HOST, host);
    }
    if let Some(worker) = worker.and_then(|w| HeaderValue::from_str(w).ok()) {
        head.headers
            .insert(HeaderName::from_static("expected-instance"), worker);
    }
    if body.is_some() {
        head.headers
            .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    let terms = Terms {
        reuse_ms: if fresh { 0 } else { c::IDLE_REUSE_NON_IDEMPOTENT_MS },
        connect_ms: c::CONNECT_TIMEOUT_MS.min(wait_ms),
        silence_ms: c::WORKER_USER_TIMEOUT_MS + 2 * c::DEFAULT_RTT_MS as u64,
        pairing: Pairing::Connection,
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
mod tests;
