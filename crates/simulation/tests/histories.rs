//! Histories of operators and watchdog: whatever they try on top of whatever they
//! last saw, one rollout of a service is active, ends are final, races have one
//! winner, and the split from before comes back exactly.

use control_state::{ControlState, Outcome};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use protocol::{Change, ChangeKind};
use rollout::{Action, Cohort, Create, Refusal, RolloutChange, State};
use std::collections::BTreeMap;

const ACTIONS: [Action; 7] = [
    Action::Create,
    Action::Start,
    Action::Promote,
    Action::Pause,
    Action::Resume,
    Action::Rollback,
    Action::Cancel,
];

/// Who acts on which service, and how many changes ago they last looked.
#[derive(Clone, Debug)]
struct Move {
    service: u8,
    action: usize,
    stale: usize,
    target: u8,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = (
        0..2u8,
        0..ACTIONS.len(),
        prop_oneof![4 => Just(0usize), 1 => 1..4usize],
        2..5u8,
    );
    prop::collection::vec(one, 1..120).prop_map(|all| {
        all.into_iter()
            .map(|(service, action, stale, target)| Move {
                service,
                action,
                stale,
                target,
            })
            .collect()
    })
}

/// Versions of a service that get requests, by their side.
fn split(state: &ControlState, service: &str) -> Vec<(String, Cohort)> {
    let versions = (1..5).map(|v| format!("v{v}"));
    let side = |v: &str| state.rollouts.get(service).map_or(Cohort::Old, |p| p.cohort(v));
    versions.map(|v| (v.clone(), side(&v))).collect()
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn histories_keep_the_promises(moves in moves()) {
        let mut state = ControlState::default();
        // What each service's rollout was at, over time.
        let mut seen: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for m in moves {
            let service = format!("s{}", m.service);
            let action = ACTIONS[m.action];
            let versions = seen.entry(service.clone()).or_default();
            let expected = versions.iter().rev().nth(m.stale).copied().unwrap_or(0);
            let change = RolloutChange {
                service: service.clone(),
                action: action as i32,
                expected,
                create: (action == Action::Create).then(|| Create {
                    target: format!("v{}", m.target),
                    duration_ms: 9000,
                }),
                stages: rollout::stages(9000, 0.1),
                previous_versions: vec!["v1".into()],
                ..Default::default()
            };
            let before = state.rollouts.get(&service).cloned();
            let other = state.rollouts.get(&format!("s{}", 1 - m.service)).cloned();
            let index = state.index + 1;
            let outcome = state.apply(index, &Change::encode(ChangeKind::Rollout(change.clone())));
            let after = state.rollouts.get(&service).cloned();
            prop_assert_eq!(&other, &state.rollouts.get(&format!("s{}", 1 - m.service)).cloned());
            match outcome {
                Outcome::Applied => {
                    let after = after.expect("there");
                    prop_assert_eq!(after.version, index, "every change has its own number");
                    versions.push(index);
                    if action == Action::Create {
                        prop_assert!(before.is_none_or(|p| !p.is_active()), "one is active");
                    } else {
                        let before = before.expect("there");
                        prop_assert_eq!(before.version, expected, "who was late has lost");
                        prop_assert!(before.is_active(), "an end is final");
                        prop_assert_eq!(&before.previous_versions, &after.previous_versions, "the snapshot stays");
                    }
                    match after.state_now() {
                        State::RolledBack | State::Cancelled => {
                            for (version, side) in split(&state, &service) {
                                let new = version == after.target;
                                prop_assert_eq!(side, if new { Cohort::Excluded } else { Cohort::Old });
                            }
                            prop_assert_eq!(after.share(), 0.0);
                        }
                        State::Completed => {
                            let gone = split(&state, &service);
                            prop_assert!(gone.contains(&("v1".into(), Cohort::Excluded)));
                            prop_assert!(gone.contains(&(after.target.clone(), Cohort::Old)));
                        }
                        _ => {}
                    }
                }
                Outcome::AlreadyApplied => {
                    let p = before.clone().expect("there");
                    prop_assert!(action == Action::Create && p.is_active());
                    prop_assert_eq!(&before, &after);
                }
                Outcome::RolloutRejected(refusal) => {
                    prop_assert_eq!(&before, &after, "what is refused changes nothing");
                    if let Refusal::Active { target, .. } = refusal {
                        prop_assert_eq!(target, before.expect("there").target.clone());
                    }
                }
                other => prop_assert!(false, "{other:?}"),
            }
            let again = ControlState::from_image(state.image()).expect("readable");
            prop_assert_eq!(&again.rollouts, &state.rollouts);
        }
    }
}
