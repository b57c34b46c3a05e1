//! Passing leadership on in order (dissertation, 3.10).

use super::RaftNode;
use crate::message::MessageType;
use crate::progress::Progress;

/// A transfer under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    to: u64,
    since: u64,
}

impl RaftNode {
    /// Passes leadership to the voter that has most of the log, once that has every entry.
    /// Until then, and no longer than a failed election takes, nothing is proposed; then this
    /// node leads on.
    pub fn transfer_leadership(&mut self) {
        if !self.is_leader() || self.transfer.is_some() {
            return;
        }
        if let Some((to, matched)) = self.best_successor() {
            self.transfer = Some(LeadershipTransfer { to, since: self.now });
            if matched == self.last_index() {
                self.send_timeout_now(to);
            }
        }
    }

    /// Ends its leadership, and asks the best successor to stand at once.
    pub(super) fn step_down(&mut self) {
        if let Some((to, _)) = self.best_successor() {
            self.send_timeout_now(to);
        }
        self.become_follower(self.term(), 0);
    }

    /// Gives up a transfer that its target has not carried out.
    pub(super) fn expire_transfer(&mut self) {
        let most = 2 * self.config.election_timeout_ms;
        let expired = |t: &LeadershipTransfer| self.now.saturating_sub(t.since) > most;
        if self.transfer.as_ref().is_some_and(expired) {
            self.transfer = None;
        }
    }

    /// A node has answered: if it is the target and has every entry now, it may stand.
    pub(super) fn continue_transfer(&mut self, from: u64) {
        let last = self.last_index();
        let has_all = self.progress.get(&from).is_some_and(|p| p.matched == last);
        if has_all && self.transfer.is_some_and(|t| t.to == from) {
            self.send_timeout_now(from);
        }
    }

    /// The voter in contact that has most of the log, rather one that is not shutting down,
    /// and the last entry that it has.
    fn best_successor(&self) -> Option<(u64, u64)> {
        let others = self.membership.voters.iter().filter(|v| v.id != self.id);
        let known = others.filter_map(|v| self.progress.get(&v.id).map(|p| (v.id, p)));
        let in_contact =
            |p: &Progress| self.now.saturating_sub(p.last_heard) < self.config.election_timeout_ms;
        known
            .filter(|(_, p)| in_contact(p))
            .max_by_key(|(id, p)| (p.matched, !p.is_shutting_down(), p.last_heard, *id))
            .map(|(id, p)| (id, p.matched))
    }

    fn send_timeout_now(&mut self, to: u64) {
        let message = self.message(MessageType::TimeoutNow);
        self.send(to, message);
    }
}
