//! Random runs repeat exactly: a change that leaves the behaviour as it is must give exactly the
//! same counts. A change of behaviour may alter them and states the reason.

use simulation::command_handler::Mutant;
use simulation::exploration::{run_and_check, Coverage};
use simulation::plan::PlanTree;

/// The first seed, and the number of consecutive seeds.
const FIRST_SEED: u64 = 90_210;
const RUNS: u64 = 60;
/// Upper bound of the number of steps of a run.
const STEPS: usize = 60;

#[test]
fn random_runs_repeat_exactly() {
    let mut total = Coverage::default();
    let mut events = 0;
    for seed in FIRST_SEED..FIRST_SEED + RUNS {
        let tree = PlanTree::of_seed(seed, STEPS).expect("the seed gives a plan");
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
    assert_eq!(counts, [32224, 214, 4, 218, 1436, 570, 337, 26, 703]);
}
