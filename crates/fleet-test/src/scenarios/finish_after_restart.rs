//! Evacuates a zone, restores it and evacuates it again. Then all nodes are killed and restarted, and
//! the evacuation is finished while no process knows when the earlier commands were sent.

use super::{pause, Pace, Run};
use crate::{settings, ScenarioError};

/// A zone that no machine of the fleet is in.
const ZONE: u8 = 20;
const ROUNDS: usize = 4;
/// Pause between two commands, in milliseconds.
const PAUSE_MS: u64 = 5000;
/// Time between the kill of all nodes and their restart, in milliseconds.
const OUTAGE_MS: u64 = 1000;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    let zone = settings::zone(ZONE);
    run.evacuate(&zone).await?;
    pause(PAUSE_MS).await;
    let rounds = match run.options.pace {
        Pace::Short => 1,
        Pace::Full => ROUNDS,
    };
    for _ in 0..rounds {
        run.finish_evacuation(&zone).await?;
        pause(PAUSE_MS).await;
        run.evacuate(&zone).await?;
        pause(PAUSE_MS).await;
        run.kill_and_restart_all(OUTAGE_MS).await?;
        run.finish_evacuation(&zone).await?;
        match run.is_evacuated(&zone).await {
            Some(false) => run.log_progress("the finish is in force"),
            Some(true) => run.report_violation("a finish is acknowledged, but the zone stays evacuated"),
            None => run.report_violation("the evacuation cannot be checked: no status was returned"),
        }
        run.evacuate(&zone).await?;
        pause(PAUSE_MS).await;
    }
    Ok(())
}
