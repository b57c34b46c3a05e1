//! The changes to the control state that log entries hold.

use crate::command::{CommandTag, ConfigurationCommand, KillSwitch};
use crate::image::ConfigurationKey;
use prost::{Message, Oneof};
use rollout::RolloutChange;

/// One change to the control state.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The part of the state that changes, with its new value.
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 11")]
    pub kind: Option<ChangeKind>,
    /// Tag of the command that requested the change, if that command has no base version.
    #[prost(message, optional, tag = "10")]
    pub tag: Option<CommandTag>,
    /// The log index up to which commands with a tag are settled: no caller sends them again any
    /// more. 0 for none, and in entries from versions without this field.
    #[prost(uint64, tag = "12")]
    pub settled_index: u64,
}

impl Change {
    /// Encodes a change without a tag for the log.
    pub fn encode(kind: ChangeKind) -> Vec<u8> {
        Change::encode_tagged(kind, None)
    }

    /// Encodes a change that a command requested for the log, with a tag if the command has no
    /// base version.
    pub fn encode_tagged(kind: ChangeKind, tag: Option<CommandTag>) -> Vec<u8> {
        let change = Change {
            kind: Some(kind),
            tag,
            settled_index: 0,
        };
        change.encode_to_vec()
    }

    /// Encodes an entry that settles the commands with a tag up to the log index `settled_index`.
    /// Nodes of versions without settled commands apply it without effect.
    pub fn encode_settled(settled_index: u64) -> Vec<u8> {
        let change = Change {
            kind: None,
            tag: None,
            settled_index,
        };
        change.encode_to_vec()
    }
}

/// The part of the control state that changes, with its new value.
#[derive(Clone, PartialEq, Oneof)]
pub enum ChangeKind {
    /// Replaces the configuration.
    #[prost(message, tag = "1")]
    Replace(ConfigurationCommand),
    /// Begins or ends an evacuation of a zone.
    #[prost(message, tag = "2")]
    Evacuate(EvacuationChange),
    /// Updates the workers from the platform's list.
    #[prost(message, tag = "3")]
    Workers(WorkersChange),
    /// Updates the key leases.
    #[prost(message, tag = "4")]
    KeyLeases(KeyLeaseChange),
    /// Replaces the placement.
    #[prost(message, tag = "5")]
    Placement(PlacementChange),
    /// Updates the nodes' shares of the retry slack.
    #[prost(message, tag = "6")]
    RetryAllowance(RetryAllowanceChange),
    /// Replaces the set of ejected workers.
    #[prost(message, tag = "7")]
    Ejections(EjectionChange),
    /// Changes a rollout.
    #[prost(message, tag = "8")]
    Rollout(RolloutChange),
    /// Sets the kill switch of rollouts.
    #[prost(message, tag = "9")]
    KillSwitch(KillSwitch),
    /// Replaces the configuration by a delta against the one in force.
    #[prost(message, tag = "11")]
    ReplaceDelta(ConfigurationDelta),
}

/// A [`ConfigurationCommand`] in the log, as a delta against the configuration that was in force
/// on the leader when it proposed the entry.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigurationDelta {
    /// The key that identifies the command.
    #[prost(message, optional, tag = "1")]
    pub key: Option<ConfigurationKey>,
    /// Digest of the body that the delta applies to.
    #[prost(bytes = "vec", tag = "2")]
    pub base_digest: Vec<u8>,
    /// The parts of the new body, in order.
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<DeltaPart>,
}

/// A part of the new body: literal bytes, followed by a range copied from the old body.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaPart {
    /// The literal bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub literal: Vec<u8>,
    /// Offset of the range in the old body, in bytes.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Length of the range, in bytes.
    #[prost(uint64, tag = "3")]
    pub length: u64,
}

/// Begins or ends an evacuation of a zone.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct EvacuationChange {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether the evacuation begins (`true`) or ends (`false`).
    #[prost(bool, tag = "2")]
    pub begin: bool,
}

