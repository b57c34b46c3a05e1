//! The leader's management of learners and voters.

use super::driver::RaftDriver;
use config::timing;
use gossip::Member;
use raft::{next_membership, PeerObservation, Voter};
use std::collections::BTreeSet;

impl RaftDriver {
    /// Returns the IDs of all other nodes with a disk that may belong to this cluster.
    pub(super) fn learners(&self) -> BTreeSet<u64> {
        let status = self.context.status.get();
        let members = self.context.members.get();
        let may_be_in_cluster = |m: &&Member| m.cluster == 0 || m.cluster == status.cluster;
        let members_with_disk = members.iter().filter(|m| m.has_disk).filter(may_be_in_cluster);
        let ids = members_with_disk.map(|m| m.id);
        ids.filter(|id| *id != 0 && *id != status.id).collect()
    }

    /// Proposes the next membership if a better one exists. Membership changes one voter at a time.
    pub(super) fn change_membership(&mut self, now: u64) {
        self.raft.set_learners(&self.learners());
        let peers = self.peer_observations();
        let next = next_membership(&self.raft, now, &peers, self.tolerance(), timing::VOTER_TIMEOUTS);
        if let Some(membership) = next {
            let before = self.raft.membership().voters.len();
            let voters = membership.voters.len();
            log::info!("event=membership_change voters={voters} before={before}");
            self.raft.propose_membership(&membership);
        }
    }

    fn peer_observations(&self) -> Vec<PeerObservation> {
        let status = self.context.status.get();
        let members = self.context.members.get();
        // A node that has acknowledged log entries has joined, even if gossip does not show it yet.
        let has_joined = |m: &Member| {
            let answered = self.raft.progress(m.id).is_some_and(|p| p.matched > 0);
            m.cluster == status.cluster || m.cluster == 0 && answered
        };
        let others = members.iter().filter(|m| m.id != 0 && m.id != status.id);
        others
            .filter(|m| has_joined(m))
            .map(|m| PeerObservation {
                voter: Voter {
                    id: m.id,
                    address: m.address.clone(),
                    zone: m.zone.clone(),
                    region: m.region.clone(),
                },
                has_disk: m.has_disk,
                is_alive: m.is_alive(),
            })
            .collect()
    }

    /// Proposes the next membership change as soon as the previous one is committed, without
    /// waiting for the next maintenance round. Returns whether a new change was proposed.
    pub(super) fn continue_membership_change(&mut self) -> bool {
        let is_pending = self.raft.is_leader() && self.raft.is_membership_pending();
        let is_done = std::mem::replace(&mut self.membership_pending, is_pending) && !is_pending;
        if is_done && self.raft.is_established_leader() {
            self.change_membership(self.context.now());
            self.membership_pending = self.raft.is_membership_pending();
        }
        is_done && self.membership_pending
    }
}
