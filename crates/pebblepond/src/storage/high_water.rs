//! A second record of what was committed: how many commits the store has
//! acknowledged, in a file of its own.
//!
//! A store falls back to its commit before when the newest cannot be read, and
//! cannot tell a write that never ended from one that has rotted since. A commit
//! counted here was whole on disk, so a store that holds fewer is damaged. The
//! count is written after the commit that it counts: it may lag, never lead.

use config::constants as c;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The two slots lie this far apart, bytes: a torn write spoils one at the most.
const SLOT_BYTES: u64 = 4096;
/// Bytes of a slot: identity, count, CRC-32.
const MARK_BYTES: usize = 20;

/// The file of marks.
pub struct HighWater {
    path: PathBuf,
    file: Option<File>,
    synced_at: Instant,
    dirty: bool,
}

fn encode(id: u64, count: u64) -> [u8; MARK_BYTES] {
    let mut slot = [0; MARK_BYTES];
    slot[..8].copy_from_slice(&id.to_le_bytes());
    slot[8..16].copy_from_slice(&count.to_le_bytes());
    let sum = crc32fast::hash(&slot[..16]);
    slot[16..].copy_from_slice(&sum.to_le_bytes());
    slot
}

/// How many commits a store of an identity has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HighWaterMark {
    /// The identity.
    pub id: u64,
    /// Its commits.
    pub commits: u64,
}

/// The marks of the slots that can be read.
pub fn read(path: &Path) -> Vec<HighWaterMark> {
    let Ok(file) = File::open(path) else {
        return Vec::new();
    };
    let slot = |number: u64| {
        let mut slot = [0; MARK_BYTES];
        file.read_exact_at(&mut slot, number * SLOT_BYTES).ok()?;
        let word = |at: usize| slot[at..at + 8].try_into().map_or(0, u64::from_le_bytes);
        let (id, count) = (word(0), word(8));
        let is_valid = slot == encode(id, count) && id != 0;
        is_valid.then_some(HighWaterMark { id, commits: count })
    };
    (0..2).filter_map(slot).collect()
}

impl HighWater {
    /// The file at a path; it is made with the first mark.
    pub fn new(path: PathBuf) -> HighWater {
        HighWater {
            path,
            file: None,
            synced_at: Instant::now(),
            dirty: false,
        }
    }

    /// Whether counts wait for a sync.
    pub fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Notes that so many commits are on disk. A record that cannot be written
    /// says less, and holds nothing up.
    pub fn note(&mut self, id: u64, count: u64) {
        if self.file.is_none() {
            self.file = self.make().ok();
        }
        if let Some(file) = &self.file {
            if file
                .write_all_at(&encode(id, count), count % 2 * SLOT_BYTES)
                .is_err()
            {
                self.file = None;
                return;
            }
            self.dirty = true;
        }
    }

    /// Syncs counts that have waited long enough.
    pub fn sync_if_due(&mut self) {
        if self.synced_at.elapsed() >= Duration::from_millis(c::HIGH_WATER_SYNC_MS) {
            self.sync();
        }
    }

    fn make(&self) -> std::io::Result<File> {
        let file = File::options()
            .write(true)
            .create(true)
            .truncate(false)
            .open(&self.path)?;
        file.sync_all()?;
        super::sync_folder(&self.path)?;
        Ok(file)
    }

    /// Syncs counts that wait.
    pub fn sync(&mut self) {
        if let (Some(file), true) = (&self.file, self.dirty) {
            if file.sync_data().is_err() {
                self.file = None;
            }
        }
        self.dirty = false;
        self.synced_at = Instant::now();
    }
}
