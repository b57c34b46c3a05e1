//! Graceful shutdown: a voter stays until the other voters can continue with everything that
//! it has stored.

use super::RaftNode;
use crate::durability::can_shut_down;
use crate::message::{Message, MessageType};

impl RaftNode {
    /// Announces that this node is about to shut down: a leader transfers leadership, any
    /// other node notifies the leader. The call is to be repeated until
    /// [`RaftNode::is_shutdown_safe`] or until the time for the shutdown has run out.
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

    /// Returns whether this node can stop without loss of data or availability: it is not a
    /// voter, or the leader has confirmed that the other voters can continue with everything
    /// that it has stored.
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
        let log_is_committed = request.index <= self.commit_index;
        let contact_ms = self.config.election_timeout_ms;
        let reply = Message {
            granted: log_is_committed && can_shut_down(self, from, self.now, contact_ms),
            ..self.message(MessageType::ShutdownResponse)
        };
        self.send(from, reply);
    }
}
