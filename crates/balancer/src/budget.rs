//! The retry budget of one service, as this node may use it.

use std::collections::VecDeque;

/// Length of a bucket of the sliding window, ms.
const BUCKET_MS: u64 = 500;

#[derive(Debug, Default)]
pub struct Budget {
    /// Start of the bucket, first tries, further tries.
    buckets: VecDeque<(u64, u64, u64)>,
}

impl Budget {
    fn bucket(&mut self, now: u64, window: u64) -> &mut (u64, u64, u64) {
        let start = now - now % BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|b| b.0 + window + BUCKET_MS <= now)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.0 < start) {
            self.buckets.push_back((start, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    pub fn first_try(&mut self, now: u64, window: u64) {
        self.bucket(now, window).1 += 1;
    }

    /// Takes leave for one further try, if the window still has room: the
    /// ratio of this node's own requests and its share of the slack.
    pub fn further_try(&mut self, now: u64, window: u64, ratio: f64, slack: f64) -> bool {
        self.bucket(now, window);
        let (first, further) = self.buckets.iter().fold((0, 0), |(f, r), b| (f + b.1, r + b.2));
        if (further + 1) as f64 > first as f64 * ratio + slack {
            return false;
        }
        self.bucket(now, window).2 += 1;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::Budget;

    #[test]
    fn any_window_stays_within_ratio_and_slack_and_a_fresh_node_has_nothing() {
        let mut b = Budget::default();
        assert!(!b.further_try(0, 10_000, 0.2, 0.0), "no requests, no share");
        let mut given = 0;
        for t in 0..200 {
            b.first_try(t * 50, 10_000);
            given += u32::from(b.further_try(t * 50, 10_000, 0.2, 3.0));
        }
        assert!((40..=43).contains(&given), "{given}");
        assert!(
            !b.further_try(30_000, 10_000, 0.2, 0.0),
            "the window has moved on"
        );
    }
}
