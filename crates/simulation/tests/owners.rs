//! Random histories of crashes, network cuts and moves of keys: no two workers ever hold the same
//! key, and every key has a holder after all faults have ended. At every step the runner checks
//! the holders by the grants that the simulated workers have received.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SETUP: &str = "voters a/r1 b/r1 c/r2 d/r2 e/r3 f/r3\nlearners x/r1 y/r2\nworkers w1 w2 w3 w4\n\
    run 4000\ncommand first 0 3\nrun 2000\nexpect covered\n";
/// Ends all faults, removes workers that may be unreachable from the list, and waits for the time
/// that holds and elections take.
const RECOVERY: &str = "call-lag 0\nheal\nderegister w1\nderegister w2\nderegister w3\ndisk-ok a\ndisk-ok b\ndisk-ok c\ndisk-ok d\ndisk-ok e\ndisk-ok f\nworker z1\nrun 14000\n\
    expect leader\nexpect covered\n";

/// Returns steps that leave every machine running. Each step includes some time.
fn step() -> impl Strategy<Value = String> {
    let node = prop::sample::select(vec!["a", "b", "c", "d", "e", "f"]);
    let other = prop::sample::select(vec!["a", "b", "c", "d", "e", "f"]);
    let worker = prop::sample::select(vec!["w1", "w2", "w3"]);
    let duration_ms = 50..2500u64;
    prop_oneof![
        (1..1200u64).prop_map(|lag| format!("call-lag {lag}\n")),
        duration_ms.clone().prop_map(|ms| format!("run {ms}\n")),
        (node.clone(), duration_ms.clone()).prop_map(|(n, ms)| format!("kill {n}\nrun {ms}\nstart {n}\n")),
        (node.clone(), duration_ms.clone())
            .prop_map(|(n, ms)| format!("lose-power {n}\nrun {ms}\nstart {n}\n")),
        (node.clone(), duration_ms.clone()).prop_map(|(n, ms)| format!("isolate {n}\nrun {ms}\nheal\n")),
        (node.clone(), other.clone(), duration_ms.clone())
            .prop_map(|(a, b, ms)| format!("cut-one-way {a} {b}\nrun {ms}\n")),
        (node.clone(), other, duration_ms.clone()).prop_map(|(a, b, ms)| format!("cut {a} {b}\nrun {ms}\n")),
        (node, duration_ms.clone()).prop_map(|(n, ms)| format!("disk-stuck {n}\nrun {ms}\ndisk-ok {n}\n")),
        (worker.clone(), duration_ms.clone()).prop_map(|(w, ms)| format!("drain-worker {w}\nrun {ms}\n")),
        (worker.clone(), duration_ms.clone()).prop_map(|(w, ms)| format!("crash-worker {w}\nrun {ms}\n")),
        (worker, duration_ms.clone()).prop_map(|(w, ms)| format!("mute-worker {w}\nrun {ms}\n")),
        (1..4u64, duration_ms).prop_map(|(n, ms)| format!("worker v{n}\nrun {ms}\n")),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 96,
        rng_seed: RngSeed::Fixed(77),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn no_key_has_two_holders_and_every_key_has_one_in_the_end(
        seed in 1..1000u64,
        steps in prop::collection::vec(step(), 1..12),
    ) {
        let text = format!("{SETUP}{}{RECOVERY}", steps.concat());
        let outcome = std::panic::catch_unwind(|| simulation::scenario::run_scenario(&text, seed));
        let result = outcome.map_err(|e| {
            let text = e.downcast_ref::<String>().cloned();
            text.or_else(|| e.downcast_ref::<&str>().map(|t| t.to_string())).unwrap_or_default()
        });
        prop_assert!(result.is_ok(), "{}\n{}", result.err().unwrap_or_default(), text);
    }
}
