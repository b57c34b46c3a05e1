//! Reads a store at the start, and tells apart: none, whole, damaged, and one
//! that cannot be read for another reason.
//!
//! A store is made under another name and renamed once it is whole and synced: a
//! file under its own name is never a first write cut short.

use super::{high_water, meta_number, open_store, sync_folder, Fallible, Identity, Paths, LOG, META};
use control_state::ControlState;
use prost::Message;
use raft::{Entry, HardState, PersistentState, Snapshot};
use rand::Rng;
use redb::{Database, DatabaseError, ReadableDatabase, StorageError, TableError};
use std::io::ErrorKind;

pub(super) struct Loaded {
    pub db: Database,
    pub identity: Identity,
    pub saved: PersistentState,
    pub stage: ControlState,
    pub commits: u64,
    pub empty: bool,
    pub damage: Option<String>,
}

/// Why a store was not taken.
pub(super) enum Unfit {
    /// Bytes are not what was written: whatever it promised is not all there.
    Damaged(String),
    /// Anything else: it may all be there.
    Unreadable(String),
}

/// Loads the store, or begins one as somebody new.
pub(super) fn load(paths: &Paths) -> Result<Loaded, String> {
    if let Some(folder) = paths.store.parent() {
        std::fs::create_dir_all(folder).map_err(|e| e.to_string())?;
    }
    let exists = paths.store.try_exists().map_err(|e| e.to_string())?;
    let marks = high_water::read(&paths.high_water);
    let damage = if exists {
        match read_store(paths, &marks) {
            Ok(loaded) => return Ok(loaded),
            Err(Unfit::Damaged(why)) => Some(why),
            Err(Unfit::Unreadable(why)) => return Err(why),
        }
    } else if marks.is_empty() {
        None
    } else {
        Some("the store is gone, and its count of commits is not".to_string())
    };
    if damage.is_some() {
        set_aside(paths, exists).map_err(|e| format!("cannot set the damaged store aside: {e}"))?;
    }
    begin(paths, damage).map_err(|e| format!("cannot begin a store: {e}"))
}

/// Keeps the damaged store for the operator. The count of commits goes last: a
/// damaged store without it would pass for a whole one.
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

fn begin(paths: &Paths, damage: Option<String>) -> Fallible<Loaded> {
    let identity = Identity {
        id: rand::thread_rng().gen_range(1..u64::MAX),
        cluster: 0,
    };
    // What is there of one that was being made promised nothing.
    std::fs::remove_file(&paths.unfinished).ok();
    let db = open_store(|b| b.create(&paths.unfinished))?;
    let tx = db.begin_write()?;
    {
        let mut meta = tx.open_table(META)?;
        meta.insert("id", identity.id.to_le_bytes().as_slice())?;
        tx.open_table(LOG)?;
    }
    tx.commit()?;
    std::fs::rename(&paths.unfinished, &paths.store)?;
    sync_folder(&paths.store)?;
    Ok(Loaded {
        db,
        identity,
        saved: PersistentState::default(),
        stage: ControlState::default(),
        commits: 0,
        empty: damage.is_none(),
        damage,
    })
}

fn read_store(paths: &Paths, marks: &[(u64, u64)]) -> Result<Loaded, Unfit> {
    // An empty file would be taken for a store yet to be made.
    let size = std::fs::metadata(&paths.store).map_err(|e| Unfit::Unreadable(e.to_string()))?;
    if size.len() == 0 {
        return Err(Unfit::Damaged("the file is empty".into()));
    }
    let db = open_store(|b| b.open(&paths.store)).map_err(|e| judge(&*e))?;
    let (identity, saved, commits) = read_all(&db).map_err(|e| judge(&*e))??;
    let counted = marks.iter().filter(|(id, _)| *id == identity.id).map(|(_, n)| *n);
    let counted = counted.max().unwrap_or(0);
    if commits < counted {
        return Err(Unfit::Damaged(format!(
            "{counted} commits were acknowledged, {commits} are there"
        )));
    }
    check_log(&saved).map_err(Unfit::Unreadable)?;
    let stage = ControlState::from_snapshot(saved.snapshot.index, &saved.snapshot.data)
        .map_err(|e| Unfit::Unreadable(format!("snapshot at index {}: {e}", saved.snapshot.index)))?;
    Ok(Loaded {
        db,
        identity,
        saved,
        stage,
        commits,
        empty: false,
        damage: None,
    })
}

/// Whether an error of the store speaks of its bytes, or of the way to them.
fn judge(e: &(dyn std::error::Error + Send + Sync + 'static)) -> Unfit {
    let inner = |e: &StorageError| match e {
        StorageError::Corrupted(_) => true,
        StorageError::Io(io) => matches!(io.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof),
        _ => false,
    };
    let damaged = match (
        e.downcast_ref::<DatabaseError>(),
        e.downcast_ref::<StorageError>(),
        e.downcast_ref::<TableError>(),
    ) {
        (Some(DatabaseError::Storage(e)), _, _) | (_, Some(e), _) => inner(e),
        (_, _, Some(TableError::Storage(e))) => inner(e),
        // Both tables were there when the store got its name.
        (_, _, Some(TableError::TableDoesNotExist(_))) => true,
        _ => false,
    };
    if damaged {
        Unfit::Damaged(e.to_string())
    } else {
        Unfit::Unreadable(e.to_string())
    }
}

pub(super) type Content = (Identity, PersistentState, u64);

pub(super) fn read_all(db: &Database) -> Fallible<Result<Content, Unfit>> {
    let tx = db.begin_read()?;
    let meta = tx.open_table(META)?;
    let get = |name: &str| meta_number(&meta, name);
    let identity = Identity {
        id: get("id")?,
        cluster: get("cluster")?,
    };
    if identity.id == 0 {
        return Ok(Err(Unfit::Damaged("it has no identity".into())));
    }
    let snapshot = match meta.get("snapshot")? {
        Some(bytes) => Snapshot::decode(bytes.value())?,
        None => Snapshot::default(),
    };
    let mut entries = Vec::new();
    let log = tx.open_table(LOG)?;
    for row in log.range(snapshot.index + 1..)? {
        let (key, bytes) = row?;
        let entry = Entry::decode(bytes.value())?;
        if entry.index != key.value() {
            let why = format!("row {} holds entry {}", key.value(), entry.index);
            return Ok(Err(Unfit::Unreadable(why)));
        }
        entries.push(entry);
    }
    let saved = PersistentState {
        hard_state: HardState {
            term: get("term")?,
            vote: get("vote")?,
        },
        snapshot,
        entries,
    };
    Ok(Ok((identity, saved, get("commits")?)))
}

/// The log goes on from the snapshot without a gap, and terms never fall.
fn check_log(saved: &PersistentState) -> Result<(), String> {
    let (mut index, mut term) = (saved.snapshot.index, saved.snapshot.term);
    for e in &saved.entries {
        if e.index != index + 1 || e.term < term {
            return Err(format!(
                "entry {} of term {} follows {index} of term {term}",
                e.index, e.term
            ));
        }
        (index, term) = (e.index, e.term);
    }
    if term > saved.hard_state.term {
        return Err(format!(
            "an entry of term {term} is later than the term {}",
            saved.hard_state.term
        ));
    }
    Ok(())
}
