//! Runs every scenario with several seeds.

use simulation::scenario::{run_folder, run_scenario};

#[test]
fn every_scenario_passes() {
    run_folder("scenarios", 11, 6, run_scenario);
}

/// Scenarios with the control plane of three hundred nodes.
#[test]
fn every_large_scenario_passes() {
    run_folder("large-scenarios", 1, 1, run_scenario);
}
