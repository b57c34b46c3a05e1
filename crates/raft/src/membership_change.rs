//! Plans membership changes on the leader: which voter to add or remove next, one voter at a
//! time, so that a tolerated loss never takes the majority.

mod planner;

use crate::config::VoterTimeouts;
use crate::durability::is_in_contact;
use crate::fault_tolerance::FaultTolerance;
use crate::message::{Membership, Voter};
use crate::node::RaftNode;
use crate::progress::Progress;
use planner::Planner;

/// Another node of this cluster, as reported by the failure detector.
#[derive(Clone, Debug)]
pub struct PeerObservation {
    /// The node's identity and location.
    pub voter: Voter,
    /// Whether the node has a disk, which it needs in order to vote.
    pub has_disk: bool,
    /// Whether the node answers probes.
    pub is_alive: bool,
}

/// Maximum number of entries that a learner may lack to count as caught up.
const MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 8;

/// Returns the membership to propose next, or `None` if no change is needed or possible.
///
/// A caught-up learner with a disk is added; a voter whose disk is lost, that has shut down or
/// that has long been unresponsive is removed. Of the possible changes, the one that leaves
/// the largest margin is chosen. If the current voters are enough for a loss that may still
/// happen, no change is chosen that leaves too few.
pub fn next_membership(
    node: &RaftNode,
    now: u64,
    peers: &[PeerObservation],
    tolerance: FaultTolerance,
    timeouts: VoterTimeouts,
) -> Option<Membership> {
    if !node.is_established_leader() || node.is_membership_pending() {
        return None;
    }
    let view = LeaderView {
        node,
        now,
        peers,
        timeouts,
    };
    Planner::new(view, tolerance)?.next_membership()
}

/// The leader's view of the other nodes.
struct LeaderView<'a> {
    node: &'a RaftNode,
    now: u64,
    peers: &'a [PeerObservation],
    timeouts: VoterTimeouts,
}

impl<'a> LeaderView<'a> {
    fn voters(&self) -> Vec<&'a Voter> {
        self.node.membership().voters.iter().collect()
    }

    fn is_in_contact(&self, voter: &Voter) -> bool {
        is_in_contact(self.node, voter.id, self.now, self.timeouts.contact_ms)
    }

    fn last_heard(&self, voter: &Voter) -> u64 {
        self.node.progress(voter.id).map_or(0, |p| p.last_heard)
    }

    fn unresponsive_ms(&self, voter: &Voter) -> u64 {
        self.now.saturating_sub(self.last_heard(voter))
    }

    fn is_shutting_down(&self, voter: &Voter) -> bool {
        let progress = self.node.progress(voter.id);
        progress.is_some_and(Progress::is_shutting_down)
    }

    /// Returns whether the voter's disk is lost: another identity is running at the same
    /// address.
    fn is_wiped(&self, voter: &Voter) -> bool {
        let is_replacement = |p: &PeerObservation| p.voter.address == voter.address && p.voter.id != voter.id;
        self.peers.iter().any(is_replacement)
    }

    fn is_lost(&self, voter: &Voter) -> bool {
        !self.is_in_contact(voter) || self.is_wiped(voter) || self.is_shutting_down(voter)
    }

    /// Returns whether a lost machine is running again and caught up, with its old disk or an
    /// empty one. It may then be promoted, and the next failure counts as a separate loss.
    fn has_returned(&self, voter: &Voter) -> bool {
        let is_same_machine =
            |p: &&PeerObservation| p.voter.id == voter.id || p.voter.address == voter.address;
        let is_caught_up =
            |p: &PeerObservation| self.is_in_contact(&p.voter) && self.is_caught_up(p.voter.id);
        self.peers.iter().filter(is_same_machine).any(is_caught_up)
    }

    /// Returns the estimated time at which a lost voter was lost, in milliseconds. A wiped
    /// machine is running again, so its loss counts as the latest.
    fn lost_at(&self, voter: &Voter) -> u64 {
        if self.is_wiped(voter) {
            u64::MAX
        } else {
            self.last_heard(voter)
        }
    }

    /// Returns whether a node has nearly all entries of this leader's log on its disk.
    fn is_caught_up(&self, id: u64) -> bool {
        let matched = self.node.progress(id).map_or(0, |p| p.matched);
        matched > 0 && matched + MAX_CAUGHT_UP_LAG_ENTRIES >= self.node.last_index()
    }

    /// Returns the learners that can be promoted to voters.
    fn promotable_learners(&self) -> Vec<&'a Voter> {
        let eligible = self.peers.iter().filter(|p| p.has_disk && p.is_alive);
        eligible
            .map(|p| &p.voter)
            .filter(|v| !self.node.membership().contains(v.id))
            .filter(|v| self.is_in_contact(v) && !self.is_shutting_down(v))
            .filter(|v| self.is_caught_up(v.id))
            .collect()
    }

    /// Returns whether any live learner with a disk is still catching up.
    fn is_any_learner_catching_up(&self) -> bool {
        self.peers.iter().any(|p| {
            let is_voter = self.node.membership().contains(p.voter.id);
            p.has_disk && p.is_alive && !is_voter && !self.is_caught_up(p.voter.id)
        })
    }
}
