//! Where clients arrive: reads a request, sends it to a worker, and passes the
//! answer back. `actix-http` speaks with the client; one service is built for
//! each set of limits that the configuration lays down.

use crate::balancer_actor::{BalancerActor, ChooseWorker, DrawService, ObserveAttempt};
use crate::kernel::{Component, NodeContext, StartError};
use crate::sockets;
use crate::upstream::{Answer, AnswerBody, Fault, Pairing, Parts, Sending, Terms, Upstream};
use actix::prelude::*;
use actix_http::body::{BodySize, BoxBody, MessageBody, SizedStream};
use actix_http::error::DispatchError;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{
    ConnectionType, HttpMessage, HttpService, Method, Request, RequestHead, Response, StatusCode, Uri,
};
use actix_service::{boxed, fn_service, Service, ServiceFactory};
use balancer::{AttemptHistory, AttemptResult, Outcome, SampleLabel, SelectedWorker, Selection};
use bytes::{Bytes, BytesMut};
use config::{constants as c, ClientLimits, Configuration, Route, RouteKind};
use futures_util::StreamExt;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

inventory::submit! { Component { name: "proxy", order: 80, start } }

type Connections = boxed::BoxService<TcpStream, (), DispatchError>;

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let Some(address) = context.settings.get().network.listen_points.front else {
        return Ok(());
    };
    let (Some(balancer_actor), Some(upstream)) = (
        context.get::<Addr<BalancerActor>>(),
        context.get::<Rc<Upstream>>(),
    ) else {
        return Err(StartError::Missing("balancer"));
    };
    let listener =
        sockets::listen(address).map_err(|source| StartError::ListenClients { address, source })?;
    let proxy = Rc::new(Proxy {
        context: context.clone(),
        balancer_actor,
        upstream,
        running: Cell::new(0),
    });
    context.put(proxy.clone());
    actix_rt::spawn(async move {
        let mut limits = proxy.limits();
        let Some(mut service) = proxy.clone().connections(limits).await else {
            return;
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let newest = proxy.limits();
            if newest != limits {
                if let Some(fresh) = proxy.clone().connections(newest).await {
                    (limits, service) = (newest, fresh);
                }
            }
            if sockets::set_options(&stream).is_ok() {
                let service = service.clone();
                actix_rt::spawn(async move {
                    // How a client's connection ends is the client's affair.
                    let _ = service.call(stream).await;
                });
            }
        }
    });
    Ok(())
}

pub struct Proxy {
    context: Rc<NodeContext>,
    balancer_actor: Addr<BalancerActor>,
    upstream: Rc<Upstream>,
    running: Cell<u64>,
}

/// Whether a client's connection has been told to end: what the client sent
/// ahead (pipelined) behind that is not run, since it may have gone elsewhere.
#[derive(Clone, Default)]
struct Closed(Rc<Cell<bool>>);

/// Header and idle time, in ms.
type Times = (u64, u64);

impl Proxy {
    /// Requests being served.
    pub fn running(&self) -> u64 {
        self.running.get()
    }

    fn limits(&self) -> Times {
        match &self.context.state.get().configuration {
            Some(config) => (config.limits.header_timeout_ms, config.limits.idle_timeout_ms),
            None => (c::CONNECT_TIMEOUT_MS * 5, c::CONNECT_TIMEOUT_MS * 15),
        }
    }

    async fn connections(self: Rc<Self>, (header_ms, idle_ms): Times) -> Option<Rc<Connections>> {
        let service = fn_service(move |request: Request| {
            let proxy = self.clone();
            async move { Ok::<_, Infallible>(proxy.serve(request).await) }
        });
        let factory = HttpService::build()
            .keep_alive(Duration::from_millis(idle_ms))
            .client_request_timeout(Duration::from_millis(header_ms))
            .client_disconnect_timeout(Duration::from_millis(c::CONNECT_TIMEOUT_MS))
            .h1_allow_half_closed(false)
            .on_connect_ext(|_: &TcpStream, data| {
                data.insert(Closed::default());
            })
            .h1(service)
            .tcp();
        let service = factory.new_service(()).await.ok()?;
        Some(Rc::new(boxed::service(service)))
    }

