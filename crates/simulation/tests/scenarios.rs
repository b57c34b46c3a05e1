//! Runs every scenario under a few seeds.

use simulation::scenario::{run_folder, run_scenario};

#[test]
fn every_scenario() {
    run_folder("scenarios", 11, 6, run_scenario);
}

/// The control side of three hundred nodes.
#[test]
fn every_large_scenario() {
    run_folder("large-scenarios", 1, 1, run_scenario);
}
