//! Random runs with fixed seeds: the system violates no guarantee, and the checker finds
//! realistic faults that are planted in the command handlers. Longer searches:
//! `cargo run --release -p pebblepond-simulation --example explore -- --worlds 100000`.

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use simulation::command_handler::Mutant;
use simulation::exploration::{run_and_check, Coverage};
use simulation::history::{Event, Observation};
use simulation::plan::{plans, Direction, Fault, OperatorRequest, Plan, PlanTree, Step, StepAction};
use std::time::{Duration, Instant};

/// Upper bound of the number of steps of a run.
const STEPS: usize = 40;
/// Number of runs of each search: some seconds in a test build.
const RUNS: u32 = 60;

fn is_evacuation(what: &StepAction) -> bool {
    matches!(
        what,
        StepAction::OperatorRequest {
            request: OperatorRequest::Evacuate { .. },
            ..
        }
    )
}

/// Returns whether a step adds or replaces a machine, so that the membership changes for reasons
/// other than lost disks.
fn changes_machines(what: &StepAction) -> bool {
    matches!(
        what,
        StepAction::Fault(Fault::Join { .. } | Fault::Replace { .. })
    )
}

/// Runs random plans without the steps that match `without`. A failing plan is shrunk.
fn search(seed: u64, without: fn(&StepAction) -> bool) {
    let mut runner = TestRunner::new(Config {
        cases: RUNS,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    });
    let strategy = plans(STEPS).prop_map(move |mut plan| {
        plan.steps.retain(|s| !without(&s.what));
        plan
    });
    let result = runner.run(&strategy, |plan| {
        let (_, violations, history) = run_and_check(&plan, Mutant::None);
        match violations.first() {
            None => Ok(()),
            Some(first) => Err(TestCaseError::fail(format!("{first}\n{}", history.trace()))),
        }
    });
    if let Err(failure) = result {
        panic!("seed {seed}: {failure}");
    }
}

#[test]
fn configurations_with_fixed_machines_violate_no_guarantee() {
    search(1, |what| is_evacuation(what) || changes_machines(what));
}

#[test]
fn evacuations_with_fixed_machines_violate_no_guarantee() {
    search(2, changes_machines);
}

#[test]
fn joins_and_replacements_of_machines_violate_no_guarantee() {
    search(3, is_evacuation);
}

/// Returns plans in which a planted fault can show: no machine joins or is permanently removed,
/// and with `restarts` each request is followed by a restart of the node that it was sent to.
fn random_plans(count: u64, restarts: bool) -> impl Iterator<Item = Plan> {
    (0..count).filter_map(move |seed| {
        let mut plan = PlanTree::of_seed(seed, 60).ok()?.plan();
        plan.steps.retain(|s| !changes_machines(&s.what));
        if restarts {
            let steps_with_restarts = plan.steps.iter().flat_map(|s| {
                let kill = match s.what {
                    StepAction::OperatorRequest { node: target, .. } => Some(Step {
                        after: 150,
                        what: StepAction::Fault(Fault::Kill { target, pause: 20 }),
                    }),
                    StepAction::Fault(_) => None,
                };
                [Some(*s), kill]
            });
            plan.steps = steps_with_restarts.flatten().collect();
        }
        Some(plan)
    })
}

/// Returns plans of three voters with the same steps and different seeds. The first voter leads.
fn staged_plans(steps: &[(u64, StepAction)]) -> impl Iterator<Item = Plan> + '_ {
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

