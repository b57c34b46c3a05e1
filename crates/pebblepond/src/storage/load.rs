//! Loads a store at the start. Distinguishes a missing store, a complete one, a damaged one, and
//! one that cannot be read for another reason.
//!
//! A store is created under a temporary name and renamed once it is complete and synced, so that a
//! file under the final name is never an interrupted creation.

use super::error::{LoadError, StoreError};
use super::high_water::{self, HighWaterMark};
use super::{meta_number, open_store, sync_directory, Identity, Paths, LOG, META};
use control_state::ControlState;
use prost::Message;
use raft::{Entry, HardState, PersistentState, Snapshot};
use rand::Rng;
use redb::{Database, DatabaseError, ReadableDatabase, StorageError, TableError};
use std::io::ErrorKind;

/// A store that was loaded or created.
pub(super) struct Loaded {
    pub database: Database,
    pub identity: Identity,
    pub saved: PersistentState,
    pub state: ControlState,
    pub commits: u64,
    pub is_empty: bool,
    pub damage: Option<String>,
}

/// The reason why a store was not loaded.
#[derive(Debug)]
pub(super) enum Rejection {
    /// The content differs from what was written, so acknowledged data is missing.
    Damaged(String),
    /// Any other failure; all acknowledged data may still be present.
    Unreadable(String),
}

impl Rejection {
    fn unreadable(error: impl ToString) -> Rejection {
        Rejection::Unreadable(error.to_string())
    }
}

impl From<StoreError> for Rejection {
    /// Classifies an error as damaged content or as a failure to access the content.
    fn from(error: StoreError) -> Rejection {
        let is_damage = match &error {
            StoreError::Database(DatabaseError::Storage(e))
            | StoreError::Storage(e)
            | StoreError::Table(TableError::Storage(e)) => is_damage(e),
            // Both tables exist before the store is renamed to its final name.
            StoreError::Table(TableError::TableDoesNotExist(_)) => true,
            _ => false,
        };
        if is_damage {
            Rejection::Damaged(error.to_string())
        } else {
            Rejection::Unreadable(error.to_string())
        }
    }
}

fn is_damage(error: &StorageError) -> bool {
    match error {
        StorageError::Corrupted(_) => true,
        StorageError::Io(io) => matches!(io.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof),
        _ => false,
    }
}

/// Loads the store, or creates one with a new identity.
pub(super) fn load(paths: &Paths) -> Result<Loaded, LoadError> {
    if let Some(directory) = paths.store.parent() {
        std::fs::create_dir_all(directory)?;
    }
    let store_exists = paths.store.try_exists()?;
    let marks = high_water::read(&paths.high_water);
    let damage = if store_exists {
        match read_store(paths, &marks) {
            Ok(loaded) => return Ok(loaded),
            Err(Rejection::Damaged(why)) => Some(why),
            Err(Rejection::Unreadable(why)) => return Err(LoadError::Unreadable(why)),
        }
    } else if marks.is_empty() {
        None
    } else {
        Some("the store file is missing although its high-water mark exists".to_string())
    };
    if damage.is_some() {
        set_aside(paths, store_exists).map_err(LoadError::SetAside)?;
    }
    create_store(paths, damage).map_err(LoadError::Create)
}

/// Sets the damaged store aside for the operator. The high-water mark is removed last, because
/// without it a damaged store would be taken for a complete one.
fn set_aside(paths: &Paths, store_exists: bool) -> std::io::Result<()> {
    if store_exists {
        std::fs::rename(&paths.store, &paths.damaged)?;
        sync_directory(&paths.store)?;
    }
    match std::fs::remove_file(&paths.high_water) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => sync_directory(&paths.store),
    }
}

