//! The store of a node under damage, torn ends and faults of the disk.

use crate::storage::{Opened, Storage, StorageEvent};
use raft::{Entry, HardState, Snapshot, StorageWrite};
use rand::{Rng, SeedableRng};
use std::path::PathBuf;

/// A folder that is removed at the end of a test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let name = format!("storage-{:x}", rand::thread_rng().gen::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn open(&self) -> Result<Opened, String> {
        let (events, _) = tokio::sync::mpsc::unbounded_channel();
        Storage::open(self.0.to_str().expect("utf-8"), events).map_err(|e| e.to_string())
    }

    /// What the disk would hold if the process were killed now.
    fn copy(&self) -> Folder {
        let to = Folder::new();
        for file in std::fs::read_dir(&self.0).expect("readable").flatten() {
            std::fs::copy(file.path(), to.0.join(file.file_name())).expect("copied");
        }
        to
    }

    fn store(&self) -> PathBuf {
        self.0.join("prompter.redb")
    }
}

impl Drop for Folder {
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

/// A store that a test waits for.
struct Store {
    folder: Folder,
    opened: Opened,
    events: tokio::sync::mpsc::UnboundedReceiver<StorageEvent>,
    seq: u64,
}

impl Store {
    fn new(folder: Folder) -> Store {
        let (words_in, events) = tokio::sync::mpsc::unbounded_channel();
        let opened = Storage::open(folder.0.to_str().expect("utf-8"), words_in).expect("opens");
        Store {
            folder,
            opened,
            events,
            seq: 0,
        }
    }

    /// Writes, and waits for the acknowledgement.
    fn write(&mut self, write: StorageWrite) {
        self.seq += 1;
        self.opened.storage.write(self.seq, write);
        while !matches!(self.events.blocking_recv(), Some(StorageEvent::Persisted(seq)) if seq == self.seq) {}
    }

    /// Ends the store in order.
    fn close(self) -> Folder {
        let Store {
            folder,
            opened,
            mut events,
            ..
        } = self;
        drop(opened);
        while events.blocking_recv().is_some() {}
        folder
    }
}

/// Term, vote and log as they were promised last.
fn promised() -> (u64, u64, Vec<u64>) {
    (7, 3, (9..=30).collect())
}

fn of(opened: &Opened) -> (u64, u64, Vec<u64>) {
    let saved = &opened.saved;
    let log = saved.entries.iter().map(|e| e.index).collect();
    (saved.hard_state.term, saved.hard_state.vote, log)
}

fn written() -> Store {
    let mut store = Store::new(Folder::new());
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

/// What opening a damaged store came to.
#[derive(Debug, Default)]
struct Seen {
    whole: usize,
    refused: usize,
    /// Begun as somebody new, and not taken for a first start.
    new: usize,
    silent: Vec<String>,
    older: Vec<String>,
    /// Refused without the file's name.
    unnamed: Vec<String>,
    panicked: Vec<String>,
}

impl Seen {
    fn look(&mut self, id: u64, what: String, folder: &Folder) {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| folder.open()));
        match result {
            Err(_) => self.panicked.push(what),
            Ok(Err(e)) => {
                self.refused += 1;
                if !e.contains("prompter.redb") {
                    self.unnamed.push(format!("{what}: {e}"));
                }
            }
            Ok(Ok(opened)) if opened.identity.id == id => {
                if of(&opened) == promised() && opened.saved.snapshot.index == 8 {
                    self.whole += 1;
                } else {
                    self.older.push(format!("{what}: {:?}", of(&opened)));
                }
            }
            Ok(Ok(opened)) if opened.is_empty => self.silent.push(what),
            Ok(Ok(_)) => self.new += 1,
        }
    }

