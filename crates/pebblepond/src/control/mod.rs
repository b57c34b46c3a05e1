//! The control component: drives Raft and the store, accepts operator commands, and publishes
//! the control state and this node's status.
//!
//! A command is processed as follows: `admin_http` sends [`ExecuteCommand`] to the
//! [`RaftDriver`], which forwards it to the leader or executes it (`commands`); the leader
//! proposes a change (`proposals`), every node applies it once it is committed (`driver`), and
//! the leader answers once the change survives any tolerated loss (`execution`).

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
pub use driver::{AnnounceShutdown, GetLeaderSince, Propose, RaftDriver};
pub use execution::IsAnyNodeBehind;
