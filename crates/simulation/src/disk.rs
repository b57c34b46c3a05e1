//! A simulated disk that may lose unsynced writes on a power loss.

use prost::Message;
use raft::{PersistentState, StorageWrite};

/// A simulated disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// Identity written when the store was created; 0 on an empty disk.
    pub id: u64,
    pub cluster: u64,
    saved: PersistentState,
    /// Unsynced writes: time at which they will be synced (ms), sequence number, and data.
    pending: Vec<(u64, u64, StorageWrite)>,
    /// Additional time that a sync takes, ms.
    pub slow_ms: u64,
    pub stuck: bool,
    /// Bytes of entries and snapshots written so far.
    pub written: usize,
}

impl Disk {
    /// Hands a write to the disk.
    pub fn write(&mut self, now: u64, seq: u64, write: StorageWrite) {
        let entries = write.entries.iter().map(|e| e.encoded_len());
        self.written += entries.sum::<usize>() + write.snapshot.as_ref().map_or(0, |s| s.encoded_len());
        let after = self.pending.last().map_or(now, |(at, _, _)| (*at).max(now));
        self.pending.push((after + 2 + self.slow_ms, seq, write));
    }

    /// Returns the sequence number of the last write synced since the last call, if there is any.
    pub fn synced(&mut self, now: u64) -> Option<u64> {
        let mut last = None;
        while !self.stuck && self.pending.first().is_some_and(|(at, _, _)| *at <= now) {
            let (_, seq, write) = self.pending.remove(0);
            self.saved.apply(write);
            last = Some(seq);
        }
        last
    }

    /// Handles the end of the process. After a kill, all writes handed to the operating system
    /// persist. After a power loss, the first `keep` pending writes persist: the store commits
    /// complete writes in order.
    pub fn end(&mut self, power_lost: bool, keep: usize) {
        let keep = if power_lost {
            keep.min(self.pending.len())
        } else {
            self.pending.len()
        };
        let pending = std::mem::take(&mut self.pending);
        for (_, _, write) in pending.into_iter().take(keep) {
            self.saved.apply(write);
        }
    }

    /// Returns the last durable index, in the log or in the snapshot.
    pub fn last_index(&self) -> u64 {
        let last = self.saved.entries.last();
        last.map_or(0, |e| e.index).max(self.saved.snapshot.index)
    }

    /// Returns the state that a starting process reads.
    pub fn load(&self) -> PersistentState {
        self.saved.clone()
    }
}
