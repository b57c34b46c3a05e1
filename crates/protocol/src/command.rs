//! Commands of the operator, on their way to the leader and back.

use crate::change::EvacuationChange;
use prost::{Message, Oneof};
use rollout::{Create, RolloutChange};

/// A command, passed on to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct CommandRequest {
    /// The number of the call within the incarnation of the process that passes it on.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What to do.
    #[prost(oneof = "Command", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub command: Option<Command>,
    /// The incarnation of the process that passes it on.
    #[prost(fixed64, tag = "12")]
    pub incarnation: u64,
    /// Of a command that names no base version.
    #[prost(message, optional, tag = "13")]
    pub tag: Option<CommandTag>,
}

/// What the operator wants done.
#[derive(Clone, PartialEq, Oneof)]
pub enum Command {
    /// Replace the configuration.
    #[prost(message, tag = "2")]
    Replace(ConfigurationCommand),
    /// Begin an evacuation of a zone, or end it.
    #[prost(message, tag = "3")]
    Evacuate(EvacuationChange),
    /// Read the newest configuration.
    #[prost(bool, tag = "4")]
    ReadConfiguration(bool),
    /// Report the state of the system.
    #[prost(bool, tag = "5")]
    Status(bool),
    /// Change named items of the configuration.
    #[prost(message, tag = "6")]
    Modify(ConfigurationCommand),
    /// Move a service to a new version.
    #[prost(message, tag = "7")]
    BeginRollout(BeginRollout),
    /// Read the newest rollout of a service.
    #[prost(string, tag = "8")]
    ReadRollout(String),
    /// Promote, pause, resume, roll back or cancel a rollout.
    #[prost(message, tag = "9")]
    ChangeRollout(RolloutChange),
    /// Set the kill switch of rollouts.
    #[prost(message, tag = "10")]
    KillSwitch(KillSwitch),
    /// Read all rollouts.
    #[prost(bool, tag = "11")]
    ReadRollouts(bool),
}

/// A new configuration on top of a version.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ConfigurationCommand {
    /// The version that it builds on; 0 for the first.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The whole configuration; in a [`Command::Modify`], the change to it. Empty in the log
    /// where the modification says it all.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// The body of a `modify`; empty for a `replace`.
    #[prost(bytes = "vec", tag = "3")]
    pub modification: Vec<u8>,
}

/// A command to move a service to a new version.
#[derive(Clone, PartialEq, Message)]
pub struct BeginRollout {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version and duration.
    #[prost(message, optional, tag = "2")]
    pub create: Option<Create>,
    /// Who wants it, for the audit.
    #[prost(string, tag = "3")]
    pub who: String,
    /// Why, for the audit.
    #[prost(string, tag = "4")]
    pub why: String,
}

/// While it is on, no rollout starts or is promoted.
#[derive(Clone, PartialEq, Message)]
pub struct KillSwitch {
    /// Whether it is on.
    #[prost(bool, tag = "1")]
    pub on: bool,
    /// Who has set it.
    #[prost(string, tag = "2")]
    pub who: String,
    /// Why.
    #[prost(string, tag = "3")]
    pub why: String,
}

/// What a command that names no base version is known by when it comes again.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CommandTag {
    /// The incarnation of the process that the operator's call reached.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The number of the call there.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The index that the node stood at when the call reached it: whatever came of the
    /// command stands behind it in the log.
    #[prost(uint64, tag = "3")]
    pub as_of: u64,
    /// Digest of what the command is about: a zone, a service.
    #[prost(fixed64, tag = "4")]
    pub subject: u64,
    /// Digest of the command itself, as it was sent.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// The index of a like command that came a moment ago as the leader saw it; 0 for none.
    /// Whether it is repeated is judged where the entry is applied.
    #[prost(uint64, tag = "6")]
    pub repeats: u64,
    /// To carry it out once too often is worse than once too few: it may repeat a command
    /// although another on the subject has come between.
    #[prost(bool, tag = "7")]
    pub cautious: bool,
    /// The index that the node stood at when it last found the caller waiting; 0 from nodes of
    /// earlier versions.
    #[prost(uint64, tag = "8")]
    pub awaited_at: u64,
}

/// The answer to a command.
#[derive(Clone, PartialEq, Message)]
pub struct CommandResponse {
    /// The number that the request named.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The incarnation that the request named.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// HTTP status; 0 from a node that does not lead.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The JSON body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}
