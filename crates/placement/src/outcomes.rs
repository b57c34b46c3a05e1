//! Outcomes of requests to one worker, summed over all nodes. Older outcomes decay.

use protocol::WorkerStats;

/// Number of outcomes below which a worker's entry is dropped.
const MIN_RETAINED_COUNT: f64 = 0.1;
/// Lower bound of a divisor, which avoids division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Decaying counts of a worker's outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) served: f64,
    pub(crate) failed: f64,
    /// Sum of the response times of served requests, in milliseconds.
    response_ms: f64,
}

impl Outcomes {
    /// Adds a node's counts.
    pub(crate) fn add(&mut self, stats: &WorkerStats) {
        self.served += stats.served as f64;
        self.failed += stats.failed as f64;
        self.response_ms += f64::from(stats.response_ms) * stats.served as f64;
    }

    /// Multiplies all counts by `retention`. Returns whether the entry is worth keeping.
    pub(crate) fn decay(&mut self, retention: f64) -> bool {
        self.served *= retention;
        self.failed *= retention;
        self.response_ms *= retention;
        self.count() > MIN_RETAINED_COUNT
    }

    pub(crate) fn count(&self) -> f64 {
        self.served + self.failed
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failed / self.count().max(MIN_DIVISOR)
    }

    /// Returns the mean response time in milliseconds, or 0 if no request was served.
    pub(crate) fn mean_response_ms(&self) -> f64 {
        self.response_ms / self.served.max(MIN_DIVISOR)
    }
}
