//! Faults on real processes of this build: a part of what `fleet-test` runs.

use fleet_test::scenarios::{by_name, Options, Pace, Verdict};
use std::path::Path;

fn holds(name: &str) {
    let scenario = by_name(name).expect("a scenario of this name");
    let program = Path::new(env!("CARGO_BIN_EXE_pebblepond"));
    let outcome = scenario.execute(program, Options::of(Pace::Short));
    let verdict = actix_rt::System::new().block_on(outcome);
    assert!(matches!(verdict, Verdict::Held), "{name}: {verdict:#?}");
}

#[test]
fn a_leader_that_was_frozen_goes_by_nothing_old() {
    holds("cut-off");
}

#[test]
fn an_order_that_was_taken_is_acknowledged_again_by_every_node() {
    holds("resend");
}
