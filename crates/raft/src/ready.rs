//! What a node wants done, for its driver to carry out.

use crate::message::{Entry, Message, Snapshot};
use crate::storage::StorageWrite;

/// The outcome of a read that asked for confirmation (see `RaftNode::request_read`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// The token that the read was asked for with.
    pub token: u64,
    /// A majority has confirmed that this node still leads: the read may be answered from the
    /// applied state. Otherwise the node does not lead (any more).
    pub confirmed: bool,
}

/// Work for the driver; the crate's page gives the order.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// What must reach the disk.
    pub write: StorageWrite,
    /// Messages to send at once; each names its receiver.
    pub messages: Vec<Message>,
    /// Messages to send once the write, and all writes before it, are on disk.
    pub persisted_messages: Vec<Message>,
    /// A snapshot that replaces the applied state.
    pub snapshot: Option<Snapshot>,
    /// Entries that have been committed since the last call, in order.
    pub committed_entries: Vec<Entry>,
    /// Reads that have been decided since the last call.
    pub read_states: Vec<ReadState>,
}
