//! Relaying the log to learners. Nodes without a vote subscribe to a voter near them instead
//! of the leader: hundreds of learners would cost one leader too much. A voter relays what is
//! committed, and only while it hears the leader itself. Nothing here decides anything: what
//! is committed stays committed.

use super::RaftNode;
use crate::message::{Message, MessageType};
use crate::progress::Progress;
use crate::upstream_selection::Upstream;

/// Who leads, in which term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    leader: u64,
    term: u64,
}

/// The learner's side.
impl RaftNode {
    /// Takes the log from a voter from now on, and asks it to begin.
    pub fn subscribe(&mut self, now: u64, voter: u64) {
        self.now = now;
        self.upstream = Upstream {
            id: voter,
            last_heard: now,
            answered: false,
        };
        self.repeat_subscription();
    }

    /// Asks again a voter that has not answered yet: it may only just have started.
    pub fn repeat_subscription(&mut self) {
        if self.upstream.id == 0 || self.upstream.answered {
            return;
        }
        let message = Message {
            index: self.commit_index,
            applied: self.applied_index,
            ..self.message(MessageType::Subscribe)
        };
        self.send(self.upstream.id, message);
    }

    /// The voter that this node takes the log from.
    pub fn upstream(&self) -> Upstream {
        self.upstream
    }

    /// Whether a relayed message comes from this node's upstream. Voters hear the leader
    /// alone; until one voter answers, any that was asked will do.
    pub(super) fn accepts_relayed(&mut self, from: u64) -> bool {
        let is_upstream = self.upstream.id == from || !self.upstream.answered;
        let accepts = is_upstream && !self.membership.contains(self.id);
        if accepts {
            self.upstream = Upstream {
                id: from,
                last_heard: self.now,
                answered: true,
            };
        }
        accepts
    }

    /// The upstream is sending a large message, though it is not complete yet.
    pub(super) fn note_upstream_sends(&mut self, from: u64) {
        if self.upstream.id == from {
            self.upstream.answered = true;
            self.upstream.last_heard = self.now;
        }
    }
}

/// The voter's side.
impl RaftNode {
    /// A learner asks for the log after `request.index`, up to which it has what is committed.
    pub(super) fn handle_subscribe(&mut self, from: u64, request: &Message) {
        if !self.membership.contains(self.id) {
            return;
        }
        let progress = Progress {
            matched: request.index,
            next_index: request.index + 1,
            applied: request.applied,
            last_heard: self.now,
            ..Default::default()
        };
        self.subscribers.insert(from, progress);
        self.relay_to(from, true);
    }

    /// A subscriber has answered.
    pub(super) fn handle_subscriber_response(&mut self, from: u64, response: &Message) {
        let applied_before = self.applied_by_all();
        let (now, snapshot_resend_ms) = (self.now, self.config.snapshot_resend_ms);
        let Some(subscriber) = self.subscribers.get_mut(&from) else {
            return;
        };
        subscriber.last_heard = now;
        subscriber.applied = response.applied;
        // While a snapshot is on its way, a rejection of something else is no news: sent again
        // for each, snapshots would fill a narrow link.
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
        self.report_applied_since(applied_before);
    }

    /// The leader waits for this node's subscribers as well.
    fn report_applied_since(&mut self, applied_before: u64) {
        let applied = self.applied_by_all();
        if applied > applied_before && !self.is_leader() && self.leader_id != 0 {
            let message = Message {
                applied,
                ..self.message(MessageType::AppendEntriesResponse)
            };
            self.send(self.leader_id, message);
        }
    }

    /// The index up to which this node and its subscribers have applied.
    pub(super) fn applied_by_all(&self) -> u64 {
        let subscribers = self.subscribers.values().map(|s| s.applied).min();
        subscribers.unwrap_or(u64::MAX).min(self.applied_index)
    }

    /// Whether what this node says of the leader is recent.
    fn is_in_contact(&self) -> bool {
        let timeout = self.config.election_timeout_ms;
        if self.is_leader() {
            self.has_heard_majority(timeout)
        } else {
            self.leader_id != 0 && self.now.saturating_sub(self.leader_heard_at) < timeout
        }
    }

    /// Relays what has just been committed.
    pub(super) fn relay_new_entries(&mut self) {
        self.relay_to_all(false);
    }

    /// Relays at the learners' pace, and at once when another node leads.
    pub(super) fn relay_by_time(&mut self) {
        let leadership = Leadership {
            leader: self.leader_id,
            term: self.term(),
        };
        let is_news = leadership != self.relayed_leadership && self.leader_id != 0;
        if is_news || self.now >= self.next_relay_at {
            if is_news {
                self.relayed_leadership = leadership;
            }
            self.next_relay_at = self.now + self.config.learner_heartbeat_ms;
            self.relay_to_all(true);
        }
    }

    /// Sends subscribers what they lack; `heartbeat` also those that lack nothing.
    fn relay_to_all(&mut self, heartbeat: bool) {
        if self.subscribers.is_empty() {
            return;
        }
        let (now, timeout) = (self.now, self.config.peer_timeout_ms);
        self.subscribers
            .retain(|_, s| now.saturating_sub(s.last_heard) < timeout);
        let ids: Vec<u64> = self.subscribers.keys().copied().collect();
        for id in ids {
            self.relay_to(id, heartbeat);
        }
    }

    fn relay_to(&mut self, to: u64, heartbeat: bool) {
        if !self.is_in_contact() || self.is_leader() && self.transfer.is_some() {
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
            // What comes after the snapshot may follow at once.
            subscriber.next_index = snapshot.index + 1;
        }
        let message = Message {
            snapshot: Some(snapshot),
            ..self.relayed_message(MessageType::InstallSnapshot, 0)
        };
        self.send(to, message);
    }

    /// A message that also says who leads.
    fn relayed_message(&self, message_type: MessageType, index: u64) -> Message {
        Message {
            index,
            log_term: self.log.term_at(index).unwrap_or(0),
            // What the leader has said is committed, though this node may not have it yet:
            // otherwise a subscriber would take itself for current too soon.
            commit: self.commit_index.max(self.announced_commit),
            leader: self.leader_id,
            ..self.message(message_type)
        }
    }
}
