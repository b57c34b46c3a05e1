//! The log of a node: a snapshot, the entries after it, and some of the entries before it.

use crate::message::{Entry, EntryType, Membership, Snapshot};
use prost::Message as _;
use std::collections::VecDeque;

/// Maximum number of bytes that an entry adds to a message besides its data.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Position of an entry in the log. Index and term together identify the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// Index in the log, starting at 1.
    pub index: u64,
    /// Term of the entry.
    pub term: u64,
}

impl LogPosition {
    /// Returns whether a log that ends at this position contains every entry that can be
    /// committed in a log that ends at `other` (dissertation, 3.6.1).
    pub(crate) fn is_up_to_date_with(self, other: LogPosition) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// In-memory snapshot and entries. Does not track commitment and performs no I/O.
#[derive(Clone, Debug)]
pub(crate) struct RaftLog {
    snapshot: Snapshot,
    /// Position of the entry before the first one in `entries`. The log retains entries from
    /// before the snapshot, so that a follower that lags slightly is sent entries instead of
    /// the snapshot.
    start: LogPosition,
    entries: VecDeque<Entry>,
    /// Size of the data of the entries after the snapshot, in bytes.
    bytes: usize,
}

impl RaftLog {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> RaftLog {
        RaftLog {
            start: LogPosition {
                index: snapshot.index,
                term: snapshot.term,
            },
            bytes: entries.iter().map(|e| e.data.len()).sum(),
            entries: entries.into(),
            snapshot,
        }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index before the first retained entry. A node whose log ends before it can
    /// catch up only with a snapshot.
    pub(crate) fn start_index(&self) -> u64 {
        self.start.index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.index, |e| e.index)
    }

    pub(crate) fn last_position(&self) -> LogPosition {
        let index = self.last_index();
        LogPosition {
            index,
            term: self.term_at(index).unwrap_or(0),
        }
    }

    /// Returns the term of the entry at `index`, or `None` if the log does not contain it.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        let offset = index.checked_sub(self.start.index + 1)?;
        self.entries.get(offset as usize).map(|e| e.term)
    }

    /// Returns the number of entries after the snapshot.
    pub(crate) fn len(&self) -> usize {
        (self.last_index() - self.snapshot.index) as usize
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the entries with an index above `after` and up to `to`.
    pub(crate) fn between(&self, after: u64, to: u64) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |e| e.index > after && e.index <= to)
    }

    /// Returns the entries from `first` up to `last` that fit into `max_bytes`, and at least
    /// one.
    pub(crate) fn entries_from(&self, first: u64, last: u64, max_bytes: usize) -> Vec<Entry> {
        let skip = (first - self.start.index - 1) as usize;
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(skip).take_while(|e| e.index <= last) {
            bytes += entry.data.len() + ENTRY_OVERHEAD_BYTES;
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns the newest membership at or below `index`, and the index of the entry that set
    /// it.
    pub(crate) fn membership_at(&self, index: u64) -> (Membership, u64) {
        self.entries
            .iter()
            .rev()
            .filter(|e| e.index <= index && e.entry_type == EntryType::Membership as i32)
            .find_map(|e| Some((Membership::decode(e.data.as_slice()).ok()?, e.index)))
            .unwrap_or_else(|| {
                let membership = self.snapshot.membership.clone();
                (membership.unwrap_or_default(), self.snapshot.index)
            })
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        self.bytes += entry.data.len();
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.start.index + 1) as usize;
        for entry in self.entries.drain(kept.min(self.entries.len())..) {
            self.bytes -= entry.data.len();
        }
    }

    /// Replaces the entries up to `position` by a snapshot with this data. The newest of those
    /// entries are retained, as many as are no larger than the snapshot and at least
    /// `retained_bytes`: a follower that was sent the previous snapshot needs exactly these.
    pub(crate) fn compact(&mut self, position: LogPosition, data: Vec<u8>, retained_bytes: usize) {
        let (membership, _) = self.membership_at(position.index);
        self.snapshot = Snapshot {
            index: position.index,
            term: position.term,
            membership: Some(membership),
            data,
        };
        let max_bytes = retained_bytes.max(self.snapshot.data.len());
        let compacted = (position.index - self.start.index) as usize;
        let (mut retained, mut bytes) = (0, 0);
        for entry in self.entries.iter().take(compacted).rev() {
            bytes += entry.data.len();
            if bytes > max_bytes {
                break;
            }
            retained += 1;
        }
        self.drop_oldest(compacted - retained);
        let after_snapshot = self.entries.iter().skip(retained);
        self.bytes = after_snapshot.map(|e| e.data.len()).sum();
    }

    /// Replaces the log up to the index of a leader's snapshot by the snapshot. Entries after
    /// the snapshot are kept if the log contains the snapshot's last entry. Returns `false` if
    /// all entries were removed.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let matches = self.term_at(snapshot.index) == Some(snapshot.term);
        if matches {
            self.drop_oldest((snapshot.index - self.start.index) as usize);
        } else {
            self.entries.clear();
        }
        self.start = LogPosition {
            index: snapshot.index,
            term: snapshot.term,
        };
        self.bytes = self.entries.iter().map(|e| e.data.len()).sum();
        self.snapshot = snapshot;
        matches
    }

    fn drop_oldest(&mut self, count: usize) {
        if let Some(last) = self.entries.drain(..count).next_back() {
            self.start = LogPosition {
                index: last.index,
                term: last.term,
            };
        }
    }
}
