//! The store on a disk that loses power or is full: acknowledged data is present whatever happens
//! to the writes since the last sync.

use super::load::read_content;
use super::*;
use raft::{Entry, HardState, Snapshot};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};

/// A write or a change of length since the last sync.
#[derive(Debug, Clone)]
enum Unsynced {
    Bytes(usize, Vec<u8>),
    Length(usize),
}

#[derive(Debug, Default)]
struct DiskState {
    live: Vec<u8>,
    synced: Vec<u8>,
    unsynced: Vec<Unsynced>,
    is_full: bool,
    /// Images of the disk after a power loss, each with the number of commits acknowledged by
    /// then.
    images: Vec<(u64, Vec<u8>)>,
    acknowledged: u64,
    rng: Option<SmallRng>,
}

fn write_at(disk: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    if disk.len() < offset + bytes.len() {
        disk.resize(offset + bytes.len(), 0);
    }
    disk[offset..offset + bytes.len()].copy_from_slice(bytes);
}

impl DiskState {
    /// Records a power loss with a probability of 1/4: each write since the last sync is complete,
    /// missing or torn.
    fn lose_power(&mut self) {
        let Some(rng) = &mut self.rng else { return };
        if !rng.gen_ratio(1, 4) {
            return;
        }
        let mut disk = self.synced.clone();
        for write in &self.unsynced {
            match (write, rng.gen_range(0..3)) {
                (_, 0) => {}
                (Unsynced::Bytes(offset, bytes), 1) => {
                    write_at(&mut disk, *offset, &bytes[..rng.gen_range(0..=bytes.len())]);
                }
                (Unsynced::Bytes(offset, bytes), _) => write_at(&mut disk, *offset, bytes),
                (Unsynced::Length(len), _) => disk.resize(*len, 0),
            }
        }
        self.images.push((self.acknowledged, disk));
    }

    fn check_space(&self) -> std::io::Result<()> {
        if self.is_full {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }
}

#[derive(Debug, Clone, Default)]
struct Backend(Arc<Mutex<DiskState>>);

impl Backend {
    fn with_state<T>(&self, access: impl FnOnce(&mut DiskState) -> T) -> T {
        access(&mut self.0.lock().expect("nobody panicked"))
    }
}

impl StorageBackend for Backend {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.with_state(|s| s.live.len() as u64))
    }
    fn read(&self, offset: u64, buffer: &mut [u8]) -> std::io::Result<()> {
        self.with_state(|s| {
            let offset = offset as usize;
            let bytes = s
                .live
                .get(offset..offset + buffer.len())
                .ok_or(ErrorKind::UnexpectedEof)?;
            buffer.copy_from_slice(bytes);
            Ok(())
        })
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.with_state(|s| {
            s.check_space()?;
            s.live.resize(len as usize, 0);
            s.unsynced.push(Unsynced::Length(len as usize));
            Ok(())
        })
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.with_state(|s| {
            s.lose_power();
            s.synced = s.live.clone();
            s.unsynced.clear();
            Ok(())
        })
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.with_state(|s| {
            s.check_space()?;
            write_at(&mut s.live, offset as usize, data);
            s.unsynced.push(Unsynced::Bytes(offset as usize, data.to_vec()));
            s.lose_power();
            Ok(())
        })
    }
}

