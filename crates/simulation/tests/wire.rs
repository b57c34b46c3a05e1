//! The encoded form of every message stays as it was released: nodes of the version before
//! read it, and stored logs and snapshots hold it. `wire.hex` has one filled value of each
//! message (of each variant of a `oneof`), a line each: name and bytes. The names are those
//! of the version that wrote them.

use gossip::Member;
use prost::Message;
use protocol::*;
use raft::{Entry, Membership, Snapshot, Voter};
use rollout::{AnalysisCriteria, Audit, CohortSample, Create, Rollout, RolloutChange, RolloutStage};

/// Messages in `wire.hex`.
const MESSAGES: usize = 67;

fn decoded_and_encoded<T: Message + Default>(bytes: &[u8]) -> Vec<u8> {
    T::decode(bytes).expect("decodes").encode_to_vec()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[test]
fn encoded_messages_stay_as_they_were() {
    let mut messages = 0;
    for line in include_str!("wire.hex").lines() {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        let bytes = bytes_of(hex);
        let encoded = match name {
            "Voter" => decoded_and_encoded::<Voter>(&bytes),
            "Roll" => decoded_and_encoded::<Membership>(&bytes),
            "Entry" => decoded_and_encoded::<Entry>(&bytes),
            "Snapshot" => decoded_and_encoded::<Snapshot>(&bytes),
            "Cue" => decoded_and_encoded::<raft::Message>(&bytes),
            "Member" => decoded_and_encoded::<Member>(&bytes),
            "Notice" => decoded_and_encoded::<gossip::Message>(&bytes),
            "Review" => decoded_and_encoded::<AnalysisCriteria>(&bytes),
            "Showing" => decoded_and_encoded::<RolloutStage>(&bytes),
            "Audit" => decoded_and_encoded::<Audit>(&bytes),
            "Preview" => decoded_and_encoded::<Rollout>(&bytes),
            "Create" => decoded_and_encoded::<Create>(&bytes),
            "PreviewChange" => decoded_and_encoded::<RolloutChange>(&bytes),
            "Trial" => decoded_and_encoded::<CohortSample>(&bytes),
            "Letter" => decoded_and_encoded::<PeerMessage>(&bytes),
            "ControlCall" => decoded_and_encoded::<CommandRequest>(&bytes),
            "BeginOrder" => decoded_and_encoded::<BeginRollout>(&bytes),
            "KillSwitch" => decoded_and_encoded::<KillSwitch>(&bytes),
            "ReplaceOrder" => decoded_and_encoded::<ConfigurationCommand>(&bytes),
            "ControlAnswer" => decoded_and_encoded::<CommandResponse>(&bytes),
            "Report" => decoded_and_encoded::<Report>(&bytes),
            "KeyCounts" => decoded_and_encoded::<KeyCounts>(&bytes),
            "Demand" => decoded_and_encoded::<Demand>(&bytes),
            "Capacity" => decoded_and_encoded::<WorkerStats>(&bytes),
            "Distance" => decoded_and_encoded::<RoundTrip>(&bytes),
            "Digests" => decoded_and_encoded::<RangeDigests>(&bytes),
            "Mend" => decoded_and_encoded::<Repair>(&bytes),
            "Change" => decoded_and_encoded::<Change>(&bytes),
            "OrderTag" => decoded_and_encoded::<CommandTag>(&bytes),
            "LedgerImage" => decoded_and_encoded::<CommandHistoryImage>(&bytes),
            "TakenOrder" => decoded_and_encoded::<ConfigurationKey>(&bytes),
            "JudgedOrder" => decoded_and_encoded::<JudgedCommand>(&bytes),
            "ReplaceDelta" => decoded_and_encoded::<ConfigurationDelta>(&bytes),
            "DeltaPart" => decoded_and_encoded::<DeltaPart>(&bytes),
            "EvacuationChange" => decoded_and_encoded::<EvacuationChange>(&bytes),
            "Worker" => decoded_and_encoded::<Worker>(&bytes),
            "Cast" => decoded_and_encoded::<WarmupGroup>(&bytes),
            "WorkersChange" => decoded_and_encoded::<WorkersChange>(&bytes),
            "Holding" => decoded_and_encoded::<KeyLease>(&bytes),
            "KeysChange" => decoded_and_encoded::<KeyLeaseChange>(&bytes),
            "Fraction" => decoded_and_encoded::<SiteFraction>(&bytes),
            "PlacementChange" => decoded_and_encoded::<PlacementChange>(&bytes),
            "BenchChange" => decoded_and_encoded::<EjectionChange>(&bytes),
            "AllowanceChange" => decoded_and_encoded::<RetryAllowanceChange>(&bytes),
            "StageImage" => decoded_and_encoded::<ControlStateImage>(&bytes),
            "ZoneReturn" => decoded_and_encoded::<EndedEvacuation>(&bytes),
            other => panic!("{other} is no message"),
        };
        assert_eq!(encoded, bytes, "{name}");
        messages += 1;
    }
    assert_eq!(messages, MESSAGES);
}
