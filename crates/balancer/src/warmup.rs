//! Warm-up of one worker as one node sees it (slow start): a worker that has just started bears
//! few requests, and all nodes together stay within what it bears.

use config::constants as c;
use control_state::ControlState;
use protocol::Worker;
use std::collections::VecDeque;

/// The warm-up of a worker.
#[derive(Debug)]
pub(crate) struct Warmup {
    /// The index of the log at which the platform last told of it.
    told_index: u64,
    /// The index of the log at which its zone's evacuation last ended.
    restored_index: u64,
    /// It warms up between these times, ms.
    since: u64,
    until: u64,
    /// When it was sent requests meanwhile, as far as they count still, ms.
    sent: VecDeque<u64>,
    /// Where in the pause between two requests this node's turn comes first, 0 to 1: all nodes
    /// hear at once that a worker warms up.
    turn: f64,
}

impl Warmup {
    /// A worker of which nothing is known yet.
    pub(crate) fn new(turn: f64) -> Warmup {
        Warmup {
            told_index: 0,
            restored_index: 0,
            since: 0,
            until: 0,
            sent: VecDeque::new(),
            turn,
        }
    }

    pub(crate) fn is_warming(&self, now: u64) -> bool {
        now < self.until
    }

    /// Takes in what the control state says.
    pub(crate) fn update(&mut self, now: u64, worker: &Worker, state: &ControlState) {
        let is_unknown = state.is_warmup_unknown(worker);
        if worker.warmup_index != self.told_index {
            self.told_index = worker.warmup_index;
            if worker.warmup_ms > 0 {
                self.extend(now, worker.warmup_ms);
            } else if !is_unknown {
                self.until = now;
            }
        }
        // Workers of a zone whose evacuation has ended warm up at first.
        let restored = state.ended_evacuations.get(&worker.zone).copied().unwrap_or(0);
        if restored > self.restored_index {
            self.restored_index = restored;
            if is_unknown {
                self.extend(now, state.restored_zone_warmup_ms(&worker.service));
            }
        }
    }

    fn extend(&mut self, now: u64, for_ms: u64) {
        if !self.is_warming(now) {
            self.since = now;
        }
        self.until = self.until.max(now + for_ms + c::WARMUP_MARGIN_MS);
    }

    /// Whether it is this node's turn, where requests come `gap_ms` apart.
    pub(crate) fn has_turn(&self, now: u64, gap_ms: f64) -> bool {
        let due = match self.sent.back() {
            Some(last) if *last > self.since => *last as f64 + gap_ms,
            _ => self.since as f64 + gap_ms * self.turn,
        };
        now as f64 >= due
    }

    /// Requests of the last while: what is sent now may arrive within the same second as they.
    pub(crate) fn recently_sent(&self, now: u64) -> usize {
        let is_recent = |at: &&u64| **at + c::WARMUP_WINDOW_MS > now;
        self.sent.iter().filter(is_recent).count()
    }

    /// A request is sent.
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
