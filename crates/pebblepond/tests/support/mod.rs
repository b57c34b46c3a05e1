//! What the soak tests share.

use fleet_test::soak::{run, Options};
use std::path::Path;

/// Runs a soak on real processes of this build, and asserts that it reports no violations.
pub fn assert_soak_holds(options: Options) {
    let program = Path::new(env!("CARGO_BIN_EXE_pebblepond"));
    let report = actix_rt::System::new().block_on(run(program, options));
    let report = report.expect("the soak runs to its end");
    println!("{}", report.summary);
    assert!(
        report.violations.is_empty(),
        "seed {}: {:#?}",
        options.seed,
        report.violations
    );
}
