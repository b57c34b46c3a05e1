//! Many calls at once through nodes that do not lead, while leaders and those
//! nodes themselves end and return: each caller gets the answer to its own call.

use super::{pause, Pace, Run, CLEAR_S};
use crate::checker::{Answer, Asked};
use crate::operator::{ControlAddress, Operator};
use crate::orders;
use crate::settings::zone;
use crate::ScenarioError;
use futures_util::future::join_all;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Callers at work while leaders are killed.
const CALLERS: usize = 8;
/// Leaders killed one after the other.
const KILLS: usize = 3;
const SHORT_KILLS: usize = 1;
/// Restarts of a node with calls under way.
const RESTARTS: usize = 4;
/// Zones that no machine of the fleet is in, one order each.
const ZONES: std::ops::Range<u8> = 20..80;
/// Pause between two orders through a node that is about to end, ms: all of them
/// are sent before the first answer comes.
const ORDER_EVERY_MS: u64 = 6;
/// Reads through the node's next life, and the pause between two, ms.
const READS: usize = 150;
const READ_EVERY_MS: u64 = 2;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.open().await?;
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
        actix_rt::spawn(async move { work(&caller, n, &control_addresses, &stop).await })
    });
    let callers: Vec<_> = callers.collect();
    for _ in 0..kills {
        run.change(20).await?;
        let leader = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
        run.fleet.node(leader)?.kill();
        run.say(format!(
            "node {leader}, the leader, is killed under {CALLERS} callers"
        ));
        pause(300).await;
        run.fleet.restart(leader)?;
        run.change(20).await?;
        pause(500).await;
    }
    stop.set(true);
    let answered: usize = join_all(callers).await.into_iter().flatten().sum();
    run.say(format!("{answered} of their calls had a clear answer"));
    run.read_back().await;
    Ok(())
}

/// Calls of every kind, each through the next node.
async fn work(
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
            let asked = if turn.is_multiple_of(3) {
                Asked::Status
            } else {
                Asked::Read
            };
            caller.ask(asked, control_address).await
        } else {
            let mark = format!("bad-{number}-{turn}");
            let body = orders::invalid(1_000_000, &mark);
            caller.ask_with(Asked::Invalid(mark), body, control_address).await
        };
        answered += usize::from(!matches!(answer, Answer::Unclear(_)));
        turn += 1;
        pause(10).await;
    }
    answered
}

/// Kills a node with orders under way whose answers are slow, and asks its next
/// life something else: late answers must not reach the new callers.
async fn restart_under_calls(run: &mut Run, n: usize) -> Result<(), ScenarioError> {
    let within = Duration::from_secs(CLEAR_S);
    let leader = run.fleet.wait_for_leader(within).await?;
    let through = (1..=5).filter(|n| *n != leader).nth(n % 4).unwrap_or(1);
    // A life that has made no calls yet.
    run.fleet.node(through)?.kill();
    run.fleet.restart(through)?;
    let control_address = run.fleet.control_address(through);
    run.operator.settle(Asked::Read, &[control_address], within).await;
    // Acknowledgements wait a while for a node that was in contact.
    let edge = run.fleet.nodes.iter().find(|n| !n.has_disk).map(|n| n.number);
    let edge = edge.ok_or("no node without a disk")?;
    run.fleet.node(edge)?.freeze()?;
    let begin = n.is_multiple_of(2);
    let evacuate = |number| Asked::Evacuate {
        zone: zone(number),
        begin,
    };
    let mut under_way = Vec::new();
    for number in ZONES {
        let (caller, asked) = (run.caller(), evacuate(number));
        under_way.push(actix_rt::spawn(async move {
            caller.ask(asked, control_address).await
        }));
        pause(ORDER_EVERY_MS).await;
    }
    run.fleet.node(through)?.kill();
    run.fleet.restart(through)?;
    // The next life's calls come faster than the late answers to the last one's.
    let mut reads = Vec::new();
    for _ in 0..READS {
        let caller = run.caller();
        reads.push(actix_rt::spawn(async move {
            // The process needs a moment until it listens.
            for _ in 0..100 {
                match caller.ask(Asked::Read, control_address).await {
                    Answer::Unclear(_) => pause(10).await,
                    clear => return matches!(clear, Answer::Good(_)),
                }
            }
            false
        }));
        pause(READ_EVERY_MS).await;
    }
    let read = join_all(reads)
        .await
        .into_iter()
        .flatten()
        .filter(|good| *good)
        .count();
    join_all(under_way).await;
    run.fleet.node(edge)?.thaw()?;
    run.say(format!(
        "node {through} restarted with {} orders under way; {read} reads of its next life were answered",
        ZONES.len()
    ));
    Ok(())
}
