//! Random runs under fixed seeds: the system breaks no promise, and real faults that
//! are planted into how nodes deal with commands are found by the checker. Longer searches:
//! `cargo run --release -p pebblepond-simulation --example explore -- --worlds 100000`.

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use simulation::command_handler::Mutant;
use simulation::exploration::{run_and_check, Coverage};
use simulation::plan::{plans, Direction, Fault, OperatorRequest, Plan, PlanTree, Step, StepAction};
use std::time::{Duration, Instant};

/// Most steps of a run.
const STEPS: usize = 40;
/// Runs of each search: some seconds in a test build.
const WORLDS: u32 = 60;

fn is_evacuation(what: &StepAction) -> bool {
    matches!(
        what,
        StepAction::OperatorRequest {
            request: OperatorRequest::Evacuate { .. },
            ..
        }
    )
}

/// Machines that join, or go and are replaced: the membership changes for other reasons than
/// losses of disks.
fn changes_machines(what: &StepAction) -> bool {
    matches!(
        what,
        StepAction::Fault(Fault::Join { .. } | Fault::Replace { .. })
    )
}

/// Searches plans, without some steps, until one fails; that is made smaller.
fn search(seed: u64, without: fn(&StepAction) -> bool) {
    let mut runner = TestRunner::new(Config {
        cases: WORLDS,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    });
    let kept = plans(STEPS).prop_map(move |mut plan| {
        plan.steps.retain(|s| !without(&s.what));
        plan
    });
    let done = runner.run(&kept, |plan| {
        let (_, violations, history) = run_and_check(&plan, Mutant::None);
        match violations.first() {
            None => Ok(()),
            Some(first) => Err(TestCaseError::fail(format!("{first}\n{}", history.trace()))),
        }
    });
    if let Err(failure) = done {
        panic!("seed {seed}: {failure}");
    }
}

#[test]
fn configurations_on_machines_that_stay() {
    search(1, |what| is_evacuation(what) || changes_machines(what));
}

#[test]
fn evacuations_on_machines_that_stay() {
    search(2, changes_machines);
}

#[test]
fn machines_that_join_and_go() {
    search(3, is_evacuation);
}

/// Runs in which a planted fault has its chance: no machine joins or goes for good, and
/// if wanted each command is followed by a restart of the node that it was sent to.
fn worlds(count: u64, restarts: bool) -> impl Iterator<Item = Plan> {
    (0..count).filter_map(move |seed| {
        let mut plan = PlanTree::of_seed(seed, 60).ok()?.plan();
        plan.steps.retain(|s| !changes_machines(&s.what));
        if restarts {
            let followed = plan.steps.iter().flat_map(|s| {
                let kill = match s.what {
                    StepAction::OperatorRequest { node: target, .. } => Some(Step {
                        after: 150,
                        what: StepAction::Fault(Fault::Kill { target, pause: 20 }),
                    }),
                    StepAction::Fault(_) => None,
                };
                [Some(*s), kill]
            });
            plan.steps = followed.flatten().collect();
        }
        Some(plan)
    })
}

/// Runs of three voters that run the same steps under many seeds; the first leads.
fn staged(steps: &[(u64, StepAction)]) -> impl Iterator<Item = Plan> + '_ {
    (0..2000).map(|seed| Plan {
        disks: 3,
        diskless: 0,
        workers: 0,
        seed,
        steps: steps
            .iter()
            .map(|(after, what)| Step {
                after: *after,
                what: *what,
            })
            .collect(),
    })
}

const CHANGE: OperatorRequest = OperatorRequest::Replace {
    older: 0,
    invalid: false,
};

fn request(operator: u8, node: u8, request: OperatorRequest) -> StepAction {
    StepAction::OperatorRequest {
        operator,
        node,
        request,
    }
}

/// The leader is cut off and frozen; meanwhile another one takes a change, of which the
/// old leader is asked at the moment at which it goes on.
fn frozen_leader() -> Vec<(u64, StepAction)> {
    let (way, duration_ms) = (Direction::Both, 3000);
    vec![
        (300, request(0, 0, CHANGE)),
        (400, request(1, 0, OperatorRequest::Read)),
        (
            300,
            StepAction::Fault(Fault::Isolate {
                target: 0,
                way,
                duration_ms,
            }),
        ),
        (
            0,
            StepAction::Fault(Fault::Freeze {
                target: 0,
                duration_ms: 2700,
            }),
        ),
        (1000, request(1, 1, CHANGE)),
        (1500, request(1, 0, CHANGE)),
        (0, request(0, 0, OperatorRequest::Read)),
        (1500, request(1, 1, OperatorRequest::Read)),
    ]
}

