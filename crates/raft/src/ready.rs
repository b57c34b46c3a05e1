//! Work that a node hands to its driver.

use crate::message::{Entry, Message, Snapshot};
use crate::storage::StorageWrite;

/// Result of a read confirmation requested with `RaftNode::request_read`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// Token passed to the request.
    pub token: u64,
    /// Whether a majority has confirmed that this node still leads, so that the read may be
    /// answered from the applied state. `false` if the node does not lead or no longer leads.
    pub confirmed: bool,
}

/// Work for the driver. The crate documentation gives the order in which to carry it out.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Data to write to disk.
    pub write: StorageWrite,
    /// Messages to send immediately. Each names its receiver.
    pub messages: Vec<Message>,
    /// Messages to send once this write and all earlier ones are on disk.
    pub persisted_messages: Vec<Message>,
    /// A snapshot that replaces the applied state.
    pub snapshot: Option<Snapshot>,
    /// Entries committed since the last call, in log order.
    pub committed_entries: Vec<Entry>,
    /// Reads confirmed or rejected since the last call.
    pub read_states: Vec<ReadState>,
}
