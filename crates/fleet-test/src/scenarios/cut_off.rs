//! Freezes a leader and calls it as soon as it resumes. It must not refuse,
//! acknowledge or return anything based on stale state.

use super::{pause, Pace, Run, COMMAND_TIMEOUT_S};
use crate::checker::{Answer, Operation};
use crate::operator::Operator;
use crate::settings::zone;
use crate::ScenarioError;
use futures_util::future::join_all;
use std::time::{Duration, Instant};

/// Length of the long freeze, in seconds.
const FREEZE_S: u64 = 20;
const SHORT_FREEZE_S: u64 = 6;
/// How long before the thaw the calls are sent, in milliseconds. They wait in the kernel and are
/// the first that the process sees. Callers time out after 1 s.
const BEFORE_THAW_MS: u64 = 300;
/// Number of callers that call a node as it thaws.
const CALLERS: usize = 8;
/// Number of short freezes, which end when the other nodes have just elected another leader.
const SHORT_FREEZES: usize = 2;
/// How long a leader has led before an evacuation is commanded, in milliseconds.
const LED_MS: u64 = 3200;
/// A zone that no machine of the fleet is in.
const ZONE: u8 = 12;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    for _ in 0..2 {
        run.change(3).await?;
    }
    let long_freeze_s = match run.options.pace {
        Pace::Short => SHORT_FREEZE_S,
        Pace::Full => FREEZE_S,
    };
    freeze(run, Duration::from_secs(long_freeze_s)).await?;
    let short_freezes = match run.options.pace {
        Pace::Short => 1,
        Pace::Full => SHORT_FREEZES,
    };
    for _ in 0..short_freezes {
        freeze(run, Duration::ZERO).await?;
    }
    evacuation(run).await?;
    run.read_back().await;
    Ok(())
}

/// Freezes the leader for the given time, and at least until another node leads. Makes changes
/// meanwhile, and calls the frozen node as it thaws.
async fn freeze(run: &mut Run, length: Duration) -> Result<(), ScenarioError> {
    let leader = run
        .fleet
        .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
        .await?;
    let old_base = run.current;
    let old_command = run
        .record
        .history()
        .commands
        .iter()
        .rposition(|c| c.version == old_base);
    let control_address = run.fleet.control_address(leader);
    let callers: Vec<Operator> = (0..CALLERS).map(|_| run.caller()).collect();
    if length.is_zero() {
        // Open connections are served first after a short freeze. After a long one they are closed
        // as idle instead.
        join_all(
            callers
                .iter()
                .map(|c| c.send_once(Operation::Read, control_address)),
        )
        .await;
    }
    run.fleet.node(leader)?.freeze()?;
    let frozen_at = Instant::now();
    run.log_progress(format!(
        "node {leader}, the leader, is frozen at version {old_base}"
    ));
    let first = run.change(3).await?;
    let next = run
        .fleet
        .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
        .await?;
    run.log_progress(format!(
        "first change after the freeze acknowledged after {first} ms, node {next} leads"
    ));
    let mut changes = 1;
    while frozen_at.elapsed() + Duration::from_millis(BEFORE_THAW_MS) < length {
        run.change(3).await?;
        changes += 1;
        pause(400).await;
    }
    run.log_progress(format!(
        "{changes} changes without it, version {} in force",
        run.current
    ));
    thaw(run, leader, callers, (old_base, old_command)).await
}

