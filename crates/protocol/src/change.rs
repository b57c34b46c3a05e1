//! The changes to the control state, as the log orders them.

use crate::command::{CommandTag, ConfigurationCommand, KillSwitch};
use crate::image::ConfigurationKey;
use prost::{Message, Oneof};
use rollout::RolloutChange;

/// One change to the control state.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// What changes.
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 11")]
    pub kind: Option<ChangeKind>,
    /// Of a command that names no base version.
    #[prost(message, optional, tag = "10")]
    pub tag: Option<CommandTag>,
}

impl Change {
    /// A change that no command asks for, encoded for the log.
    pub fn encode(kind: ChangeKind) -> Vec<u8> {
        Change::encode_tagged(kind, None)
    }

    /// A change that a command asks for, encoded for the log; with a tag if the command names
    /// no base version.
    pub fn encode_tagged(kind: ChangeKind, tag: Option<CommandTag>) -> Vec<u8> {
        let change = Change {
            kind: Some(kind),
            tag,
        };
        change.encode_to_vec()
    }
}

/// What changes.
#[derive(Clone, PartialEq, Oneof)]
pub enum ChangeKind {
    /// The configuration.
    #[prost(message, tag = "1")]
    Replace(ConfigurationCommand),
    /// The evacuation of a zone.
    #[prost(message, tag = "2")]
    Evacuate(EvacuationChange),
    /// The workers, as the platform lists them.
    #[prost(message, tag = "3")]
    Workers(WorkersChange),
    /// Who holds which keys.
    #[prost(message, tag = "4")]
    KeyLeases(KeyLeaseChange),
    /// The placement.
    #[prost(message, tag = "5")]
    Placement(PlacementChange),
    /// The shares of the retry slack.
    #[prost(message, tag = "6")]
    RetryAllowance(RetryAllowanceChange),
    /// The ejected workers.
    #[prost(message, tag = "7")]
    Ejections(EjectionChange),
    /// A rollout.
    #[prost(message, tag = "8")]
    Rollout(RolloutChange),
    /// The kill switch of rollouts.
    #[prost(message, tag = "9")]
    KillSwitch(KillSwitch),
    /// The configuration, as what changes of the one in force.
    #[prost(message, tag = "11")]
    ReplaceDelta(ConfigurationDelta),
}

/// A [`ConfigurationCommand`] as the log holds it: what it changes of the configuration that
/// was in force where it was proposed.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigurationDelta {
    /// What the command is known by.
    #[prost(message, optional, tag = "1")]
    pub key: Option<ConfigurationKey>,
    /// Digest of the body that it changes.
    #[prost(bytes = "vec", tag = "2")]
    pub base_digest: Vec<u8>,
    /// What the new body is made of.
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<DeltaPart>,
}

/// Some bytes, and then a piece of the body that is changed.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaPart {
    /// New bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub literal: Vec<u8>,
    /// Where the piece of the old body begins, bytes.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Its length, bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
}

/// Begins an evacuation of a zone, or ends it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EvacuationChange {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether it begins.
    #[prost(bool, tag = "2")]
    pub begin: bool,
}

/// A worker as the platform lists it.
#[derive(Clone, PartialEq, Message)]
pub struct Worker {
    /// The platform's identifier.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The service that it runs.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it takes requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The zone that it is in.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Requests that it can work on at the same time.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// It is about to end, and gets no new requests.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// How much longer it was warming up when the list was read, ms.
    #[prost(uint64, tag = "7")]
    pub warmup_ms: u64,
    /// The index of the log at which `warmup_ms` was told.
    #[prost(uint64, tag = "8")]
    pub warmup_index: u64,
    /// The index that the log stood at before the list was read that told so.
    #[prost(uint64, tag = "9")]
    pub as_of: u64,
    /// Which nodes may call it while it warms up, by the number of a [`WarmupGroup`]; 0 for
    /// none.
    #[prost(uint32, tag = "10")]
    pub warmup_group: u32,
    /// The version of its software.
    #[prost(string, tag = "11")]
    pub version: String,
}

/// Nodes that share what a warming worker bears. What a number stands for never changes.
#[derive(Clone, PartialEq, Message)]
pub struct WarmupGroup {
    /// Its number, from 1.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The identities of the nodes.
    #[prost(fixed64, repeated, tag = "2")]
    pub nodes: Vec<u64>,
}

/// What has changed in the platform's list.
#[derive(Clone, PartialEq, Message)]
pub struct WorkersChange {
    /// Workers that are new or have changed.
    #[prost(message, repeated, tag = "1")]
    pub put: Vec<Worker>,
    /// Workers that are gone, by identifier.
    #[prost(string, repeated, tag = "2")]
    pub removed: Vec<String>,
    /// Groups that the workers put may name, as far as they are new.
    #[prost(message, repeated, tag = "3")]
    pub warmup_groups: Vec<WarmupGroup>,
    /// Workers that have warmed up, by identifier.
    #[prost(string, repeated, tag = "4")]
    pub warm: Vec<String>,
    /// The index that the log stood at before the list was read.
    #[prost(uint64, tag = "5")]
    pub as_of: u64,
}

/// A contiguous range of keys of a service and who holds it.
#[derive(Clone, PartialEq, Message)]
pub struct KeyLease {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The first key.
    #[prost(uint32, tag = "2")]
    pub from: u32,
    /// The last key.
    #[prost(uint32, tag = "3")]
    pub to: u32,
    /// The worker; empty while nobody holds the range.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Higher with every grant of these keys: a worker refuses a lower one.
    #[prost(uint64, tag = "5")]
    pub fencing_token: u64,
    /// The range is being taken back from its worker.
    #[prost(bool, tag = "6")]
    pub revoking: bool,
    /// What the worker before has left for the next one; empty for nothing.
    #[prost(string, tag = "7")]
    pub handover: String,
}

/// Replaces the leases of a service that lie within the ranges put.
#[derive(Clone, PartialEq, Message)]
pub struct KeyLeaseChange {
    /// The new leases.
    #[prost(message, repeated, tag = "1")]
    pub put: Vec<KeyLease>,
}

/// The fraction of answers for a service and client group that point at a site.
#[derive(Clone, PartialEq, Message)]
pub struct SiteFraction {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The client group: the zone that the clients are in.
    #[prost(string, tag = "2")]
    pub group: String,
    /// The site: a region, or a zone where zones are the sites.
    #[prost(string, tag = "3")]
    pub site: String,
    /// The fraction, 0 to 1.
    #[prost(double, tag = "4")]
    pub part: f64,
}

/// Replaces the placement.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementChange {
    /// The fractions of all services and groups.
    #[prost(message, repeated, tag = "1")]
    pub fractions: Vec<SiteFraction>,
}

/// All workers that get no requests for now because they fail or lag (outlier ejection).
#[derive(Clone, PartialEq, Message)]
pub struct EjectionChange {
    /// By identifier.
    #[prost(string, repeated, tag = "1")]
    pub workers: Vec<String>,
}

/// Which nodes may use a share of the slack of the retry budget, and how much each has.
#[derive(Clone, PartialEq, Message)]
pub struct RetryAllowanceChange {
    /// Nodes that get a share.
    #[prost(fixed64, repeated, tag = "1")]
    pub granted: Vec<u64>,
    /// Nodes that lose theirs.
    #[prost(fixed64, repeated, tag = "2")]
    pub revoked: Vec<u64>,
    /// The share of each node that has one, retries in a window.
    #[prost(double, tag = "3")]
    pub slack: f64,
}
