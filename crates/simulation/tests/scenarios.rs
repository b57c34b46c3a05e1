//! Plays every scenario under a few seeds.

use simulation::script::{play, play_folder};

#[test]
fn every_scenario() {
    play_folder("scenarios", 11, 6, play);
}

/// The control side of three hundred nodes.
#[test]
fn every_crowd() {
    play_folder("crowds", 1, 1, play);
}