/// Thaws a node that still considers `old_base`, set by command `old`, to be current, while calls
/// of these callers are waiting.
async fn thaw(
    run: &mut Run,
    leader: u8,
    callers: Vec<Operator>,
    (old_base, old): (u64, Option<usize>),
) -> Result<(), ScenarioError> {
    // The calls are a valid command, one based on the version that the frozen node considers
    // current, one that was accepted long ago, and reads.
    let valid = run.next_command("a", 3);
    let stale = {
        let version = run.version_of(valid) + 1;
        run.next = version + 1;
        let body = crate::orders::configuration(version, "late", 3);
        run.record.command(old_base, version, body)
    };
    let control_address = run.fleet.control_address(leader);
    let mut operations = vec![
        Operation::Read,
        Operation::Replace(valid),
        Operation::Replace(stale),
    ];
    operations.extend(old.map(Operation::Replace));
    operations.extend([
        Operation::Replace(valid),
        Operation::Read,
        Operation::Replace(valid),
        Operation::Read,
    ]);
    let calls = callers.into_iter().zip(operations).map(|(caller, operation)| {
        actix_rt::spawn(async move {
            let answer = caller.send_once(operation.clone(), control_address).await;
            (operation, answer)
        })
    });
    let calls: Vec<_> = calls.collect();
    pause(BEFORE_THAW_MS).await;
    run.fleet.node(leader)?.thaw()?;
    run.log_progress(format!(
        "node {leader} is thawed with {} calls waiting",
        calls.len()
    ));
    for done in join_all(calls).await.into_iter().flatten() {
        let (operation, answer) = done;
        run.log_progress(format!("  {}: {}", describe(run, &operation), summarize(&answer)));
    }
    // Keeps reading right after the thaw.
    let deadline = Instant::now() + Duration::from_millis(800);
    while Instant::now() < deadline {
        run.operator.send_once(Operation::Read, control_address).await;
        pause(20).await;
    }
    let answer = run.send(valid, Duration::from_secs(COMMAND_TIMEOUT_S)).await;
    if !matches!(answer, Answer::Success(_)) {
        run.report_violation(format!(
            "the valid command was not accepted after the thaw: {answer:?}"
        ));
        return Err("a valid command was not accepted".into());
    }
    Ok(())
}

/// Begins an evacuation at a leader, finishes it through another node while that leader is frozen,
/// and begins it again at the thawed leader. An acknowledgement must mean that the evacuation is in
/// force.
async fn evacuation(run: &mut Run) -> Result<(), ScenarioError> {
    let zone = zone(ZONE);
    let command = |begin| Operation::Evacuate {
        zone: zone.clone(),
        begin,
    };
    let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
    if run.options.pace == Pace::Full {
        // A leader that has led for some time may recognise a command as one sent again.
        pause(LED_MS).await;
    }
    let leader = run.fleet.wait_for_leader(timeout).await?;
    let control_address = run.fleet.control_address(leader);
    let begun = run
        .operator
        .retry_until_definite(command(true), &[control_address], timeout)
        .await;
    let caller = run.caller();
    caller.send_once(Operation::Read, control_address).await;
    run.fleet.node(leader)?.freeze()?;
    let frozen_at = Instant::now();
    let next = run.fleet.wait_for_leader(timeout).await?;
    let other_addresses = [run.fleet.control_address(next)];
    let finished = run
        .operator
        .retry_until_definite(command(false), &other_addresses, timeout)
        .await;
    run.log_progress(format!(
        "evacuation begun: {}; leader {leader} frozen; finished: {} after {} ms",
        summarize(&begun),
        summarize(&finished),
        frozen_at.elapsed().as_millis()
    ));
    let begin_again = command(true);
    let waiting = actix_rt::spawn(async move { caller.send_once(begin_again, control_address).await });
    pause(BEFORE_THAW_MS).await;
    run.fleet.node(leader)?.thaw()?;
    let answer = waiting.await.map_err(|e| e.to_string())?;
    let in_force = run.is_evacuated(&zone).await;
    run.log_progress(format!(
        "begun again at the thawed node: {}; in force: {in_force:?}",
        summarize(&answer)
    ));
    if matches!(answer, Answer::Success(_)) && in_force == Some(false) {
        run.report_violation(
            "an evacuation was acknowledged by a leader that had been frozen, and is not in force",
        );
    }
    let last = run
        .operator
        .retry_until_definite(command(false), &run.fleet.running_control_addresses(), timeout)
        .await;
    if !matches!(last, Answer::Success(_)) {
        run.report_violation(format!("finishing an evacuation was not acknowledged: {last:?}"));
    }
    Ok(())
}

fn describe(run: &Run, operation: &Operation) -> String {
    match operation {
        Operation::Replace(n) => {
            let command = &run.record.history().commands[*n];
            format!("command of version {} on {}", command.version, command.base)
        }
        other => format!("{other:?}").to_lowercase(),
    }
}

fn summarize(answer: &Answer) -> String {
    match answer {
        Answer::Success(body) => format!("200, {} bytes", body.len()),
        Answer::Refused(status, text) => format!("{status} {text}"),
        Answer::Indeterminate(text) => format!("indeterminate, {text}"),
    }
}
