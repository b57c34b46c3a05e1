//! A rolling upgrade: every node ends in order and starts with another program, one after the
//! other, and then back again, with changes going on. Without another program it is a rolling
//! restart.

use super::{Run, CLEAR_S};
use crate::ScenarioError;
use std::path::Path;
use std::time::{Duration, Instant};

/// What the settings grant a process that ends in order, ms.
const GRACE_MS: u64 = 6000;
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
        run.fleet.node(number)?.terminate()?;
        let longest = changes(run).await?;
        let limit = Duration::from_millis(GRACE_MS).saturating_sub(begun.elapsed());
        if let Err(e) = run.fleet.wait_for_end(number, limit).await {
            run.broken(e);
            run.fleet.node(number)?.kill();
        }
        run.fleet.restart_with(number, program)?;
        if run.fleet.node(number)?.disk().is_some() {
            run.wait_for_vote(number, Duration::from_secs(VOTE_S)).await?;
        }
        run.say(format!(
            "node {number} is back after {} ms; the longest change took {longest} ms",
            begun.elapsed().as_millis()
        ));
    }
    Ok(())
}

async fn changes(run: &mut Run) -> Result<u64, ScenarioError> {
    let mut longest = 0;
    for _ in 0..CHANGES {
        longest = longest.max(run.change(3).await?);
    }
    Ok(longest)
}
