//! The store of a node with damaged files, torn writes and disk faults.

use crate::storage::{OpenedStore, Storage, StorageEvent};
use raft::{Entry, HardState, Snapshot, StorageWrite};
use rand::{Rng, SeedableRng};
use std::path::PathBuf;

/// A temporary directory that is removed at the end of a test.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> TempDirectory {
        let name = format!("storage-{:x}", rand::thread_rng().gen::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        TempDirectory(path)
    }

    fn open(&self) -> Result<OpenedStore, String> {
        let (events, _) = tokio::sync::mpsc::unbounded_channel();
        Storage::open(self.0.to_str().expect("utf-8"), events).map_err(|e| e.to_string())
    }

    /// Copies the files, as the disk would hold them if the process were killed now.
    fn copy(&self) -> TempDirectory {
        let target = TempDirectory::new();
        for file in std::fs::read_dir(&self.0).expect("readable").flatten() {
            std::fs::copy(file.path(), target.0.join(file.file_name())).expect("copied");
        }
        target
    }

    fn store(&self) -> PathBuf {
        self.0.join("prompter.redb")
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 2,
        entry_type: 1,
        data: vec![index as u8; 40],
    }
}

/// An open store that waits for its storage events.
struct TestStore {
    directory: TempDirectory,
    opened: OpenedStore,
    events: tokio::sync::mpsc::UnboundedReceiver<StorageEvent>,
    sequence: u64,
}

impl TestStore {
    fn new(directory: TempDirectory) -> TestStore {
        let (event_sender, events) = tokio::sync::mpsc::unbounded_channel();
        let opened = Storage::open(directory.0.to_str().expect("utf-8"), event_sender).expect("opens");
        TestStore {
            directory,
            opened,
            events,
            sequence: 0,
        }
    }

    /// Writes and waits until the write is on disk.
    fn write(&mut self, write: StorageWrite) {
        self.sequence += 1;
        self.opened.storage.write(self.sequence, write);
        while !matches!(self.events.blocking_recv(), Some(StorageEvent::Persisted(sequence)) if sequence == self.sequence)
        {
        }
    }

    /// Closes the store cleanly and returns its directory.
    fn close(self) -> TempDirectory {
        let TestStore {
            directory,
            opened,
            mut events,
            ..
        } = self;
        drop(opened);
        while events.blocking_recv().is_some() {}
        directory
    }
}

/// Returns the term, vote and log indexes that `write_store` acknowledged last.
fn acknowledged() -> (u64, u64, Vec<u64>) {
    (7, 3, (9..=30).collect())
}

fn term_vote_and_log(opened: &OpenedStore) -> (u64, u64, Vec<u64>) {
    let saved = &opened.saved;
    let log = saved.entries.iter().map(|e| e.index).collect();
    (saved.hard_state.term, saved.hard_state.vote, log)
}

fn write_store() -> TestStore {
    let mut store = TestStore::new(TempDirectory::new());
    store.opened.storage.set_cluster(9);
    for index in 1..=12 {
        store.write(StorageWrite {
            hard_state: (index == 1).then_some(HardState { term: 2, vote: 5 }),
            entries: vec![entry(index)],
            ..Default::default()
        });
    }
    let snapshot = Snapshot {
        index: 8,
        term: 2,
        data: control_state::ControlState::default().to_snapshot(),
        ..Default::default()
    };
    store.write(StorageWrite {
        snapshot: Some(snapshot),
        ..Default::default()
    });
    for index in 13..=30 {
        store.write(StorageWrite {
            hard_state: (index == 30).then_some(HardState { term: 7, vote: 3 }),
            entries: vec![entry(index)],
            ..Default::default()
        });
    }
    store
}

/// Counts the outcomes of opening damaged stores.
#[derive(Debug, Default)]
struct Outcomes {
    complete: usize,
    rejected: usize,
    /// Opened with a new identity, and not taken for an initial start.
    new_identity: usize,
    silently_empty: Vec<String>,
    incomplete: Vec<String>,
    /// Rejected with an error that does not name the file.
    without_file_name: Vec<String>,
    panicked: Vec<String>,
}

