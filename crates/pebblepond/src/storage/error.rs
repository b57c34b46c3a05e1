//! Errors of the store.

use std::io;
use std::path::PathBuf;

/// Why a store cannot be opened, and what an operator may do.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Its file cannot be read, or none can be made.
    #[error(
        "OwnEntity.DataDirectory: {}: {source}. The file is left as it is. See that this process may read \
         and write it and that the disk is sound, and start again; or, if the other machines with a disk \
         are well, move it away: the node then joins as a new one",
        store.display()
    )]
    Load {
        /// The file.
        store: PathBuf,
        /// Why.
        source: LoadError,
    },
    /// The disk's thread cannot be started.
    #[error("{0}")]
    Thread(#[source] io::Error),
}

/// Why a store was not loaded, nor set aside.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The folder or the file cannot be reached.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It may hold all that it promised, and cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// A damaged store stays where it is.
    #[error("cannot set the damaged store aside: {0}")]
    SetAside(#[source] io::Error),
    /// A new store cannot be made.
    #[error("cannot begin a store: {0}")]
    Begin(#[source] StoreError),
}

/// An operation on the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file cannot be opened.
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    /// Its pages cannot be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A table cannot be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// A transaction cannot begin.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A transaction cannot end.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A row is malformed.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// A file beside the store cannot be handled.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file could not be opened again after a failure.
    #[error("the store is closed")]
    Closed,
    /// The store holds less than was acknowledged.
    #[error("{acknowledged} commits were acknowledged, {found} are there")]
    CommitsMissing {
        /// Commits that were acknowledged.
        acknowledged: u64,
        /// Commits in the store.
        found: u64,
    },
}
