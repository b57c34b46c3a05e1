//! Replication of entries from the leader to the other nodes, and commitment (dissertation,
//! 3.5 and 3.6).

use super::{RaftNode, Role};
use crate::log::LogPosition;
use crate::message::{Entry, EntryType, Message, MessageType};

/// Whether to send a message to a node that lacks no entry.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SendMode {
    /// Sends a message only if there are entries that the node has not been sent yet.
    NewEntries,
    /// Always sends a message, to convey the commit index or a heartbeat.
    Always,
}

impl RaftNode {
    /// Appends a command to the log and returns its position, or `None` if this node does not
    /// lead or is transferring leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Option<LogPosition> {
        if !self.is_leader() || self.transfer.is_some() {
            return None;
        }
        Some(self.append_in_current_term(EntryType::Command, command))
    }

    /// Appends an entry of the current term and sends it to the other nodes.
    pub(super) fn append_in_current_term(&mut self, entry_type: EntryType, data: Vec<u8>) -> LogPosition {
        let position = LogPosition {
            index: self.last_index() + 1,
            term: self.term(),
        };
        self.append(Entry {
            index: position.index,
            term: position.term,
            entry_type: entry_type as i32,
            data,
        });
        self.send_entries_to_all(SendMode::NewEntries);
        position
    }

    /// Appends an entry to the log and to the pending write.
    pub(super) fn append(&mut self, entry: Entry) {
        if entry.entry_type == EntryType::Membership as i32 {
            self.adopt_membership_from(&entry);
        }
        self.ready.write.entries.push(entry.clone());
        self.log.append(entry);
    }

    /// Removes all entries from `index` on, because they conflict with another leader's
    /// entries.
    fn truncate_from(&mut self, index: u64) {
        self.log.truncate_from(index);
        let write = &mut self.ready.write;
        write.entries.retain(|e| e.index < index);
        write.truncate_from = Some(write.truncate_from.map_or(index, |from| from.min(index)));
        self.persisted_index = self.persisted_index.min(index - 1);
        if self.membership_index >= index {
            self.reload_membership();
        }
    }

    /// Sends heartbeats to the voters, and to the learners if `to_learners` is set.
    pub(super) fn send_heartbeats(&mut self, to_learners: bool) {
        self.next_heartbeat_at = self.now + self.config.heartbeat_ms;
        if to_learners {
            self.next_learner_heartbeat_at = self.now + self.config.learner_heartbeat_ms;
        }
        let ids: Vec<u64> = self.progress.keys().copied().collect();
        for id in ids {
            if to_learners || self.membership.contains(id) {
                self.send_entries(id, SendMode::Always);
            }
        }
    }

    fn send_entries_to_all(&mut self, mode: SendMode) {
        let ids: Vec<u64> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_entries(id, mode);
        }
    }

    /// Sends a node the entries that it lacks, or a snapshot if the log no longer contains
    /// them.
    pub(super) fn send_entries(&mut self, to: u64, mode: SendMode) {
        let (now, resend_ms) = (self.now, self.config.resend_ms);
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        progress.rewind_unanswered(now, resend_ms);
        let first = progress.next_index;
        if first <= self.log.start_index() {
            self.send_snapshot(to, mode);
            return;
        }
        let last = self.last_index();
        if first > last && mode == SendMode::NewEntries {
            return;
        }
        let entries = self.log.entries_from(first, last, self.config.append_bytes);
        if let (Some(progress), false) = (self.progress.get_mut(&to), entries.is_empty()) {
            progress.sent_at = now;
            progress.next_index = first + entries.len() as u64;
        }
        let message = Message {
            entries,
            ..self.append_message(first - 1)
        };
        self.send(to, message);
    }

    fn send_snapshot(&mut self, to: u64, mode: SendMode) {
        let (now, resend_ms) = (self.now, self.config.snapshot_resend_ms);
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        if progress.awaits_snapshot(now, resend_ms) {
            if mode == SendMode::Always {
                let heartbeat = self.append_message(self.last_index());
                self.send(to, heartbeat);
            }
            return;
        }
        progress.snapshot_sent_at = Some(now);
        progress.sent_at = now;
        let message = Message {
            round: self.rounds.latest(),
            snapshot: Some(self.log.snapshot().clone()),
            ..self.message(MessageType::InstallSnapshot)
        };
        self.send(to, message);
    }

    /// Creates an AppendEntries message without entries that follows the entry at `index`.
    fn append_message(&self, index: u64) -> Message {
        Message {
            index,
            log_term: self.log.term_at(index).unwrap_or(0),
            commit: self.commit_index,
            round: self.rounds.latest(),
            ..self.message(MessageType::AppendEntries)
        }
    }

    pub(super) fn handle_append_entries(&mut self, from: u64, request: Message) {
        let mut reply = Message {
            round: request.round,
            applied: self.min_applied_index(),
            ..self.message(MessageType::AppendEntriesResponse)
        };
        self.announced_commit = self.announced_commit.max(request.commit);
        let snapshot_index = self.log.snapshot().index;
        let matches = self.log.term_at(request.index) == Some(request.log_term);
        if !matches && request.index > snapshot_index {
            let hint = self.last_index().min(request.index.saturating_sub(1));
            reply.index = hint.max(self.commit_index);
            self.send(from, reply);
            return;
        }
        let mut last = request.index.max(snapshot_index);
        for entry in request.entries {
            if entry.index <= snapshot_index {
                continue;
            }
            last = entry.index;
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            if entry.index != self.last_index() + 1 {
                return;
            }
            self.append(entry);
        }
        self.commit_index = self.commit_index.max(request.commit.min(last));
        reply.granted = true;
        reply.index = last;
        self.send_persisted(from, reply);
    }

    pub(super) fn handle_append_response(&mut self, from: u64, response: &Message) {
        if !self.is_leader() || response.term != self.term() {
            return;
        }
        let snapshot_index = self.log.snapshot().index;
        let last = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_heard = self.now;
        progress.round = progress.round.max(response.round);
        progress.applied_index = response.applied;
        if response.granted {
            progress.matched = progress.matched.max(response.index);
            progress.next_index = progress.next_index.max(progress.matched + 1);
            if progress.matched >= snapshot_index {
                progress.snapshot_sent_at = None;
            }
        } else if response.index + 1 < progress.next_index {
            progress.next_index = (response.index + 1).max(progress.matched + 1);
        }
        let lags = progress.next_index <= last;
        self.advance_commit();
        self.process_answered_rounds();
        if lags {
            self.send_entries(from, SendMode::NewEntries);
        }
        self.continue_transfer(from);
    }

    /// Commits the entries that a majority has on disk. Entries of earlier terms are committed
    /// only together with one of the current term (dissertation, 3.6.2).
    pub(super) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let Some(index) = self.majority_value(|v| self.persisted_index_of(v.id)) else {
            return;
        };
        if index <= self.commit_index || self.log.term_at(index) != Some(self.term()) {
            return;
        }
        self.commit_index = index;
        // A leader that has removed itself steps down once the removal is committed.
        if !self.membership.contains(self.id) && !self.is_membership_pending() {
            self.step_down();
            return;
        }
        self.send_entries_to_all(SendMode::Always);
    }
}
