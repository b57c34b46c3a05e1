//! The store on a disk that loses power or is full: what was acknowledged is there,
//! whatever became of the writes since the last sync.

use super::load::read_content;
use super::*;
use raft::{Entry, HardState, Snapshot};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// A write since the last sync, or a new length.
#[derive(Debug, Clone)]
enum Unsynced {
    Bytes(usize, Vec<u8>),
    Length(usize),
}

#[derive(Debug, Default)]
struct State {
    live: Vec<u8>,
    synced: Vec<u8>,
    since: Vec<Unsynced>,
    full: bool,
    /// Images of a disk that lost power at one moment, with the commit that was
    /// acknowledged by then.
    images: Vec<(u64, Vec<u8>)>,
    acknowledged: u64,
    rng: Option<SmallRng>,
}

fn put(disk: &mut Vec<u8>, at: usize, bytes: &[u8]) {
    if disk.len() < at + bytes.len() {
        disk.resize(at + bytes.len(), 0);
    }
    disk[at..at + bytes.len()].copy_from_slice(bytes);
}

impl State {
    /// The power goes: each write since the last sync is there, missing or torn.
    fn lose_power(&mut self) {
        let Some(rng) = &mut self.rng else { return };
        if !rng.gen_ratio(1, 4) {
            return;
        }
        let mut disk = self.synced.clone();
        for write in &self.since {
            match (write, rng.gen_range(0..3)) {
                (_, 0) => {}
                (Unsynced::Bytes(at, bytes), 1) => {
                    put(&mut disk, *at, &bytes[..rng.gen_range(0..=bytes.len())]);
                }
                (Unsynced::Bytes(at, bytes), _) => put(&mut disk, *at, bytes),
                (Unsynced::Length(len), _) => disk.resize(*len, 0),
            }
        }
        self.images.push((self.acknowledged, disk));
    }

    fn refuse(&self) -> std::io::Result<()> {
        if self.full {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }
}

#[derive(Debug, Clone, Default)]
struct Backend(Arc<Mutex<State>>);

impl Backend {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().expect("nobody panicked"))
    }
}

impl StorageBackend for Backend {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.with(|s| s.live.len() as u64))
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.with(|s| {
            let at = offset as usize;
            let bytes = s.live.get(at..at + out.len()).ok_or(ErrorKind::UnexpectedEof)?;
            out.copy_from_slice(bytes);
            Ok(())
        })
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.with(|s| {
            s.refuse()?;
            s.live.resize(len as usize, 0);
            s.since.push(Unsynced::Length(len as usize));
            Ok(())
        })
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.with(|s| {
            s.lose_power();
            s.synced = s.live.clone();
            s.since.clear();
            Ok(())
        })
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.with(|s| {
            s.refuse()?;
            put(&mut s.live, offset as usize, data);
            s.since.push(Unsynced::Bytes(offset as usize, data.to_vec()));
            s.lose_power();
            Ok(())
        })
    }
}

fn disk_on(backend: &Backend) -> Disk {
    let db = open_store(|b| b.create_with_backend(backend.clone())).expect("opens");
    let tx = db.begin_write().expect("begins");
    {
        let mut meta = tx.open_table(META).expect("a table");
        meta.insert("id", 7_u64.to_le_bytes().as_slice()).expect("room");
        tx.open_table(LOG).expect("a table");
    }
    tx.commit().expect("commits");
    Disk {
        database: Some(db),
        path: PathBuf::new(),
        id: 7,
        commits: 0,
        high_water: HighWater::new(PathBuf::from("/nowhere/at/all")),
    }
}

/// Writes as a voter makes them: entries, at times cut off, a term, a snapshot.
fn some_write(rng: &mut SmallRng, last: &mut u64, folded: &mut u64, term: &mut u64) -> StorageWrite {
    let mut write = StorageWrite::default();
    if rng.gen_ratio(1, 6) {
        *term += 1;
        write.hard_state = Some(HardState {
            term: *term,
            vote: rng.gen_range(1..9),
        });
    }
    if rng.gen_ratio(1, 5) && *last > *folded {
        *folded = *last;
        write.snapshot = Some(Snapshot {
            index: *last,
            term: *term,
            data: vec![5; rng.gen_range(1..60_000)],
            ..Default::default()
        });
    } else if rng.gen_ratio(1, 6) && *last > *folded + 1 {
        write.truncate_from = Some(*last);
        *last -= 1;
    }
    for _ in 0..rng.gen_range(0..3) {
        *last += 1;
        write.entries.push(Entry {
            index: *last,
            term: *term,
            entry_type: 1,
            data: vec![*last as u8; rng.gen_range(0..9_000)],
        });
    }
    write
}

