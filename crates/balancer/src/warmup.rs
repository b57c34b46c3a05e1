//! Warm-up (slow start) of one worker as one node sees it: a worker that has just started can
//! handle few requests, and all nodes together stay within its limit.

use config::constants as c;
use control_state::ControlState;
use protocol::Worker;
use std::collections::VecDeque;

/// Warm-up state of a worker.
#[derive(Debug)]
pub(crate) struct Warmup {
    /// Log index of the platform's last report on the warm-up of the worker.
    seen_warmup_index: u64,
    /// Log index at which the last evacuation of the worker's zone ended.
    seen_evacuation_end: u64,
    /// Start and end of the warm-up, in milliseconds.
    started_at: u64,
    ends_at: u64,
    /// Times at which this node sent requests during the warm-up that still count, in milliseconds.
    sent: VecDeque<u64>,
    /// Offset of this node's first request within the gap between two requests, 0 to 1, since all
    /// nodes learn at the same time that a worker warms up.
    first_offset: f64,
}

impl Warmup {
    /// Creates the warm-up state of a worker of which nothing is known yet.
    pub(crate) fn new(first_offset: f64) -> Warmup {
        Warmup {
            seen_warmup_index: 0,
            seen_evacuation_end: 0,
            started_at: 0,
            ends_at: 0,
            sent: VecDeque::new(),
            first_offset,
        }
    }

    pub(crate) fn is_warming(&self, now: u64) -> bool {
        now < self.ends_at
    }

    /// Updates the warm-up from the control state.
    pub(crate) fn update(&mut self, now: u64, worker: &Worker, state: &ControlState) {
        let is_warmup_unknown = state.is_warmup_unknown(worker);
        if worker.warmup_index != self.seen_warmup_index {
            self.seen_warmup_index = worker.warmup_index;
            if worker.warmup_ms > 0 {
                self.extend(now, worker.warmup_ms);
            } else if !is_warmup_unknown {
                self.ends_at = now;
            }
        }
        // The workers of a zone are assumed to be warming at first when its evacuation has ended.
        let restored = state.ended_evacuations.get(&worker.zone).copied().unwrap_or(0);
        if restored > self.seen_evacuation_end {
            self.seen_evacuation_end = restored;
            if is_warmup_unknown {
                self.extend(now, state.restored_zone_warmup_ms(&worker.service));
            }
        }
    }

    fn extend(&mut self, now: u64, duration_ms: u64) {
        if !self.is_warming(now) {
            self.started_at = now;
        }
        self.ends_at = self.ends_at.max(now + duration_ms + c::WARMUP_MARGIN_MS);
    }

    /// Returns whether this node's next request is due, where requests are `gap_ms` apart.
    pub(crate) fn is_due(&self, now: u64, gap_ms: f64) -> bool {
        let due_at = match self.sent.back() {
            Some(last) if *last > self.started_at => *last as f64 + gap_ms,
            _ => self.started_at as f64 + gap_ms * self.first_offset,
        };
        now as f64 >= due_at
    }

    /// Returns the number of requests sent within the warm-up window: a request sent now may reach
    /// the worker within the same second as they do.
    pub(crate) fn recently_sent(&self, now: u64) -> usize {
        let is_recent = |at: &&u64| **at + c::WARMUP_WINDOW_MS > now;
        self.sent.iter().filter(is_recent).count()
    }

    /// Records that a request is sent.
    pub(crate) fn note_sent(&mut self, now: u64) {
        if !self.is_warming(now) {
            return;
        }
        while self.sent.len() > c::WARMUP_MAX_SHARES {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
