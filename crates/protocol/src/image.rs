//! The encoded form of the control state, in snapshots and repairs.

use crate::change::{KeyLease, SiteFraction, WarmupGroup, Worker};
use crate::command::{CommandTag, KillSwitch};
use prost::Message;
use rollout::Rollout;

/// The whole control state.
#[derive(Clone, PartialEq, Message)]
pub struct ControlStateImage {
    /// The last entry of the log that it includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Version of the configuration; 0 for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The configuration as the operator sent it.
    #[prost(bytes = "vec", tag = "3")]
    pub configuration: Vec<u8>,
    /// The version that the configuration builds on, in images older than the command history.
    #[prost(uint64, tag = "4")]
    pub base: u64,
    /// Evacuated zones, each as often as evacuations of it are in force.
    #[prost(string, repeated, tag = "5")]
    pub evacuated: Vec<String>,
    /// The workers of all services.
    #[prost(message, repeated, tag = "6")]
    pub workers: Vec<Worker>,
    /// Who holds which keys.
    #[prost(message, repeated, tag = "7")]
    pub key_leases: Vec<KeyLease>,
    /// The placement.
    #[prost(message, repeated, tag = "8")]
    pub fractions: Vec<SiteFraction>,
    /// Nodes with a share of the retry slack.
    #[prost(fixed64, repeated, tag = "9")]
    pub retry_allowances: Vec<u64>,
    /// That share, retries in a window.
    #[prost(double, tag = "13")]
    pub retry_slack: f64,
    /// Zones whose evacuation has ended.
    #[prost(message, repeated, tag = "10")]
    pub ended_evacuations: Vec<EndedEvacuation>,
    /// The `modify` that the configuration was made by, in images older than the command
    /// history.
    #[prost(bytes = "vec", tag = "11")]
    pub modification: Vec<u8>,
    /// Workers that get no requests for now.
    #[prost(string, repeated, tag = "12")]
    pub ejected: Vec<String>,
    /// Nodes that may call warming workers.
    #[prost(message, repeated, tag = "14")]
    pub warmup_groups: Vec<WarmupGroup>,
    /// The newest rollout of each service.
    #[prost(message, repeated, tag = "15")]
    pub rollouts: Vec<Rollout>,
    /// What was last said of the kill switch.
    #[prost(message, optional, tag = "16")]
    pub kill_switch: Option<KillSwitch>,
    /// The commands that were judged.
    #[prost(message, optional, tag = "17")]
    pub command_history: Option<CommandHistoryImage>,
    /// The highest fencing token ever given; 0 in images that are older than it.
    #[prost(uint64, tag = "18")]
    pub highest_fencing_token: u64,
}

/// A zone whose evacuation has ended.
#[derive(Clone, PartialEq, Message)]
pub struct EndedEvacuation {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// The index of the change that ended it.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// What the control state remembers of commands that were judged.
#[derive(Clone, PartialEq, Message)]
pub struct CommandHistoryImage {
    /// Configuration commands that were accepted, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub accepted: Vec<ConfigurationKey>,
    /// Configuration commands that were rejected since their base is not there yet.
    #[prost(message, repeated, tag = "2")]
    pub rejected_ahead: Vec<ConfigurationKey>,
    /// Commands with a tag.
    #[prost(message, repeated, tag = "3")]
    pub tagged: Vec<JudgedCommand>,
    /// The newest base of an accepted command that has been forgotten.
    #[prost(uint64, optional, tag = "4")]
    pub forgotten_base: Option<u64>,
    /// The newest index of a command with a tag that has been forgotten; 0 for none.
    #[prost(uint64, tag = "5")]
    pub forgotten_index: u64,
}

/// What a configuration command is known by: the version that it names as its base, and its
/// digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigurationKey {
    /// The base version.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The digest of what it says.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// A command with a tag that was judged.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JudgedCommand {
    /// The index at which it was judged.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Its tag.
    #[prost(message, optional, tag = "2")]
    pub tag: Option<CommandTag>,
    /// Whether it was accepted.
    #[prost(bool, tag = "3")]
    pub accepted: bool,
}
