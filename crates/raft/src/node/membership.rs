//! Membership changes, one voter at a time (dissertation, 4.1), and the set of learners.

use super::replication::SendMode;
use super::RaftNode;
use crate::message::{Entry, EntryType, Membership};
use crate::progress::Progress;
use prost::Message as _;
use std::collections::BTreeSet;

impl RaftNode {
    /// Proposes a membership that differs by at most one voter from the one in force. Returns
    /// `false` if the change is not possible now.
    pub fn propose_membership(&mut self, membership: &Membership) -> bool {
        if !self.is_established_leader() || self.is_membership_pending() || membership.voters.is_empty() {
            return false;
        }
        let voter_ids = |m: &Membership| -> BTreeSet<u64> { m.voters.iter().map(|v| v.id).collect() };
        let (before, after) = (voter_ids(&self.membership), voter_ids(membership));
        if before.symmetric_difference(&after).count() > 1 {
            return false;
        }
        self.append_in_current_term(EntryType::Membership, membership.encode_to_vec());
        true
    }

    /// Sets the learners that a leader replicates to.
    pub fn set_learners(&mut self, learners: &BTreeSet<u64>) {
        if !self.is_leader() {
            return;
        }
        let membership = &self.membership;
        self.progress
            .retain(|id, _| membership.contains(*id) || learners.contains(id));
        let next_index = self.last_index() + 1;
        for id in learners {
            if *id != self.id && !self.progress.contains_key(id) {
                let initial_progress = Progress {
                    next_index,
                    ..Default::default()
                };
                self.progress.insert(*id, initial_progress);
                self.send_entries(*id, SendMode::Always);
            }
        }
    }

    /// Puts the membership of an entry in force, which happens as soon as the entry is in the
    /// log.
    pub(super) fn adopt_membership_from(&mut self, entry: &Entry) {
        let Ok(membership) = Membership::decode(entry.data.as_slice()) else {
            return;
        };
        self.membership = membership;
        self.membership_index = entry.index;
        self.membership_since = self.now;
        if !self.is_leader() {
            return;
        }
        let initial_progress = Progress {
            next_index: self.last_index() + 1,
            last_heard: self.now,
            ..Default::default()
        };
        for id in self.other_voters() {
            self.progress
                .entry(id)
                .or_insert_with(|| initial_progress.clone());
        }
    }

    /// Reloads the membership from the log after entries were removed.
    pub(super) fn reload_membership(&mut self) {
        (self.membership, self.membership_index) = self.log.membership_at(u64::MAX);
    }
}
