//! Random runs repeat exactly: what a change of names or shape leaves alone must give the
//! same counts to the last digit. A change of behaviour may move them, and says why.

use simulation::command_handler::Mutant;
use simulation::exploration::{run_and_check, Coverage};
use simulation::plan::PlanTree;

/// The first seed, and how many runs follow one by one.
const FIRST: u64 = 90_210;
const WORLDS: u64 = 60;
/// Most steps of a run.
const STEPS: usize = 60;

#[test]
fn random_worlds_repeat_to_the_last_digit() {
    let mut total = Coverage::default();
    let mut events = 0;
    for seed in FIRST..FIRST + WORLDS {
        let tree = PlanTree::of_seed(seed, STEPS).expect("a world");
        let (coverage, violations, history) = run_and_check(&tree.plan(), Mutant::None);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        total.add(&coverage);
        events += history.events.len();
    }
    let counts = [
        events as u64,
        total.terms,
        total.snapshots,
        total.membership_changes,
        total.resends,
        total.refusals,
        total.acknowledged,
        total.disk_losses,
        total.processes,
    ];
    assert_eq!(counts, [29288, 215, 4, 218, 1358, 570, 338, 26, 703]);
}
