//! Relays the log to learners. Nodes without a vote subscribe to a nearby voter instead of the
//! leader, because replicating to hundreds of learners would overload a single leader. A voter
//! relays only committed entries, and only while it is in contact with the leader. Relaying
//! decides nothing: a committed entry stays committed.

use super::RaftNode;
use crate::message::{Message, MessageType};
use crate::progress::Progress;
use crate::upstream_selection::Upstream;

/// Leader and its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    leader: u64,
    term: u64,
}

/// Learner side.
impl RaftNode {
    /// Subscribes to the log relayed by `voter`.
    pub fn subscribe(&mut self, now: u64, voter: u64) {
        self.now = now;
        self.upstream = Upstream {
            id: voter,
            last_heard: now,
            has_answered: false,
        };
        self.repeat_subscription();
    }

    /// Repeats the subscription if the voter has not answered yet: it may have only just
    /// started.
    pub fn repeat_subscription(&mut self) {
        if self.upstream.id == 0 || self.upstream.has_answered {
            return;
        }
        let message = Message {
            index: self.commit_index,
            applied: self.applied_index,
            ..self.message(MessageType::Subscribe)
        };
        self.send(self.upstream.id, message);
    }

    /// Returns the voter that relays the log to this node.
    pub fn upstream(&self) -> Upstream {
        self.upstream
    }

    /// Returns whether a relayed message from node `from` is accepted, and if so records the
    /// sender as the upstream. Voters accept only messages from the leader itself; until an
    /// upstream has answered, a learner accepts any sender.
    pub(super) fn accepts_relayed(&mut self, from: u64) -> bool {
        let is_upstream = self.upstream.id == from || !self.upstream.has_answered;
        let accepts = is_upstream && !self.membership.contains(self.id);
        if accepts {
            self.upstream = Upstream {
                id: from,
                last_heard: self.now,
                has_answered: true,
            };
        }
        accepts
    }

    /// Records activity of the upstream while it sends a large message that is not complete
    /// yet.
    pub(super) fn note_upstream_activity(&mut self, from: u64) {
        if self.upstream.id == from {
            self.upstream.has_answered = true;
            self.upstream.last_heard = self.now;
        }
    }
}

/// Voter side.
impl RaftNode {
    /// Handles a learner's subscription to the log after `request.index`, up to which it
    /// already has the committed entries.
    pub(super) fn handle_subscribe(&mut self, from: u64, request: &Message) {
        if !self.membership.contains(self.id) {
            return;
        }
        let progress = Progress {
            matched: request.index,
            next_index: request.index + 1,
            applied_index: request.applied,
            last_heard: self.now,
            ..Default::default()
        };
        self.subscribers.insert(from, progress);
        self.relay_to(from, true);
    }

    /// Handles a subscriber's response.
    pub(super) fn handle_subscriber_response(&mut self, from: u64, response: &Message) {
        let applied_before = self.min_applied_index();
        let (now, snapshot_resend_ms) = (self.now, self.config.snapshot_resend_ms);
        let Some(subscriber) = self.subscribers.get_mut(&from) else {
            return;
        };
        subscriber.last_heard = now;
        subscriber.applied_index = response.applied;
        // While a snapshot is in transit, rejections of other messages are expected and
        // ignored: resending the snapshot for each of them would saturate a narrow link.
        let awaits_snapshot = subscriber.awaits_snapshot(now, snapshot_resend_ms);
        if response.granted || !awaits_snapshot {
            subscriber.snapshot_sent_at = None;
            subscriber.matched = response.index;
        }
        if response.granted {
            subscriber.next_index = subscriber.next_index.max(subscriber.matched + 1);
        } else if !awaits_snapshot {
            subscriber.next_index = response.index + 1;
        }
        if subscriber.next_index <= self.commit_index {
            self.relay_to(from, false);
        }
        self.report_applied_if_advanced(applied_before);
    }

    /// Reports the applied index to the leader if it has advanced: the leader also waits for
    /// the subscribers of this node.
    fn report_applied_if_advanced(&mut self, applied_before: u64) {
        let applied = self.min_applied_index();
        if applied > applied_before && !self.is_leader() && self.leader_id != 0 {
            let message = Message {
                applied,
                ..self.message(MessageType::AppendEntriesResponse)
            };
            self.send(self.leader_id, message);
        }
    }

