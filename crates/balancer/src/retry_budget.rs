//! Retry budget of one service on one node: in a sliding window, the number of further attempts
//! stays within a ratio of the node's own first attempts plus its share of the slack.

use std::collections::VecDeque;

/// Length of a bucket of the sliding window, in milliseconds.
const BUCKET_MS: u64 = 500;

#[derive(Debug)]
struct Bucket {
    start: u64,
    first_attempts: u64,
    retries: u64,
}

/// Attempts at the requests of one service within the sliding window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Returns the bucket of the current time; buckets that have left the window are dropped.
    fn bucket(&mut self, now: u64, window_ms: u64) -> &mut Bucket {
        let start = now - now % BUCKET_MS;
        let has_expired = |b: &Bucket| b.start + window_ms + BUCKET_MS <= now;
        while self.buckets.front().is_some_and(has_expired) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.start < start) {
            self.buckets.push_back(Bucket {
                start,
                first_attempts: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Records the first attempt at a request.
    pub fn note_first(&mut self, now: u64, window_ms: u64) {
        self.bucket(now, window_ms).first_attempts += 1;
    }

    /// Charges one further attempt if the window has room for it. The window allows `ratio` of this
    /// node's first attempts plus `slack`, the node's share of what all nodes may use in addition.
    pub fn try_take(&mut self, now: u64, window_ms: u64, ratio: f64, slack: f64) -> bool {
        self.bucket(now, window_ms);
        let first_attempts: u64 = self.buckets.iter().map(|b| b.first_attempts).sum();
        let retries: u64 = self.buckets.iter().map(|b| b.retries).sum();
        if (retries + 1) as f64 > first_attempts as f64 * ratio + slack {
            return false;
        }
        self.bucket(now, window_ms).retries += 1;
        true
    }
}
