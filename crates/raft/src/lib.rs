//! Raft (D. Ongaro, "Consensus: Bridging Theory and Practice"): an elected leader orders
//! entries in a log that a majority of the voters has on disk.
//!
//! [`RaftNode`] is a pure state machine: it does no I/O and reads no clock. Its driver passes
//! in the time, received messages, proposals and notifications of completed writes. It then
//! takes the pending work from [`RaftNode::take_ready`] and carries it out in this order:
//!
//! 1. write [`Ready::write`] to disk, and call [`RaftNode::on_persisted`] once it is there;
//! 2. send [`Ready::messages`] immediately, and [`Ready::persisted_messages`] once this write
//!    and all earlier ones are on disk;
//! 3. replace the applied state by [`Ready::snapshot`], if there is one;
//! 4. apply [`Ready::committed_entries`] and call [`RaftNode::on_applied`];
//! 5. answer the reads in [`Ready::read_states`].
//!
//! ```
//! use raft::{Config, PersistentState, RaftNode, Voter};
//!
//! let config = Config {
//!     heartbeat_ms: 100,
//!     learner_heartbeat_ms: 400,
//!     election_timeout_ms: 450,
//!     election_jitter_ms: 300,
//!     lease_ms: 260,
//!     resend_ms: 400,
//!     snapshot_resend_ms: 1000,
//!     peer_timeout_ms: 3000,
//!     append_bytes: 1 << 20,
//!     retained_bytes: 0,
//! };
//! let mut node = RaftNode::new(1, PersistentState::default(), config, 0, 42);
//! node.bootstrap(Voter { id: 1, ..Default::default() });
//! node.tick(1);
//! let position = node.propose(b"first command".to_vec()).expect("the only voter leads");
//!
//! let ready = node.take_ready();
//! assert!(!ready.write.is_empty());
//! // ... the write reaches the disk ...
//! node.on_persisted(node.last_position());
//! let committed = node.take_ready().committed_entries;
//! assert_eq!(committed.last().map(|entry| entry.index), Some(position.index));
//! node.on_applied(position.index);
//! ```
//!
//! Extensions of the dissertation: learners receive log entries from a nearby voter
//! (`node/learner_relay.rs`, [`UpstreamSelector`]); large messages are sent in fragments
//! (`fragmentation.rs`); the leader plans membership changes so that a tolerated loss never
//! takes the majority ([`next_membership`]), and acknowledges an entry only once it survives
//! such a loss ([`is_durable`]).

mod config;
mod durability;
mod fault_tolerance;
mod fragmentation;
mod log;
mod membership_change;
mod message;
mod node;
mod progress;
mod ready;
mod storage;
mod upstream_selection;

pub use config::{Config, VoterTimeouts};
pub use durability::{can_shut_down, is_durable};
pub use fault_tolerance::{tolerates_faults, FaultTolerance};
pub use log::LogPosition;
pub use membership_change::{next_membership, PeerObservation};
pub use message::{Entry, EntryType, Membership, Message, MessageType, Snapshot, Voter};
pub use node::{RaftNode, Role};
pub use progress::Progress;
pub use ready::{ReadState, Ready};
pub use storage::{HardState, PersistentState, StorageWrite};
pub use upstream_selection::{Upstream, UpstreamCandidate, UpstreamSelector, UpstreamTimeouts};
