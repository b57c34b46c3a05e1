//! The attempts at one request: a worker is selected for each attempt, until a response may be
//! passed on or no further attempt is allowed.

use super::headers::end_to_end;
use super::request::{CheckedRequest, Target};
use super::response::{client_response, plain_text};
use super::{Proxy, Refusal};
use crate::balancer_actor::{BalancerActor, ChooseWorker, ObserveAttempt};
use crate::upstream::{
    CallError, CallOptions, RequestBody, ResponseBody, ResponseMatching, UpstreamResponse,
};
use actix::prelude::*;
use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Method, Request, RequestHead, Response, StatusCode, Uri};
use balancer::{AttemptHistory, AttemptResult, Outcome, SampleLabel, SelectedWorker, Selection};
use config::{constants as c, RouteKind};
use std::cell::Cell;
use std::time::Instant;

/// End of one attempt.
enum AttemptEnd {
    /// The response is passed on.
    Answered(Response<BoxBody>),
    /// The worker answered with a server error of its own to a request that may be executed again.
    Errored(Response<BoxBody>),
    /// No response was received that may be passed on.
    Failed(Outcome),
    /// The deadline passed.
    TimedOut,
}

/// State of a request over its attempts.
struct Progress {
    history: AttemptHistory,
    /// Workers to which an attempt was made.
    tried: Vec<String>,
    /// Addresses of these workers. Two workers may share an address if one of them no longer
    /// exists.
    addresses: Vec<String>,
    /// Error response of the last worker; passed on if no other worker can be used.
    worker_error: Option<Response<BoxBody>>,
}

impl Proxy {
    /// Forwards a request to one worker after another until a response may be passed on or no
    /// further attempt is allowed.
    pub(super) async fn forward(
        &self,
        request: &Request,
        checked: CheckedRequest,
    ) -> Result<Response<BoxBody>, Refusal> {
        let CheckedRequest { target, body } = checked;
        let mut body = Some(body);
        let mut progress = Progress {
            history: AttemptHistory::new(target.route.kind == RouteKind::NonIdempotent),
            tried: Vec::new(),
            addresses: Vec::new(),
            worker_error: None,
        };
        loop {
            let worker = self.choose_worker(&target, &mut progress).await?;
            let chosen_at = Instant::now();
            let guard = AttemptGuard {
                balancer_actor: self.balancer_actor.clone(),
                worker: worker.id.clone(),
                label: worker.label,
                is_open: Cell::new(true),
            };
            let Some(attempt_body) = body_for_attempt(&mut body) else {
                return Err(bad_gateway());
            };
            let can_repeat = body.is_some();
            let is_last = progress.tried.len() as u32 + 1 >= target.route.attempt_limit || !can_repeat;
            let attempt = Attempt {
                request,
                target: &target,
                worker: &worker,
                needs_new_connection: progress.addresses.contains(&worker.address),
                chosen_at,
            };
            match self.attempt(&attempt, attempt_body, guard).await {
                AttemptEnd::Answered(response) => return Ok(response),
                AttemptEnd::TimedOut => {
                    progress.history.note_outcome(Outcome::MayHaveRun);
                    return Err(self.deadline_response(&progress.history));
                }
                AttemptEnd::Errored(response) if is_last => return Ok(response),
                AttemptEnd::Errored(response) => {
                    progress.history.note_outcome(Outcome::Answered);
                    progress.worker_error = Some(response);
                }
                AttemptEnd::Failed(outcome) => {
                    progress.history.note_outcome(outcome);
                    if is_last || !progress.history.may_repeat() {
                        return Err(self.failure_response(outcome, &progress.history));
                    }
                }
            }
            progress.tried.push(worker.id);
            progress.addresses.push(worker.address);
        }
    }

    /// Selects a worker for the next attempt, or returns the response to the client if there is
    /// none.
    async fn choose_worker(
        &self,
        target: &Target,
        progress: &mut Progress,
    ) -> Result<SelectedWorker, Response<BoxBody>> {
        let remaining = target.remaining();
        if remaining.is_zero() {
            return Err(self.deadline_response(&progress.history));
        }
        let choose = ChooseWorker {
            route: target.route.clone(),
            service: target.service.clone(),
            key: target.key,
            tried: progress.tried.clone(),
            remaining_ms: remaining.as_millis() as u64,
            client: target.client,
        };
        let may_promise_not_executed = progress.history.may_promise_not_executed();
        match self.balancer_actor.send(choose).await {
            Ok(Selection::Worker(worker)) => Ok(worker),
            Ok(Selection::Unavailable(retry_after_ms)) if may_promise_not_executed => {
                Err(self.refuse("refused_nobody", retry_after_ms))
            }
            Ok(Selection::RetryBudgetExhausted) if may_promise_not_executed => {
                Err(self.refuse("refused_budget", c::RETRY_AFTER_MS))
            }
            _ => Err(progress.worker_error.take().unwrap_or_else(bad_gateway)),
        }
    }

    /// Returns the response to the client after the last attempt has failed.
    fn failure_response(&self, last_outcome: Outcome, history: &AttemptHistory) -> Refusal {
        if last_outcome == Outcome::MayHaveRun {
            self.context.counters.increment("worker_failed");
        }
        if history.may_promise_not_executed() {
            self.refuse("refused_by_workers", c::RETRY_AFTER_MS)
        } else {
            bad_gateway()
        }
    }

    /// Returns the response to the client when the deadline has passed.
    fn deadline_response(&self, history: &AttemptHistory) -> Refusal {
        if history.may_promise_not_executed() {
            self.refuse("refused_late", c::RETRY_AFTER_MS)
        } else {
            self.context.counters.increment("too_late");
            plain_text(StatusCode::GATEWAY_TIMEOUT, "out of time")
        }
    }

