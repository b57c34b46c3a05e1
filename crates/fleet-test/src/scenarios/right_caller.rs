//! Many concurrent calls go through nodes that do not lead, while leaders and those nodes
//! themselves end and return. Each caller must get the answer to its own call.

use super::{pause, Pace, Run, COMMAND_TIMEOUT_S};
use crate::checker::{Answer, Operation};
use crate::operator::{ControlAddress, Operator};
use crate::orders;
use crate::settings::zone;
use crate::ScenarioError;
use futures_util::future::join_all;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Number of callers at work while leaders are killed.
const CALLERS: usize = 8;
/// Number of leaders killed, one after the other.
const KILLS: usize = 3;
const SHORT_KILLS: usize = 1;
/// Number of restarts of a node with calls in progress.
const RESTARTS: usize = 4;
/// Zones that no machine of the fleet is in, one command each.
const ZONES: std::ops::Range<u8> = 20..80;
/// Delay between two commands through a node that is about to end, in milliseconds. All of them are
/// sent before the first answer comes.
const COMMAND_INTERVAL_MS: u64 = 6;
/// Number of reads through the restarted node, and the delay between two reads in milliseconds.
const READS: usize = 150;
const READ_INTERVAL_MS: u64 = 2;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.start_system().await?;
    for _ in 0..2 {
        run.change(20).await?;
    }
    let (kills, restarts) = match run.options.pace {
        Pace::Short => (SHORT_KILLS, 2),
        Pace::Full => (KILLS, RESTARTS),
    };
    for n in 0..restarts {
        restart_under_calls(run, n).await?;
    }
    let stop = Rc::new(Cell::new(false));
    let control_addresses = run.fleet.control_addresses();
    let callers = (0..CALLERS).map(|n| {
        let (caller, stop, control_addresses) = (run.caller(), stop.clone(), control_addresses.clone());
        actix_rt::spawn(async move { make_calls(&caller, n, &control_addresses, &stop).await })
    });
    let callers: Vec<_> = callers.collect();
    for _ in 0..kills {
        run.change(20).await?;
        let leader = run
            .fleet
            .wait_for_leader(Duration::from_secs(COMMAND_TIMEOUT_S))
            .await?;
        run.fleet.node(leader)?.kill();
        run.log_progress(format!(
            "node {leader}, the leader, is killed while {CALLERS} callers are active"
        ));
        pause(300).await;
        run.fleet.restart(leader)?;
        run.change(20).await?;
        pause(500).await;
    }
    stop.set(true);
    let answered: usize = join_all(callers).await.into_iter().flatten().sum();
    run.log_progress(format!("{answered} of their calls had a definite answer"));
    run.read_back().await;
    Ok(())
}

/// Makes calls of every kind, each through the next node.
async fn make_calls(
    caller: &Operator,
    number: usize,
    control_addresses: &[ControlAddress],
    stop: &Cell<bool>,
) -> usize {
    let mut answered = 0;
    let mut turn = number;
    while !stop.get() {
        let control_address = control_addresses[turn % control_addresses.len()];
        let answer = if number.is_multiple_of(2) {
            let operation = if turn.is_multiple_of(3) {
                Operation::Status
            } else {
                Operation::Read
            };
            caller.send_once(operation, control_address).await
        } else {
            let mark = format!("bad-{number}-{turn}");
            let body = orders::invalid(1_000_000, &mark);
            caller
                .send_once_with_body(Operation::Invalid(mark), body, control_address)
                .await
        };
        answered += usize::from(!matches!(answer, Answer::Indeterminate(_)));
        turn += 1;
        pause(10).await;
    }
    answered
}

/// Kills a node with commands in progress whose answers are slow, and sends other calls to its next
/// process. Late answers must not reach the new callers.
async fn restart_under_calls(run: &mut Run, n: usize) -> Result<(), ScenarioError> {
    let timeout = Duration::from_secs(COMMAND_TIMEOUT_S);
    let leader = run.fleet.wait_for_leader(timeout).await?;
    let forwarder = (1..=5).filter(|n| *n != leader).nth(n % 4).unwrap_or(1);
    // Starts a process that has made no calls yet.
    run.fleet.node(forwarder)?.kill();
    run.fleet.restart(forwarder)?;
    let control_address = run.fleet.control_address(forwarder);
    run.operator
        .retry_until_definite(Operation::Read, &[control_address], timeout)
        .await;
    // Acknowledgements wait some time for a node that was in contact.
    let diskless = run.fleet.nodes.iter().find(|n| !n.has_disk).map(|n| n.number);
    let diskless = diskless.ok_or("the fleet has no node without a disk")?;
    run.fleet.node(diskless)?.freeze()?;
    let begin = n.is_multiple_of(2);
    let evacuate = |number| Operation::Evacuate {
        zone: zone(number),
        begin,
    };
    let mut pending_calls = Vec::new();
    for number in ZONES {
        let (caller, operation) = (run.caller(), evacuate(number));
        pending_calls.push(actix_rt::spawn(async move {
            caller.send_once(operation, control_address).await
        }));
        pause(COMMAND_INTERVAL_MS).await;
    }
    run.fleet.node(forwarder)?.kill();
    run.fleet.restart(forwarder)?;
    // The calls of the next process come faster than the late answers to the calls of the last one.
    let mut reads = Vec::new();
    for _ in 0..READS {
        let caller = run.caller();
        reads.push(actix_rt::spawn(async move {
            // The process needs some time until it listens.
            for _ in 0..100 {
                match caller.send_once(Operation::Read, control_address).await {
                    Answer::Indeterminate(_) => pause(10).await,
                    definite => return matches!(definite, Answer::Success(_)),
                }
            }
            false
        }));
        pause(READ_INTERVAL_MS).await;
    }
    let answered_reads = join_all(reads)
        .await
        .into_iter()
        .flatten()
        .filter(|succeeded| *succeeded)
        .count();
    join_all(pending_calls).await;
    run.fleet.node(diskless)?.thaw()?;
    run.log_progress(format!(
        "node {forwarder} restarted with {} commands in progress; its next process answered {answered_reads} reads",
        ZONES.len()
    ));
    Ok(())
}
