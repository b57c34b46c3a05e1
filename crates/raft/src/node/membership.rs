//! Changes of the membership, one voter at a time (dissertation, 4.1), and the learners.

use super::replication::SendMode;
use super::RaftNode;
use crate::message::{Entry, EntryType, Membership};
use crate::progress::Progress;
use prost::Message as _;
use std::collections::BTreeSet;

impl RaftNode {
    /// Proposes a membership that differs from the one in force by at most one voter; `false`
    /// if that cannot be done now.
    pub fn propose_membership(&mut self, membership: &Membership) -> bool {
        if !self.is_established_leader() || self.is_membership_pending() || membership.voters.is_empty() {
            return false;
        }
        let ids = |m: &Membership| -> BTreeSet<u64> { m.voters.iter().map(|v| v.id).collect() };
        let (before, after) = (ids(&self.membership), ids(membership));
        if before.symmetric_difference(&after).count() > 1 {
            return false;
        }
        self.append_own(EntryType::Membership, membership.encode_to_vec());
        true
    }

    /// Tells a leader which nodes without a vote it is to replicate to.
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
                let fresh = Progress {
                    next_index,
                    ..Default::default()
                };
                self.progress.insert(*id, fresh);
                self.send_entries(*id, SendMode::Always);
            }
        }
    }

    /// A membership is in force as soon as it is in the log.
    pub(super) fn adopt_membership_of(&mut self, entry: &Entry) {
        let Ok(membership) = Membership::decode(entry.data.as_slice()) else {
            return;
        };
        self.membership = membership;
        self.membership_index = entry.index;
        self.membership_since = self.now;
        if !self.is_leader() {
            return;
        }
        let fresh = Progress {
            next_index: self.last_index() + 1,
            last_heard: self.now,
            ..Default::default()
        };
        for id in self.other_voters() {
            self.progress.entry(id).or_insert_with(|| fresh.clone());
        }
    }

    /// Reads the membership off the log after entries were dropped.
    pub(super) fn reload_membership(&mut self) {
        (self.membership, self.membership_index) = self.log.membership_at(u64::MAX);
    }
}
