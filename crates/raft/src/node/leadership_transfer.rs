//! Graceful transfer of leadership (dissertation, 3.10).

use super::RaftNode;
use crate::message::MessageType;
use crate::progress::Progress;

/// A transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    to: u64,
    started_at: u64,
}

impl RaftNode {
    /// Transfers leadership to the voter that has most of the log, once it has every entry.
    /// Until then no entry is proposed. If the transfer does not complete within two election
    /// timeouts, this node remains the leader and accepts proposals again.
    pub fn transfer_leadership(&mut self) {
        if !self.is_leader() || self.transfer.is_some() {
            return;
        }
        if let Some((to, matched)) = self.best_successor() {
            self.transfer = Some(LeadershipTransfer {
                to,
                started_at: self.now,
            });
            if matched == self.last_index() {
                self.send_timeout_now(to);
            }
        }
    }

    /// Steps down as leader and asks the best successor to start an election immediately.
    pub(super) fn step_down(&mut self) {
        if let Some((to, _)) = self.best_successor() {
            self.send_timeout_now(to);
        }
        self.become_follower(self.term(), 0);
    }

    /// Abandons a transfer that its target has not completed in time.
    pub(super) fn expire_transfer(&mut self) {
        let limit_ms = 2 * self.config.election_timeout_ms;
        let has_expired = |t: &LeadershipTransfer| self.now.saturating_sub(t.started_at) > limit_ms;
        if self.transfer.as_ref().is_some_and(has_expired) {
            self.transfer = None;
        }
    }

    /// Handles a response from node `from`: if it is the transfer target and now has every
    /// entry, it is asked to start an election.
    pub(super) fn continue_transfer(&mut self, from: u64) {
        let last = self.last_index();
        let has_all_entries = self.progress.get(&from).is_some_and(|p| p.matched == last);
        if has_all_entries && self.transfer.is_some_and(|t| t.to == from) {
            self.send_timeout_now(from);
        }
    }

    /// Returns the voter in contact that has most of the log, preferring one that is not
    /// shutting down, and the index of the last entry that it has.
    fn best_successor(&self) -> Option<(u64, u64)> {
        let other_voters = self.membership.voters.iter().filter(|v| v.id != self.id);
        let known = other_voters.filter_map(|v| self.progress.get(&v.id).map(|p| (v.id, p)));
        let is_in_contact =
            |p: &Progress| self.now.saturating_sub(p.last_heard) < self.config.election_timeout_ms;
        known
            .filter(|(_, p)| is_in_contact(p))
            .max_by_key(|(id, p)| (p.matched, !p.is_shutting_down(), p.last_heard, *id))
            .map(|(id, p)| (id, p.matched))
    }

    fn send_timeout_now(&mut self, to: u64) {
        let message = self.message(MessageType::TimeoutNow);
        self.send(to, message);
    }
}
