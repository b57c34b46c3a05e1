//! Which voter a learner takes the log from: one of its zone, or else of its region, or else
//! any; another one when that falls silent.

use std::collections::BTreeMap;

/// The voter that a learner takes the log from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upstream {
    /// Its identity; 0 for none: the leader itself.
    pub id: u64,
    /// When it was last heard, or first asked, ms.
    pub last_heard: u64,
    /// It has sent something since it was asked.
    pub answered: bool,
}

/// A voter, or a node with a disk, that could be the upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCandidate {
    /// Its identity.
    pub id: u64,
    /// It is in the learner's zone.
    pub same_zone: bool,
    /// It is in the learner's region.
    pub same_region: bool,
}

/// How long silence is borne.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamTimeouts {
    /// An upstream that is silent for longer is left, ms.
    pub silence_ms: u64,
    /// One that was left is not asked again for this long, ms.
    pub avoid_ms: u64,
}

/// Chooses upstreams, and remembers which ones fell silent.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    /// Until when those that fell silent are avoided, ms.
    avoided_until: BTreeMap<u64, u64>,
}

impl UpstreamSelector {
    /// The upstream of learner `own_id` from `now` (ms) on, if it is another than now.
    pub fn select(
        &mut self,
        now: u64,
        own_id: u64,
        current: Upstream,
        candidates: &[UpstreamCandidate],
        timeouts: UpstreamTimeouts,
    ) -> Option<u64> {
        self.avoided_until.retain(|_, until| now < *until);
        let is_silent = current.id != 0 && now.saturating_sub(current.last_heard) >= timeouts.silence_ms;
        if is_silent {
            self.avoided_until.insert(current.id, now + timeouts.avoid_ms);
        }
        let rank = |candidate: &&UpstreamCandidate| {
            let avoided = self.avoided_until.get(&candidate.id).copied().unwrap_or(0);
            let spread = mix(candidate.id, own_id);
            (avoided, !candidate.same_zone, !candidate.same_region, spread)
        };
        let best = candidates.iter().min_by_key(rank)?.id;
        (best != current.id || is_silent).then_some(best)
    }
}

/// Spreads the learners evenly over equal candidates.
fn mix(candidate: u64, learner: u64) -> u64 {
    (candidate ^ learner)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
}
