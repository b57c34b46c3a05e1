//! Makes hundreds of changes of realistic size while a member is down. The member returns, and then
//! all nodes are killed and restarted.

use super::{Pace, Run, COMMAND_TIMEOUT_S};
use crate::call::RESPONSE_TIMEOUT_MS;
use crate::checker::{Answer, Operation};
use crate::orders;
use crate::{settings, ScenarioError};
use std::path::Path;
use std::time::{Duration, Instant};

/// Number of changes, and of routes in each.
const CHANGES: usize = 280;
const ROUTES: usize = 300;
const SHORT_CHANGES: usize = 30;
/// A zone that no machine of the fleet is in.
const ZONE: u8 = 20;
/// Ages of the commands that are sent again, in changes made since.
const COMMAND_AGES: [usize; 6] = [0, 1, 10, 100, 200, 255];
/// Time granted by the settings for the recovery after a loss of all nodes, in seconds.
const RECOVERY_S: u64 = 15;
/// Disk size in the settings, in bytes.
const DISK_BYTES: u64 = 64 * 1024 * 1024;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
        .await?;
    let down = (1..=5).find(|n| *n != leader).unwrap_or(1);
    run.change(ROUTES).await?;
    // Nodes without a disk report late. With them down as well, changes are faster.
    let mut absent: Vec<u8> = vec![down];
    absent.extend(run.fleet.nodes.iter().filter(|n| !n.has_disk).map(|n| n.number));
    for number in &absent {
        run.fleet.node(*number)?.kill();
    }
    run.log_progress(format!("nodes {absent:?} are killed at version {}", run.current));
    let count = match run.options.pace {
        Pace::Short => SHORT_CHANGES,
        Pace::Full => CHANGES,
    };
    apply_changes(run, count).await?;
    for number in absent {
        catch_up(run, number).await?;
    }
    for _ in 0..3 {
        run.change(ROUTES).await?;
    }
    resend_commands(run).await;
    send_invalid_command(run).await;
    let zone = settings::zone(ZONE);
    run.evacuate(&zone).await?;
    restart_all(run).await?;
    run.read_back().await;
    run.check_evacuated(&zone).await;
    resend_commands(run).await;
    run.change(ROUTES).await?;
    run.read_back().await;
    check_disk_sizes(run);
    Ok(())
}

async fn apply_changes(run: &mut Run, count: usize) -> Result<(), ScenarioError> {
    let started = Instant::now();
    let mut durations_ms = Vec::with_capacity(count);
    for _ in 0..count {
        let ms = run.change(ROUTES).await?;
        if ms > RESPONSE_TIMEOUT_MS {
            run.log_progress(format!("the change to version {} took {ms} ms", run.current));
        }
        durations_ms.push(ms);
    }
    durations_ms.sort_unstable();
    run.log_progress(format!(
        "{count} changes of {ROUTES} routes in {:.1} s; median {} ms, longest {} ms",
        started.elapsed().as_secs_f32(),
        durations_ms[durations_ms.len() / 2],
        durations_ms.last().unwrap_or(&0)
    ));
    Ok(())
}

async fn catch_up(run: &mut Run, down: u8) -> Result<(), ScenarioError> {
    let path = orders::path_of(run.current, "a");
    run.fleet.restart(down)?;
    match run.wait_for_route(down, &path, Duration::from_secs(20)).await {
        Ok(ms) => run.log_progress(format!(
            "node {down} is back and serves version {} after {ms} ms",
            run.current
        )),
        Err(e) => run.report_violation(e),
    }
    Ok(())
}

async fn restart_all(run: &mut Run) -> Result<(), ScenarioError> {
    let path = orders::path_of(run.current, "a");
    let all = run.kill_and_restart_all(0).await?;
    let started = Instant::now();
    let leader = run.fleet.wait_for_leader(Duration::from_secs(RECOVERY_S)).await?;
    let led_after_ms = started.elapsed().as_millis();
    for number in &all {
        let left = Duration::from_secs(RECOVERY_S).saturating_sub(started.elapsed());
        if let Err(e) = run.wait_for_route(*number, &path, left).await {
            run.report_violation(format!("after the restart of all: {e}"));
        }
    }
    run.log_progress(format!(
        "all nodes restarted: node {leader} leads after {led_after_ms} ms, all nodes serve after {} ms",
        started.elapsed().as_millis()
    ));
    Ok(())
}

/// Sends accepted commands of all ages again, unchanged, to some nodes. None may be refused,
/// however long ago it was accepted; the checker verifies this.
async fn resend_commands(run: &mut Run) {
    let commands = run.record.history().commands.len();
    let ages: Vec<usize> = COMMAND_AGES.into_iter().filter(|age| *age < commands).collect();
    let (mut acknowledged, mut refused, mut indeterminate) = (0, 0, 0);
    for control_address in run.fleet.running_control_addresses().into_iter().step_by(3) {
        for age in ages.iter().map(|age| commands - 1 - age).chain([0]) {
            match run
                .operator
                .send_once(Operation::Replace(age), control_address)
                .await
            {
                Answer::Success(_) => acknowledged += 1,
                Answer::Refused(..) => refused += 1,
                Answer::Indeterminate(_) => indeterminate += 1,
            }
        }
    }
    run.log_progress(format!(
        "commands of {ages:?} changes ago and the first one sent again: {acknowledged} acknowledged, {refused} refused, {indeterminate} indeterminate"
    ));
}

/// Sends an invalid command, which every node must answer with a 4xx, however old its base.
async fn send_invalid_command(run: &mut Run) {
    let mark = "bad-of-old";
    let body = orders::invalid(1_000_000, mark);
    for control_address in run.fleet.running_control_addresses() {
        let operation = Operation::Invalid(mark.into());
        let answer = run
            .operator
            .send_once_with_body(operation, body.clone(), control_address)
            .await;
        if !matches!(answer, Answer::Refused(..)) {
            run.report_violation(format!(
                "an invalid command on base 0 is answered {answer:?} by node {}",
                control_address.0
            ));
            return;
        }
    }
    run.log_progress("an invalid command on base 0 is refused by every node");
}

fn check_disk_sizes(run: &mut Run) {
    let mut largest = 0;
    for number in 1..=5 {
        let disk = run.fleet.node(number).ok().and_then(|n| n.disk());
        largest = largest.max(disk.map_or(0, |d| bytes_in(&d)));
    }
    run.log_progress(format!("the largest disk holds {} kB", largest / 1024));
    if largest > DISK_BYTES {
        run.report_violation(format!("a disk holds {largest} bytes of {DISK_BYTES}"));
    }
}

fn bytes_in(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
}
