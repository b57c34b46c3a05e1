//! State of one worker as this node sees it: load, response time and failures.

use crate::warmup::Warmup;
use config::constants as c;
use protocol::Worker;
use std::sync::Arc;

/// Number of consecutive failures after which the ejection time no longer doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Time without a response after which the measured response time decays, in milliseconds.
const STALE_AFTER_MS: u64 = 1000;
/// Fraction by which a stale response time moves to the mean of its service at each decay.
const STALE_DECAY_FACTOR: f64 = 0.2;

/// Result of an attempt at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// The worker answered after this time, in milliseconds.
    Answered(f64),
    /// The worker answered with a server error of its own after this time, in milliseconds.
    ServerError(f64),
    /// The worker rejected the request without executing it.
    Rejected,
    /// The worker does not hold the key, or does not state why it is the wrong worker.
    WrongWorker,
    /// Another worker uses the address of this worker: this worker has ended, even if it is still
    /// listed.
    AddressReused,
    /// No connection was established, or it broke without a usable response.
    Failed,
    /// The worker did not answer before the deadline.
    TimedOut,
    /// This node abandoned the attempt.
    Abandoned,
}

/// One worker as this node sees it.
pub(crate) struct Endpoint {
    pub(crate) worker: Arc<Worker>,
    pub(crate) region: String,
    pub(crate) warmup: Warmup,
    /// Number of attempts in progress.
    pub(crate) inflight: u32,
    /// Smoothed response time, in milliseconds.
    pub(crate) response_ms: f64,
    /// Whether the worker has answered this node before.
    pub(crate) has_answered: bool,
    answered_at: u64,
    /// Number of consecutive failed attempts.
    pub(crate) failures: u32,
    /// Time until which the worker gets requests only if there is no other worker, in milliseconds.
    pub(crate) ejected_until: u64,
    /// Time until which the worker is on probation (less preferred) after an ejection by the
    /// leader, in milliseconds.
    probation_until: u64,
    served: u64,
    failed: u64,
    /// Sum of the response times since the last report, in milliseconds.
    response_ms_sum: f64,
}

/// Observations of a worker since the last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Observation {
    pub(crate) mean_response_ms: f64,
    pub(crate) served: u64,
    pub(crate) failed: u64,
}

impl Endpoint {
    /// Creates the state of a newly listed worker with an assumed response time of `response_ms`.
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

    /// Starts the probation that follows an ejection by the leader.
    pub(crate) fn begin_probation(&mut self, now: u64) {
        self.probation_until = now + c::PROBATION_MS;
        self.failures = 0;
    }

    /// Returns the factor by which the cost of the worker is raised while it is on probation.
    pub(crate) fn probation_cost(&self, now: u64) -> f64 {
        let left = self.probation_until.saturating_sub(now) as f64 / c::PROBATION_MS as f64;
        1.0 + (c::PROBATION_COST_FACTOR - 1.0) * left
    }

    /// Records the result of an attempt.
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
            AttemptResult::ServerError(ms) => {
                self.note_response(now, ms);
                self.failed += 1;
                self.failures += 1;
                if self.failures > 1 {
                    self.eject(now, c::LOCAL_EJECTION_MS);
                }
            }
            AttemptResult::TimedOut => self.failed += 1,
            AttemptResult::AddressReused => {
                self.failed += 1;
                self.eject(now, c::REUSED_ADDRESS_EJECTION_MS);
            }
            AttemptResult::Rejected => self.eject(now, c::OVERLOAD_EJECTION_MS),
            AttemptResult::Failed => {
                self.failures += 1;
                self.failed += 1;
                let doublings = (self.failures - 1).min(MAX_DOUBLINGS);
                let ejection_ms = c::LOCAL_EJECTION_MS << doublings;
                self.eject(now, ejection_ms.min(c::LOCAL_EJECTION_MAX_MS));
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

    /// Moves a stale response time towards the mean of the service, so that a worker with one slow
    /// response is tried again.
    pub(crate) fn decay_response_time(&mut self, now: u64, mean_ms: f64) {
        if now.saturating_sub(self.answered_at) > STALE_AFTER_MS {
            self.response_ms += (mean_ms - self.response_ms) * STALE_DECAY_FACTOR;
        }
    }

    /// Returns and resets the observations since the last call, if there are any.
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
