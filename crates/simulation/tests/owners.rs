//! Random histories of crashes, cuts and moves: no two workers ever hold the same
//! key, and once all is calm every key has a holder. The runner checks who holds
//! what by what the stand-in workers saw, at every step.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const BEGIN: &str = "voters a/r1 b/r1 c/r2 d/r2 e/r3 f/r3\nlearners x/r1 y/r2\nworkers w1 w2 w3 w4\n\
    run 4000\ncommand first 0 3\nrun 2000\nexpect covered\n";
/// All is mended and started, workers that may be dark are dropped from the list, and there is the time that holds and elections take.
const CALM: &str = "call-lag 0\nheal\nderegister w1\nderegister w2\nderegister w3\ndisk-ok a\ndisk-ok b\ndisk-ok c\ndisk-ok d\ndisk-ok e\ndisk-ok f\nworker z1\nrun 14000\n\
    expect leader\nexpect covered\n";

/// Steps that leave every machine running; each lasts for a while.
fn step() -> impl Strategy<Value = String> {
    let node = prop::sample::select(vec!["a", "b", "c", "d", "e", "f"]);
    let other = prop::sample::select(vec!["a", "b", "c", "d", "e", "f"]);
    let worker = prop::sample::select(vec!["w1", "w2", "w3"]);
    let span = 50..2500u64;
    prop_oneof![
        (1..1200u64).prop_map(|lag| format!("call-lag {lag}\n")),
        span.clone().prop_map(|ms| format!("run {ms}\n")),
        (node.clone(), span.clone()).prop_map(|(n, ms)| format!("kill {n}\nrun {ms}\nstart {n}\n")),
        (node.clone(), span.clone()).prop_map(|(n, ms)| format!("lose-power {n}\nrun {ms}\nstart {n}\n")),
        (node.clone(), span.clone()).prop_map(|(n, ms)| format!("isolate {n}\nrun {ms}\nheal\n")),
        (node.clone(), other.clone(), span.clone())
            .prop_map(|(a, b, ms)| format!("cut-one-way {a} {b}\nrun {ms}\n")),
        (node.clone(), other, span.clone()).prop_map(|(a, b, ms)| format!("cut {a} {b}\nrun {ms}\n")),
        (node, span.clone()).prop_map(|(n, ms)| format!("disk-stuck {n}\nrun {ms}\ndisk-ok {n}\n")),
        (worker.clone(), span.clone()).prop_map(|(w, ms)| format!("drain-worker {w}\nrun {ms}\n")),
        (worker.clone(), span.clone()).prop_map(|(w, ms)| format!("crash-worker {w}\nrun {ms}\n")),
        (worker, span.clone()).prop_map(|(w, ms)| format!("mute-worker {w}\nrun {ms}\n")),
        (1..4u64, span).prop_map(|(n, ms)| format!("worker v{n}\nrun {ms}\n")),
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
    fn nobody_shares_a_key_and_no_key_is_left(
        seed in 1..1000u64,
        steps in prop::collection::vec(step(), 1..12),
    ) {
        let text = format!("{BEGIN}{}{CALM}", steps.concat());
        let outcome = std::panic::catch_unwind(|| simulation::scenario::run_scenario(&text, seed));
        let told = outcome.map_err(|e| {
            let text = e.downcast_ref::<String>().cloned();
            text.or_else(|| e.downcast_ref::<&str>().map(|t| t.to_string())).unwrap_or_default()
        });
        prop_assert!(told.is_ok(), "{}\n{}", told.err().unwrap_or_default(), text);
    }
}
