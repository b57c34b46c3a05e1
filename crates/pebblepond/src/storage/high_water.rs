//! The high-water mark: the number of commits that the store has acknowledged, in a file of its
//! own.
//!
//! A store falls back to its previous commit when the newest one cannot be read. It cannot
//! distinguish a write that never completed from one that was corrupted later. A commit counted
//! here was complete on disk, so a store that holds fewer commits is damaged. The mark is written
//! after the commit that it counts, so it may be behind the store but never ahead of it.

use config::constants as c;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Distance between the two slots, in bytes, so that a torn write damages at most one of them.
const SLOT_BYTES: u64 = 4096;
/// Size of an encoded mark, in bytes: node ID, commit count, CRC-32.
const MARK_BYTES: usize = 20;

/// Writer of the high-water mark file.
pub struct HighWater {
    path: PathBuf,
    file: Option<File>,
    synced_at: Instant,
    has_unsynced_mark: bool,
}

fn encode(id: u64, commits: u64) -> [u8; MARK_BYTES] {
    let mut slot = [0; MARK_BYTES];
    slot[..8].copy_from_slice(&id.to_le_bytes());
    slot[8..16].copy_from_slice(&commits.to_le_bytes());
    let checksum = crc32fast::hash(&slot[..16]);
    slot[16..].copy_from_slice(&checksum.to_le_bytes());
    slot
}

/// The number of commits that the store of a node has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HighWaterMark {
    /// The node ID of the store.
    pub id: u64,
    /// The number of acknowledged commits.
    pub commits: u64,
}

/// Returns the marks of all readable slots.
pub fn read(path: &Path) -> Vec<HighWaterMark> {
    let Ok(file) = File::open(path) else {
        return Vec::new();
    };
    let slot = |number: u64| {
        let mut slot = [0; MARK_BYTES];
        file.read_exact_at(&mut slot, number * SLOT_BYTES).ok()?;
        let read_u64 = |offset: usize| slot[offset..offset + 8].try_into().map_or(0, u64::from_le_bytes);
        let (id, commits) = (read_u64(0), read_u64(8));
        let is_valid = slot == encode(id, commits) && id != 0;
        is_valid.then_some(HighWaterMark { id, commits })
    };
    (0..2).filter_map(slot).collect()
}

impl HighWater {
    /// Creates the writer of the file at a path. The file is created with the first mark.
    pub fn new(path: PathBuf) -> HighWater {
        HighWater {
            path,
            file: None,
            synced_at: Instant::now(),
            has_unsynced_mark: false,
        }
    }

    /// Returns whether a mark has been written but not synced.
    pub fn is_dirty(&self) -> bool {
        self.has_unsynced_mark
    }

    /// Records that `commits` commits are on disk. A failed write is ignored: the mark then stays
    /// behind, and commits are not held up.
    pub fn record(&mut self, id: u64, commits: u64) {
        if self.file.is_none() {
            self.file = self.create_file().ok();
        }
        if let Some(file) = &self.file {
            if file
                .write_all_at(&encode(id, commits), commits % 2 * SLOT_BYTES)
                .is_err()
            {
                self.file = None;
                return;
            }
            self.has_unsynced_mark = true;
        }
    }

    /// Syncs the file if the last sync is at least `COMMIT_COUNT_SYNC_DELAY_MS` ago.
    pub fn sync_if_due(&mut self) {
        if self.synced_at.elapsed() >= Duration::from_millis(c::COMMIT_COUNT_SYNC_DELAY_MS) {
            self.sync();
        }
    }

    fn create_file(&self) -> std::io::Result<File> {
        let file = File::options()
            .write(true)
            .create(true)
            .truncate(false)
            .open(&self.path)?;
        file.sync_all()?;
        super::sync_directory(&self.path)?;
        Ok(file)
    }

    /// Syncs marks that have not been synced.
    pub fn sync(&mut self) {
        if let (Some(file), true) = (&self.file, self.has_unsynced_mark) {
            if file.sync_data().is_err() {
                self.file = None;
            }
        }
        self.has_unsynced_mark = false;
        self.synced_at = Instant::now();
    }
}
