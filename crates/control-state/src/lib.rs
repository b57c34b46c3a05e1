//! The replicated control state: what the log says, applied in order. Every node holds a copy;
//! two copies that stand at the same index of the log are equal.
//!
//! [`ControlState`] is a pure state machine. The leader first judges a command by its own copy
//! ([`ControlState::judge`]) and logs the change that it asks for; every node applies it
//! ([`ControlState::apply`]). Snapshots carry the whole state ([`ControlState::to_snapshot`]).

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
pub use configuration_commands::{Confirmation, Judgement};
pub use delta::{delta, patch};
pub use error::{InvalidChange, SnapshotError};
pub use recent_commands::RecentCommands;
pub use state::{ControlState, KEY_SPACE};
