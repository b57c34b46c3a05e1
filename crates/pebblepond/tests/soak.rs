//! A short soak on real processes of this build; longer ones are run by hand (`fleet-test soak`).

use fleet_test::soak::{run, Options};
use std::path::Path;

/// What the soak is drawn by, and its time with faults, s.
const SEED: u64 = 27;
const SECONDS: u64 = 60;

#[test]
fn a_short_soak_breaks_no_rule() {
    let options = Options {
        seed: SEED,
        seconds: SECONDS,
        machines: 9,
        clients: 24,
        is_zone_shared: false,
        keep: false,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_pebblepond"));
    let report = actix_rt::System::new().block_on(run(program, options));
    let report = report.expect("the soak is run");
    println!("{}", report.summary);
    assert!(
        report.violations.is_empty(),
        "seed {SEED}: {:#?}",
        report.violations
    );
}
