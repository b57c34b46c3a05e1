//! An order that was taken is acknowledged again or left without a clear answer,
//! never refused; of two on one base one is taken.

use super::{Run, CLEAR_S};
use crate::checker::{Answer, Asked};
use crate::ScenarioError;
use std::time::Duration;

/// Races of two operators.
const RACES: usize = 3;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.open().await?;
    for _ in 0..2 {
        run.change(3).await?;
    }
    let mut taken = vec![0, 1, 2];
    let mut refused = Vec::new();
    send_again(run, &taken, &refused, "versions 1, 2, 3 taken").await;
    for _ in 0..RACES {
        let (won, lost) = race(run).await?;
        taken.push(won);
        refused.push(lost);
    }
    send_again(run, &taken, &refused, "after the races").await;
    let within = Duration::from_secs(CLEAR_S);
    let leader = run.fleet.wait_for_leader(within).await?;
    run.fleet.node(leader)?.kill();
    let next = run.fleet.wait_for_leader(within).await?;
    run.say(format!("node {leader}, the leader, is killed; node {next} leads"));
    send_again(run, &taken, &refused, "under another leader").await;
    run.fleet.restart(leader)?;
    run.change(3).await?;
    send_again(run, &taken, &refused, "with the killed one back").await;
    run.read_back().await;
    Ok(())
}

/// Two operators send different changes on one base at the same time, every
/// second time under one number; the winner and the loser.
async fn race(run: &mut Run) -> Result<(usize, usize), ScenarioError> {
    let base = run.current;
    let (a, b) = if base.is_multiple_of(2) {
        (run.next_order("a", 3), run.next_order("b", 4))
    } else {
        let a = run.next_order("a", 3);
        run.next -= 1;
        (a, run.next_order("b", 4))
    };
    let control_addresses = super::shuffled(&run.fleet.running());
    let mut other = control_addresses.clone();
    other.reverse();
    let within = Duration::from_secs(CLEAR_S);
    let (one, two) = (run.caller(), run.caller());
    let (first, second) = futures_util::future::join(
        one.settle(Asked::Replace(a), &control_addresses, within),
        two.settle(Asked::Replace(b), &other, within),
    )
    .await;
    run.taken(a, &first);
    run.taken(b, &second);
    let (won, lost) = match (&first, &second) {
        (Answer::Good(_), Answer::Refused(412, _)) => (a, b),
        (Answer::Refused(412, _), Answer::Good(_)) => (b, a),
        _ => {
            run.broken(format!(
                "two raced on base {base}: one heard {first:?}, the other {second:?}"
            ));
            return Err("a race without one winner and one loser".into());
        }
    };
    run.say(format!(
        "race on base {base}: order of {} taken, order of {} refused",
        run.version_of(won),
        run.version_of(lost)
    ));
    Ok((won, lost))
}

/// Sends every order again, as it was, to every node: the checker judges.
async fn send_again(run: &mut Run, taken: &[usize], refused: &[usize], when: &str) {
    let control_addresses = run.fleet.running();
    let (mut good, mut bad, mut unclear) = (0, 0, 0);
    let mut revived = 0;
    for control_address in &control_addresses {
        for order in taken {
            match run.operator.ask(Asked::Replace(*order), *control_address).await {
                Answer::Good(_) => good += 1,
                Answer::Refused(..) => bad += 1,
                Answer::Unclear(_) => unclear += 1,
            }
        }
        for order in refused {
            let answer = run.operator.ask(Asked::Replace(*order), *control_address).await;
            revived += usize::from(matches!(answer, Answer::Good(_)));
        }
    }
    run.say(format!(
        "{when}: {} orders sent again to {} nodes: {good} acknowledged, {bad} refused, {unclear} unclear",
        taken.len(),
        control_addresses.len()
    ));
    if revived > 0 {
        run.broken(format!(
            "{when}: an order that lost its race was acknowledged {revived} times"
        ));
    }
    if good + bad == 0 {
        run.broken(format!("{when}: no order sent again had a clear answer"));
    }
}
