//! Random worlds repeat exactly: what a change of names or shape leaves alone must give the
//! same counts to the last digit. A change of behaviour may move them, and says why.

use simulation::faults::Tree;
use simulation::front::Mutant;
use simulation::run::{verdict, Reached};

/// The first seed, and how many worlds follow one by one.
const FIRST: u64 = 90_210;
const WORLDS: u64 = 60;
/// Most steps of a world.
const STEPS: usize = 60;

#[test]
fn random_worlds_repeat_to_the_last_digit() {
    let mut total = Reached::default();
    let mut events = 0;
    for seed in FIRST..FIRST + WORLDS {
        let tree = Tree::of_seed(seed, STEPS).expect("a world");
        let (reached, wrong, history) = verdict(&tree.plan(), Mutant::None);
        assert_eq!(wrong, Vec::<String>::new(), "seed {seed}");
        total.add(&reached);
        events += history.events.len();
    }
    let counts = [
        events as u64,
        total.terms,
        total.snapshots,
        total.roll_changes,
        total.resends,
        total.refusals,
        total.acknowledged,
        total.wipes,
        total.lives,
    ];
    assert_eq!(counts, [29079, 215, 4, 218, 1348, 572, 336, 26, 703]);
}
