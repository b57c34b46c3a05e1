//! A configuration in the log as what it changes of another: the same bytes come of it,
//! and the same outcome as of the whole, whatever has come between.

use control_state::{delta, patch, ControlState, Outcome};
use proptest::prelude::*;
use prost::Message;
use protocol::*;

fn body(version: u64, marks: &[u64]) -> Vec<u8> {
    let group = |(i, mark): (usize, &u64)| {
        format!(r#"{{"Name":"service-{i}-{mark}","HealthPath":"/health/of/{i}"}}"#)
    };
    let groups: Vec<String> = marks.iter().enumerate().map(group).collect();
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
        for (at, out, put) in edits {
            let at = at.min(new.len());
            let end = (at + out).min(new.len());
            new.splice(at..end, put);
        }
        if let Some(parts) = delta(&base, &new) {
            prop_assert_eq!(patch(&base, &parts, 10_000), Some(new.clone()));
            prop_assert!(new.is_empty() || patch(&base, &parts, new.len() - 1).is_none());
        }
    }

    /// Two copies, one fed with whole commands and one with deltas as a leader proposed
    /// them, some entries behind: the outcomes and the states are alike.
    #[test]
    fn log_of_deltas_leads_to_the_same_state_as_full_commands(
        steps in proptest::collection::vec((0u64..3, 0u64..3, 0usize..20, any::<u64>(), 0usize..3), 1..30),
    ) {
        let mut marks: Vec<u64> = (0..20).collect();
        let (mut whole, mut short) = (ControlState::default(), ControlState::default());
        let mut leaders = vec![short.clone()];
        for (index, (behind, ahead, at, mark, lag)) in (1..).zip(steps) {
            marks[at] = mark;
            let base = whole.version().saturating_sub(behind);
            let kind = ChangeKind::Replace(command(base, body((whole.version() + ahead).max(1), &marks)));
            let leader = &leaders[leaders.len().saturating_sub(1 + lag)];
            let outcome = whole.apply(index, &Change::encode(kind.clone()));
            prop_assert_eq!(short.apply(index, &Change::encode(leader.compact_for_log(kind))), outcome);
            prop_assert_eq!(short.image(), whole.image());
            leaders.push(short.clone());
        }
    }
}

#[test]
fn delta_entry_is_small_and_fits_no_other_base() {
    let mut marks: Vec<u64> = (0..300).collect();
    let mut state = ControlState::default();
    let first = ChangeKind::Replace(command(0, body(1, &marks)));
    assert!(
        matches!(state.compact_for_log(first.clone()), ChangeKind::Replace(_)),
        "nothing to change yet"
    );
    state.apply(1, &Change::encode(first));
    marks[150] = 999;
    let whole = ChangeKind::Replace(command(1, body(2, &marks)));
    let (large, small) = (
        Change::encode(whole.clone()),
        Change::encode(state.compact_for_log(whole)),
    );
    println!("whole {} bytes, delta {} bytes", large.len(), small.len());
    assert!(small.len() < 200 && large.len() > 10_000);

    let mut other = ControlState::default();
    other.apply(1, &Change::encode(ChangeKind::Replace(command(0, body(1, &[5])))));
    assert!(
        matches!(other.apply(2, &small), Outcome::Invalid(_)),
        "never a mixture"
    );
    assert_eq!(other.version(), 1);
    let change = Change::decode(small.as_slice()).expect("a change");
    let Some(ChangeKind::ReplaceDelta(mut delta)) = change.kind else {
        panic!("a delta");
    };
    delta.parts.truncate(1);
    let cut = Change::encode(ChangeKind::ReplaceDelta(delta));
    assert!(matches!(state.clone().apply(2, &cut), Outcome::Invalid(_)));
    assert_eq!(state.apply(2, &small), Outcome::Applied);
    assert_eq!(*state.configuration_body, body(2, &marks));
    assert_eq!(state.apply(3, &small), Outcome::AlreadyApplied, "sent again");
}
