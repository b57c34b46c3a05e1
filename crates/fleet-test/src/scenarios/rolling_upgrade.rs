//! A rolling upgrade: every node ends in order and starts with another program, one after the
//! other, and then back again, with changes going on. Without another program it is a rolling
//! restart.

use super::{Run, CLEAR_S};
use crate::ScenarioError;
use std::path::Path;
use std::time::{Duration, Instant};

/// Wait for a node to vote again, s.
const VOTE_S: u64 = 20;
/// Changes beside each restart.
const CHANGES: usize = 2;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.open().await?;
    let own = run.fleet.program().to_path_buf();
    let other = run.options.other_program.clone().unwrap_or_else(|| own.clone());
    run.say(format!("from {} to {}", own.display(), other.display()));
    restart_all(run, &other).await?;
    run.read_back().await;
    run.say("and back");
    restart_all(run, &own).await?;
    run.read_back().await;
    Ok(())
}

/// Restarts every node with a program; the leader is the last of them.
async fn restart_all(run: &mut Run, program: &Path) -> Result<(), ScenarioError> {
    let leader = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
    let mut numbers: Vec<u8> = run.fleet.nodes.iter().map(|n| n.number).collect();
    numbers.sort_by_key(|number| *number == leader);
    for number in numbers {
        let begun = Instant::now();
        run.end_in_order(number, CHANGES).await?;
        run.fleet.restart_with(number, program)?;
        if run.fleet.node(number)?.disk().is_some() {
            run.wait_for_vote(number, Duration::from_secs(VOTE_S)).await?;
        }
        run.say(format!(
            "node {number} is back after {} ms",
            begun.elapsed().as_millis()
        ));
    }
    Ok(())
}
