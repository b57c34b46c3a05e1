//! Writes to the store: the messages that wait for them, and the detection of a failing disk.

use super::driver::RaftDriver;
use config::constants as c;
use raft::{LogPosition, StorageWrite};
use std::collections::VecDeque;

/// A write that is not on disk yet, with the messages that wait for it.
pub(super) struct PendingWrite {
    number: u64,
    messages: Vec<raft::Message>,
    last: LogPosition,
}

/// The progress of the writes to the store.
#[derive(Default)]
pub(super) struct WriteProgress {
    queued: u64,
    persisted: u64,
    pending: VecDeque<PendingWrite>,
    /// Time from which the wait of the oldest pending write is counted, in milliseconds.
    pending_since: u64,
}

impl WriteProgress {
    fn is_idle(&self) -> bool {
        self.queued == self.persisted
    }
}

impl RaftDriver {
    /// Queues a write for the disk. Returns the messages that do not have to wait for a write.
    pub(super) fn write(
        &mut self,
        write: StorageWrite,
        messages: Vec<raft::Message>,
        last: LogPosition,
    ) -> Vec<raft::Message> {
        let Some(storage) = &self.storage else {
            self.raft.on_persisted(last);
            return messages;
        };
        let writes = &mut self.writes;
        if !write.is_empty() {
            if writes.is_idle() {
                writes.pending_since = self.context.now();
            }
            writes.queued += 1;
            storage.write(writes.queued, write);
        } else if writes.is_idle() {
            return messages;
        } else if messages.is_empty() {
            return Vec::new();
        }
        writes.pending.push_back(PendingWrite {
            number: writes.queued,
            messages,
            last,
        });
        Vec::new()
    }

    pub(super) fn on_persisted(&mut self, number: u64) {
        let now = self.context.now();
        self.writes.persisted = number;
        self.writes.pending_since = now;
        while self.writes.pending.front().is_some_and(|w| w.number <= number) {
            if let Some(write) = self.writes.pending.pop_front() {
                self.send_persisted(write.messages);
                self.raft.on_persisted(write.last);
            }
        }
        self.check_storage(now);
    }

    /// Sends messages that waited for a write, with the current applied index: the leader then
    /// learns without waiting for a later message that a change is in force here.
    pub(super) fn send_persisted(&self, mut messages: Vec<raft::Message>) {
        self.raft.update_applied_index(&mut messages);
        self.send_raft(messages);
    }

    /// Treats the disk as failing if its oldest write takes longer than `DISK_TIMEOUT_MS`.
    pub(super) fn check_storage(&mut self, now: u64) {
        if self.writes.is_idle() {
            if self.storage_failing {
                self.storage_failing = false;
                log::info!("event=disk_recovered");
            }
            self.raft.set_storage_failed(false);
        } else if now.saturating_sub(self.writes.pending_since) > c::DISK_TIMEOUT_MS && !self.storage_failing
        {
            self.on_storage_failure("a write takes too long");
        }
    }

    pub(super) fn on_storage_failure(&mut self, reason: &str) {
        if !self.storage_failing {
            self.storage_failing = true;
            log::warn!("event=disk_trouble what={reason:?}");
        }
        self.raft.set_storage_failed(true);
    }
}