fn create_store(paths: &Paths, damage: Option<String>) -> Result<Loaded, StoreError> {
    let identity = Identity {
        id: rand::thread_rng().gen_range(1..u64::MAX),
        cluster: 0,
    };
    // An incomplete store from an earlier attempt has acknowledged nothing.
    std::fs::remove_file(&paths.unfinished).ok();
    let database = open_store(|b| b.create(&paths.unfinished))?;
    let transaction = database.begin_write()?;
    {
        let mut meta = transaction.open_table(META)?;
        meta.insert("id", identity.id.to_le_bytes().as_slice())?;
        transaction.open_table(LOG)?;
    }
    transaction.commit()?;
    std::fs::rename(&paths.unfinished, &paths.store)?;
    sync_directory(&paths.store)?;
    Ok(Loaded {
        database,
        identity,
        saved: PersistentState::default(),
        state: ControlState::default(),
        commits: 0,
        is_empty: damage.is_none(),
        damage,
    })
}

fn read_store(paths: &Paths, marks: &[HighWaterMark]) -> Result<Loaded, Rejection> {
    // redb would treat an empty file as a database that has not been created yet.
    let size = std::fs::metadata(&paths.store).map_err(Rejection::unreadable)?;
    if size.len() == 0 {
        return Err(Rejection::Damaged("the store file is empty".into()));
    }
    let database = open_store(|b| b.open(&paths.store))?;
    let content = read_content(&database)?;
    let own_marks = marks.iter().filter(|m| m.id == content.identity.id);
    let acknowledged = own_marks.map(|m| m.commits).max().unwrap_or(0);
    if content.commits < acknowledged {
        let missing = StoreError::CommitsMissing {
            acknowledged,
            found: content.commits,
        };
        return Err(Rejection::Damaged(missing.to_string()));
    }
    check_log(&content.saved)?;
    let snapshot = &content.saved.snapshot;
    let state = ControlState::from_snapshot(snapshot.index, &snapshot.data)
        .map_err(|e| Rejection::Unreadable(format!("snapshot at index {}: {e}", snapshot.index)))?;
    Ok(Loaded {
        database,
        identity: content.identity,
        saved: content.saved,
        state,
        commits: content.commits,
        is_empty: false,
        damage: None,
    })
}

/// The content of a store's tables.
pub(super) struct Content {
    pub identity: Identity,
    pub saved: PersistentState,
    pub commits: u64,
}

/// Reads all tables of a store.
pub(super) fn read_content(database: &Database) -> Result<Content, Rejection> {
    let transaction = database.begin_read().map_err(StoreError::from)?;
    let meta = transaction.open_table(META).map_err(StoreError::from)?;
    let get = |name: &str| meta_number(&meta, name);
    let identity = Identity {
        id: get("id")?,
        cluster: get("cluster")?,
    };
    if identity.id == 0 {
        return Err(Rejection::Damaged("the store has no node ID".into()));
    }
    let snapshot = match meta.get("snapshot").map_err(StoreError::from)? {
        Some(bytes) => Snapshot::decode(bytes.value()).map_err(StoreError::from)?,
        None => Snapshot::default(),
    };
    let mut entries = Vec::new();
    let log = transaction.open_table(LOG).map_err(StoreError::from)?;
    for row in log.range(snapshot.index + 1..).map_err(StoreError::from)? {
        let (key, bytes) = row.map_err(StoreError::from)?;
        let entry = Entry::decode(bytes.value()).map_err(StoreError::from)?;
        if entry.index != key.value() {
            let why = format!("row {} of the log table holds entry {}", key.value(), entry.index);
            return Err(Rejection::Unreadable(why));
        }
        entries.push(entry);
    }
    Ok(Content {
        identity,
        saved: PersistentState {
            hard_state: HardState {
                term: get("term")?,
                vote: get("vote")?,
            },
            snapshot,
            entries,
        },
        commits: get("commits")?,
    })
}

/// Checks that the log continues from the snapshot without a gap and that terms never decrease.
fn check_log(saved: &PersistentState) -> Result<(), Rejection> {
    let (mut index, mut term) = (saved.snapshot.index, saved.snapshot.term);
    for entry in &saved.entries {
        if entry.index != index + 1 || entry.term < term {
            return Err(Rejection::Unreadable(format!(
                "log entry {} of term {} follows index {index} of term {term}",
                entry.index, entry.term
            )));
        }
        (index, term) = (entry.index, entry.term);
    }
    let current = saved.hard_state.term;
    if term > current {
        let why = format!("a log entry has term {term}, which is later than the current term {current}");
        return Err(Rejection::Unreadable(why));
    }
    Ok(())
}