/// Nobody hears the leader any more; others take its place and its place in the log.
fn unheard_leader() -> Vec<(u64, StepAction)> {
    let (way, duration_ms) = (Direction::Out, 3000);
    let mut steps = vec![
        (300, request(0, 0, CHANGE)),
        (
            700,
            StepAction::Fault(Fault::Isolate {
                target: 0,
                way,
                duration_ms,
            }),
        ),
    ];
    let (begin, zone) = (true, 0);
    steps.push((380, request(0, 0, CHANGE)));
    steps.extend((0..5).map(|_| (0, request(0, 0, OperatorRequest::Evacuate { zone, begin }))));
    let zone = 1;
    steps.extend((0..8).map(|i| {
        (
            60,
            request(1, 1 + i % 2, OperatorRequest::Evacuate { zone, begin }),
        )
    }));
    steps
}

fn is_found(mutant: Mutant, by: &[&str], worlds: impl Iterator<Item = Plan>) {
    let begun = Instant::now();
    for (i, plan) in worlds.enumerate() {
        let (_, violations, _) = run_and_check(&plan, mutant);
        if let Some(w) = violations.iter().find(|w| by.iter().any(|b| w.starts_with(b))) {
            println!("{mutant:?}: world {i}, {:?}: {w}", begun.elapsed());
            return;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(60),
            "{mutant:?} was not found in {i} worlds"
        );
    }
    panic!("{mutant:?} was not found");
}

#[test]
fn a_leader_that_refuses_out_of_its_copy_is_found() {
    let by = ["TakenRefused", "Register", "RefusedInForce"];
    is_found(Mutant::RefusesByCopy, &by, staged(&frozen_leader()));
}

#[test]
fn an_acknowledgement_before_the_majority_is_found() {
    let by = ["TooFewDisks", "LostAfterAck", "StaleRead", "TwoForOneBase"];
    is_found(Mutant::AcknowledgesEarly, &by, worlds(2000, false));
}

#[test]
fn a_read_without_a_round_is_found() {
    let by = ["StaleRead", "Register", "LostAfterAck"];
    is_found(Mutant::ReadsCopy, &by, staged(&frozen_leader()));
}

#[test]
fn numbers_that_begin_anew_in_each_life_are_found() {
    is_found(Mutant::PairsByNumber, &["WrongCaller"], worlds(2000, true));
}

#[test]
fn an_outcome_of_anothers_entry_is_found() {
    let by = [
        "LostAfterAck",
        "TakenRefused",
        "RefusedInForce",
        "Register",
        "StaleRead",
    ];
    is_found(Mutant::IgnoresTerm, &by, staged(&unheard_leader()));
}

#[test]
fn an_order_without_a_tag_is_found() {
    is_found(Mutant::SendsNoTag, &["MoreThanOnce"], worlds(2000, false));
}

/// The staged runs break nothing without a planted fault.
#[test]
fn staged_worlds_are_sound() {
    for steps in [frozen_leader(), unheard_leader()] {
        for plan in staged(&steps).take(40) {
            assert_eq!(
                run_and_check(&plan, Mutant::None).1,
                Vec::<String>::new(),
                "{}",
                plan.seed
            );
        }
    }
}

/// The runs do reach what they are for.
#[test]
fn worlds_reach_what_they_are_for_and_repeat() {
    let mut coverage = Coverage::default();
    for seed in 0..30 {
        let plan = PlanTree::of_seed(seed, 60).expect("a plan").plan();
        let (this, _, history) = run_and_check(&plan, Mutant::None);
        let (_, _, again) = run_and_check(&plan, Mutant::None);
        assert_eq!(history.events, again.events, "seed {seed} repeats");
        coverage.add(&this);
    }
    assert!(coverage.snapshots > 0 && coverage.disk_losses > 5, "{coverage:?}");
    assert!(coverage.resends > 100 && coverage.refusals > 50, "{coverage:?}");
    assert!(
        coverage.membership_changes > 100 && coverage.acknowledged > 50,
        "{coverage:?}"
    );
}