    /// Sends the request to one worker and waits for the response.
    async fn attempt(&self, attempt: &Attempt<'_>, body: RequestBody, guard: AttemptGuard) -> AttemptEnd {
        let remaining = attempt.target.remaining();
        let head = attempt.head(remaining.as_millis() as u64);
        let started = Instant::now();
        let call = self
            .upstream
            .call(&attempt.worker.address, head, body, attempt.options());
        let response = match tokio::time::timeout(remaining, call).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                guard.end(AttemptResult::Failed);
                self.context.counters.increment("tries_failed");
                return AttemptEnd::Failed(match error {
                    CallError::NotSent => Outcome::NotRun,
                    CallError::Unclear => Outcome::MayHaveRun,
                });
            }
            Err(_) => {
                guard.end(AttemptResult::TimedOut);
                return AttemptEnd::TimedOut;
            }
        };
        if response.outcome != Outcome::Answered {
            return self.end_without_response(attempt.worker, &response, &guard);
        }
        let elapsed_ms = started.elapsed().as_secs_f64() * 1000.0;
        let response_ms = (elapsed_ms - attempt.worker.round_trip_ms).max(1.0);
        let is_error =
            response.status.is_server_error() && matches!(response.body, ResponseBody::Buffered(_));
        if is_error {
            guard.end(AttemptResult::ServerError(response_ms));
        }
        let is_head = attempt.request.method() == Method::HEAD;
        let response = client_response(response, is_head, guard, response_ms, attempt.target.deadline);
        if is_error && !attempt.is_non_idempotent() {
            AttemptEnd::Errored(response)
        } else {
            AttemptEnd::Answered(response)
        }
    }

    /// Ends an attempt whose response may not be passed on.
    fn end_without_response(
        &self,
        worker: &SelectedWorker,
        response: &UpstreamResponse,
        guard: &AttemptGuard,
    ) -> AttemptEnd {
        if response.outcome == Outcome::MayHaveRun {
            // The worker did not state that it has not executed the request, or the response may
            // belong to another request.
            guard.end(AttemptResult::Failed);
        } else if response.status == StatusCode::MISDIRECTED_REQUEST {
            let answering_instance = response.headers.get("Instance-Id");
            let answering_instance = answering_instance.and_then(|v| v.to_str().ok());
            let is_replaced = answering_instance.is_some_and(|id| id != worker.id);
            guard.end(if is_replaced {
                AttemptResult::AddressReused
            } else {
                AttemptResult::WrongWorker
            });
            self.context.counters.increment("elsewhere");
        } else {
            guard.end(AttemptResult::Rejected);
            self.context.counters.increment("turned_away");
        }
        AttemptEnd::Failed(response.outcome)
    }
}

/// Returns the body for the next attempt. A streamed body is available only once.
fn body_for_attempt(body: &mut Option<RequestBody>) -> Option<RequestBody> {
    match body {
        Some(RequestBody::Buffered(bytes)) => Some(RequestBody::Buffered(bytes.clone())),
        streamed => streamed.take(),
    }
}

fn bad_gateway() -> Response<BoxBody> {
    plain_text(StatusCode::BAD_GATEWAY, "the worker failed")
}

/// One attempt at a request.
struct Attempt<'a> {
    request: &'a Request,
    target: &'a Target,
    worker: &'a SelectedWorker,
    /// Whether the worker shares its address with a worker that was already tried.
    needs_new_connection: bool,
    /// When the worker was chosen.
    chosen_at: Instant,
}

impl Attempt<'_> {
    fn is_non_idempotent(&self) -> bool {
        self.target.route.kind == RouteKind::NonIdempotent
    }

    fn options(&self) -> CallOptions {
        let max_idle_ms = if self.needs_new_connection {
            0
        } else if self.is_non_idempotent() {
            c::IDLE_REUSE_NON_IDEMPOTENT_MS
        } else {
            c::IDLE_REUSE_MS
        };
        CallOptions {
            max_idle_ms,
            connect_timeout_ms: c::WORKER_CONNECT_TIMEOUT_MS + 2 * self.worker.round_trip_ms as u64,
            user_timeout_ms: c::WORKER_USER_TIMEOUT_MS + 2 * self.worker.round_trip_ms as u64,
            matching: if self.is_non_idempotent() {
                ResponseMatching::IdNonIdempotent
            } else {
                ResponseMatching::Id
            },
            chosen_at: self.chosen_at,
        }
    }

    /// Builds the head of the request to the worker.
    fn head(&self, remaining_ms: u64) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.request.method().clone();
        head.uri = match self.request.uri().path_and_query() {
            Some(path) => Uri::from(path.clone()),
            None => self.request.uri().clone(),
        };
        for (name, value) in end_to_end(self.request.headers()) {
            if name != header::EXPECT {
                head.headers.append(name.clone(), value.clone());
            }
        }
        head.headers.insert(
            HeaderName::from_static("deadline-ms"),
            HeaderValue::from(remaining_ms),
        );
        if let Ok(id) = HeaderValue::from_str(&self.worker.id) {
            head.headers
                .insert(HeaderName::from_static("expected-instance"), id);
        }
        head
    }
}

/// Counts an attempt against a worker until the attempt has ended.
pub(super) struct AttemptGuard {
    balancer_actor: Addr<BalancerActor>,
    worker: String,
    label: Option<SampleLabel>,
    is_open: Cell<bool>,
}

impl AttemptGuard {
    /// Reports the result of the attempt to the balancer; only the first result counts.
    pub(super) fn end(&self, result: AttemptResult) {
        if self.is_open.replace(false) {
            self.balancer_actor.do_send(ObserveAttempt {
                id: self.worker.clone(),
                result,
                label: self.label,
            });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(AttemptResult::Abandoned);
    }
}
