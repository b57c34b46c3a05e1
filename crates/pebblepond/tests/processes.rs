//! Runs some of the fault scenarios of `fleet-test` on real processes of this build.

use fleet_test::scenarios::{by_name, Options, Pace, Verdict};
use std::path::Path;

fn assert_scenario_holds(name: &str) {
    let scenario = by_name(name).expect("a scenario of this name");
    let program = Path::new(env!("CARGO_BIN_EXE_pebblepond"));
    let outcome = scenario.execute(program, Options::with_pace(Pace::Short));
    let verdict = actix_rt::System::new().block_on(outcome);
    assert!(matches!(verdict, Verdict::Passed), "{name}: {verdict:#?}");
}

#[test]
fn a_thawed_leader_does_not_act_on_stale_state() {
    assert_scenario_holds("cut-off");
}

#[test]
fn an_accepted_command_is_acknowledged_again_by_every_node() {
    assert_scenario_holds("resend");
}

/// Guards against an acknowledged finish that is dropped after a restart (review case 6).
#[test]
fn a_finish_after_a_restart_of_all_nodes_is_in_force() {
    assert_scenario_holds("finish-after-restart");
}

/// Guards against a core that takes no more commands (review case 9).
#[test]
fn a_core_takes_commands_after_a_voter_is_lost_while_machines_join() {
    assert_scenario_holds("lost-voter");
}
