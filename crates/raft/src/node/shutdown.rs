//! Ending in order: a voter stays until the others go on with all that it holds.

use super::RaftNode;
use crate::durability::can_shut_down;
use crate::message::{Message, MessageType};

impl RaftNode {
    /// This node is about to end: it passes leadership on, or tells the leader so. To be
    /// repeated until [`RaftNode::is_shutdown_safe`], or until there is no more time.
    pub fn announce_shutdown(&mut self, now: u64) {
        self.now = now;
        self.shutting_down = true;
        if self.is_leader() {
            self.shutdown_granted = false;
            self.transfer_leadership();
        } else if self.leader_id != 0 {
            let message = Message {
                index: self.last_index(),
                ..self.message(MessageType::ShutdownRequest)
            };
            self.send(self.leader_id, message);
        }
    }

    /// Whether nothing would be lost, for good or for now, if this node ended: it does not
    /// vote, or the leader has said that the others go on with all that it holds.
    pub fn is_shutdown_safe(&self) -> bool {
        !self.membership.contains(self.id) || self.shutdown_granted && !self.is_leader()
    }

    pub(super) fn handle_shutdown_request(&mut self, from: u64, request: &Message) {
        if !self.is_leader() || request.term != self.term() {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.last_heard = self.now;
            progress.shutdown_announced_at = Some(self.now);
        }
        let all_committed = request.index <= self.commit_index;
        let contact_ms = self.config.election_timeout_ms;
        let reply = Message {
            granted: all_committed && can_shut_down(self, from, self.now, contact_ms),
            ..self.message(MessageType::ShutdownResponse)
        };
        self.send(from, reply);
    }
}
