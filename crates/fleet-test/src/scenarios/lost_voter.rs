//! A voter of a core of three is lost for good, two machines of its region join, and the leader is
//! shut down and restarted meanwhile. Commands continue to be accepted.

use super::{pause, Run, CATCH_UP_MS, COMMAND_TIMEOUT_S, GRACE_PERIOD_MS};
use crate::ScenarioError;
use std::time::Duration;

/// The voter that is lost.
const LOST: u8 = 3;
/// The machines that join; they are in the region of the lost one.
const JOINING: [u8; 2] = [6, 9];
/// Time between the loss and the joins, in milliseconds.
const OUTAGE_MS: u64 = 1000;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    let lost = run.fleet.node(LOST)?;
    lost.kill();
    lost.is_removed = true;
    run.log_progress(format!("node {LOST} is lost for good"));
    pause(OUTAGE_MS).await;
    let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
    let leader = run.fleet.wait_for_leader(timeout).await?;
    for number in JOINING {
        run.fleet.add_as(number)?;
    }
    run.log_progress(format!(
        "nodes {JOINING:?} join, and node {leader}, the leader, is shut down"
    ));
    run.fleet.node(leader)?.terminate()?;
    // Long enough for the next leader to promote both machines that join.
    pause(GRACE_PERIOD_MS).await;
    run.fleet.node(leader)?.kill();
    run.fleet.restart(leader)?;
    run.log_progress(format!("node {leader} is restarted"));
    pause(CATCH_UP_MS).await;
    let elapsed_ms = run.change(3).await?;
    run.log_progress(format!("the next change took {elapsed_ms} ms"));
    run.read_back().await;
    Ok(())
}