/// A worker as the platform lists it.
#[derive(Clone, PartialEq, Message)]
pub struct Worker {
    /// Identifier given by the platform.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Service that the worker runs.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Address at which the worker accepts requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Zone of the worker.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Number of requests that the worker can process concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether the worker is about to terminate and gets no new requests.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Remaining warm-up time when the list was read, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub warmup_ms: u64,
    /// Log index of the change that set `warmup_ms`.
    #[prost(uint64, tag = "8")]
    pub warmup_index: u64,
    /// Last applied log index before the list with this `warmup_ms` was read.
    #[prost(uint64, tag = "9")]
    pub as_of: u64,
    /// Number of the [`WarmupGroup`] of nodes that may call the worker while it warms up, or 0 for
    /// no group.
    #[prost(uint32, tag = "10")]
    pub warmup_group: u32,
    /// Version of the worker's software.
    #[prost(string, tag = "11")]
    pub version: String,
}

/// Nodes that share the request rate allowed for a warming worker. The nodes of a group number
/// never change.
#[derive(Clone, PartialEq, Message)]
pub struct WarmupGroup {
    /// The group number, from 1.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The identities of the nodes.
    #[prost(fixed64, repeated, tag = "2")]
    pub nodes: Vec<u64>,
}

/// The changes in the platform's list of workers.
#[derive(Clone, PartialEq, Message)]
pub struct WorkersChange {
    /// New and changed workers.
    #[prost(message, repeated, tag = "1")]
    pub put: Vec<Worker>,
    /// Identifiers of the workers that are no longer listed.
    #[prost(string, repeated, tag = "2")]
    pub removed: Vec<String>,
    /// New groups that the workers in `put` may refer to.
    #[prost(message, repeated, tag = "3")]
    pub warmup_groups: Vec<WarmupGroup>,
    /// Identifiers of the workers that have finished their warm-up.
    #[prost(string, repeated, tag = "4")]
    pub warm: Vec<String>,
    /// Last applied log index before the list was read.
    #[prost(uint64, tag = "5")]
    pub as_of: u64,
}

/// A contiguous range of keys of a service and the worker that holds it.
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
    /// Identifier of the worker that holds the range; empty if no worker does.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Fencing token, which increases with every grant of these keys. A worker rejects a lower
    /// token.
    #[prost(uint64, tag = "5")]
    pub fencing_token: u64,
    /// Whether the range is being revoked from its worker.
    #[prost(bool, tag = "6")]
    pub revoking: bool,
    /// Data that the previous worker has left for the next holder; empty if there is none.
    #[prost(string, tag = "7")]
    pub handover: String,
}

/// Replaces the leases of a service within the given ranges.
#[derive(Clone, PartialEq, Message)]
pub struct KeyLeaseChange {
    /// The new leases.
    #[prost(message, repeated, tag = "1")]
    pub put: Vec<KeyLease>,
}

/// The fraction of the answers for a service and client group that direct clients to a site.
#[derive(Clone, PartialEq, Message)]
pub struct SiteFraction {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The client group, which is the zone of the clients.
    #[prost(string, tag = "2")]
    pub group: String,
    /// The site: a region, or a zone in deployments where zones are the sites.
    #[prost(string, tag = "3")]
    pub site: String,
    /// The fraction, from 0 to 1.
    #[prost(double, tag = "4")]
    pub part: f64,
}

/// Replaces the placement.
#[derive(Clone, PartialEq, Message)]
pub struct PlacementChange {
    /// The fractions of all services and client groups.
    #[prost(message, repeated, tag = "1")]
    pub fractions: Vec<SiteFraction>,
}

/// Replaces the set of workers that temporarily get no requests because they fail or are slow
/// (outlier ejection).
#[derive(Clone, PartialEq, Message)]
pub struct EjectionChange {
    /// Identifiers of the ejected workers.
    #[prost(string, repeated, tag = "1")]
    pub workers: Vec<String>,
}

/// Changes which nodes have a share of the slack of the retry budget, and the size of a share.
#[derive(Clone, PartialEq, Message)]
pub struct RetryAllowanceChange {
    /// Nodes that get a share.
    #[prost(fixed64, repeated, tag = "1")]
    pub granted: Vec<u64>,
    /// Nodes that lose their share.
    #[prost(fixed64, repeated, tag = "2")]
    pub revoked: Vec<u64>,
    /// The share of each node that has one, in retries per window.
    #[prost(double, tag = "3")]
    pub slack: f64,
}
