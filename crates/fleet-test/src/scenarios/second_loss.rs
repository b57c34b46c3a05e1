//! A second loss right after a repair, then a member that leaves gracefully and one that joins.
//! Everything acknowledged can be read back, and commands continue to be accepted.

use super::{pause, Run, CATCH_UP_MS, COMMAND_TIMEOUT_S};
use crate::{settings, ScenarioError};
use std::time::{Duration, Instant};

/// A zone that no machine of the fleet is in.
const ZONE: u8 = 20;
/// Number of changes between two losses.
const CHANGES: usize = 3;
/// Time limit for a new member to become a voter, in seconds. The time granted by the settings is
/// checked separately.
const VOTE_S: u64 = 20;
/// Time between the loss of a machine and its return, in milliseconds.
const OUTAGE_MS: u64 = 1500;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    let zone = settings::zone(ZONE);
    run.evacuate(&zone).await?;
    run.changes(CHANGES).await?;
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
        .await?;
    // A follower is wiped first and then the leader itself, so that the next leader relies on what
    // the repaired node helped to acknowledge.
    let follower = member_other_than(&[leader]);
    wipe(run, follower).await?;
    wipe(run, leader).await?;
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
        .await?;
    run.log_progress(format!("node {leader} leads, and is shut down"));
    run.terminate_gracefully(leader, CHANGES).await?;
    run.fleet.node(leader)?.is_removed = true;
    let added = run.fleet.add()?;
    run.log_progress(format!("node {added} is added with an empty disk"));
    wait_until_voter(run, added).await?;
    run.changes(CHANGES).await?;
    // One more loss, within `Tolerance`: the remaining members must keep working.
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
        .await?;
    run.fleet.node(leader)?.kill();
    let elapsed_ms = run.change(3).await?;
    run.log_progress(format!(
        "node {leader}, the leader, is killed; the next change took {elapsed_ms} ms"
    ));
    run.read_back().await;
    run.check_evacuated(&zone).await;
    Ok(())
}

/// Returns a machine with a disk that is not in the list.
fn member_other_than(excluded: &[u8]) -> u8 {
    (1..=5).find(|n| !excluded.contains(n)).unwrap_or(1)
}

/// Wipes a node, and waits until it votes and the time for its repair is over.
async fn wipe(run: &mut Run, number: u8) -> Result<(), ScenarioError> {
    let node = run.fleet.node(number)?;
    node.kill();
    node.wipe()?;
    run.log_progress(format!("node {number} is killed and its disk wiped"));
    run.changes(CHANGES).await?;
    // Long enough for the leader to notice that the previous process is missing.
    pause(OUTAGE_MS).await;
    run.fleet.restart(number)?;
    wait_until_voter(run, number).await?;
    run.changes(CHANGES).await?;
    Ok(())
}

/// Waits until a machine that just started votes, and at least for `CatchUp`.
async fn wait_until_voter(run: &mut Run, number: u8) -> Result<(), ScenarioError> {
    let started = Instant::now();
    let elapsed_ms = run.wait_for_vote(number, Duration::from_secs(VOTE_S)).await?;
    run.log_progress(format!("node {number} votes {elapsed_ms} ms after its start"));
    if elapsed_ms > CATCH_UP_MS {
        run.report_violation(format!(
            "node {number} voted {elapsed_ms} ms after its start; CatchUp is {CATCH_UP_MS} ms"
        ));
    }
    let remaining = Duration::from_millis(CATCH_UP_MS).saturating_sub(started.elapsed());
    pause(remaining.as_millis() as u64).await;
    Ok(())
}
