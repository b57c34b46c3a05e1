//! Selects the voter that relays the log to a learner: one in the learner's zone, else in its
//! region, else any. Another voter is selected when the current one becomes unresponsive.

use std::collections::BTreeMap;

/// The voter that relays the log to a learner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upstream {
    /// Identity of the voter. 0 for none: the leader itself replicates to the learner.
    pub id: u64,
    /// Time at which the upstream was last heard from, or was subscribed to, in milliseconds.
    pub last_heard: u64,
    /// Whether the upstream has sent something since it was subscribed to.
    pub has_answered: bool,
}

/// A voter, or another node with a disk, that could be the upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCandidate {
    /// Identity of the node.
    pub id: u64,
    /// Whether the node is in the learner's zone.
    pub is_same_zone: bool,
    /// Whether the node is in the learner's region.
    pub is_same_region: bool,
}

/// Timeouts for replacing an unresponsive upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamTimeouts {
    /// Time after which an unresponsive upstream is replaced, in milliseconds.
    pub unresponsive_ms: u64,
    /// Time for which a replaced upstream is avoided, in milliseconds.
    pub backoff_ms: u64,
}

/// Selects upstreams and remembers which ones became unresponsive.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    /// Time until which each unresponsive upstream is avoided, in milliseconds.
    avoided_until: BTreeMap<u64, u64>,
}

impl UpstreamSelector {
    /// Returns the upstream that learner `own_id` should switch or resubscribe to at `now` (in
    /// milliseconds), or `None` to keep the current one.
    pub fn select(
        &mut self,
        now: u64,
        own_id: u64,
        current: Upstream,
        candidates: &[UpstreamCandidate],
        timeouts: UpstreamTimeouts,
    ) -> Option<u64> {
        self.avoided_until.retain(|_, until| now < *until);
        let is_unresponsive =
            current.id != 0 && now.saturating_sub(current.last_heard) >= timeouts.unresponsive_ms;
        if is_unresponsive {
            self.avoided_until.insert(current.id, now + timeouts.backoff_ms);
        }
        let rank = |candidate: &&UpstreamCandidate| {
            let avoided = self.avoided_until.get(&candidate.id).copied().unwrap_or(0);
            let hash = spread_hash(candidate.id, own_id);
            (avoided, !candidate.is_same_zone, !candidate.is_same_region, hash)
        };
        let best = candidates.iter().min_by_key(rank)?.id;
        (best != current.id || is_unresponsive).then_some(best)
    }
}

/// Hashes a candidate and a learner, so that learners are spread evenly over equally near
/// candidates.
fn spread_hash(candidate: u64, learner: u64) -> u64 {
    (candidate ^ learner)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29)
}