    fn judge(&self) {
        let few = |all: &[String]| all.iter().take(5).cloned().collect::<Vec<_>>();
        println!(
            "whole {} refused {} new {} silently empty {} older {} panicked {}",
            self.whole,
            self.refused,
            self.new,
            self.silent.len(),
            self.older.len(),
            self.panicked.len()
        );
        assert!(self.older.is_empty(), "promised less: {:?}", few(&self.older));
        assert!(self.silent.is_empty(), "empty: {:?}", few(&self.silent));
        assert!(self.unnamed.is_empty(), "which file? {:?}", few(&self.unnamed));
        assert!(self.panicked.is_empty(), "panicked: {:?}", few(&self.panicked));
    }
}

/// Offsets of a store's file worth damaging: the head byte by byte, then a few
/// in each block that holds anything.
fn offsets(bytes: &[u8]) -> Vec<usize> {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let mut all: Vec<usize> = (0..320.min(bytes.len())).collect();
    for (i, block) in bytes.chunks(512).enumerate().skip(1) {
        if block.iter().any(|b| *b != 0) {
            all.extend((0..2).map(|_| i * 512 + rng.gen_range(0..block.len())));
        }
    }
    all
}

fn damage(from: &Folder, id: u64) {
    let bytes = std::fs::read(from.store()).expect("readable");
    let mut seen = Seen::default();
    for at in offsets(&bytes) {
        let hurt = from.copy();
        let mut worse = bytes.clone();
        worse[at] ^= 1 << (at % 8);
        std::fs::write(hurt.store(), worse).expect("written");
        seen.look(id, format!("byte {at}"), &hurt);
    }
    let ends = (0..bytes.len()).step_by(bytes.len() / 60 + 1);
    for end in ends.chain([1, 63, 64, 200, 319, 4096, bytes.len() - 1]) {
        let hurt = from.copy();
        let file = std::fs::OpenOptions::new().write(true).open(hurt.store());
        file.and_then(|f| f.set_len(end as u64)).expect("cut");
        seen.look(id, format!("cut at {end}"), &hurt);
    }
    seen.judge();
}

#[test]
fn a_damaged_store_promises_no_less_under_its_identity_after_a_kill() {
    let store = written();
    let id = store.opened.identity.id;
    damage(&store.folder.copy(), id);
    store.close();
}

#[test]
fn a_damaged_store_promises_no_less_under_its_identity_after_an_end_in_order() {
    let store = written();
    let id = store.opened.identity.id;
    damage(&store.close(), id);
}

#[test]
fn what_was_written_comes_back_and_the_identity_stays() {
    let folder = std::env::temp_dir().join(format!("storage-{}", rand::thread_rng().gen::<u64>()));
    let folder = folder.to_str().expect("utf-8").to_string();
    let (events, mut inbox) = tokio::sync::mpsc::unbounded_channel();
    let first = Storage::open(&folder, events).expect("opens");
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
    while !matches!(inbox.blocking_recv(), Some(StorageEvent::Persisted(2))) {}
    drop(first.storage);
    // The disk's thread drops its sender when it has ended.
    while inbox.blocking_recv().is_some() {}
    let (events, _) = tokio::sync::mpsc::unbounded_channel();
    let again = Storage::open(&folder, events).expect("opens");
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
    std::fs::remove_dir_all(folder).ok();
}

fn put(folder: &Folder, name: &str, bytes: &[u8]) {
    std::fs::write(folder.0.join(name), bytes).expect("written");
}

fn take(folder: &Folder, name: &str) -> Vec<u8> {
    std::fs::read(folder.0.join(name)).expect("readable")
}

/// One commit back is a torn end as long as nobody counted that commit, and damage
/// from then on.
#[test]
fn a_commit_that_was_counted_is_never_taken_for_a_torn_end() {
    let mut store = written();
    let id = store.opened.identity.id;
    let before = store.folder.copy();
    store.write(StorageWrite {
        hard_state: Some(HardState { term: 8, vote: 1 }),
        ..Default::default()
    });
    let after = store.folder.copy();
    store.close();
    let opened = before.copy().open().expect("opens");
    assert_eq!((opened.identity.id, of(&opened)), (id, promised()), "torn end");

    put(&after, "prompter.redb", &take(&before, "prompter.redb"));
    let opened = after.open().expect("opens");
    assert_ne!(opened.identity.id, id);
    assert!(!opened.is_empty && opened.saved.hard_state.term == 0);
    assert!(opened.damage.is_some_and(|why| why.contains("acknowledged")));
    assert!(
        !take(&after, "prompter.redb.damaged").is_empty(),
        "kept for the operator"
    );
    // The new identity is kept, and the count of the old one is not held against it.
    let again = after.copy().open().expect("opens");
    assert_eq!(again.identity.id, opened.identity.id);
    assert!(again.damage.is_none());
}

