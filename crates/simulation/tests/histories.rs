//! Random histories of rollout changes by operators and the watchdog, each based on a current or
//! outdated version of the rollout: a service has one active rollout at most, ended rollouts stay
//! ended, of competing changes one is applied, and a rollback restores the previous split exactly.

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

/// An action on a service, based on the rollout version of `versions_behind` changes ago.
#[derive(Clone, Debug)]
struct Move {
    service: u8,
    action: usize,
    versions_behind: usize,
    target: u8,
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let single_move = (
        0..2u8,
        0..ACTIONS.len(),
        prop_oneof![4 => Just(0usize), 1 => 1..4usize],
        2..5u8,
    );
    prop::collection::vec(single_move, 1..120).prop_map(|all| {
        all.into_iter()
            .map(|(service, action, versions_behind, target)| Move {
                service,
                action,
                versions_behind,
                target,
            })
            .collect()
    })
}

/// Returns the versions of a service with their cohorts.
fn split(state: &ControlState, service: &str) -> Vec<(String, Cohort)> {
    let versions = (1..5).map(|v| format!("v{v}"));
    let cohort = |v: &str| state.rollouts.get(service).map_or(Cohort::Old, |p| p.cohort(v));
    versions.map(|v| (v.clone(), cohort(&v))).collect()
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn random_rollout_histories_keep_the_guarantees(moves in moves()) {
        let mut state = ControlState::default();
        // The versions of the rollout of each service, over time.
        let mut seen: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for m in moves {
            let service = format!("s{}", m.service);
            let action = ACTIONS[m.action];
            let versions = seen.entry(service.clone()).or_default();
            let expected = versions.iter().rev().nth(m.versions_behind).copied().unwrap_or(0);
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
                    let after = after.expect("the rollout exists");
                    prop_assert_eq!(after.version, index, "each change sets its own version");
                    versions.push(index);
                    if action == Action::Create {
                        prop_assert!(before.is_none_or(|p| !p.is_active()), "another rollout is active");
                    } else {
                        let before = before.expect("the rollout exists");
                        prop_assert_eq!(before.version, expected, "a change based on an outdated version was applied");
                        prop_assert!(before.is_active(), "an ended rollout was changed");
                        prop_assert_eq!(&before.previous_versions, &after.previous_versions, "the previous versions changed");
                    }
                    match after.state_now() {
                        State::RolledBack | State::Cancelled => {
                            for (version, cohort) in split(&state, &service) {
                                let is_target = version == after.target;
                                prop_assert_eq!(cohort, if is_target { Cohort::Excluded } else { Cohort::Old });
                            }
                            prop_assert_eq!(after.share(), 0.0);
                        }
                        State::Completed => {
                            let cohorts = split(&state, &service);
                            prop_assert!(cohorts.contains(&("v1".into(), Cohort::Excluded)));
                            prop_assert!(cohorts.contains(&(after.target.clone(), Cohort::Old)));
                        }
                        _ => {}
                    }
                }
                Outcome::AlreadyApplied => {
                    let p = before.clone().expect("the rollout exists");
                    prop_assert!(action == Action::Create && p.is_active());
                    prop_assert_eq!(&before, &after);
                }
                Outcome::RolloutRejected(refusal) => {
                    prop_assert_eq!(&before, &after, "a refused change had an effect");
                    if let Refusal::Active { target, .. } = refusal {
                        prop_assert_eq!(target, before.expect("the rollout exists").target.clone());
                    }
                }
                other => prop_assert!(false, "{other:?}"),
            }
            let restored = ControlState::from_image(state.image()).expect("the image is readable");
            prop_assert_eq!(&restored.rollouts, &state.rollouts);
        }
    }
}
