//! Changes of realistic size while a member is absent: a returning member catches up within
//! `CATCH_UP_MS`, for each tested bandwidth and state size.

use config::Configuration;
use simulation::catch_up::{catch_up_ms, SLOW_LINK_BYTES_PER_S};
use simulation::configuration::large_configuration;

/// Time after which a returning member counts as available, ms.
const CATCH_UP_MS: u64 = 4000;

#[test]
fn a_large_configuration_is_valid_and_differs_in_one_route() {
    let [first, second] = [7, 8].map(|version| large_configuration(version, 300, false));
    assert_eq!(Configuration::errors(&first), []);
    assert!((70_000..100_000).contains(&first.len()), "{} bytes", first.len());
    let different_bytes = first.iter().zip(&second).filter(|(a, b)| a != b).count();
    assert!(
        first.len() == second.len() && different_bytes < 100,
        "{different_bytes} bytes differ"
    );
}

/// Twenty changes of realistic size, for members that were down, lost their disk, or have a slow
/// link.
#[test]
fn absent_members_catch_up_in_time() {
    for (routes, bandwidth, wipe) in [
        (100, 0, false),
        (300, SLOW_LINK_BYTES_PER_S, false),
        (300, SLOW_LINK_BYTES_PER_S, true),
    ] {
        let duration_ms = catch_up_ms(1, routes, 20, bandwidth, wipe);
        println!("{routes} routes, {bandwidth} bytes per second, disk lost {wipe}: {duration_ms:?} ms");
        assert!(duration_ms.is_some_and(|ms| ms <= CATCH_UP_MS), "{duration_ms:?}");
    }
}
