//! The replicated control state: the result of applying the log entries in order. Every node
//! holds a copy, and two copies at the same log index are equal.
//!
//! [`ControlState`] is a pure state machine. The leader first checks a command against its own
//! copy ([`ControlState::decide`]) and logs the requested change. Every node then applies the
//! change ([`ControlState::apply`]). Snapshots hold the complete state
//! ([`ControlState::to_snapshot`]).

mod apply;
mod command_history;
mod configuration_commands;
mod delta;
mod error;
mod key_leases;
mod recent_commands;
mod snapshot;
mod state;

pub use apply::Outcome;
pub use command_history::{
    body_digest, command_digests, configuration_key, CommandDigests, CommandHistory, CommandStatus,
    HistorySizes,
};
pub use configuration_commands::{CommandDecision, Confirmation};
pub use delta::{delta, patch};
pub use error::{InvalidChange, SnapshotError};
pub use recent_commands::RecentCommands;
pub use state::{ControlState, KEY_SPACE};
