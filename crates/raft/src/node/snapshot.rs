//! Snapshots: log compaction, and installation of the leader's snapshot (dissertation, 5).

use super::RaftNode;
use crate::log::LogPosition;
use crate::message::{Message, MessageType, Snapshot};

impl RaftNode {
    /// Replaces the log up to the applied index by a snapshot with this data. Does nothing if
    /// entries up to that index are not on disk yet.
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied_index;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= self.log.snapshot().index || index > self.persisted_index {
            return;
        }
        let position = LogPosition { index, term };
        self.log.compact(position, data, self.config.retained_bytes);
        self.ready.write.snapshot = Some(self.log.snapshot().clone());
    }

    pub(super) fn handle_install_snapshot(&mut self, from: u64, request: Message) {
        let mut reply = Message {
            round: request.round,
            granted: true,
            ..self.message(MessageType::AppendEntriesResponse)
        };
        let Some(snapshot) = request.snapshot else {
            return;
        };
        if snapshot.index <= self.commit_index {
            reply.index = self.commit_index;
            reply.applied = self.min_applied_index();
        } else if (self.is_snapshot_readable)(snapshot.index, &snapshot.data) {
            reply.index = snapshot.index;
            self.install(snapshot);
        } else {
            self.unreadable_snapshots += 1;
            return;
        }
        self.send_persisted(from, reply);
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let entries_were_kept = self.log.install(snapshot.clone());
        if !entries_were_kept {
            self.ready.write.entries.clear();
            self.ready.write.truncate_from = Some(0);
            self.persisted_index = index;
        }
        self.persisted_index = self.persisted_index.max(index);
        self.commit_index = index;
        self.delivered_index = index;
        self.ready.committed_entries.clear();
        self.reload_membership();
        self.ready.write.snapshot = Some(snapshot.clone());
        self.ready.snapshot = Some(snapshot);
    }
}
