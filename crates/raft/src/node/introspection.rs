//! Read-only accessors of a node: its role, log, leadership and lease.

use super::{RaftNode, Role};
use crate::log::LogPosition;
use crate::message::{Membership, Voter};
use crate::progress::Progress;

/// Accessors for the driver and for the other parts of the protocol.
impl RaftNode {
    /// Returns the node's identity.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the latest term that the node has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the node's role in its current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns whether the node is the leader.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Returns the identity of the leader as far as this node knows; 0 for none.
    pub fn leader_id(&self) -> u64 {
        self.leader_id
    }

    /// Returns the membership in force on this node: the newest in its log, whether or not it
    /// is committed.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the time since which this process has known the current membership, in
    /// milliseconds.
    pub fn membership_since(&self) -> u64 {
        self.membership_since
    }

    /// Returns whether a membership change is not committed yet.
    pub fn is_membership_pending(&self) -> bool {
        self.membership_index > self.commit_index
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the index and term of the last entry in the log.
    pub fn last_position(&self) -> LogPosition {
        self.log.last_position()
    }

    /// Returns the number of entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Returns the size of the data of the entries after the snapshot, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the size of the snapshot's data, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.log.snapshot().data.len()
    }

    /// Returns the number of received snapshots that could not be read.
    pub fn unreadable_snapshots(&self) -> u64 {
        self.unreadable_snapshots
    }

    /// Returns whether this process has caught up with the commit index that a leader
    /// announced to it. After a restart of all nodes, a new leader does not know that any
    /// entry after its snapshot is committed until an entry of its own term is. Before that,
    /// its state may be older than what was acknowledged.
    pub fn is_current(&self) -> bool {
        let is_committed_in_term = self.log.term_at(self.commit_index) == Some(self.term());
        let is_caught_up =
            self.leader_id != 0 && self.announced_commit > 0 && self.commit_index >= self.announced_commit;
        is_committed_in_term && (self.is_leader() || is_caught_up)
    }

    /// Returns whether the node leads and has committed an entry of its own term. It then
    /// knows of every entry that was ever committed (dissertation, 6.4).
    pub fn is_established_leader(&self) -> bool {
        self.is_leader() && self.log.term_at(self.commit_index) == Some(self.term())
    }

    /// Returns whether the node may act as the only leader at `now`, in milliseconds: a
    /// majority has recently answered it and elects no other node before the lease expires
    /// (dissertation, 6.4.1).
    pub fn holds_lease(&self, now: u64) -> bool {
        self.is_established_leader() && self.transfer.is_none() && now < self.lease_until
    }

    /// Returns the time since which the node has been the leader, in milliseconds.
    pub fn leader_since(&self) -> u64 {
        self.leader_since
    }

    /// Returns the time at which the node last heard from the leader that it follows, in
    /// milliseconds.
    pub fn leader_heard_at(&self) -> u64 {
        self.leader_heard_at
    }

    /// Returns the time of the node's last contact with a majority, in milliseconds. On the
    /// leader, this is the time since which a majority has been heard from; on other nodes,
    /// the time at which the leader was last heard from.
    pub fn majority_heard_at(&self, now: u64) -> u64 {
        if !self.is_leader() {
            return self.leader_heard_at;
        }
        let last_heard = |v: &Voter| match self.progress.get(&v.id) {
            _ if v.id == self.id => now,
            Some(p) => p.last_heard,
            None => 0,
        };
        self.majority_value(last_heard).unwrap_or(0)
    }

    /// Returns the replication state of another node; meaningful only while this node leads.
    pub fn progress(&self, id: u64) -> Option<&Progress> {
        self.progress.get(&id)
    }

    /// Returns the index of the last entry known to be on a voter's disk, as the leader knows
    /// it.
    pub fn persisted_index_of(&self, id: u64) -> u64 {
        match self.progress.get(&id) {
            _ if id == self.id => self.persisted_index,
            progress => progress.map_or(0, |p| p.matched),
        }
    }

    /// Returns the largest value that a majority of the voters has reached.
    pub(super) fn majority_value(&self, value_of: impl Fn(&Voter) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.membership.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.membership.majority() - 1).copied()
    }

    /// Returns whether a majority, including this node, was heard from within the last
    /// `within_ms` milliseconds.
    pub(super) fn has_heard_majority(&self, within_ms: u64) -> bool {
        let is_in_contact = |v: &&Voter| {
            let progress = self.progress.get(&v.id);
            v.id == self.id || progress.is_some_and(|p| self.now.saturating_sub(p.last_heard) < within_ms)
        };
        let voters_in_contact = self.membership.voters.iter().filter(is_in_contact).count();
        voters_in_contact >= self.membership.majority()
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let ids = self.membership.voters.iter().map(|v| v.id);
        ids.filter(|id| *id != self.id).collect()
    }
}
