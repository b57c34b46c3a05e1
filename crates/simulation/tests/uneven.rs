//! Live voters that stand unevenly over the regions.

use simulation::scenario::run_scenario;

/// Three voters of one region and one of each other: no loss of the first is borne, and
/// no single step mends that. Those too many step back and are not let in again.
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
fn voters_too_many_in_one_region_step_back_for_good() {
    for seed in 1..=6 {
        run_scenario(THREE_IN_ONE_REGION, seed);
    }
}