    async fn serve(&self, request: Request) -> Response<BoxBody> {
        self.running.set(self.running.get() + 1);
        let counted = Running(&self.running);
        let close = self.context.shutting_down.get();
        let closed = request.conn_data::<Closed>().cloned().unwrap_or_default();
        if closed.0.get() {
            return closing(self.give_up("behind_a_close", c::RETRY_AFTER_MS));
        }
        let asked = request.head().connection_type() == ConnectionType::Close;
        let mut response = match self.handle(request).await {
            Ok(response) | Err(response) => response,
        };
        drop(counted);
        if close || self.context.shutting_down.get() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let said = response.head().connection_type() == ConnectionType::Close;
        closed.0.set(asked || said);
        response
    }

    async fn handle(&self, mut request: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let arrived = Instant::now();
        self.context.counters.add("requests");
        if self.context.refusing_requests.get() {
            return Err(closing(self.give_up("refused_leaving", c::RETRY_AFTER_MS)));
        }
        let state = self.context.state.get();
        let config = match &state.configuration {
            Some(config) if self.context.can_serve() => config.clone(),
            _ => {
                return Err(closing(
                    self.give_up("not_current", c::RETRY_AFTER_NOT_CURRENT_MS),
                ))
            }
        };
        let route = self.route(&request, &config)?;
        let deadline = number(request.headers(), "Deadline-Ms").unwrap_or(route.timeout_ms);
        let ends = arrived + Duration::from_millis(deadline.min(route.timeout_ms));
        let service: Arc<str> = match route.split.as_slice() {
            [only] => only.service.clone(),
            _ => self
                .balancer_actor
                .send(DrawService(route.clone()))
                .await
                .unwrap_or_default()
                .into(),
        };
        let partitioned = config.services.get(&service).is_some_and(|s| s.partitioned);
        let key = if partitioned {
            let key =
                number(request.headers(), "Shard-Key").filter(|k| *k < u64::from(control_state::KEY_SPACE));
            match key {
                Some(key) => Some(key as u32),
                None => return Err(plain(StatusCode::BAD_REQUEST, "Shard-Key is missing or no key")),
            }
        } else {
            None
        };
        let body = read_body(&mut request, config.limits).await?;
        let task = Task {
            route,
            service,
            key,
            ends,
            client: request.peer_addr().map(|a| a.ip()),
        };
        self.forward(&request, body, task).await
    }

    /// The route of a request, or what is wrong with it.
    fn route(&self, request: &Request, config: &Configuration) -> Result<Arc<Route>, Response<BoxBody>> {
        let headers = request.headers();
        let size: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
        if size + request.uri().path().len() > config.limits.header_bytes {
            return Err(closing(plain(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the header is too large",
            )));
        }
        if headers.get_all(header::HOST).count() != 1 {
            return Err(closing(plain(StatusCode::BAD_REQUEST, "Host must be given once")));
        }
        let host = headers
            .get(header::HOST)
            .and_then(|h| h.to_str().ok())
            .unwrap_or("");
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let Some(route) = config.route(host, request.uri().path()) else {
            self.context.counters.add("no_route");
            return Err(plain(StatusCode::NOT_FOUND, "no route"));
        };
        Ok(route.clone())
    }

