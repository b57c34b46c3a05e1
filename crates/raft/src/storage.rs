//! The state that a node keeps on disk.

use crate::message::{Entry, Snapshot};

/// The current term and the vote given in it (the dissertation's persistent state, figure 3.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The latest term that the node has seen.
    pub term: u64,
    /// Identity of the node voted for in that term; 0 for none.
    pub vote: u64,
}

/// The state read from disk at startup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// Current term and vote.
    pub hard_state: HardState,
    /// The newest snapshot; its index is 0 if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, in log order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Applies a completed write, giving the state that a restart would read.
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

/// Changes to store on disk as a single write, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StorageWrite {
    /// Term and vote, if they have changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the previous one and the entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// Index from which stored entries are discarded.
    pub truncate_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}

impl StorageWrite {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == StorageWrite::default()
    }
}
