//! An accepted command that is sent again is acknowledged again or left without a definite answer,
//! but never refused. Of two commands on one base, one is accepted.

use super::{Run, COMMAND_TIMEOUT_S};
use crate::checker::{Answer, Operation};
use crate::ScenarioError;
use std::time::Duration;

/// Number of races between two operators.
const RACES: usize = 3;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    for _ in 0..2 {
        run.change(3).await?;
    }
    let mut accepted = vec![0, 1, 2];
    let mut refused = Vec::new();
    resend_commands(run, &accepted, &refused, "versions 1, 2, 3 accepted").await;
    for _ in 0..RACES {
        let (winner, loser) = race(run).await?;
        accepted.push(winner);
        refused.push(loser);
    }
    resend_commands(run, &accepted, &refused, "after the races").await;
    let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
    let leader = run.fleet.wait_for_leader(timeout).await?;
    run.fleet.node(leader)?.kill();
    let next = run.fleet.wait_for_leader(timeout).await?;
    run.log_progress(format!("node {leader}, the leader, is killed; node {next} leads"));
    resend_commands(run, &accepted, &refused, "under another leader").await;
    run.fleet.restart(leader)?;
    run.change(3).await?;
    resend_commands(run, &accepted, &refused, "with the killed node back").await;
    run.read_back().await;
    Ok(())
}

/// Two operators send different changes on one base at the same time. In every second race both
/// changes have the same version. Returns the accepted and the refused command.
async fn race(run: &mut Run) -> Result<(usize, usize), ScenarioError> {
    let base = run.current;
    let (a, b) = if base.is_multiple_of(2) {
        (run.next_command("a", 3), run.next_command("b", 4))
    } else {
        let a = run.next_command("a", 3);
        run.next -= 1;
        (a, run.next_command("b", 4))
    };
    let control_addresses = super::shuffled(&run.fleet.running_control_addresses());
    let mut reversed = control_addresses.clone();
    reversed.reverse();
    let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
    let (one, two) = (run.caller(), run.caller());
    let (first, second) = futures_util::future::join(
        one.retry_until_definite(Operation::Replace(a), &control_addresses, timeout),
        two.retry_until_definite(Operation::Replace(b), &reversed, timeout),
    )
    .await;
    run.record_acceptance(a, &first);
    run.record_acceptance(b, &second);
    let (winner, loser) = match (&first, &second) {
        (Answer::Success(_), Answer::Refused(412, _)) => (a, b),
        (Answer::Refused(412, _), Answer::Success(_)) => (b, a),
        _ => {
            run.report_violation(format!(
                "two commands raced on base {base}: one got {first:?}, the other {second:?}"
            ));
            return Err("a race without one winner and one loser".into());
        }
    };
    run.log_progress(format!(
        "race on base {base}: command of version {} accepted, command of version {} refused",
        run.version_of(winner),
        run.version_of(loser)
    ));
    Ok((winner, loser))
}

/// Sends every command again, unchanged, to every node; the checker verifies the answers.
async fn resend_commands(run: &mut Run, accepted: &[usize], refused: &[usize], when: &str) {
    let control_addresses = run.fleet.running_control_addresses();
    let (mut acknowledged, mut refusals, mut indeterminate) = (0, 0, 0);
    let mut late_acceptances = 0;
    for control_address in &control_addresses {
        for command in accepted {
            match run
                .operator
                .send_once(Operation::Replace(*command), *control_address)
                .await
            {
                Answer::Success(_) => acknowledged += 1,
                Answer::Refused(..) => refusals += 1,
                Answer::Indeterminate(_) => indeterminate += 1,
            }
        }
        for command in refused {
            let answer = run
                .operator
                .send_once(Operation::Replace(*command), *control_address)
                .await;
            late_acceptances += usize::from(matches!(answer, Answer::Success(_)));
        }
    }
    run.log_progress(format!(
        "{when}: {} commands sent again to {} nodes: {acknowledged} acknowledged, {refusals} refused, {indeterminate} indeterminate",
        accepted.len(),
        control_addresses.len()
    ));
    if late_acceptances > 0 {
        run.report_violation(format!(
            "{when}: a command that lost its race was acknowledged {late_acceptances} times"
        ));
    }
    if acknowledged + refusals == 0 {
        run.report_violation(format!("{when}: no command sent again had a definite answer"));
    }
}
