//! The leader's plan for the membership: who is to vote next, one voter at a time, so that a
//! tolerated loss never takes the majority.

mod planner;

use crate::config::SilenceTimeouts;
use crate::durability::is_in_contact;
use crate::fault_tolerance::FaultTolerance;
use crate::message::{Membership, Voter};
use crate::node::RaftNode;
use crate::progress::Progress;
use planner::Planner;

/// Another node of this cluster, as the failure detector shows it.
#[derive(Clone, Debug)]
pub struct PeerObservation {
    /// Who it is and where.
    pub voter: Voter,
    /// It has a disk, and so may vote.
    pub has_disk: bool,
    /// It answers probes.
    pub is_alive: bool,
}

/// Entries that a newcomer may lack and still count as caught up.
const CAUGHT_UP_ENTRIES: u64 = 8;

/// The membership that should come next, if another one should. A caught-up newcomer with a
/// disk is added; a voter whose disk is lost, that has shut down or that has long been silent
/// is removed. Of the changes that are open now the one is taken that leaves the largest
/// margin; none that would leave too few voters after a loss that may still come, if there
/// are enough now.
pub fn next_membership(
    node: &RaftNode,
    now: u64,
    peers: &[PeerObservation],
    tolerance: FaultTolerance,
    timeouts: SilenceTimeouts,
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

/// What the leader sees of the others.
struct LeaderView<'a> {
    node: &'a RaftNode,
    now: u64,
    peers: &'a [PeerObservation],
    timeouts: SilenceTimeouts,
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

    fn silence_ms(&self, voter: &Voter) -> u64 {
        self.now.saturating_sub(self.last_heard(voter))
    }

    fn is_shutting_down(&self, voter: &Voter) -> bool {
        let progress = self.node.progress(voter.id);
        progress.is_some_and(Progress::is_shutting_down)
    }

    /// Whether the disk is lost: another identity is at the same address.
    fn is_wiped(&self, voter: &Voter) -> bool {
        let replaced = |p: &PeerObservation| p.voter.address == voter.address && p.voter.id != voter.id;
        self.peers.iter().any(replaced)
    }

    fn is_lost(&self, voter: &Voter) -> bool {
        !self.is_in_contact(voter) || self.is_wiped(voter) || self.is_shutting_down(voter)
    }

    /// Whether a lost machine is there again and caught up, with its disk or an empty one: it
    /// may be taken in, and whatever is lost next is a loss of its own.
    fn is_back(&self, voter: &Voter) -> bool {
        let same = |p: &&PeerObservation| p.voter.id == voter.id || p.voter.address == voter.address;
        let is_back = |p: &PeerObservation| self.is_in_contact(&p.voter) && self.is_caught_up(p.voter.id);
        self.peers.iter().filter(same).any(is_back)
    }

    /// When a lost voter was lost, as far as that can be told, ms: a wiped machine is back, so
    /// its loss is the latest.
    fn lost_at(&self, voter: &Voter) -> u64 {
        if self.is_wiped(voter) {
            u64::MAX
        } else {
            self.last_heard(voter)
        }
    }

    /// Whether a node has on its disk nearly all that there is.
    fn is_caught_up(&self, id: u64) -> bool {
        let matched = self.node.progress(id).map_or(0, |p| p.matched);
        matched > 0 && matched + CAUGHT_UP_ENTRIES >= self.node.last_index()
    }

    /// Machines without a vote that could have one.
    fn newcomers(&self) -> Vec<&'a Voter> {
        let able = self.peers.iter().filter(|p| p.has_disk && p.is_alive);
        able.map(|p| &p.voter)
            .filter(|v| !self.node.membership().contains(v.id))
            .filter(|v| self.is_in_contact(v) && !self.is_shutting_down(v))
            .filter(|v| self.is_caught_up(v.id))
            .collect()
    }

    /// Whether a machine without a vote is still catching up.
    fn is_anyone_catching_up(&self) -> bool {
        self.peers.iter().any(|p| {
            let votes = self.node.membership().contains(p.voter.id);
            p.has_disk && p.is_alive && !votes && !self.is_caught_up(p.voter.id)
        })
    }
}
