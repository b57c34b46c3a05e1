//! Outcomes of requests to one worker, as all nodes report them; older ones fade.

use protocol::WorkerStats;

/// Below this many outcomes a worker is forgotten.
const FORGET_BELOW: f64 = 0.1;
/// Keeps divisions by a count defined.
const EPSILON: f64 = 1e-9;

/// Outcomes of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) served: f64,
    pub(crate) failed: f64,
    /// Sum of the response times of those served, ms.
    response_ms: f64,
}

impl Outcomes {
    /// Adds what a node reports.
    pub(crate) fn add(&mut self, stats: &WorkerStats) {
        self.served += stats.served as f64;
        self.failed += stats.failed as f64;
        self.response_ms += f64::from(stats.response_ms) * stats.served as f64;
    }

    /// Keeps a part of all; whether enough is left to be remembered.
    pub(crate) fn fade(&mut self, retention: f64) -> bool {
        self.served *= retention;
        self.failed *= retention;
        self.response_ms *= retention;
        self.count() > FORGET_BELOW
    }

    pub(crate) fn count(&self) -> f64 {
        self.served + self.failed
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failed / self.count().max(EPSILON)
    }

    /// Mean response time, ms; 0 if none was served.
    pub(crate) fn mean_response_ms(&self) -> f64 {
        self.response_ms / self.served.max(EPSILON)
    }
}
