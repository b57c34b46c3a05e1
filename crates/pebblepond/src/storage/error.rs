//! Errors of the store.

use std::io;
use std::path::PathBuf;

/// The reason why a store cannot be opened, and what an operator can do.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The store file cannot be read, or cannot be created.
    #[error(
        "OwnEntity.DataDirectory: {}: {source}. The file was not changed. Check that this process may \
         read and write it and that the disk is healthy, and start again; or, if the other machines with a \
         disk are healthy, move it away: the node then joins as a new node",
        store.display()
    )]
    Load {
        /// Path of the store file.
        store: PathBuf,
        /// The cause.
        source: LoadError,
    },
    /// The storage thread cannot be started.
    #[error("{0}")]
    Thread(#[source] io::Error),
}

/// The reason why a store was neither loaded nor set aside.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The directory or the file cannot be accessed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The store cannot be read, but may still hold everything that was acknowledged.
    #[error("{0}")]
    Unreadable(String),
    /// The damaged store cannot be set aside.
    #[error("cannot set the damaged store aside: {0}")]
    SetAside(#[source] io::Error),
    /// A new store cannot be created.
    #[error("cannot create a store: {0}")]
    Create(#[source] StoreError),
}

/// An operation on the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file cannot be opened.
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    /// Pages of the store cannot be read or written.
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    /// A table cannot be opened.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// A transaction cannot be started.
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    /// A transaction cannot be committed.
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    /// A row is malformed.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    /// Access to a file next to the store failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The store could not be reopened after a failure.
    #[error("the store could not be reopened after a failed write")]
    Closed,
    /// The store holds fewer commits than were acknowledged.
    #[error("{acknowledged} commits were acknowledged, but the store holds {found}")]
    CommitsMissing {
        /// Number of acknowledged commits.
        acknowledged: u64,
        /// Number of commits in the store.
        found: u64,
    },
}