impl Outcomes {
    fn record(&mut self, id: u64, damage: String, directory: &TempDirectory) {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| directory.open()));
        match result {
            Err(_) => self.panicked.push(damage),
            Ok(Err(e)) => {
                self.rejected += 1;
                if !e.contains("prompter.redb") {
                    self.without_file_name.push(format!("{damage}: {e}"));
                }
            }
            Ok(Ok(opened)) if opened.identity.id == id => {
                if term_vote_and_log(&opened) == acknowledged() && opened.saved.snapshot.index == 8 {
                    self.complete += 1;
                } else {
                    self.incomplete
                        .push(format!("{damage}: {:?}", term_vote_and_log(&opened)));
                }
            }
            Ok(Ok(opened)) if opened.is_empty => self.silently_empty.push(damage),
            Ok(Ok(_)) => self.new_identity += 1,
        }
    }

    fn assert_no_silent_loss(&self) {
        let first_five = |messages: &[String]| messages.iter().take(5).cloned().collect::<Vec<_>>();
        println!(
            "complete {}, rejected {}, new identity {}, silently empty {}, acknowledged data missing {}, panicked {}",
            self.complete,
            self.rejected,
            self.new_identity,
            self.silently_empty.len(),
            self.incomplete.len(),
            self.panicked.len()
        );
        assert!(
            self.incomplete.is_empty(),
            "acknowledged data is missing: {:?}",
            first_five(&self.incomplete)
        );
        assert!(
            self.silently_empty.is_empty(),
            "taken for an initial start: {:?}",
            first_five(&self.silently_empty)
        );
        assert!(
            self.without_file_name.is_empty(),
            "the error does not name the file: {:?}",
            first_five(&self.without_file_name)
        );
        assert!(
            self.panicked.is_empty(),
            "panicked: {:?}",
            first_five(&self.panicked)
        );
    }
}

/// Returns the offsets of a store file that are damaged: every byte of the header, then two random
/// bytes of each block that is not all zeros.
fn offsets(bytes: &[u8]) -> Vec<usize> {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let mut offsets: Vec<usize> = (0..320.min(bytes.len())).collect();
    for (i, block) in bytes.chunks(512).enumerate().skip(1) {
        if block.iter().any(|b| *b != 0) {
            offsets.extend((0..2).map(|_| i * 512 + rng.gen_range(0..block.len())));
        }
    }
    offsets
}

fn check_damaged_copies(from: &TempDirectory, id: u64) {
    let bytes = std::fs::read(from.store()).expect("readable");
    let mut outcomes = Outcomes::default();
    for offset in offsets(&bytes) {
        let damaged = from.copy();
        let mut damaged_bytes = bytes.clone();
        damaged_bytes[offset] ^= 1 << (offset % 8);
        std::fs::write(damaged.store(), damaged_bytes).expect("written");
        outcomes.record(id, format!("byte {offset}"), &damaged);
    }
    let ends = (0..bytes.len()).step_by(bytes.len() / 60 + 1);
    for end in ends.chain([1, 63, 64, 200, 319, 4096, bytes.len() - 1]) {
        let damaged = from.copy();
        let file = std::fs::OpenOptions::new().write(true).open(damaged.store());
        file.and_then(|f| f.set_len(end as u64)).expect("cut");
        outcomes.record(id, format!("cut at {end}"), &damaged);
    }
    outcomes.assert_no_silent_loss();
}

#[test]
fn damage_after_a_kill_never_loses_acknowledged_data_silently() {
    let store = write_store();
    let id = store.opened.identity.id;
    check_damaged_copies(&store.directory.copy(), id);
    store.close();
}

#[test]
fn damage_after_a_clean_close_never_loses_acknowledged_data_silently() {
    let store = write_store();
    let id = store.opened.identity.id;
    check_damaged_copies(&store.close(), id);
}

