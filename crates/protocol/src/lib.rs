//! Messages between nodes, commands of the operator, reports, and the changes in the log. They
//! are protocol buffers whose tags and types are fixed, because nodes of earlier versions read
//! the messages, and stored logs and snapshots hold the changes.

mod change;
mod command;
mod correlation;
mod image;
mod peer_message;
mod report;

pub use change::{
    Change, ChangeKind, ConfigurationDelta, DeltaPart, EjectionChange, EvacuationChange, KeyLease,
    KeyLeaseChange, PlacementChange, RetryAllowanceChange, SiteFraction, WarmupGroup, Worker, WorkersChange,
};
pub use command::{
    BeginRollout, Command, CommandRequest, CommandResponse, CommandTag, ConfigurationCommand, KillSwitch,
};
pub use correlation::{CallId, Incarnation, PendingCalls, UnmatchedAnswers};
pub use image::{CommandHistoryImage, ConfigurationKey, ControlStateImage, DecidedCommand, EndedEvacuation};
pub use peer_message::{Payload, PeerMessage, RangeDigests, Repair};
pub use report::{name_hash, Demand, KeyCounts, Report, RoundTrip, WorkerStats};
