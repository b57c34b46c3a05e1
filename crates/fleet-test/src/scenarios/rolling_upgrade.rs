//! A rolling upgrade: every node shuts down and starts with another program, one after the other,
//! and then with the first one again, while configuration changes go on. Without another program it is a
//! rolling restart.

use super::{Run, COMMAND_TIMEOUT_S};
use crate::ScenarioError;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time limit for a node to vote again, in seconds.
const VOTE_S: u64 = 20;
/// Number of changes during each restart.
const CHANGES: usize = 2;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    let own = run.fleet.program().to_path_buf();
    let other = run.options.other_program.clone().unwrap_or_else(|| own.clone());
    run.log_progress(format!("from {} to {}", own.display(), other.display()));
    restart_all(run, &other).await?;
    run.read_back().await;
    run.log_progress("and back to the first program");
    restart_all(run, &own).await?;
    run.read_back().await;
    Ok(())
}

/// Restarts every node with a program, the leader last.
async fn restart_all(run: &mut Run, program: &Path) -> Result<(), ScenarioError> {
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
        .await?;
    let mut numbers: Vec<u8> = run.fleet.nodes.iter().map(|n| n.number).collect();
    numbers.sort_by_key(|number| *number == leader);
    for number in numbers {
        let started = Instant::now();
        run.terminate_gracefully(number, CHANGES).await?;
        run.fleet.restart_with(number, program)?;
        if run.fleet.node(number)?.disk().is_some() {
            run.wait_for_vote(number, Duration::from_secs(VOTE_S)).await?;
        }
        run.log_progress(format!(
            "node {number} is back after {} ms",
            started.elapsed().as_millis()
        ));
    }
    Ok(())
}