fn content(db: &Database) -> (u64, PersistentState) {
    let content = read_content(db).expect("a store after a loss of power is complete");
    (content.commits, content.saved)
}

#[test]
fn what_was_acknowledged_is_there_after_any_loss_of_power() {
    let (mut looked, mut torn) = (0, 0);
    for seed in 1..=12 {
        let backend = Backend::default();
        let mut disk = disk_on(&backend);
        backend.with(|s| s.rng = Some(SmallRng::seed_from_u64(seed)));
        let mut rng = SmallRng::seed_from_u64(seed + 100);
        let (mut last, mut folded, mut term) = (0, 0, 1);
        let mut known = BTreeMap::new();
        for _ in 0..25 {
            let write = some_write(&mut rng, &mut last, &mut folded, &mut term);
            disk.commit(&[Job::Write { number: 1, write }]).expect("commits");
            backend.with(|s| s.acknowledged = disk.commits);
            known.insert(disk.commits, content(disk.database.as_ref().expect("open")).1);
        }
        let images = backend.with(|s| {
            s.rng = None;
            std::mem::take(&mut s.images)
        });
        for (acknowledged, image) in images {
            let lost = Backend::default();
            lost.with(|s| s.live = image);
            let db = open_store(|b| b.create_with_backend(lost)).expect("a torn end is no damage");
            let (commits, saved) = content(&db);
            assert!(
                commits >= acknowledged,
                "{commits} of {acknowledged}, seed {seed}"
            );
            assert!(commits <= acknowledged + 1);
            if let Some(known) = known.get(&commits) {
                assert_eq!(saved, *known, "commit {commits}, seed {seed}");
            }
            looked += 1;
            torn += usize::from(commits == acknowledged);
        }
    }
    println!("{looked} losses of power, {torn} without the write under way");
    assert!(looked > 500 && torn > 50 && torn < looked, "{looked} {torn}");
}

/// A snapshot finds the disk full: nothing is acknowledged, nothing of before is
/// lost, and it is tried again until there is room.
#[test]
fn a_full_disk_in_a_snapshot_breaks_no_promise() {
    let backend = Backend::default();
    let mut disk = disk_on(&backend);
    let entry = |index| Entry {
        index,
        term: 3,
        entry_type: 1,
        data: vec![1; 100],
    };
    let job = |write| Job::Write { number: 1, write };
    let first = StorageWrite {
        hard_state: Some(HardState { term: 3, vote: 5 }),
        entries: (1..=40).map(entry).collect(),
        ..Default::default()
    };
    disk.commit(&[job(first)]).expect("room");
    let snapshot = || {
        job(StorageWrite {
            snapshot: Some(Snapshot {
                index: 40,
                term: 3,
                data: vec![9; 2_000_000],
                ..Default::default()
            }),
            entries: vec![entry(41)],
            ..Default::default()
        })
    };
    backend.with(|s| s.full = true);
    for _ in 0..3 {
        assert!(disk.commit(&[snapshot()]).is_err(), "nothing is acknowledged");
        drop(disk.database.take());
        disk.database = open_store(|b| b.create_with_backend(backend.clone())).ok();
    }
    backend.with(|s| s.full = false);
    disk.database = None;
    disk.database = open_store(|b| b.create_with_backend(backend.clone())).ok();
    let (commits, saved) = content(disk.database.as_ref().expect("opens"));
    assert_eq!(
        (
            commits,
            saved.entries.len(),
            saved.hard_state.term,
            saved.hard_state.vote
        ),
        (1, 40, 3, 5)
    );
    disk.commit(&[snapshot()]).expect("room");
    let (commits, saved) = content(disk.database.as_ref().expect("open"));
    assert_eq!((commits, saved.snapshot.index, saved.entries.len()), (2, 40, 1));
}
