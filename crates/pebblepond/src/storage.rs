//! The node's persistent state on disk. The store has its own thread, so that a hanging disk does
//! not block traffic.
//!
//! Everything that was acknowledged under a node's identity must be in its store. A store that
//! holds less than was acknowledged is set aside, and the node starts with a new identity, without
//! a vote.

mod error;
mod high_water;
mod load;
#[cfg(test)]
mod power_tests;

pub use error::OpenError;

use config::constants as c;
use control_state::ControlState;
use error::StoreError;
use high_water::HighWater;
use prost::Message;
use raft::{HardState, PersistentState, StorageWrite};
use redb::{Builder, Database, ReadableTable, Table, TableDefinition};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Table of identity, cluster, term, vote, snapshot and commit count, by name.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Table of the log entries, by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Size of the store's cache, in bytes. It is small because the log is read only at the start.
const CACHE_BYTES: usize = 256 * 1024;
/// Stack size of the storage thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// The files of a store. Their names must not change, because earlier versions wrote them.
struct Paths {
    store: PathBuf,
    /// A store whose creation is not complete.
    unfinished: PathBuf,
    /// The store that was most recently found damaged.
    damaged: PathBuf,
    high_water: PathBuf,
}

impl Paths {
    fn new(directory: &str) -> Paths {
        let file = |name: &str| Path::new(directory).join(name);
        Paths {
            store: file("prompter.redb"),
            unfinished: file("prompter.redb.new"),
            damaged: file("prompter.redb.damaged"),
            high_water: file("prompter.mark"),
        }
    }
}

/// The identity of this node, as stored on its disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct Identity {
    /// The node ID, chosen at random when the store is created.
    pub id: u64,
    /// The cluster that the node belongs to; 0 for none.
    pub cluster: u64,
}

/// An opened store, with the content that it had at the start.
pub struct OpenedStore {
    /// The identity of this node.
    pub identity: Identity,
    /// The persistent state of Raft.
    pub saved: PersistentState,
    /// The control state of the snapshot.
    pub state: ControlState,
    /// Whether the disk held no store.
    pub is_empty: bool,
    /// The reason why the previous store was set aside, if it was.
    pub damage: Option<String>,
    /// The open store.
    pub storage: Storage,
}

/// A job for the storage thread.
enum Job {
    Write { number: u64, write: StorageWrite },
    Cluster(u64),
}

/// An event reported by the storage thread.
#[derive(Debug)]
pub enum StorageEvent {
    /// All writes up to and including this number are on disk.
    Persisted(u64),
    /// A write failed, for the given reason, and will be retried.
    Failed(String),
}

/// Handle of an open store. Dropping it ends the storage thread.
pub struct Storage {
    jobs: mpsc::Sender<Job>,
}

impl Storage {
    /// Opens the store in a directory, or creates one with a new identity.
    pub fn open(directory: &str, events: UnboundedSender<StorageEvent>) -> Result<OpenedStore, OpenError> {
        let paths = Paths::new(directory);
        let loaded = load::load(&paths).map_err(|source| OpenError::Load {
            store: paths.store.clone(),
            source,
        })?;
        let (jobs, queue) = mpsc::channel();
        let mut disk = Disk {
            database: Some(loaded.database),
            id: loaded.identity.id,
            commits: loaded.commits,
            high_water: HighWater::new(paths.high_water),
            path: paths.store,
        };
        std::thread::Builder::new()
            .name("storage".into())
            .stack_size(STACK_BYTES)
            .spawn(move || disk.work(&queue, &events))
            .map_err(OpenError::Thread)?;
        Ok(OpenedStore {
            identity: loaded.identity,
            saved: loaded.saved,
            state: loaded.state,
            is_empty: loaded.is_empty,
            damage: loaded.damage,
            storage: Storage { jobs },
        })
    }

    /// Queues a write; [`StorageEvent::Persisted`] reports when it is on disk.
    pub fn write(&self, number: u64, write: StorageWrite) {
        // The thread ends only with the process.
        let _ = self.jobs.send(Job::Write { number, write });
    }

    /// Queues a write of the cluster that the node has joined.
    pub fn set_cluster(&self, cluster: u64) {
        let _ = self.jobs.send(Job::Cluster(cluster));
    }
}

/// Opens a store and checks all of its pages. Without this check redb trusts a store that was
/// closed cleanly, and may panic if it is damaged.
fn open_store(
    open: impl FnOnce(&mut Builder) -> Result<Database, redb::DatabaseError>,
) -> Result<Database, StoreError> {
    let mut builder = Database::builder();
    builder
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true);
    Ok(open(&mut builder)?)
}

