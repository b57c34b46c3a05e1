//! Hundreds of changes of real size, and members that were away: who comes back
//! catches up within a stated time, whatever its link and however large the state.

use config::Configuration;
use simulation::catch_up::{catch_up_ms, SLOW_LINK_BYTES_PER_S};
use simulation::configuration::large_configuration;

/// A member that is back counts as there after this time, ms.
const CATCH_UP_MS: u64 = 4000;

#[test]
fn a_large_configuration_is_valid_and_differs_in_one_route() {
    let [one, two] = [7, 8].map(|version| large_configuration(version, 300, false));
    assert_eq!(Configuration::errors(&one), []);
    assert!((70_000..100_000).contains(&one.len()), "{} bytes", one.len());
    let differ = one.iter().zip(&two).filter(|(a, b)| a != b).count();
    assert!(one.len() == two.len() && differ < 100, "{differ} bytes differ");
}

/// Twenty changes of real size, seen by members that were down, empty or narrow.
#[test]
fn whoever_was_away_catches_up() {
    for (routes, width, wipe) in [
        (100, 0, false),
        (300, SLOW_LINK_BYTES_PER_S, false),
        (300, SLOW_LINK_BYTES_PER_S, true),
    ] {
        let took = catch_up_ms(1, routes, 20, width, wipe);
        println!("{routes} routes, {width} bytes a second, empty {wipe}: {took:?} ms");
        assert!(took.is_some_and(|ms| ms <= CATCH_UP_MS), "{took:?}");
    }
}
