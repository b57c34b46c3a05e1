//! The control side: drives Raft and the store, takes the operator's commands, and publishes
//! the control state and this node's part in it.
//!
//! The way of a command: `admin_http` hands [`ExecuteCommand`] to the [`RaftDriver`], which
//! forwards it to the leader or judges it (`commands`); the leader proposes a change
//! (`proposals`), every node applies it once it is committed (`driver`), and the leader
//! answers once it outlasts any tolerated loss (`execution`).

mod commands;
mod driver;
mod error;
mod execution;
mod loaded;
mod maintenance;
mod membership;
mod peers;
mod persistence;
mod proposals;
mod publication;
mod rollout_commands;
mod status_report;

pub use commands::ExecuteCommand;
pub use driver::{AnnounceShutdown, LeaderLease, Propose, RaftDriver};
pub use execution::IsBehind;
