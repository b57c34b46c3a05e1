//! The log of a node: a snapshot, the entries after it, and some before it.

use crate::message::{Entry, EntryType, Membership, Snapshot};
use prost::Message as _;
use std::collections::VecDeque;

/// Bytes that an entry takes in a message beside its data, at the most.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The place of an entry: its index and term together identify it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogPosition {
    /// Index in the log, from 1.
    pub index: u64,
    /// Term of the entry.
    pub term: u64,
}

impl LogPosition {
    /// Whether a log that ends here holds all that one that ends at `other` may have had
    /// committed (dissertation, 3.6.1).
    pub(crate) fn is_up_to_date_with(self, other: LogPosition) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// Snapshot and entries. Says nothing of commitment, and writes nothing.
#[derive(Clone, Debug)]
pub(crate) struct RaftLog {
    snapshot: Snapshot,
    /// The entry before the first one held. The log reaches back behind the snapshot, so that
    /// a follower that lags a little is sent entries and not the snapshot.
    start: LogPosition,
    entries: VecDeque<Entry>,
    /// Data of the entries after the snapshot, bytes.
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

    /// The index before the first entry held; only a snapshot brings a node beyond it.
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

    /// The term of the entry at an index, if the log reaches there.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.start.index {
            return Some(self.start.term);
        }
        let offset = index.checked_sub(self.start.index + 1)?;
        self.entries.get(offset as usize).map(|e| e.term)
    }

    /// Entries after the snapshot.
    pub(crate) fn len(&self) -> usize {
        (self.last_index() - self.snapshot.index) as usize
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Entries with an index above `after` and up to `to`.
    pub(crate) fn between(&self, after: u64, to: u64) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |e| e.index > after && e.index <= to)
    }

    /// Entries from `first` up to `last`, as many as fit into `most_bytes`, and at least one.
    pub(crate) fn entries_from(&self, first: u64, last: u64, most_bytes: usize) -> Vec<Entry> {
        let skip = (first - self.start.index - 1) as usize;
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(skip).take_while(|e| e.index <= last) {
            bytes += entry.data.len() + ENTRY_OVERHEAD_BYTES;
            if bytes > most_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// The newest membership at or below an index, and the index that set it.
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

    /// Drops the entries from an index on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.start.index + 1) as usize;
        for entry in self.entries.drain(kept.min(self.entries.len())..) {
            self.bytes -= entry.data.len();
        }
    }

    /// Folds the entries up to `index` into a snapshot with this data. The youngest of them
    /// stay at hand, as many as cost no more to send than the snapshot and at least
    /// `retained_bytes`: a follower that was sent the snapshot before needs just them.
    pub(crate) fn compact(&mut self, position: LogPosition, data: Vec<u8>, retained_bytes: usize) {
        let (membership, _) = self.membership_at(position.index);
        self.snapshot = Snapshot {
            index: position.index,
            term: position.term,
            membership: Some(membership),
            data,
        };
        let most_bytes = retained_bytes.max(self.snapshot.data.len());
        let folded = (position.index - self.start.index) as usize;
        let (mut retained, mut bytes) = (0, 0);
        for entry in self.entries.iter().take(folded).rev() {
            bytes += entry.data.len();
            if bytes > most_bytes {
                break;
            }
            retained += 1;
        }
        self.drop_oldest(folded - retained);
        let fresh = self.entries.iter().skip(retained);
        self.bytes = fresh.map(|e| e.data.len()).sum();
    }

    /// Replaces everything up to a leader's snapshot by it. Entries behind it stay if the log
    /// holds its last entry; `false` if all entries had to go.
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
