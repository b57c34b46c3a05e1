//! What a node tells of itself: its role, its log, its leadership and its lease.

use super::{RaftNode, Role};
use crate::log::LogPosition;
use crate::message::{Membership, Voter};
use crate::progress::Progress;

/// What a node tells of itself.
impl RaftNode {
    /// Its identity.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The latest term that it has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Its role in that term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader as far as this node knows; 0 for none.
    pub fn leader_id(&self) -> u64 {
        self.leader_id
    }

    /// The membership in force here: the newest in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Since when the membership is as it is, as far as this process knows, ms.
    pub fn membership_since(&self) -> u64 {
        self.membership_since
    }

    /// Whether a change of the membership is not committed yet.
    pub fn is_membership_pending(&self) -> bool {
        self.membership_index > self.commit_index
    }

    /// The last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index and term of the last entry.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// Entries since the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Data of the entries since the snapshot, bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Data of the snapshot, bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.log.snapshot().data.len()
    }

    /// Snapshots that arrived and could not be read.
    pub fn unreadable_snapshots(&self) -> u64 {
        self.unreadable_snapshots
    }

    /// Whether this process has caught up with what a leader told it is committed. After a
    /// restart of all nodes a new leader knows of nothing behind its snapshot that it is
    /// committed, until an entry of its own term is: what it shows before that may be older
    /// than what was acknowledged.
    pub fn is_current(&self) -> bool {
        let in_term = self.log.term_at(self.commit_index) == Some(self.term());
        let caught_up =
            self.leader_id != 0 && self.announced_commit > 0 && self.commit_index >= self.announced_commit;
        in_term && (self.is_leader() || caught_up)
    }

    /// Whether it leads and has committed an entry of its own term: it then knows of all that
    /// was ever committed (dissertation, 6.4).
    pub fn is_established_leader(&self) -> bool {
        self.is_leader() && self.log.term_at(self.commit_index) == Some(self.term())
    }

    /// Whether it may act as the only leader at `now` ms: a majority has answered it lately
    /// and elects nobody else before the lease ends (dissertation, 6.4.1).
    pub fn holds_lease(&self, now: u64) -> bool {
        self.is_established_leader() && self.transfer.is_none() && now < self.lease_until
    }

    /// Since when it leads, ms.
    pub fn leader_since(&self) -> u64 {
        self.leader_since
    }

    /// When it last heard the leader that it follows, ms.
    pub fn leader_heard_at(&self) -> u64 {
        self.leader_heard_at
    }

    /// When it last had word of a majority, ms: as the leader the moment since which a
    /// majority has been heard, else when it last heard the leader that it follows.
    pub fn majority_heard_at(&self, now: u64) -> u64 {
        if !self.is_leader() {
            return self.leader_heard_at;
        }
        let heard = |v: &Voter| match self.progress.get(&v.id) {
            _ if v.id == self.id => now,
            Some(p) => p.last_heard,
            None => 0,
        };
        self.majority_value(heard).unwrap_or(0)
    }

    /// What it knows of another node, while it leads.
    pub fn progress(&self, id: u64) -> Option<&Progress> {
        self.progress.get(&id)
    }

    /// The last entry known to be on a voter's disk, as the leader knows it.
    pub fn persisted_by(&self, id: u64) -> u64 {
        match self.progress.get(&id) {
            _ if id == self.id => self.persisted_index,
            progress => progress.map_or(0, |p| p.matched),
        }
    }

    /// The largest value that a majority of the voters has reached.
    pub(super) fn majority_value(&self, of: impl Fn(&Voter) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.membership.voters.iter().map(of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.membership.majority() - 1).copied()
    }

    /// Whether a majority, this node included, was heard within so many ms.
    pub(super) fn has_heard_majority(&self, within_ms: u64) -> bool {
        let heard = |v: &&Voter| {
            let progress = self.progress.get(&v.id);
            v.id == self.id || progress.is_some_and(|p| self.now.saturating_sub(p.last_heard) < within_ms)
        };
        let heard = self.membership.voters.iter().filter(heard).count();
        heard >= self.membership.majority()
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let ids = self.membership.voters.iter().map(|v| v.id);
        ids.filter(|id| *id != self.id).collect()
    }
}
