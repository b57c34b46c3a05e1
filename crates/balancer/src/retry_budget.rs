//! The retry budget of one service, as one node may use it: further attempts in a sliding window
//! stay within a ratio of the node's own requests and its share of the slack.

use std::collections::VecDeque;

/// Length of a bucket of the sliding window, ms.
const BUCKET_MS: u64 = 500;

#[derive(Debug)]
struct Bucket {
    start: u64,
    first_attempts: u64,
    retries: u64,
}

/// Attempts of the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// The bucket of this moment; those that the window has left are dropped.
    fn bucket(&mut self, now: u64, window_ms: u64) -> &mut Bucket {
        let start = now - now % BUCKET_MS;
        let is_over = |b: &Bucket| b.start + window_ms + BUCKET_MS <= now;
        while self.buckets.front().is_some_and(is_over) {
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

    /// A request is sent for the first time.
    pub fn note_first(&mut self, now: u64, window_ms: u64) {
        self.bucket(now, window_ms).first_attempts += 1;
    }

    /// Takes one further attempt out, if the window still has room: `ratio` of this node's own
    /// requests and `slack`, its share of what all nodes may have on top.
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
