//! The encoding of every message stays as it was released: nodes of the previous version read it,
//! and stored logs and snapshots contain it. `wire.hex` has one filled value of each message (of
//! each variant of a `oneof`), one per line: name and bytes. The names are those of the version
//! that wrote the file.

use gossip::Member;
use prost::Message;
use protocol::*;
use raft::{Entry, Membership, Snapshot, Voter};
use rollout::{AnalysisCriteria, Audit, CohortSample, Create, Rollout, RolloutChange, RolloutStage};

/// Number of messages in `wire.hex`.
const MESSAGES: usize = 67;

fn reencode<T: Message + Default>(bytes: &[u8]) -> Vec<u8> {
    T::decode(bytes).expect("the message decodes").encode_to_vec()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[test]
fn message_encodings_are_unchanged() {
    let mut messages = 0;
    for line in include_str!("wire.hex").lines() {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        let bytes = bytes_of(hex);
        let encoded = match name {
            "Voter" => reencode::<Voter>(&bytes),
            "Roll" => reencode::<Membership>(&bytes),
            "Entry" => reencode::<Entry>(&bytes),
            "Snapshot" => reencode::<Snapshot>(&bytes),
            "Cue" => reencode::<raft::Message>(&bytes),
            "Member" => reencode::<Member>(&bytes),
            "Notice" => reencode::<gossip::Message>(&bytes),
            "Review" => reencode::<AnalysisCriteria>(&bytes),
            "Showing" => reencode::<RolloutStage>(&bytes),
            "Audit" => reencode::<Audit>(&bytes),
            "Preview" => reencode::<Rollout>(&bytes),
            "Create" => reencode::<Create>(&bytes),
            "PreviewChange" => reencode::<RolloutChange>(&bytes),
            "Trial" => reencode::<CohortSample>(&bytes),
            "Letter" => reencode::<PeerMessage>(&bytes),
            "ControlCall" => reencode::<CommandRequest>(&bytes),
            "BeginOrder" => reencode::<BeginRollout>(&bytes),
            "KillSwitch" => reencode::<KillSwitch>(&bytes),
            "ReplaceOrder" => reencode::<ConfigurationCommand>(&bytes),
            "ControlAnswer" => reencode::<CommandResponse>(&bytes),
            "Report" => reencode::<Report>(&bytes),
            "KeyCounts" => reencode::<KeyCounts>(&bytes),
            "Demand" => reencode::<Demand>(&bytes),
            "Capacity" => reencode::<WorkerStats>(&bytes),
            "Distance" => reencode::<RoundTrip>(&bytes),
            "Digests" => reencode::<RangeDigests>(&bytes),
            "Mend" => reencode::<Repair>(&bytes),
            "Change" => reencode::<Change>(&bytes),
            "OrderTag" => reencode::<CommandTag>(&bytes),
            "LedgerImage" => reencode::<CommandHistoryImage>(&bytes),
            "TakenOrder" => reencode::<ConfigurationKey>(&bytes),
            "JudgedOrder" => reencode::<JudgedCommand>(&bytes),
            "ReplaceDelta" => reencode::<ConfigurationDelta>(&bytes),
            "DeltaPart" => reencode::<DeltaPart>(&bytes),
            "EvacuationChange" => reencode::<EvacuationChange>(&bytes),
            "Worker" => reencode::<Worker>(&bytes),
            "Cast" => reencode::<WarmupGroup>(&bytes),
            "WorkersChange" => reencode::<WorkersChange>(&bytes),
            "Holding" => reencode::<KeyLease>(&bytes),
            "KeysChange" => reencode::<KeyLeaseChange>(&bytes),
            "Fraction" => reencode::<SiteFraction>(&bytes),
            "PlacementChange" => reencode::<PlacementChange>(&bytes),
            "BenchChange" => reencode::<EjectionChange>(&bytes),
            "AllowanceChange" => reencode::<RetryAllowanceChange>(&bytes),
            "StageImage" => reencode::<ControlStateImage>(&bytes),
            "ZoneReturn" => reencode::<EndedEvacuation>(&bytes),
            other => panic!("unknown message: {other}"),
        };
        assert_eq!(encoded, bytes, "{name}");
        messages += 1;
    }
    assert_eq!(messages, MESSAGES);
}