/// The count is a witness, not a part of the store: with either damaged or lost alone
/// nothing that was promised is lost without a word.
#[test]
fn a_lost_or_damaged_count_is_no_loss_and_a_lost_store_is_one() {
    let folder = written().close();
    let id = folder.copy().open().expect("opens").identity.id;
    let mark = take(&folder, "prompter.mark");
    for at in 0..20 {
        for slot in [0, 4096] {
            let hurt = folder.copy();
            let mut worse = mark.clone();
            if let Some(byte) = worse.get_mut(slot + at) {
                *byte ^= 4;
            }
            put(&hurt, "prompter.mark", &worse);
            let opened = hurt.open().expect("opens");
            assert_eq!((opened.identity.id, of(&opened)), (id, promised()));
        }
    }
    let hurt = folder.copy();
    std::fs::remove_file(hurt.0.join("prompter.mark")).expect("removed");
    assert_eq!(hurt.open().expect("opens").identity.id, id);

    let hurt = folder.copy();
    std::fs::remove_file(hurt.store()).expect("removed");
    let opened = hurt.open().expect("opens");
    assert!(opened.identity.id != id && !opened.is_empty);
}

/// A first write cut short promised nothing: the node may begin the system still.
#[test]
fn a_store_that_was_being_made_is_made_anew() {
    let folder = Folder::new();
    put(&folder, "prompter.redb.new", &[7; 5000]);
    let opened = folder.open().expect("opens");
    assert!(opened.is_empty && opened.damage.is_none());
}

/// What is no damage is no reason to begin anew.
#[test]
fn a_store_that_cannot_be_reached_or_understood_is_left_and_named() {
    let refused = |folder: &Folder, why: &str| {
        let e = folder.open().err().expect("refused");
        assert!(
            e.contains("prompter.redb") && e.contains(why) && e.contains("move it away"),
            "{e}"
        );
    };
    let folder = Folder::new();
    std::fs::create_dir(folder.store()).expect("a folder in its place");
    refused(&folder, "directory");

    let store = written();
    refused(&store.folder, "already open");
    store.close();

    let snapshot = |data| Snapshot {
        index: 20,
        term: 2,
        data,
        ..Default::default()
    };
    let gap = StorageWrite {
        entries: vec![entry(33)],
        ..Default::default()
    };
    let unread = StorageWrite {
        snapshot: Some(snapshot(vec![0, 77])),
        ..Default::default()
    };
    let mut older = entry(31);
    older.term = 1;
    let falling = StorageWrite {
        entries: vec![older],
        ..Default::default()
    };
    for (write, why) in [(gap, "entry 33"), (unread, "snapshot"), (falling, "term 1")] {
        let mut store = written();
        store.write(write);
        let folder = store.close();
        refused(&folder, why);
        refused(&folder, why);
    }
}

/// Writes changes of a size as the agreement does: each an entry, folded into a
/// snapshot of a third of the size. Largest size of the file, bytes.
fn grow(changes: u64, bytes: usize) -> u64 {
    let mut store = Store::new(Folder::new());
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let mut most = 0;
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
        let size = std::fs::metadata(store.folder.store()).expect("there");
        most = most.max(size.len());
    }
    store.close();
    most
}

/// Pages that are free are used again: the file stays within the smallest disk.
#[test]
fn the_file_stops_growing() {
    let [some, many] = [20, 120].map(|changes| grow(changes, 300_000));
    println!("300 KB a change: {some} bytes after 20, {many} after 120");
    assert!(many <= 2 * some && many < 16 << 20, "{some}, {many}");
}
