//! Agreement: one elected leader orders changes in a log that a majority of
//! the voters has on disk.
//!
//! A pure state machine. Inputs (time, messages, proposals, word that a write
//! reached the disk) go in; effects (messages, writes, committed entries) come
//! out through [`Prompter::take_effects`].

mod fragment;
mod losses;
mod machine;
mod message;
mod near;
mod progress;
mod tend;

pub use losses::{bears, FaultTolerance};
pub use message::{Entry, EntryType, Membership, Message, MessageType, Snapshot, Voter};
pub use near::{UpstreamCandidate, UpstreamSelector, UpstreamTimeouts};
pub use tend::{bears_loss, may_end, next_roll, PeerObservation, SilenceTimeouts};

pub use machine::{Config, PersistentState, RaftNode, Ready, Role, StorageWrite};
