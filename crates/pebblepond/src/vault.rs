//! The node's own state on disk, in a store of its own thread: a disk that
//! hangs must not hold up traffic.
//!
//! What is acknowledged is on disk, and stays the least that this identity
//! promises: a store that holds less of it than was acknowledged is set aside, and
//! the node begins as somebody new, without a vote.

mod high_water;
mod load;
#[cfg(test)]
mod power_tests;

use config::constants as c;
use control_state::ControlState;
use high_water::HighWater;
use prost::Message;
use raft::{HardState, PersistentState, StorageWrite};
use redb::{Builder, Database, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Cache of the store, bytes: the log is read at the start only.
const CACHE: usize = 256 * 1024;

/// The files of a store.
struct Paths {
    store: PathBuf,
    /// A store that is being made.
    unfinished: PathBuf,
    /// The last one that was found damaged.
    damaged: PathBuf,
    high_water: PathBuf,
}

impl Paths {
    fn new(folder: &str) -> Paths {
        let file = |name: &str| Path::new(folder).join(name);
        Paths {
            store: file("prompter.redb"),
            unfinished: file("prompter.redb.new"),
            damaged: file("prompter.redb.damaged"),
            high_water: file("prompter.mark"),
        }
    }
}

/// Who this node is, as its disk knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Identity {
    pub id: u64,
    pub cluster: u64,
}

/// What the disk held at the start.
pub struct Opened {
    pub identity: Identity,
    pub saved: PersistentState,
    /// The state of the snapshot.
    pub stage: ControlState,
    /// The disk held nothing of ours.
    pub empty: bool,
    /// Why the store before this one was set aside, if it was.
    pub damage: Option<String>,
    pub vault: Vault,
}

/// A job for the disk.
enum Job {
    Write { seq: u64, write: StorageWrite },
    Cluster(u64),
}

/// Word from the disk's thread.
#[derive(Debug)]
pub enum Word {
    /// Everything up to this write is on disk.
    Done(u64),
    /// A write has failed and is tried again.
    Trouble(String),
}

pub struct Vault {
    jobs: mpsc::Sender<Job>,
}

type Fallible<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

impl Vault {
    /// Opens the store, or begins it with a fresh identity. An error names the
    /// file, what is wrong, and what an operator may do.
    pub fn open(folder: &str, words: tokio::sync::mpsc::UnboundedSender<Word>) -> Result<Opened, String> {
        let paths = Paths::new(folder);
        let store = paths.store.display();
        let loaded = load::load(&paths).map_err(|e| {
            format!(
                "OwnEntity.DataDirectory: {store}: {e}. The file is left as it is. See that this process may read \
                 and write it and that the disk is sound, and start again; or, if the other machines with a disk \
                 are well, move it away: the node then joins as a new one"
            )
        })?;
        let (jobs, inbox) = mpsc::channel();
        let mut disk = Disk {
            db: Some(loaded.db),
            id: loaded.identity.id,
            commits: loaded.commits,
            high_water: HighWater::new(paths.high_water),
            path: paths.store,
        };
        std::thread::Builder::new()
            .name("vault".into())
            .stack_size(256 * 1024)
            .spawn(move || disk.work(&inbox, &words))
            .map_err(|e| e.to_string())?;
        Ok(Opened {
            identity: loaded.identity,
            saved: loaded.saved,
            stage: loaded.stage,
            empty: loaded.empty,
            damage: loaded.damage,
            vault: Vault { jobs },
        })
    }

    /// Queues a write; [`Word::Done`] tells when it is on disk.
    pub fn write(&self, seq: u64, write: StorageWrite) {
        // The thread ends only with the process.
        let _ = self.jobs.send(Job::Write { seq, write });
    }

    pub fn set_cluster(&self, cluster: u64) {
        let _ = self.jobs.send(Job::Cluster(cluster));
    }
}

/// Opens a store with all of its pages checked: redb trusts one that was closed in
/// order otherwise, and may panic on damage.
fn open_store(
    open: impl FnOnce(&mut Builder) -> Result<Database, redb::DatabaseError>,
) -> Fallible<Database> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
    Ok(open(&mut builder)?)
}

fn sync_folder(path: &Path) -> std::io::Result<()> {
    let folder: PathBuf = path.parent().map(Path::to_path_buf).unwrap_or_default();
    std::fs::File::open(folder)?.sync_all()
}

/// A number of the META table; 0 if it is not there.
fn meta_number(meta: &impl ReadableTable<&'static str, &'static [u8]>, name: &str) -> Fallible<u64> {
    let number = |bytes: &[u8]| bytes.try_into().map_or(0, u64::from_le_bytes);
    Ok(meta.get(name)?.map_or(0, |v| number(v.value())))
}

/// The disk's thread.
struct Disk {
    db: Option<Database>,
    path: PathBuf,
    id: u64,
    /// Commits acknowledged by this store, in all its lives.
    commits: u64,
    high_water: HighWater,
}

impl Disk {
    fn work(&mut self, inbox: &mpsc::Receiver<Job>, words: &tokio::sync::mpsc::UnboundedSender<Word>) {
        while let Some(first) = self.next_job(inbox) {
            // Whatever has queued up meanwhile goes to disk together.
            let mut jobs = vec![first];
            jobs.extend(inbox.try_iter());
            while let Err(e) = self.commit(&jobs) {
                if words.send(Word::Trouble(e.to_string())).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(c::DISK_RETRY_MS));
                // After a failed write only a fresh look at the file helps.
                drop(self.db.take());
                self.db = open_store(|b| b.open(&self.path)).ok();
            }
            self.high_water.note(self.id, self.commits);
            let last = jobs.iter().rev().find_map(|j| match j {
                Job::Write { seq, .. } => Some(*seq),
                Job::Cluster(_) => None,
            });
            if let Some(seq) = last {
                if words.send(Word::Done(seq)).is_err() {
                    break;
                }
            }
            self.high_water.sync_if_due();
        }
        self.high_water.sync();
    }

    /// Waits for a job; a count that waits for a sync gets it in between.
    fn next_job(&mut self, inbox: &mpsc::Receiver<Job>) -> Option<Job> {
        if self.high_water.is_dirty() {
            match inbox.recv_timeout(Duration::from_millis(c::HIGH_WATER_SYNC_MS)) {
                Ok(job) => return Some(job),
                Err(mpsc::RecvTimeoutError::Timeout) => self.high_water.sync(),
                Err(mpsc::RecvTimeoutError::Disconnected) => return None,
            }
        }
        inbox.recv().ok()
    }

    fn commit(&mut self, jobs: &[Job]) -> Fallible<()> {
        let db = self.db.as_ref().ok_or("the store is closed")?;
        let tx = db.begin_write()?;
        let count;
        {
            let mut meta = tx.open_table(META)?;
            let mut log = tx.open_table(LOG)?;
            // A commit that was acknowledged is not written over.
            let (id, commits) = (meta_number(&meta, "id")?, meta_number(&meta, "commits")?);
            if id != self.id || commits < self.commits {
                return Err(
                    format!("{} commits were acknowledged, {commits} are there", self.commits).into(),
                );
            }
            count = commits + 1;
            meta.insert("commits", count.to_le_bytes().as_slice())?;
            for job in jobs {
                let write = match job {
                    Job::Cluster(cluster) => {
                        meta.insert("cluster", cluster.to_le_bytes().as_slice())?;
                        continue;
                    }
                    Job::Write { write, .. } => write,
                };
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
            }
        }
        tx.commit()?;
        self.commits = count;
        Ok(())
    }
}