    /// A final answer that promises that the request has not run.
    fn give_up(&self, counter: &'static str, retry_ms: u64) -> Response<BoxBody> {
        self.context.counters.add(counter);
        let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "not run; come back");
        let wait = format!("{:.3}", retry_ms as f64 / 1000.0);
        if let Ok(wait) = HeaderValue::from_str(&wait) {
            response.headers_mut().insert(header::RETRY_AFTER, wait);
        }
        response
    }

    async fn forward(
        &self,
        request: &Request,
        body: Body,
        task: Task,
    ) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let mut body = Some(body);
        let mut tried: Vec<String> = Vec::new();
        // Two workers may share an address, one of them gone.
        let mut addresses: Vec<String> = Vec::new();
        let mut tries = AttemptHistory::new(task.route.kind == RouteKind::NonIdempotent);
        // What the first worker answered, if it was an error and nobody else
        // can do better.
        let mut erred: Option<Response<BoxBody>> = None;
        loop {
            let left = task.ends.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.too_late(tries));
            }
            let choose = ChooseWorker {
                route: task.route.clone(),
                service: task.service.clone(),
                key: task.key,
                tried: tried.clone(),
                remaining_ms: left.as_millis() as u64,
                client: task.client,
            };
            let choice = match self.balancer_actor.send(choose).await {
                Ok(Selection::Worker(choice)) => choice,
                Ok(Selection::Unavailable(wait)) if tries.may_promise() => {
                    return Err(self.give_up("refused_nobody", wait))
                }
                Ok(Selection::BudgetSpent) if tries.may_promise() => {
                    return Err(self.give_up("refused_budget", c::RETRY_AFTER_MS))
                }
                _ => return erred.ok_or_else(|| plain(StatusCode::BAD_GATEWAY, "the worker failed")),
            };
            let seat = Seat {
                balancer_actor: self.balancer_actor.clone(),
                id: choice.id.clone(),
                ticket: choice.label,
                open: Cell::new(true),
            };
            let sending = match &mut body {
                Some(Body::Whole(bytes)) => Sending::Whole(bytes.clone()),
                other => match other.take() {
                    Some(Body::Streamed(first, rest, length)) => Sending::Streamed(first, rest, length),
                    _ => return Err(plain(StatusCode::BAD_GATEWAY, "the worker failed")),
                },
            };
            let again = matches!(body, Some(Body::Whole(_)));
            let last = tried.len() as u32 + 1 >= task.route.attempt_limit || !again;
            let fresh = addresses.contains(&choice.address);
            match self.one_try(request, &task, &choice, sending, seat, fresh).await {
                Try::Answered(response) => return Ok(response),
                Try::Late => {
                    tries.note_outcome(Outcome::MayHaveRun);
                    return Err(self.too_late(tries));
                }
                Try::Erred(response) if last => return Ok(response),
                Try::Erred(response) => {
                    tries.note_outcome(Outcome::Answered);
                    erred = Some(response);
                }
                Try::Failed(outcome) => {
                    tries.note_outcome(outcome);
                    if last || !tries.may_repeat() {
                        if outcome == Outcome::MayHaveRun {
                            self.context.counters.add("worker_failed");
                        }
                        return Err(if tries.may_promise() {
                            self.give_up("refused_by_workers", c::RETRY_AFTER_MS)
                        } else {
                            plain(StatusCode::BAD_GATEWAY, "the worker failed")
                        });
                    }
                }
            }
            tried.push(choice.id);
            addresses.push(choice.address);
        }
    }

    fn too_late(&self, tries: AttemptHistory) -> Response<BoxBody> {
        if tries.may_promise() {
            self.give_up("refused_late", c::RETRY_AFTER_MS)
        } else {
            self.context.counters.add("too_late");
            plain(StatusCode::GATEWAY_TIMEOUT, "out of time")
        }
    }

    async fn one_try(
        &self,
        request: &Request,
        task: &Task,
        choice: &SelectedWorker,
        sending: Sending,
        seat: Seat,
        fresh: bool,
    ) -> Try {
        let left = task.ends.saturating_duration_since(Instant::now());
        let head = worker_head(request, choice, left);
        let once = task.route.kind == RouteKind::NonIdempotent;
        let terms = Terms {
            reuse_ms: match () {
                () if fresh => 0,
                () if once => c::IDLE_REUSE_NON_IDEMPOTENT_MS,
                () => c::IDLE_REUSE_MS,
            },
            connect_ms: c::WORKER_CONNECT_TIMEOUT_MS + 2 * choice.round_trip_ms as u64,
            silence_ms: c::WORKER_USER_TIMEOUT_MS + 2 * choice.round_trip_ms as u64,
            pairing: if once { Pairing::IdOnce } else { Pairing::Id },
        };
        let begun = Instant::now();
        let call = self.upstream.call(&choice.address, head, sending, terms);
        let answer = match tokio::time::timeout(left, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) => {
                seat.end(AttemptResult::Failed);
                self.context.counters.add("tries_failed");
                return Try::Failed(match fault {
                    Fault::NotSent => Outcome::NotRun,
                    Fault::Unclear => Outcome::MayHaveRun,
                });
            }
            Err(_) => {
                seat.end(AttemptResult::TimedOut);
                return Try::Late;
            }
        };
        match answer.outcome {
            Outcome::Answered => {}
            // The worker did not say that it has not run, or another may have.
            Outcome::MayHaveRun => {
                seat.end(AttemptResult::Failed);
                return Try::Failed(Outcome::MayHaveRun);
            }
            outcome if answer.status == StatusCode::MISDIRECTED_REQUEST => {
                let other = answer.headers.get("Instance-Id").and_then(|v| v.to_str().ok());
                let gone = other.is_some_and(|id| id != choice.id);
                seat.end(if gone {
                    AttemptResult::Replaced
                } else {
                    AttemptResult::WrongWorker
                });
                self.context.counters.add("elsewhere");
                return Try::Failed(outcome);
            }
            outcome => {
                seat.end(AttemptResult::Rejected);
                self.context.counters.add("turned_away");
                return Try::Failed(outcome);
            }
        }
        let took = begun.elapsed().as_secs_f64() * 1000.0 - choice.round_trip_ms;
        if answer.status.is_server_error() && matches!(answer.body, AnswerBody::Whole(_)) {
            seat.end(AttemptResult::Errored(took.max(1.0)));
            if !once {
                let is_head = request.method() == Method::HEAD;
                return Try::Erred(client_answer(answer, is_head, seat, took.max(1.0), task.ends));
            }
        }
        Try::Answered(client_answer(
            answer,
            request.method() == Method::HEAD,
            seat,
            took.max(1.0),
            task.ends,
        ))
    }
}