#[test]
fn a_reopened_store_returns_the_written_state_and_identity() {
    let directory = std::env::temp_dir().join(format!("storage-{}", rand::thread_rng().gen::<u64>()));
    let directory = directory.to_str().expect("utf-8").to_string();
    let (events, mut received_events) = tokio::sync::mpsc::unbounded_channel();
    let first = Storage::open(&directory, events).expect("opens");
    assert!(first.is_empty);
    first.storage.set_cluster(9);
    first.storage.write(
        1,
        StorageWrite {
            hard_state: Some(HardState { term: 2, vote: 5 }),
            entries: (1..=6).map(entry).collect(),
            ..Default::default()
        },
    );
    let snapshot = Snapshot {
        index: 2,
        term: 2,
        data: control_state::ControlState::default().to_snapshot(),
        ..Default::default()
    };
    first.storage.write(
        2,
        StorageWrite {
            snapshot: Some(snapshot),
            truncate_from: Some(5),
            entries: vec![entry(5)],
            ..Default::default()
        },
    );
    while !matches!(received_events.blocking_recv(), Some(StorageEvent::Persisted(2))) {}
    drop(first.storage);
    // The storage thread drops its sender when it ends.
    while received_events.blocking_recv().is_some() {}
    let (events, _) = tokio::sync::mpsc::unbounded_channel();
    let again = Storage::open(&directory, events).expect("opens");
    assert!(!again.is_empty);
    assert_eq!(
        (again.identity.id, again.identity.cluster),
        (first.identity.id, 9)
    );
    assert_eq!(
        (
            again.saved.hard_state.term,
            again.saved.hard_state.vote,
            again.saved.snapshot.index
        ),
        (2, 5, 2)
    );
    let kept: Vec<u64> = again.saved.entries.iter().map(|e| e.index).collect();
    assert_eq!(kept, [3, 4, 5]);
    std::fs::remove_dir_all(directory).ok();
}

fn write_file(directory: &TempDirectory, name: &str, bytes: &[u8]) {
    std::fs::write(directory.0.join(name), bytes).expect("written");
}

fn read_file(directory: &TempDirectory, name: &str) -> Vec<u8> {
    std::fs::read(directory.0.join(name)).expect("readable")
}

/// A store that lacks its newest commit is accepted as a torn write if the high-water mark does
/// not count that commit, and is damaged if it does.
#[test]
fn a_missing_commit_is_damage_once_the_high_water_mark_counts_it() {
    let mut store = write_store();
    let id = store.opened.identity.id;
    let before = store.directory.copy();
    store.write(StorageWrite {
        hard_state: Some(HardState { term: 8, vote: 1 }),
        ..Default::default()
    });
    let after = store.directory.copy();
    store.close();
    let opened = before.copy().open().expect("opens");
    assert_eq!(
        (opened.identity.id, term_vote_and_log(&opened)),
        (id, acknowledged()),
        "a commit that is not counted may be missing"
    );

    write_file(&after, "prompter.redb", &read_file(&before, "prompter.redb"));
    let opened = after.open().expect("opens");
    assert_ne!(opened.identity.id, id);
    assert!(!opened.is_empty && opened.saved.hard_state.term == 0);
    assert!(opened
        .damage
        .is_some_and(|reason| reason.contains("acknowledged")));
    assert!(
        !read_file(&after, "prompter.redb.damaged").is_empty(),
        "the damaged store is kept for the operator"
    );
    // The new identity is kept, and the old identity's high-water mark does not apply to it.
    let again = after.copy().open().expect("opens");
    assert_eq!(again.identity.id, opened.identity.id);
    assert!(again.damage.is_none());
}

