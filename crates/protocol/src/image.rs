//! The serialized form of the control state, used in snapshots and repairs.

use crate::change::{KeyLease, SiteFraction, WarmupGroup, Worker};
use crate::command::{CommandTag, KillSwitch};
use prost::Message;
use rollout::Rollout;

/// The complete control state.
#[derive(Clone, PartialEq, Message)]
pub struct ControlStateImage {
    /// Log index of the last entry that the state includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Version of the configuration; 0 for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The body of the configuration.
    #[prost(bytes = "vec", tag = "3")]
    pub configuration: Vec<u8>,
    /// The base version of the command that set the configuration. Used only in images from
    /// versions without a command history.
    #[prost(uint64, tag = "4")]
    pub base: u64,
    /// Evacuated zones. Each is listed once per evacuation in force.
    #[prost(string, repeated, tag = "5")]
    pub evacuated: Vec<String>,
    /// The workers of all services.
    #[prost(message, repeated, tag = "6")]
    pub workers: Vec<Worker>,
    /// The key leases of all services.
    #[prost(message, repeated, tag = "7")]
    pub key_leases: Vec<KeyLease>,
    /// The placement.
    #[prost(message, repeated, tag = "8")]
    pub fractions: Vec<SiteFraction>,
    /// Nodes that have a share of the retry slack.
    #[prost(fixed64, repeated, tag = "9")]
    pub retry_allowances: Vec<u64>,
    /// The share of each of these nodes, in retries per window.
    #[prost(double, tag = "13")]
    pub retry_slack: f64,
    /// Zones whose evacuation has ended.
    #[prost(message, repeated, tag = "10")]
    pub ended_evacuations: Vec<EndedEvacuation>,
    /// The modification that produced the configuration, if it was a `modify`. Used only in images
    /// from versions without a command history.
    #[prost(bytes = "vec", tag = "11")]
    pub modification: Vec<u8>,
    /// Workers that temporarily get no requests (outlier ejection).
    #[prost(string, repeated, tag = "12")]
    pub ejected: Vec<String>,
    /// Nodes that may call warming workers.
    #[prost(message, repeated, tag = "14")]
    pub warmup_groups: Vec<WarmupGroup>,
    /// The newest rollout of each service.
    #[prost(message, repeated, tag = "15")]
    pub rollouts: Vec<Rollout>,
    /// The last setting of the kill switch, if it was ever set.
    #[prost(message, optional, tag = "16")]
    pub kill_switch: Option<KillSwitch>,
    /// The history of decided commands.
    #[prost(message, optional, tag = "17")]
    pub command_history: Option<CommandHistoryImage>,
    /// The highest fencing token ever issued; 0 in images from versions without this field.
    #[prost(uint64, tag = "18")]
    pub highest_fencing_token: u64,
}

/// A zone whose evacuation has ended.
#[derive(Clone, PartialEq, Message)]
pub struct EndedEvacuation {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Log index of the change that ended the evacuation.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// The serialized history of decided commands.
#[derive(Clone, PartialEq, Message)]
pub struct CommandHistoryImage {
    /// Accepted configuration commands, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub accepted: Vec<ConfigurationKey>,
    /// Configuration commands that were rejected because their base was above the current version.
    #[prost(message, repeated, tag = "2")]
    pub rejected_ahead: Vec<ConfigurationKey>,
    /// Commands with a tag, oldest first.
    #[prost(message, repeated, tag = "3")]
    pub tagged: Vec<DecidedCommand>,
    /// Highest base version of an accepted command that was dropped from the history.
    #[prost(uint64, optional, tag = "4")]
    pub forgotten_base: Option<u64>,
    /// Highest log index of a command with a tag that was dropped from the history; 0 for none.
    #[prost(uint64, tag = "5")]
    pub forgotten_index: u64,
    /// Log index up to which commands with a tag are settled; 0 for none, and in images from
    /// versions without this field.
    #[prost(uint64, tag = "6")]
    pub settled_index: u64,
}

/// Identifies a configuration command by its base version and its digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigurationKey {
    /// The base version.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Digest of the command's content.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// A decided command with a tag.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DecidedCommand {
    /// Log index at which the command was decided.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The command's tag.
    #[prost(message, optional, tag = "2")]
    pub tag: Option<CommandTag>,
    /// Whether the command was accepted.
    #[prost(bool, tag = "3")]
    pub accepted: bool,
}
