//! Simulated workers that hold keys according to the protocol.

use key_ownership::{GrantResult, ReleaseResult};
use protocol::{KeyLease, Worker};

#[derive(Clone, Debug)]
struct Held {
    from: u32,
    to: u32,
    fence: u64,
    until: u64,
}

/// A worker that holds keys.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    pub listed: Worker,
    pub up: bool,
    /// Whether the worker answers no calls: grants are executed unanswered, releases fail.
    pub drops_answers: bool,
    held: Vec<Held>,
    granted: Vec<Held>,
    /// Grants and releases of keys not yet collected by the observer: from, to, fencing token, end
    /// of the hold in ms (0 for a release).
    pub key_changes: Vec<(u32, u32, u64, u64)>,
}

impl SimulatedWorker {
    /// Creates a worker that holds no keys.
    pub fn new(listed: Worker) -> SimulatedWorker {
        SimulatedWorker {
            listed,
            up: true,
            drops_answers: false,
            held: Vec::new(),
            granted: Vec::new(),
            key_changes: Vec::new(),
        }
    }

    /// Handles a grant that arrives now. The clock by which the worker measures the hold runs 2%
    /// slow.
    pub fn grant(&mut self, now: u64, lease: &KeyLease, hold_ms: u64) -> GrantResult {
        if self.granted.iter().any(|grant| {
            grant.from <= lease.to && grant.to >= lease.from && grant.fence > lease.fencing_token
        }) {
            return GrantResult::Fenced;
        }
        let held = Held {
            from: lease.from,
            to: lease.to,
            fence: lease.fencing_token,
            until: now + hold_ms * 102 / 100,
        };
        self.key_changes
            .push((lease.from, lease.to, lease.fencing_token, held.until));
        self.remove_range(lease.from, lease.to);
        self.held.push(held.clone());
        self.granted.push(held);
        GrantResult::Accepted
    }

    /// Releases keys.
    pub fn release(&mut self, lease: &KeyLease) -> ReleaseResult {
        self.key_changes
            .push((lease.from, lease.to, lease.fencing_token, 0));
        self.remove_range(lease.from, lease.to);
        ReleaseResult::Released(format!("from-{}", self.listed.id))
    }

    fn remove_range(&mut self, from: u32, to: u32) {
        let old = std::mem::take(&mut self.held);
        for held in old {
            if held.to < from || held.from > to {
                self.held.push(held);
                continue;
            }
            if held.from < from {
                self.held.push(Held {
                    to: from - 1,
                    ..held.clone()
                });
            }
            if held.to > to {
                self.held.push(Held { from: to + 1, ..held });
            }
        }
    }

    /// Returns the ranges held at `now`.
    pub fn holds(&self, now: u64) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.held
            .iter()
            .filter(move |held| self.up && held.until > now)
            .map(|held| (held.from, held.to))
    }
}