/// The high-water mark only checks the store. Without a readable mark the store opens complete;
/// without the store the loss is detected.
#[test]
fn a_lost_or_damaged_high_water_mark_loses_nothing_and_a_lost_store_is_detected() {
    let directory = write_store().close();
    let id = directory.copy().open().expect("opens").identity.id;
    let mark = read_file(&directory, "prompter.mark");
    for offset in 0..20 {
        for slot in [0, 4096] {
            let damaged = directory.copy();
            let mut damaged_bytes = mark.clone();
            if let Some(byte) = damaged_bytes.get_mut(slot + offset) {
                *byte ^= 4;
            }
            write_file(&damaged, "prompter.mark", &damaged_bytes);
            let opened = damaged.open().expect("opens");
            assert_eq!(
                (opened.identity.id, term_vote_and_log(&opened)),
                (id, acknowledged())
            );
        }
    }
    let damaged = directory.copy();
    std::fs::remove_file(damaged.0.join("prompter.mark")).expect("removed");
    assert_eq!(damaged.open().expect("opens").identity.id, id);

    let damaged = directory.copy();
    std::fs::remove_file(damaged.store()).expect("removed");
    let opened = damaged.open().expect("opens");
    assert!(opened.identity.id != id && !opened.is_empty);
}

/// A store whose creation was interrupted has acknowledged nothing: the node counts as empty and may
/// still bootstrap the system.
#[test]
fn an_incomplete_new_store_is_created_again() {
    let directory = TempDirectory::new();
    write_file(&directory, "prompter.redb.new", &[7; 5000]);
    let opened = directory.open().expect("opens");
    assert!(opened.is_empty && opened.damage.is_none());
}

/// A failure that is not damage is reported and does not create a new store.
#[test]
fn an_unreadable_store_is_kept_and_the_error_names_it() {
    let rejected = |directory: &TempDirectory, reason: &str| {
        let e = directory.open().err().expect("refused");
        assert!(
            e.contains("prompter.redb") && e.contains(reason) && e.contains("move it away"),
            "{e}"
        );
    };
    let directory = TempDirectory::new();
    std::fs::create_dir(directory.store()).expect("a directory in its place");
    rejected(&directory, "directory");

    let store = write_store();
    rejected(&store.directory, "already open");
    store.close();

    let snapshot = |data| Snapshot {
        index: 20,
        term: 2,
        data,
        ..Default::default()
    };
    let entry_gap = StorageWrite {
        entries: vec![entry(33)],
        ..Default::default()
    };
    let unreadable_snapshot = StorageWrite {
        snapshot: Some(snapshot(vec![0, 77])),
        ..Default::default()
    };
    let mut older_entry = entry(31);
    older_entry.term = 1;
    let decreasing_term = StorageWrite {
        entries: vec![older_entry],
        ..Default::default()
    };
    for (write, reason) in [
        (entry_gap, "entry 33"),
        (unreadable_snapshot, "snapshot"),
        (decreasing_term, "term 1"),
    ] {
        let mut store = write_store();
        store.write(write);
        let directory = store.close();
        rejected(&directory, reason);
        rejected(&directory, reason);
    }
}

/// Writes changes of a size as Raft does: each as an entry, with a snapshot of a third of the size
/// that compacts the entries before it. Returns the largest size of the store file, in bytes.
fn grow(changes: u64, bytes: usize) -> u64 {
    let mut store = TestStore::new(TempDirectory::new());
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let mut max_bytes = 0;
    for index in 1..=changes {
        let mut data = vec![0; bytes];
        rng.fill(&mut data[..]);
        let snapshot = Snapshot {
            index: index - 1,
            term: 2,
            data: data[..bytes / 3].to_vec(),
            ..Default::default()
        };
        store.write(StorageWrite {
            hard_state: (index == 1).then_some(HardState { term: 2, vote: 5 }),
            snapshot: (index > 1).then_some(snapshot),
            entries: vec![Entry { data, ..entry(index) }],
            ..Default::default()
        });
        let size = std::fs::metadata(store.directory.store()).expect("there");
        max_bytes = max_bytes.max(size.len());
    }
    store.close();
    max_bytes
}

/// Guards against free pages that are not reused: the file would outgrow the smallest disk.
#[test]
fn the_store_file_stops_growing() {
    let [few_changes_bytes, many_changes_bytes] = [20, 120].map(|changes| grow(changes, 300_000));
    println!("300 KB per change: {few_changes_bytes} bytes after 20 changes, {many_changes_bytes} after 120");
    assert!(
        many_changes_bytes <= 2 * few_changes_bytes && many_changes_bytes < 16 << 20,
        "{few_changes_bytes}, {many_changes_bytes}"
    );
}
