//! Deltas of configurations in the log: a delta restores the same bytes and has the same outcome
//! as the complete configuration, whichever entries came in between.

use control_state::{delta, patch, ControlState, Outcome};
use proptest::prelude::*;
use prost::Message;
use protocol::*;

fn body(version: u64, revisions: &[u64]) -> Vec<u8> {
    let group = |(i, revision): (usize, &u64)| {
        format!(r#"{{"Name":"service-{i}-{revision}","HealthPath":"/health/of/{i}"}}"#)
    };
    let groups: Vec<String> = revisions.iter().enumerate().map(group).collect();
    format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[{}]}}"#,
        groups.join(",")
    )
    .into_bytes()
}

fn command(base: u64, body: Vec<u8>) -> ConfigurationCommand {
    ConfigurationCommand {
        base,
        body,
        ..Default::default()
    }
}

proptest! {
    #[test]
    fn patch_restores_the_bytes(
        base in proptest::collection::vec(0u8..4, 0..600),
        edits in proptest::collection::vec((0usize..600, 0usize..80, proptest::collection::vec(any::<u8>(), 0..40)), 0..6),
    ) {
        let mut new = base.clone();
        for (at, removed, inserted) in edits {
            let at = at.min(new.len());
            let end = (at + removed).min(new.len());
            new.splice(at..end, inserted);
        }
        if let Some(parts) = delta(&base, &new) {
            prop_assert_eq!(patch(&base, &parts, 10_000), Some(new.clone()));
            prop_assert!(new.is_empty() || patch(&base, &parts, new.len() - 1).is_none());
        }
    }

    /// One copy applies complete commands, and another applies the deltas that a leader some
    /// entries behind proposes: their outcomes and states are equal.
    #[test]
    fn log_of_deltas_leads_to_the_same_state_as_full_commands(
        steps in proptest::collection::vec((0u64..3, 0u64..3, 0usize..20, any::<u64>(), 0usize..3), 1..30),
    ) {
        let mut revisions: Vec<u64> = (0..20).collect();
        let (mut by_commands, mut by_deltas) = (ControlState::default(), ControlState::default());
        let mut leaders = vec![by_deltas.clone()];
        for (index, (behind, ahead, at, revision, lag)) in (1..).zip(steps) {
            revisions[at] = revision;
            let base = by_commands.version().saturating_sub(behind);
            let kind = ChangeKind::Replace(command(base, body((by_commands.version() + ahead).max(1), &revisions)));
            let leader = &leaders[leaders.len().saturating_sub(1 + lag)];
            let outcome = by_commands.apply(index, &Change::encode(kind.clone()));
            prop_assert_eq!(by_deltas.apply(index, &Change::encode(leader.compact_for_log(kind))), outcome);
            prop_assert_eq!(by_deltas.image(), by_commands.image());
            leaders.push(by_deltas.clone());
        }
    }
}

#[test]
fn delta_entry_is_small_and_applies_to_no_other_base() {
    let mut revisions: Vec<u64> = (0..300).collect();
    let mut state = ControlState::default();
    let first = ChangeKind::Replace(command(0, body(1, &revisions)));
    assert!(
        matches!(state.compact_for_log(first.clone()), ChangeKind::Replace(_)),
        "no configuration is in force yet"
    );
    state.apply(1, &Change::encode(first));
    revisions[150] = 999;
    let complete = ChangeKind::Replace(command(1, body(2, &revisions)));
    let (complete_entry, delta_entry) = (
        Change::encode(complete.clone()),
        Change::encode(state.compact_for_log(complete)),
    );
    println!(
        "complete entry {} bytes, delta entry {} bytes",
        complete_entry.len(),
        delta_entry.len()
    );
    assert!(delta_entry.len() < 200 && complete_entry.len() > 10_000);

    let mut other = ControlState::default();
    other.apply(1, &Change::encode(ChangeKind::Replace(command(0, body(1, &[5])))));
    assert!(
        matches!(other.apply(2, &delta_entry), Outcome::Invalid(_)),
        "a delta must not apply to another base"
    );
    assert_eq!(other.version(), 1);
    let change = Change::decode(delta_entry.as_slice()).expect("a decodable change");
    let Some(ChangeKind::ReplaceDelta(mut delta)) = change.kind else {
        panic!("the log entry is not a delta");
    };
    delta.parts.truncate(1);
    let truncated = Change::encode(ChangeKind::ReplaceDelta(delta));
    assert!(matches!(state.clone().apply(2, &truncated), Outcome::Invalid(_)));
    assert_eq!(state.apply(2, &delta_entry), Outcome::Applied);
    assert_eq!(*state.configuration_body, body(2, &revisions));
    assert_eq!(
        state.apply(3, &delta_entry),
        Outcome::AlreadyApplied,
        "sent again"
    );
}
