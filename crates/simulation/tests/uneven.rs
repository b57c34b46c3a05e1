//! Running voters that are distributed unevenly over the regions.

use simulation::scenario::run_scenario;

/// Three voters in one region and one in each of two others: the loss of the first region is not
/// tolerated, and no single membership change repairs that. The surplus voters are removed from
/// the membership and are not admitted again.
const THREE_IN_ONE_REGION: &str = "\
voters a/r1 b/r2 c/r3
run 4000
command first 0 1
run 500
join d/r1
join e/r1
run 1000
kill b
run 3000
start b
run 9000
expect voters 3
command second 1 2
run 1000
expect answer second taken
run 6000
expect voters 3
";

#[test]
fn surplus_voters_of_one_region_are_removed_permanently() {
    for seed in 1..=6 {
        run_scenario(THREE_IN_ONE_REGION, seed);
    }
}
