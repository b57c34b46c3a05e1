//! What a node knows of one worker: its load, its speed, its failures.

use crate::warmup::Warmup;
use config::constants as c;
use protocol::Worker;
use std::sync::Arc;

/// Failures in a row after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 4;
/// What was measured longer ago fades, ms.
const STALE_MS: u64 = 1000;
/// How far a stale response time moves to the mean of its service at each sweep.
const FADE: f64 = 0.2;

/// How an attempt at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// Answered after this many ms.
    Answered(f64),
    /// Answered after this many ms, by an error of the worker's own.
    Errored(f64),
    /// Rejected without being run.
    Rejected,
    /// The worker does not hold the key, or does not say why it is not the one.
    WrongWorker,
    /// Another worker has its address: this one has ended, whatever the list still shows.
    Replaced,
    /// No connection, or none that answered.
    Failed,
    /// It had not answered when the time was up.
    TimedOut,
    /// This node gave it up.
    Abandoned,
}

/// One worker as this node sees it.
pub(crate) struct Endpoint {
    pub(crate) worker: Arc<Worker>,
    pub(crate) region: String,
    pub(crate) warmup: Warmup,
    /// Attempts under way.
    pub(crate) inflight: u32,
    /// Smoothed response time, ms.
    pub(crate) response_ms: f64,
    /// It has answered this node before.
    pub(crate) has_answered: bool,
    answered_at: u64,
    /// Attempts in a row that failed.
    pub(crate) failures: u32,
    /// It gets requests until then only if there is no other worker, ms.
    pub(crate) ejected_until: u64,
    /// It is preferred less until then, since it was ejected by the leader, ms.
    probation_until: u64,
    served: u64,
    failed: u64,
    /// Sum of the response times since the last report, ms.
    response_ms_sum: f64,
}

/// What was observed of a worker since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observation {
    pub(crate) mean_response_ms: f64,
    pub(crate) served: u64,
    pub(crate) failed: u64,
}

impl Endpoint {
    /// A worker that was just listed, taken to answer in `response_ms`.
    pub(crate) fn new(
        worker: Arc<Worker>,
        region: String,
        warmup: Warmup,
        response_ms: f64,
        now: u64,
    ) -> Endpoint {
        Endpoint {
            worker,
            region,
            warmup,
            inflight: 0,
            response_ms,
            has_answered: false,
            answered_at: now,
            failures: 0,
            ejected_until: 0,
            probation_until: 0,
            served: 0,
            failed: 0,
            response_ms_sum: 0.0,
        }
    }

    pub(crate) fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// The leader has ended its ejection: it is preferred less for a while.
    pub(crate) fn begin_probation(&mut self, now: u64) {
        self.probation_until = now + c::PROBATION_MS;
        self.failures = 0;
    }

    /// How many times dearer than usual it is while on probation.
    pub(crate) fn probation_cost(&self, now: u64) -> f64 {
        let left = self.probation_until.saturating_sub(now) as f64 / c::PROBATION_MS as f64;
        1.0 + (c::PROBATION_COST - 1.0) * left
    }

    /// Takes note of how an attempt ended.
    pub(crate) fn observe(&mut self, now: u64, result: AttemptResult) {
        self.inflight = self.inflight.saturating_sub(1);
        match result {
            AttemptResult::Answered(ms) => {
                self.failures = 0;
                self.ejected_until = 0;
                self.served += 1;
                self.response_ms_sum += ms;
                self.note_response(now, ms);
            }
            AttemptResult::Errored(ms) => {
                self.note_response(now, ms);
                self.failed += 1;
                self.failures += 1;
                if self.failures > 1 {
                    self.eject(now, c::LOCAL_EJECTION_MS);
                }
            }
            AttemptResult::TimedOut => self.failed += 1,
            AttemptResult::Replaced => {
                self.failed += 1;
                self.eject(now, c::REUSED_ADDRESS_MS);
            }
            AttemptResult::Rejected => self.eject(now, c::OVERLOAD_PAUSE_MS),
            AttemptResult::Failed => {
                self.failures += 1;
                self.failed += 1;
                let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
                let pause = c::LOCAL_EJECTION_MS << doublings;
                self.eject(now, pause.min(c::LOCAL_EJECTION_MAX_MS));
            }
            AttemptResult::WrongWorker | AttemptResult::Abandoned => {}
        }
    }

    fn note_response(&mut self, now: u64, ms: f64) {
        self.has_answered = true;
        self.answered_at = now;
        self.response_ms += (ms - self.response_ms) * c::RESPONSE_SMOOTHING;
    }

    fn eject(&mut self, now: u64, for_ms: u64) {
        self.ejected_until = self.ejected_until.max(now + for_ms);
    }

    /// Lets what was measured long ago fade, so that a worker with one bad answer is tried
    /// again.
    pub(crate) fn fade(&mut self, now: u64, mean_ms: f64) {
        if now.saturating_sub(self.answered_at) > STALE_MS {
            self.response_ms += (mean_ms - self.response_ms) * FADE;
        }
    }

    /// What was observed since the last call, if anything.
    pub(crate) fn take_observation(&mut self) -> Option<Observation> {
        if self.served + self.failed == 0 {
            return None;
        }
        let observation = Observation {
            mean_response_ms: self.response_ms_sum / self.served.max(1) as f64,
            served: self.served,
            failed: self.failed,
        };
        (self.served, self.failed, self.response_ms_sum) = (0, 0, 0.0);
        Some(observation)
    }
}
