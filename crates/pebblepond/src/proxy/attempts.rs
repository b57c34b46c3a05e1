//! The attempts at one request: a worker for each, until an answer may be passed on or nothing
//! more may be tried.

use super::headers::end_to_end;
use super::request::{CheckedRequest, Target};
use super::response::{plain, to_client};
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

/// How one attempt ended.
enum AttemptEnd {
    /// With an answer that is passed on.
    Answered(Response<BoxBody>),
    /// With an error of the worker's own, to a request that may run again.
    Errored(Response<BoxBody>),
    /// Without an answer that may be passed on.
    Failed(Outcome),
    /// With the deadline.
    TimedOut,
}

/// What earlier attempts at a request have shown.
struct Progress {
    history: AttemptHistory,
    /// Workers that were tried.
    tried: Vec<String>,
    /// Their addresses. Two workers may share one, one of them gone.
    addresses: Vec<String>,
    /// What the last worker answered, if it was an error: passed on if no other can do better.
    worker_error: Option<Response<BoxBody>>,
}

impl Proxy {
    /// Forwards a request to one worker after another.
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
            let guard = AttemptGuard {
                balancer_actor: self.balancer_actor.clone(),
                worker: worker.id.clone(),
                label: worker.label,
                is_open: Cell::new(true),
            };
            let Some(sent_body) = take_body(&mut body) else {
                return Err(worker_failed());
            };
            let can_repeat = body.is_some();
            let is_last = progress.tried.len() as u32 + 1 >= target.route.attempt_limit || !can_repeat;
            let attempt = Attempt {
                request,
                target: &target,
                worker: &worker,
                needs_new_connection: progress.addresses.contains(&worker.address),
            };
            match self.attempt(&attempt, sent_body, guard).await {
                AttemptEnd::Answered(response) => return Ok(response),
                AttemptEnd::TimedOut => {
                    progress.history.note_outcome(Outcome::MayHaveRun);
                    return Err(self.out_of_time(&progress.history));
                }
                AttemptEnd::Errored(response) if is_last => return Ok(response),
                AttemptEnd::Errored(response) => {
                    progress.history.note_outcome(Outcome::Answered);
                    progress.worker_error = Some(response);
                }
                AttemptEnd::Failed(outcome) => {
                    progress.history.note_outcome(outcome);
                    if is_last || !progress.history.may_repeat() {
                        return Err(self.give_up(outcome, &progress.history));
                    }
                }
            }
            progress.tried.push(worker.id);
            progress.addresses.push(worker.address);
        }
    }

    /// A worker for the next attempt, or the answer if there is none.
    async fn choose_worker(
        &self,
        target: &Target,
        progress: &mut Progress,
    ) -> Result<SelectedWorker, Response<BoxBody>> {
        let remaining = target.remaining();
        if remaining.is_zero() {
            return Err(self.out_of_time(&progress.history));
        }
        let choose = ChooseWorker {
            route: target.route.clone(),
            service: target.service.clone(),
            key: target.key,
            tried: progress.tried.clone(),
            remaining_ms: remaining.as_millis() as u64,
            client: target.client,
        };
        let may_promise = progress.history.may_promise();
        match self.balancer_actor.send(choose).await {
            Ok(Selection::Worker(worker)) => Ok(worker),
            Ok(Selection::Unavailable(retry_after_ms)) if may_promise => {
                Err(self.refuse("refused_nobody", retry_after_ms))
            }
            Ok(Selection::BudgetSpent) if may_promise => {
                Err(self.refuse("refused_budget", c::RETRY_AFTER_MS))
            }
            _ => Err(progress.worker_error.take().unwrap_or_else(worker_failed)),
        }
    }

    /// The answer after the last attempt has failed.
    fn give_up(&self, last_outcome: Outcome, history: &AttemptHistory) -> Refusal {
        if last_outcome == Outcome::MayHaveRun {
            self.context.counters.add("worker_failed");
        }
        if history.may_promise() {
            self.refuse("refused_by_workers", c::RETRY_AFTER_MS)
        } else {
            worker_failed()
        }
    }

    /// The answer at the deadline.
    fn out_of_time(&self, history: &AttemptHistory) -> Refusal {
        if history.may_promise() {
            self.refuse("refused_late", c::RETRY_AFTER_MS)
        } else {
            self.context.counters.add("too_late");
            plain(StatusCode::GATEWAY_TIMEOUT, "out of time")
        }
    }

    /// Sends the request to one worker.
    async fn attempt(&self, attempt: &Attempt<'_>, body: RequestBody, guard: AttemptGuard) -> AttemptEnd {
        let remaining = attempt.target.remaining();
        let head = attempt.head(remaining.as_millis() as u64);
        let begun = Instant::now();
        let call = self
            .upstream
            .call(&attempt.worker.address, head, body, attempt.options());
        let response = match tokio::time::timeout(remaining, call).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                guard.end(AttemptResult::Failed);
                self.context.counters.add("tries_failed");
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
            return self.not_answered(attempt.worker, &response, &guard);
        }
        let elapsed_ms = begun.elapsed().as_secs_f64() * 1000.0;
        let response_ms = (elapsed_ms - attempt.worker.round_trip_ms).max(1.0);
        let is_error = response.status.is_server_error() && matches!(response.body, ResponseBody::Whole(_));
        if is_error {
            guard.end(AttemptResult::Errored(response_ms));
        }
        let is_head = attempt.request.method() == Method::HEAD;
        let to_client = to_client(response, is_head, guard, response_ms, attempt.target.deadline);
        if is_error && !attempt.is_non_idempotent() {
            AttemptEnd::Errored(to_client)
        } else {
            AttemptEnd::Answered(to_client)
        }
    }

    /// The end of an attempt whose answer may not be passed on.
    fn not_answered(
        &self,
        worker: &SelectedWorker,
        response: &UpstreamResponse,
        guard: &AttemptGuard,
    ) -> AttemptEnd {
        if response.outcome == Outcome::MayHaveRun {
            // The worker did not say that it has not run, or another may have.
            guard.end(AttemptResult::Failed);
        } else if response.status == StatusCode::MISDIRECTED_REQUEST {
            let answering = response.headers.get("Instance-Id");
            let answering = answering.and_then(|v| v.to_str().ok());
            let is_replaced = answering.is_some_and(|id| id != worker.id);
            guard.end(if is_replaced {
                AttemptResult::Replaced
            } else {
                AttemptResult::WrongWorker
            });
            self.context.counters.add("elsewhere");
        } else {
            guard.end(AttemptResult::Rejected);
            self.context.counters.add("turned_away");
        }
        AttemptEnd::Failed(response.outcome)
    }
}

/// The body for the next attempt; one that is passed on as it comes can be had once.
fn take_body(body: &mut Option<RequestBody>) -> Option<RequestBody> {
    match body {
        Some(RequestBody::Whole(bytes)) => Some(RequestBody::Whole(bytes.clone())),
        streamed => streamed.take(),
    }
}

fn worker_failed() -> Response<BoxBody> {
    plain(StatusCode::BAD_GATEWAY, "the worker failed")
}

/// One attempt at a request.
struct Attempt<'a> {
    request: &'a Request,
    target: &'a Target,
    worker: &'a SelectedWorker,
    /// Its worker shares an address with one that was tried.
    needs_new_connection: bool,
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
        }
    }

    /// The head of the request to the worker.
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

/// An attempt that counts against a worker until it has ended.
pub(super) struct AttemptGuard {
    balancer_actor: Addr<BalancerActor>,
    worker: String,
    label: Option<SampleLabel>,
    is_open: Cell<bool>,
}

impl AttemptGuard {
    /// Tells the balancer how the attempt ended; the first result counts.
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