fn create_disk(backend: &Backend) -> Disk {
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

/// Returns a random write as a voter makes it: entries, at times a truncation, a new term or a
/// snapshot.
fn random_write(
    rng: &mut SmallRng,
    last_index: &mut u64,
    snapshot_index: &mut u64,
    term: &mut u64,
) -> StorageWrite {
    let mut write = StorageWrite::default();
    if rng.gen_ratio(1, 6) {
        *term += 1;
        write.hard_state = Some(HardState {
            term: *term,
            vote: rng.gen_range(1..9),
        });
    }
    if rng.gen_ratio(1, 5) && *last_index > *snapshot_index {
        *snapshot_index = *last_index;
        write.snapshot = Some(Snapshot {
            index: *last_index,
            term: *term,
            data: vec![5; rng.gen_range(1..60_000)],
            ..Default::default()
        });
    } else if rng.gen_ratio(1, 6) && *last_index > *snapshot_index + 1 {
        write.truncate_from = Some(*last_index);
        *last_index -= 1;
    }
    for _ in 0..rng.gen_range(0..3) {
        *last_index += 1;
        write.entries.push(Entry {
            index: *last_index,
            term: *term,
            entry_type: 1,
            data: vec![*last_index as u8; rng.gen_range(0..9_000)],
        });
    }
    write
}

fn read_state(db: &Database) -> (u64, PersistentState) {
    let content = read_content(db).expect("a store is readable after a power loss");
    (content.commits, content.saved)
}

#[test]
fn acknowledged_writes_survive_any_power_loss() {
    let (mut images_checked, mut without_last_write) = (0, 0);
    for seed in 1..=12 {
        let backend = Backend::default();
        let mut disk = create_disk(&backend);
        backend.with_state(|s| s.rng = Some(SmallRng::seed_from_u64(seed)));
        let mut rng = SmallRng::seed_from_u64(seed + 100);
        let (mut last_index, mut snapshot_index, mut term) = (0, 0, 1);
        let mut states_by_commit = BTreeMap::new();
        for _ in 0..25 {
            let write = random_write(&mut rng, &mut last_index, &mut snapshot_index, &mut term);
            disk.commit(&[Job::Write { number: 1, write }]).expect("commits");
            backend.with_state(|s| s.acknowledged = disk.commits);
            states_by_commit.insert(disk.commits, read_state(disk.database.as_ref().expect("open")).1);
        }
        let images = backend.with_state(|s| {
            s.rng = None;
            std::mem::take(&mut s.images)
        });
        for (acknowledged, image) in images {
            let image_backend = Backend::default();
            image_backend.with_state(|s| s.live = image);
            let db = open_store(|b| b.create_with_backend(image_backend))
                .expect("unsynced writes that are lost are not damage");
            let (commits, saved) = read_state(&db);
            assert!(
                commits >= acknowledged,
                "the store holds {commits} of {acknowledged} acknowledged commits, seed {seed}"
            );
            assert!(commits <= acknowledged + 1);
            if let Some(expected) = states_by_commit.get(&commits) {
                assert_eq!(saved, *expected, "commit {commits}, seed {seed}");
            }
            images_checked += 1;
            without_last_write += usize::from(commits == acknowledged);
        }
    }
    println!("{images_checked} power losses, {without_last_write} without the write in progress");
    assert!(
        images_checked > 500 && without_last_write > 50 && without_last_write < images_checked,
        "{images_checked} power losses, {without_last_write} without the write in progress"
    );
}

/// The disk is full when a snapshot is written: the write is not acknowledged, earlier data is
/// kept, and the write succeeds once there is space.
#[test]
fn a_full_disk_during_a_snapshot_loses_no_acknowledged_data() {
    let backend = Backend::default();
    let mut disk = create_disk(&backend);
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
    backend.with_state(|s| s.is_full = true);
    for _ in 0..3 {
        assert!(
            disk.commit(&[snapshot()]).is_err(),
            "a write on a full disk must fail"
        );
        drop(disk.database.take());
        disk.database = open_store(|b| b.create_with_backend(backend.clone())).ok();
    }
    backend.with_state(|s| s.is_full = false);
    disk.database = None;
    disk.database = open_store(|b| b.create_with_backend(backend.clone())).ok();
    let (commits, saved) = read_state(disk.database.as_ref().expect("opens"));
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
    let (commits, saved) = read_state(disk.database.as_ref().expect("open"));
    assert_eq!((commits, saved.snapshot.index, saved.entries.len()), (2, 40, 1));
}