const REPLACE: OperatorRequest = OperatorRequest::Replace {
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

/// The leader is cut off and frozen. Meanwhile another leader accepts a change, and the old
/// leader receives requests at the moment at which it continues.
fn frozen_leader() -> Vec<(u64, StepAction)> {
    let (way, duration_ms) = (Direction::Both, 3000);
    vec![
        (300, request(0, 0, REPLACE)),
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
        (1000, request(1, 1, REPLACE)),
        (1500, request(1, 0, REPLACE)),
        (0, request(0, 0, OperatorRequest::Read)),
        (1500, request(1, 1, OperatorRequest::Read)),
    ]
}

/// Messages of the leader no longer reach the other voters. Another leader is elected and writes
/// its entries at the indexes that the old one has used.
fn leader_without_outgoing_links() -> Vec<(u64, StepAction)> {
    let (way, duration_ms) = (Direction::Out, 3000);
    let mut steps = vec![
        (300, request(0, 0, REPLACE)),
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
    steps.push((380, request(0, 0, REPLACE)));
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

fn assert_found(mutant: Mutant, checks: &[&str], plans: impl Iterator<Item = Plan>) {
    let started = Instant::now();
    for (i, plan) in plans.enumerate() {
        let (_, violations, _) = run_and_check(&plan, mutant);
        if let Some(violation) = violations
            .iter()
            .find(|v| checks.iter().any(|check| v.starts_with(check)))
        {
            println!("{mutant:?}: run {i}, {:?}: {violation}", started.elapsed());
            return;
        }
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "{mutant:?} was not found in {i} runs"
        );
    }
    panic!("{mutant:?} was not found");
}

#[test]
fn a_leader_that_refuses_by_its_replica_is_found() {
    let checks = ["TakenRefused", "Register", "RefusedInForce"];
    assert_found(Mutant::RefusesByCopy, &checks, staged_plans(&frozen_leader()));
}

#[test]
fn an_acknowledgement_before_a_majority_has_the_command_is_found() {
    let checks = ["TooFewDisks", "LostAfterAck", "StaleRead", "TwoForOneBase"];
    assert_found(Mutant::AcknowledgesEarly, &checks, random_plans(2000, false));
}

#[test]
fn a_read_without_confirmation_is_found() {
    let checks = ["StaleRead", "Register", "LostAfterAck"];
    assert_found(Mutant::ReadsCopy, &checks, staged_plans(&frozen_leader()));
}

#[test]
fn call_numbers_that_restart_with_the_process_are_found() {
    assert_found(Mutant::PairsByNumber, &["WrongCaller"], random_plans(2000, true));
}

#[test]
fn an_outcome_of_an_entry_of_another_leader_is_found() {
    let checks = [
        "LostAfterAck",
        "TakenRefused",
        "RefusedInForce",
        "Register",
        "StaleRead",
    ];
    assert_found(
        Mutant::IgnoresTerm,
        &checks,
        staged_plans(&leader_without_outgoing_links()),
    );
}

#[test]
fn a_command_without_a_tag_is_found() {
    assert_found(Mutant::SendsNoTag, &["MoreThanOnce"], random_plans(2000, false));
}

/// A zone is evacuated, restored and evacuated again, `pause_ms` apart. Then all processes are
/// killed, and the second evacuation is finished once they are back.
fn finish_after_a_restart_of_all(pause_ms: u64) -> Vec<(u64, StepAction)> {
    let evacuate = |begin| request(0, 1, OperatorRequest::Evacuate { zone: 0, begin });
    let (power, pause) = (false, 500);
    vec![
        (300, evacuate(true)),
        (pause_ms, evacuate(false)),
        (pause_ms, evacuate(true)),
        (pause_ms, StepAction::Fault(Fault::StopAll { power, pause })),
        (1000, evacuate(false)),
    ]
}

/// Guards against an acknowledged finish that is dropped because all processes have just started
/// (RECOVER; review case 6).
#[test]
fn finish_after_a_restart_of_all_processes_is_in_force_once_acknowledged() {
    for pause_ms in [500, 2000, 5000, 7000] {
        let steps = finish_after_a_restart_of_all(pause_ms);
        for plan in staged_plans(&steps).take(5) {
            let (_, violations, history) = run_and_check(&plan, Mutant::None);
            let place = format!("pause {pause_ms} ms, seed {}", plan.seed);
            assert_eq!(violations, Vec::<String>::new(), "{place}");
            let applied = |event: &Event| match &event.observation {
                Observation::Applied { replica, .. } => Some(replica.evacuated.clone()),
                _ => None,
            };
            let last = history.events.iter().rev().find_map(applied);
            assert!(last.is_some_and(|evacuated| evacuated.is_empty()), "{place}");
        }
    }
}

#[test]
fn evacuations_around_restarts_of_all_processes_violate_no_guarantee() {
    for seed in 0..20 {
        let plan = PlanTree::of_seed(seed, 8).expect("a plan").plan();
        let (_, violations, history) = run_and_check(&plan.with_restarts_of_all(), Mutant::None);
        assert_eq!(
            violations,
            Vec::<String>::new(),
            "seed {seed}\n{}",
            history.trace()
        );
    }
}

/// The staged plans violate no guarantee without a planted fault.
#[test]
fn staged_plans_violate_no_guarantee() {
    for steps in [frozen_leader(), leader_without_outgoing_links()] {
        for plan in staged_plans(&steps).take(40) {
            assert_eq!(
                run_and_check(&plan, Mutant::None).1,
                Vec::<String>::new(),
                "{}",
                plan.seed
            );
        }
    }
}

/// Guards against plans that no longer cause snapshots, lost disks, retries, refusals and
/// membership changes, and against runs that depend on more than the seed.
#[test]
fn random_plans_reach_the_intended_situations_and_repeat() {
    let mut coverage = Coverage::default();
    for seed in 0..30 {
        let plan = PlanTree::of_seed(seed, 60).expect("a plan").plan();
        let (run_coverage, _, history) = run_and_check(&plan, Mutant::None);
        let (_, _, repeated_history) = run_and_check(&plan, Mutant::None);
        assert_eq!(history.events, repeated_history.events, "seed {seed} repeats");
        coverage.add(&run_coverage);
    }
    assert!(coverage.snapshots > 0 && coverage.disk_losses > 5, "{coverage:?}");
    assert!(coverage.resends > 100 && coverage.refusals > 50, "{coverage:?}");
    assert!(
        coverage.membership_changes > 100 && coverage.acknowledged > 50,
        "{coverage:?}"
    );
}

/// Guards against a new begin that counts as a repetition because an earlier one was sent again
/// meanwhile (EVAC).
#[test]
fn a_new_begin_counts_although_an_earlier_one_was_sent_again() {
    for seed in [90_342, 90_537, 770_311, 5_520_361] {
        let plan = PlanTree::of_seed(seed, 60).expect("a plan").plan();
        let (_, violations, _) = run_and_check(&plan, Mutant::None);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}