fn sync_directory(path: &Path) -> std::io::Result<()> {
    let directory: PathBuf = path.parent().map(Path::to_path_buf).unwrap_or_default();
    std::fs::File::open(directory)?.sync_all()
}

/// Returns a number of the `META` table; 0 if it is missing.
fn meta_number(
    meta: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<u64, StoreError> {
    let number = |bytes: &[u8]| bytes.try_into().map_or(0, u64::from_le_bytes);
    Ok(meta.get(name)?.map_or(0, |v| number(v.value())))
}

/// The state of the storage thread.
struct Disk {
    database: Option<Database>,
    path: PathBuf,
    id: u64,
    /// Number of commits that this store has acknowledged, in all processes that had it open.
    commits: u64,
    high_water: HighWater,
}

impl Disk {
    fn work(&mut self, queue: &mpsc::Receiver<Job>, events: &UnboundedSender<StorageEvent>) {
        while let Some(first) = self.next_job(queue) {
            // All queued jobs are written in one commit.
            let mut jobs = vec![first];
            jobs.extend(queue.try_iter());
            while let Err(e) = self.commit(&jobs) {
                if events.send(StorageEvent::Failed(e.to_string())).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(c::DISK_RETRY_MS));
                self.reopen();
            }
            self.high_water.record(self.id, self.commits);
            let last = jobs.iter().rev().find_map(|job| match job {
                Job::Write { number, .. } => Some(*number),
                Job::Cluster(_) => None,
            });
            if let Some(number) = last {
                if events.send(StorageEvent::Persisted(number)).is_err() {
                    break;
                }
            }
            self.high_water.sync_if_due();
        }
        self.high_water.sync();
    }

    /// Reopens the store after a failed write; the open database cannot be used any more.
    fn reopen(&mut self) {
        drop(self.database.take());
        self.database = open_store(|b| b.open(&self.path)).ok();
    }

    /// Waits for a job; syncs a pending high-water mark if no job arrives in the meantime.
    fn next_job(&mut self, queue: &mpsc::Receiver<Job>) -> Option<Job> {
        if self.high_water.is_dirty() {
            match queue.recv_timeout(Duration::from_millis(c::COMMIT_COUNT_SYNC_DELAY_MS)) {
                Ok(job) => return Some(job),
                Err(mpsc::RecvTimeoutError::Timeout) => self.high_water.sync(),
                Err(mpsc::RecvTimeoutError::Disconnected) => return None,
            }
        }
        queue.recv().ok()
    }

    fn commit(&mut self, jobs: &[Job]) -> Result<(), StoreError> {
        let database = self.database.as_ref().ok_or(StoreError::Closed)?;
        let transaction = database.begin_write()?;
        let commits;
        {
            let mut meta = transaction.open_table(META)?;
            let mut log = transaction.open_table(LOG)?;
            commits = self.next_commit(&meta)?;
            meta.insert("commits", commits.to_le_bytes().as_slice())?;
            for job in jobs {
                match job {
                    Job::Cluster(cluster) => {
                        meta.insert("cluster", cluster.to_le_bytes().as_slice())?;
                    }
                    Job::Write { write, .. } => apply_write(&mut meta, &mut log, write)?,
                }
            }
        }
        transaction.commit()?;
        self.commits = commits;
        Ok(())
    }

    /// Returns the number of the next commit. Fails if the store holds fewer commits than it has
    /// acknowledged, so that no acknowledged commit is overwritten.
    fn next_commit(&self, meta: &impl ReadableTable<&'static str, &'static [u8]>) -> Result<u64, StoreError> {
        let (id, commits) = (meta_number(meta, "id")?, meta_number(meta, "commits")?);
        if id != self.id || commits < self.commits {
            return Err(StoreError::CommitsMissing {
                acknowledged: self.commits,
                found: commits,
            });
        }
        Ok(commits + 1)
    }
}

fn apply_write(
    meta: &mut Table<&str, &[u8]>,
    log: &mut Table<u64, &[u8]>,
    write: &StorageWrite,
) -> Result<(), StoreError> {
    if let Some(HardState { term, vote }) = write.hard_state {
        meta.insert("term", term.to_le_bytes().as_slice())?;
        meta.insert("vote", vote.to_le_bytes().as_slice())?;
    }
    if let Some(snapshot) = &write.snapshot {
        meta.insert("snapshot", snapshot.encode_to_vec().as_slice())?;
        log.retain_in(..=snapshot.index, |_, _| false)?;
    }
    if let Some(from) = write.truncate_from {
        log.retain_in(from.., |_, _| false)?;
    }
    for entry in &write.entries {
        log.insert(entry.index, entry.encode_to_vec().as_slice())?;
    }
    Ok(())
}