    /// Returns the index up to which this node and all its subscribers have applied entries.
    pub(super) fn min_applied_index(&self) -> u64 {
        let subscribers = self.subscribers.values().map(|s| s.applied_index).min();
        subscribers.unwrap_or(u64::MAX).min(self.applied_index)
    }

    /// Returns whether this node's information about the leader is recent.
    fn has_recent_leader_contact(&self) -> bool {
        let timeout_ms = self.config.election_timeout_ms;
        if self.is_leader() {
            self.has_heard_majority(timeout_ms)
        } else {
            self.leader_id != 0 && self.now.saturating_sub(self.leader_heard_at) < timeout_ms
        }
    }

    /// Relays newly committed entries.
    pub(super) fn relay_new_entries(&mut self) {
        self.relay_to_all(false);
    }

    /// Relays to all subscribers at the learners' heartbeat interval, and immediately when the
    /// leader changes.
    pub(super) fn relay_if_due(&mut self) {
        let leadership = Leadership {
            leader: self.leader_id,
            term: self.term(),
        };
        let leadership_changed = leadership != self.relayed_leadership && self.leader_id != 0;
        if leadership_changed || self.now >= self.next_relay_at {
            if leadership_changed {
                self.relayed_leadership = leadership;
            }
            self.next_relay_at = self.now + self.config.learner_heartbeat_ms;
            self.relay_to_all(true);
        }
    }

    /// Sends subscribers the entries that they lack; if `heartbeat` is set, also notifies
    /// those that lack none.
    fn relay_to_all(&mut self, heartbeat: bool) {
        if self.subscribers.is_empty() {
            return;
        }
        let (now, timeout_ms) = (self.now, self.config.peer_timeout_ms);
        self.subscribers
            .retain(|_, s| now.saturating_sub(s.last_heard) < timeout_ms);
        let ids: Vec<u64> = self.subscribers.keys().copied().collect();
        for id in ids {
            self.relay_to(id, heartbeat);
        }
    }

    fn relay_to(&mut self, to: u64, heartbeat: bool) {
        if !self.has_recent_leader_contact() || self.is_leader() && self.transfer.is_some() {
            return;
        }
        let (now, config) = (self.now, self.config);
        let Some(subscriber) = self.subscribers.get_mut(&to) else {
            return;
        };
        let awaits_snapshot = subscriber.awaits_snapshot(now, config.snapshot_resend_ms);
        if !awaits_snapshot {
            subscriber.rewind_unanswered(now, config.resend_ms);
        }
        let first = subscriber.next_index;
        if first <= self.log.start_index() {
            if !awaits_snapshot {
                self.relay_snapshot(to);
            }
            return;
        }
        if first > self.commit_index && !heartbeat {
            return;
        }
        let entries = self
            .log
            .entries_from(first, self.commit_index, config.append_bytes);
        if let (Some(subscriber), Some(last)) = (self.subscribers.get_mut(&to), entries.last()) {
            subscriber.sent_at = now;
            subscriber.next_index = last.index + 1;
        }
        let message = Message {
            entries,
            ..self.relayed_message(MessageType::AppendEntries, first - 1)
        };
        self.send(to, message);
    }

    fn relay_snapshot(&mut self, to: u64) {
        let snapshot = self.log.snapshot().clone();
        if let Some(subscriber) = self.subscribers.get_mut(&to) {
            subscriber.snapshot_sent_at = Some(self.now);
            subscriber.sent_at = self.now;
            // Entries after the snapshot may be sent without waiting for its confirmation.
            subscriber.next_index = snapshot.index + 1;
        }
        let message = Message {
            snapshot: Some(snapshot),
            ..self.relayed_message(MessageType::InstallSnapshot, 0)
        };
        self.send(to, message);
    }

    /// Creates a message that also names the leader.
    fn relayed_message(&self, message_type: MessageType, index: u64) -> Message {
        Message {
            index,
            log_term: self.log.term_at(index).unwrap_or(0),
            // The leader's commit index, even if this node does not have those entries yet:
            // otherwise a subscriber would consider itself current too early.
            commit: self.commit_index.max(self.announced_commit),
            leader: self.leader_id,
            ..self.message(message_type)
        }
    }
}
