//! What a node keeps on its disk.

use crate::message::{Entry, Snapshot};

/// The current term and the vote given in it (the dissertation's persistent state, figure 3.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The latest term that the node has seen.
    pub term: u64,
    /// The node voted for in that term; 0 for none.
    pub vote: u64,
}

/// What a disk gave back at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot; at index 0 if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, in order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// What a disk gives back once a write is on it.
    pub fn apply(&mut self, write: StorageWrite) {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = write.snapshot {
            self.entries.retain(|e| e.index > snapshot.index);
            self.snapshot = snapshot;
        }
        if let Some(from) = write.truncate_from {
            self.entries.retain(|e| e.index < from);
        }
        self.entries.extend(write.entries);
    }
}

/// What has to reach the disk as one write, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StorageWrite {
    /// Term and vote, if they have changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the one before it and the entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// Stored entries from this index on are void.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

impl StorageWrite {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == StorageWrite::default()
    }
}
