//! Simulated workers that hold keys, as the protocol lays it down.

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
    /// Calls reach it and are carried out, but no answer comes back.
    pub mute: bool,
    held: Vec<Held>,
    evidence: Vec<Held>,
    /// What it took and gave back, and since when: from, to, fence, until.
    pub took: Vec<(u32, u32, u64, u64)>,
}

impl SimulatedWorker {
    /// A worker that holds nothing.
    pub fn new(listed: Worker) -> SimulatedWorker {
        SimulatedWorker {
            listed,
            up: true,
            mute: false,
            held: Vec::new(),
            evidence: Vec::new(),
            took: Vec::new(),
        }
    }

    /// Takes a grant that arrives now. Its clock for the hold runs 2% slow.
    pub fn grant(&mut self, now: u64, h: &KeyLease, hold_ms: u64) -> GrantResult {
        if self
            .evidence
            .iter()
            .any(|s| s.from <= h.to && s.to >= h.from && s.fence > h.fencing_token)
        {
            return GrantResult::Fenced;
        }
        let held = Held {
            from: h.from,
            to: h.to,
            fence: h.fencing_token,
            until: now + hold_ms * 102 / 100,
        };
        self.took.push((h.from, h.to, h.fencing_token, held.until));
        self.cut(h.from, h.to);
        self.held.push(held.clone());
        self.evidence.push(held);
        GrantResult::Accepted
    }

    /// Gives keys back.
    pub fn release(&mut self, h: &KeyLease) -> ReleaseResult {
        self.took.push((h.from, h.to, h.fencing_token, 0));
        self.cut(h.from, h.to);
        ReleaseResult::Released(format!("from-{}", self.listed.id))
    }

    fn cut(&mut self, from: u32, to: u32) {
        let old = std::mem::take(&mut self.held);
        for h in old {
            if h.to < from || h.from > to {
                self.held.push(h);
                continue;
            }
            if h.from < from {
                self.held.push(Held {
                    to: from - 1,
                    ..h.clone()
                });
            }
            if h.to > to {
                self.held.push(Held { from: to + 1, ..h });
            }
        }
    }

    /// Ranges held at the moment.
    pub fn holds(&self, now: u64) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.held
            .iter()
            .filter(move |h| self.up && h.until > now)
            .map(|h| (h.from, h.to))
    }
}