enum Try {
    Answered(Response<BoxBody>),
    /// An error of the worker's own, to a request that may run again.
    Erred(Response<BoxBody>),
    Failed(Outcome),
    Late,
}

struct Task {
    route: Arc<Route>,
    service: Arc<str>,
    key: Option<u32>,
    ends: Instant,
    client: Option<std::net::IpAddr>,
}

struct Running<'a>(&'a Cell<u64>);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A try that counts against a worker until it has ended.
struct Seat {
    balancer_actor: Addr<BalancerActor>,
    id: String,
    ticket: Option<SampleLabel>,
    open: Cell<bool>,
}

impl Seat {
    fn end(&self, observed: AttemptResult) {
        if self.open.replace(false) {
            self.balancer_actor.do_send(ObserveAttempt {
                id: self.id.clone(),
                result: observed,
                label: self.ticket,
            });
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.end(AttemptResult::Abandoned);
    }
}

enum Body {
    Whole(Bytes),
    Streamed(Bytes, Parts, Option<u64>),
}

/// Reads a body whole if it is small; a large one is passed on as it comes.
async fn read_body(request: &mut Request, limits: ClientLimits) -> Result<Body, Response<BoxBody>> {
    let length = number(request.headers(), "Content-Length");
    let too_large = || closing(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    if length.is_some_and(|l| l > limits.body_bytes) {
        return Err(too_large());
    }
    let mut payload = request.take_payload();
    let mut whole = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| closing(plain(StatusCode::BAD_REQUEST, "the body cannot be read")))?;
        whole.extend_from_slice(&part);
        if whole.len() as u64 > limits.body_bytes {
            return Err(too_large());
        }
        if whole.len() > c::BUFFERED_BODY_BYTES {
            let mut seen = whole.len() as u64;
            let rest = payload.map(move |part| {
                let part = part.map_err(std::io::Error::other)?;
                seen += part.len() as u64;
                if seen > limits.body_bytes {
                    return Err(std::io::Error::other("the body is too large"));
                }
                Ok(part)
            });
            return Ok(Body::Streamed(whole.freeze(), Box::pin(rest), length));
        }
    }
    Ok(Body::Whole(whole.freeze()))
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Headers that concern one connection only.
fn is_hop(name: &HeaderName, named: &[String]) -> bool {
    const HOP: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str())
}

