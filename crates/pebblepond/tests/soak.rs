//! Runs a short soak test on real processes of this build; longer ones are started manually with
//! `fleet-test soak`.

mod support;

use fleet_test::soak::shape::ShapeName;
use fleet_test::soak::Options;

/// Seed of the random faults and load.
const SEED: u64 = 27;
/// Time during which faults are injected, in seconds.
const FAULT_SECONDS: u64 = 60;

#[test]
fn a_short_soak_reports_no_violations() {
    let options = Options {
        seed: SEED,
        seconds: FAULT_SECONDS,
        machines: 9,
        clients: 24,
        shape: ShapeName::Small.into(),
        is_zone_shared: false,
        kills_all: false,
        keep: false,
    };
    support::assert_soak_holds(options);
}
