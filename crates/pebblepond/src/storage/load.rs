//! Reads a store at the start, and tells apart: none, complete, damaged, and one that cannot be
//! read for another reason.
//!
//! A store is made under another name and renamed once it is complete and synced: a file under
//! its own name is never a first write cut short.

use super::error::{LoadError, StoreError};
use super::high_water::{self, HighWaterMark};
use super::{meta_number, open_store, sync_folder, Identity, Paths, LOG, META};
use control_state::ControlState;
use prost::Message;
use raft::{Entry, HardState, PersistentState, Snapshot};
use rand::Rng;
use redb::{Database, DatabaseError, ReadableDatabase, StorageError, TableError};
use std::io::ErrorKind;

/// A store that was read or made.
pub(super) struct Loaded {
    pub database: Database,
    pub identity: Identity,
    pub saved: PersistentState,
    pub state: ControlState,
    pub commits: u64,
    pub is_empty: bool,
    pub damage: Option<String>,
}

/// Why a store was not taken.
#[derive(Debug)]
pub(super) enum Rejection {
    /// Bytes are not what was written: whatever it promised is not all there.
    Damaged(String),
    /// Anything else: it may all be there.
    Unreadable(String),
}

impl Rejection {
    fn unreadable(error: impl ToString) -> Rejection {
        Rejection::Unreadable(error.to_string())
    }
}

impl From<StoreError> for Rejection {
    /// Whether an error of the store speaks of its bytes, or of the way to them.
    fn from(error: StoreError) -> Rejection {
        let is_damage = match &error {
            StoreError::Database(DatabaseError::Storage(e))
            | StoreError::Storage(e)
            | StoreError::Table(TableError::Storage(e)) => is_damage(e),
            // Both tables were there when the store got its name.
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

/// Loads the store, or begins one with a new identity.
pub(super) fn load(paths: &Paths) -> Result<Loaded, LoadError> {
    if let Some(folder) = paths.store.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let exists = paths.store.try_exists()?;
    let marks = high_water::read(&paths.high_water);
    let damage = if exists {
        match read_store(paths, &marks) {
            Ok(loaded) => return Ok(loaded),
            Err(Rejection::Damaged(why)) => Some(why),
            Err(Rejection::Unreadable(why)) => return Err(LoadError::Unreadable(why)),
        }
    } else if marks.is_empty() {
        None
    } else {
        Some("the store is gone, and its count of commits is not".to_string())
    };
    if damage.is_some() {
        set_aside(paths, exists).map_err(LoadError::SetAside)?;
    }
    begin(paths, damage).map_err(LoadError::Begin)
}

/// Keeps the damaged store for the operator. The count of commits goes last: a damaged store
/// without it would pass for a complete one.
fn set_aside(paths: &Paths, exists: bool) -> std::io::Result<()> {
    if exists {
        std::fs::rename(&paths.store, &paths.damaged)?;
        sync_folder(&paths.store)?;
    }
    match std::fs::remove_file(&paths.high_water) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => sync_folder(&paths.store),
    }
}

fn begin(paths: &Paths, damage: Option<String>) -> Result<Loaded, StoreError> {
    let identity = Identity {
        id: rand::thread_rng().gen_range(1..u64::MAX),
        cluster: 0,
    };
    // What is there of one that was being made promised nothing.
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
    sync_folder(&paths.store)?;
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
    // An empty file would be taken for a store yet to be made.
    let size = std::fs::metadata(&paths.store).map_err(Rejection::unreadable)?;
    if size.len() == 0 {
        return Err(Rejection::Damaged("the file is empty".into()));
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

/// The tables of a store.
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
        return Err(Rejection::Damaged("it has no identity".into()));
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
            let why = format!("row {} holds entry {}", key.value(), entry.index);
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

/// The log goes on from the snapshot without a gap, and terms never fall.
fn check_log(saved: &PersistentState) -> Result<(), Rejection> {
    let (mut index, mut term) = (saved.snapshot.index, saved.snapshot.term);
    for entry in &saved.entries {
        if entry.index != index + 1 || entry.term < term {
            return Err(Rejection::Unreadable(format!(
                "entry {} of term {} follows {index} of term {term}",
                entry.index, entry.term
            )));
        }
        (index, term) = (entry.index, entry.term);
    }
    let current = saved.hard_state.term;
    if term > current {
        let why = format!("an entry of term {term} is later than the term {current}");
        return Err(Rejection::Unreadable(why));
    }
    Ok(())
}