/// The headers that `Connection` names.
fn named_hops(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|t| t.trim().to_ascii_lowercase()))
        .collect()
}

fn worker_head(request: &Request, choice: &SelectedWorker, left: Duration) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = request.method().clone();
    head.uri = match request.uri().path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => request.uri().clone(),
    };
    let named = named_hops(request.headers());
    for (name, value) in request.headers() {
        if !is_hop(name, &named) && name != header::CONTENT_LENGTH && name != header::EXPECT {
            head.headers.append(name.clone(), value.clone());
        }
    }
    let name = |n: &'static str| HeaderName::from_static(n);
    head.headers
        .insert(name("deadline-ms"), HeaderValue::from(left.as_millis() as u64));
    if let Ok(id) = HeaderValue::from_str(&choice.id) {
        head.headers.insert(name("expected-instance"), id);
    }
    head
}

/// The worker's answer, as the client gets it. A body that comes in parts
/// breaks off visibly if the worker does, or when time is up.
fn client_answer(answer: Answer, is_head: bool, seat: Seat, took: f64, ends: Instant) -> Response<BoxBody> {
    let named = named_hops(&answer.headers);
    let mut response = match answer.body {
        AnswerBody::Whole(bytes) => {
            seat.end(AttemptResult::Answered(took));
            if is_head {
                let length = number(&answer.headers, "Content-Length").unwrap_or(0);
                Response::with_body(answer.status, BoxBody::new(HeadOnly(length)))
            } else {
                Response::with_body(answer.status, BoxBody::new(bytes))
            }
        }
        AnswerBody::Streamed(parts, length) => {
            let state = (parts, Some(seat));
            let stream = Box::pin(futures_util::stream::unfold(
                state,
                move |(mut parts, seat)| async move {
                    let seat = seat?;
                    let left = ends.saturating_duration_since(Instant::now());
                    match tokio::time::timeout(left, parts.next()).await {
                        Ok(Some(Ok(part))) => Some((Ok(part), (parts, Some(seat)))),
                        Ok(Some(Err(e))) => {
                            seat.end(AttemptResult::Failed);
                            Some((Err(e), (parts, None)))
                        }
                        Ok(None) => {
                            seat.end(AttemptResult::Answered(took));
                            None
                        }
                        Err(_) => Some((Err(std::io::Error::other("out of time")), (parts, None))),
                    }
                },
            ));
            match length {
                Some(length) => {
                    Response::with_body(answer.status, BoxBody::new(SizedStream::new(length, stream)))
                }
                None => Response::with_body(
                    answer.status,
                    BoxBody::new(actix_http::body::BodyStream::new(stream)),
                ),
            }
        }
    };
    for (name, value) in &answer.headers {
        if !is_hop(name, &named) && name != header::CONTENT_LENGTH {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}

/// The length of a body that is not sent.
struct HeadOnly(u64);

impl MessageBody for HeadOnly {
    type Error = Infallible;
    fn size(&self) -> BodySize {
        BodySize::Sized(self.0)
    }
    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Infallible>>> {
        std::task::Poll::Ready(None)
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(text))
}

fn closing(mut response: Response<BoxBody>) -> Response<BoxBody> {
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}
