//! Hundreds of changes of real size past a member that is down; it returns, and
//! then all are killed and started.

use super::{Pace, Run, CLEAR_S};
use crate::call::SILENCE_MS;
use crate::checker::{Answer, Asked};
use crate::orders;
use crate::{settings, ScenarioError};
use std::path::Path;
use std::time::{Duration, Instant};

/// Changes and routes of each.
const CHANGES: usize = 280;
const ROUTES: usize = 300;
const SHORT_CHANGES: usize = 30;
/// A zone that no machine of the fleet is in.
const ZONE: u8 = 20;
/// Commands that are sent again: so many changes have been made since.
const AGES: [usize; 6] = [0, 1, 10, 100, 200, 255];
/// What the settings grant after a loss of all, s.
const RECOVERY_S: u64 = 15;
/// The disk that the settings give, bytes.
const DISK_BYTES: u64 = 64 * 1024 * 1024;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.open().await?;
    let leader = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
    let down = (1..=5).find(|n| *n != leader).unwrap_or(1);
    run.change(ROUTES).await?;
    // Nodes without a disk report late: with them down as well, changes go faster.
    let mut absent: Vec<u8> = vec![down];
    absent.extend(run.fleet.nodes.iter().filter(|n| !n.has_disk).map(|n| n.number));
    for number in &absent {
        run.fleet.node(*number)?.kill();
    }
    run.say(format!("nodes {absent:?} are killed at version {}", run.current));
    let count = match run.options.pace {
        Pace::Short => SHORT_CHANGES,
        Pace::Full => CHANGES,
    };
    many(run, count).await?;
    for number in absent {
        catch_up(run, number).await?;
    }
    for _ in 0..3 {
        run.change(ROUTES).await?;
    }
    send_again(run).await;
    invalid_order(run).await;
    let zone = settings::zone(ZONE);
    run.evacuate(&zone).await?;
    restart_all(run).await?;
    run.read_back().await;
    run.must_be_evacuated(&zone).await;
    send_again(run).await;
    run.change(ROUTES).await?;
    run.read_back().await;
    disks(run);
    Ok(())
}

async fn many(run: &mut Run, count: usize) -> Result<(), ScenarioError> {
    let begun = Instant::now();
    let mut took = Vec::with_capacity(count);
    for _ in 0..count {
        let ms = run.change(ROUTES).await?;
        if ms > SILENCE_MS {
            run.say(format!("the change to version {} took {ms} ms", run.current));
        }
        took.push(ms);
    }
    took.sort_unstable();
    run.say(format!(
        "{count} changes of {ROUTES} routes in {:.1} s; each {} ms in the middle, {} ms at the most",
        begun.elapsed().as_secs_f32(),
        took[took.len() / 2],
        took.last().unwrap_or(&0)
    ));
    Ok(())
}

async fn catch_up(run: &mut Run, down: u8) -> Result<(), ScenarioError> {
    let path = orders::path_of(run.current, "a");
    run.fleet.restart(down)?;
    match run.wait_for_route(down, &path, Duration::from_secs(20)).await {
        Ok(ms) => run.say(format!(
            "node {down} is back and serves version {} after {ms} ms",
            run.current
        )),
        Err(e) => run.broken(e),
    }
    Ok(())
}

async fn restart_all(run: &mut Run) -> Result<(), ScenarioError> {
    let path = orders::path_of(run.current, "a");
    let all: Vec<u8> = run.fleet.nodes.iter().map(|n| n.number).collect();
    for number in &all {
        run.fleet.node(*number)?.kill();
    }
    run.say(format!(
        "all {} nodes are killed at version {}",
        all.len(),
        run.current
    ));
    for number in &all {
        run.fleet.restart(*number)?;
    }
    let begun = Instant::now();
    let leader = run.fleet.wait_for_leader(Duration::from_secs(RECOVERY_S)).await?;
    let led = begun.elapsed().as_millis();
    for number in &all {
        let left = Duration::from_secs(RECOVERY_S).saturating_sub(begun.elapsed());
        if let Err(e) = run.wait_for_route(*number, &path, left).await {
            run.broken(format!("after the restart of all: {e}"));
        }
    }
    run.say(format!(
        "all are started: node {leader} leads after {led} ms, all serve after {} ms",
        begun.elapsed().as_millis()
    ));
    Ok(())
}

/// Sends orders of all ages again, as they were, to some nodes: however long ago
/// they were taken, none may be refused. The checker judges.
async fn send_again(run: &mut Run) {
    let orders = run.record.history().orders.len();
    let ages: Vec<usize> = AGES.into_iter().filter(|age| *age < orders).collect();
    let (mut good, mut refused, mut unclear) = (0, 0, 0);
    for control_address in run.fleet.running().into_iter().step_by(3) {
        for age in ages.iter().map(|age| orders - 1 - age).chain([0]) {
            match run.operator.ask(Asked::Replace(age), control_address).await {
                Answer::Good(_) => good += 1,
                Answer::Refused(..) => refused += 1,
                Answer::Unclear(_) => unclear += 1,
            }
        }
    }
    run.say(format!(
        "orders of {ages:?} changes ago and the first sent again: {good} acknowledged, {refused} refused, {unclear} unclear"
    ));
}

/// An order that is invalid by itself wants a 4xx, however old its base.
async fn invalid_order(run: &mut Run) {
    let mark = "bad-of-old";
    let body = orders::invalid(1_000_000, mark);
    for control_address in run.fleet.running() {
        let asked = Asked::Invalid(mark.into());
        let answer = run.operator.ask_with(asked, body.clone(), control_address).await;
        if !matches!(answer, Answer::Refused(..)) {
            run.broken(format!(
                "an invalid order on base 0 is answered {answer:?} by node {}",
                control_address.0
            ));
            return;
        }
    }
    run.say("an invalid order on base 0 is refused by every node");
}

fn disks(run: &mut Run) {
    let mut largest = 0;
    for number in 1..=5 {
        let disk = run.fleet.node(number).ok().and_then(|n| n.disk());
        largest = largest.max(disk.map_or(0, |d| bytes_in(&d)));
    }
    run.say(format!("the largest disk holds {} kB", largest / 1024));
    if largest > DISK_BYTES {
        run.broken(format!("a disk holds {largest} bytes of {DISK_BYTES}"));
    }
}

fn bytes_in(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
}
