//! A second loss right after a repair, a member that leaves in order and one that
//! comes: all that was acknowledged reads back, and orders go on.

use super::{pause, Run, CATCH_UP_MS, CLEAR_S};
use crate::{settings, ScenarioError};
use std::time::{Duration, Instant};

/// A zone that no machine of the fleet is in.
const ZONE: u8 = 20;
/// Changes between two losses.
const CHANGES: usize = 3;
/// Wait for a newcomer's vote, s; what the settings grant is a rule of its own.
const VOTE_S: u64 = 20;
/// Pause between the loss of a machine and its return, ms.
const SILENCE_MS: u64 = 1500;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.open().await?;
    let zone = settings::zone(ZONE);
    run.evacuate(&zone).await?;
    run.changes(CHANGES).await?;
    let leader = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
    // A follower first, then the leader itself, so that its successor leads with
    // what the repaired one helped to acknowledge.
    let first = other_than(&[leader]);
    wipe(run, first).await?;
    wipe(run, leader).await?;
    let leader = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
    run.say(format!("node {leader} leads, and is told to end"));
    run.end_in_order(leader, CHANGES).await?;
    run.fleet.node(leader)?.removed = true;
    let new = run.fleet.add()?;
    run.say(format!("node {new} is added with an empty disk"));
    vote(run, new).await?;
    run.changes(CHANGES).await?;
    // One more loss inside `Tolerance`: the rest must carry on.
    let leader = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
    run.fleet.node(leader)?.kill();
    let took = run.change(3).await?;
    run.say(format!(
        "node {leader}, the leader, is killed; the next change took {took} ms"
    ));
    run.read_back().await;
    run.must_be_evacuated(&zone).await;
    Ok(())
}

/// A machine with a disk that is none of these.
fn other_than(these: &[u8]) -> u8 {
    (1..=5).find(|n| !these.contains(n)).unwrap_or(1)
}

/// Wipes a node, and waits until it votes and the time for its repair is over.
async fn wipe(run: &mut Run, number: u8) -> Result<(), ScenarioError> {
    let node = run.fleet.node(number)?;
    node.kill();
    node.wipe()?;
    run.say(format!("node {number} is killed and its disk wiped"));
    run.changes(CHANGES).await?;
    // Long enough for the leader to miss its old self.
    pause(SILENCE_MS).await;
    run.fleet.restart(number)?;
    vote(run, number).await?;
    run.changes(CHANGES).await?;
    Ok(())
}

/// Waits until a machine that just started votes, and no less than `CatchUp`.
async fn vote(run: &mut Run, number: u8) -> Result<(), ScenarioError> {
    let started = Instant::now();
    let took = run.wait_for_vote(number, Duration::from_secs(VOTE_S)).await?;
    run.say(format!("node {number} votes {took} ms after its start"));
    if took > CATCH_UP_MS {
        run.broken(format!(
            "node {number} voted {took} ms after its start; CatchUp is {CATCH_UP_MS} ms"
        ));
    }
    let granted = Duration::from_millis(CATCH_UP_MS).saturating_sub(started.elapsed());
    pause(granted.as_millis() as u64).await;
    Ok(())
}
