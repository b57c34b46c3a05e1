//! Commands of the operator that are forwarded to the leader, and their responses.

use crate::change::EvacuationChange;
use prost::{Message, Oneof};
use rollout::{Create, RolloutChange};

/// A command that is forwarded to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct CommandRequest {
    /// The number of the call within the incarnation of the forwarding process.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The command.
    #[prost(oneof = "Command", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub command: Option<Command>,
    /// The incarnation of the forwarding process.
    #[prost(fixed64, tag = "12")]
    pub incarnation: u64,
    /// The tag that identifies the command, if it has no base version.
    #[prost(message, optional, tag = "13")]
    pub tag: Option<CommandTag>,
}

/// A command of the operator.
#[derive(Clone, PartialEq, Oneof)]
pub enum Command {
    /// Replace the configuration.
    #[prost(message, tag = "2")]
    Replace(ConfigurationCommand),
    /// Begin or end an evacuation of a zone.
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
    /// The version that the command builds on; 0 for the first configuration.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The complete configuration, or the modification in a [`Command::Modify`]. Empty in the log
    /// if `modification` is set.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// The body of a `modify`; empty for a `replace`.
    #[prost(bytes = "vec", tag = "3")]
    pub modification: Vec<u8>,
}

/// A command that begins a rollout of a service to a new version.
#[derive(Clone, PartialEq, Message)]
pub struct BeginRollout {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The target version and the duration.
    #[prost(message, optional, tag = "2")]
    pub create: Option<Create>,
    /// The author of the command, for the audit.
    #[prost(string, tag = "3")]
    pub who: String,
    /// The reason for the command, for the audit.
    #[prost(string, tag = "4")]
    pub why: String,
}

/// The kill switch of rollouts. While it is on, no rollout starts or is promoted.
#[derive(Clone, PartialEq, Message)]
pub struct KillSwitch {
    /// Whether the kill switch is on.
    #[prost(bool, tag = "1")]
    pub on: bool,
    /// The author of the last change.
    #[prost(string, tag = "2")]
    pub who: String,
    /// The reason for the last change.
    #[prost(string, tag = "3")]
    pub why: String,
}

/// Identifies a command without a base version, so that it is recognized when it is sent again.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CommandTag {
    /// The incarnation of the process that received the operator's call.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The number of the call within that incarnation.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The last log index that the node had applied when it received the call. Any log entry of
    /// this command comes after this index.
    #[prost(uint64, tag = "3")]
    pub as_of: u64,
    /// Digest of the command's subject, such as a zone or a service.
    #[prost(fixed64, tag = "4")]
    pub subject: u64,
    /// Digest of the command itself, as it was sent.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// The log index of an identical command that the leader has seen recently; 0 for none.
    /// Whether this command repeats it is decided when the log entry is applied.
    #[prost(uint64, tag = "6")]
    pub repeats: u64,
    /// Whether executing the command once too often is worse than once too few. Such a command may
    /// count as a repetition even if another command on the subject came in between.
    #[prost(bool, tag = "7")]
    pub cautious: bool,
    /// The last log index that the node had applied when it last found the caller waiting; 0 from
    /// nodes of earlier versions.
    #[prost(uint64, tag = "8")]
    pub awaited_at: u64,
}

/// The response to a command.
#[derive(Clone, PartialEq, Message)]
pub struct CommandResponse {
    /// The number from the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The incarnation from the request.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// The HTTP status; 0 from a node that is not the leader.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The JSON body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}
