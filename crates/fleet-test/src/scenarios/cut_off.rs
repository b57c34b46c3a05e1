//! A leader that hears nothing for long, and is asked as soon as it is back: it
//! refuses, confirms and shows nothing by old state.

use super::{pause, Pace, Run, CLEAR_S};
use crate::checker::{Answer, Asked};
use crate::operator::Operator;
use crate::settings::zone;
use crate::ScenarioError;
use futures_util::future::join_all;
use std::time::{Duration, Instant};

/// Length of the long freeze, s.
const FREEZE_S: u64 = 20;
const SHORT_FREEZE_S: u64 = 6;
/// How long before the thaw calls are sent, ms: they wait in the kernel, and
/// are the first that the process sees. Callers bear a second of silence.
const BEFORE_THAW_MS: u64 = 300;
/// Callers that ask a node as it thaws.
const CALLERS: usize = 8;
/// Short freezes, in which the others have just elected another leader.
const SHORT_FREEZES: usize = 2;
/// Time for which a leader has led before an evacuation is ordered, ms.
const LED_MS: u64 = 3200;
/// A zone that no machine of the fleet is in.
const ZONE: u8 = 12;

/// Runs the scenario.
pub async fn execute(run: &mut Run) -> Result<(), ScenarioError> {
    run.open().await?;
    for _ in 0..2 {
        run.change(3).await?;
    }
    let long = match run.options.pace {
        Pace::Short => SHORT_FREEZE_S,
        Pace::Full => FREEZE_S,
    };
    freeze(run, Duration::from_secs(long)).await?;
    let again = match run.options.pace {
        Pace::Short => 1,
        Pace::Full => SHORT_FREEZES,
    };
    for _ in 0..again {
        freeze(run, Duration::ZERO).await?;
    }
    evacuation(run).await?;
    run.read_back().await;
    Ok(())
}

/// Freezes the leader for a time, at least until another leads, makes changes
/// meanwhile, and asks it as it thaws.
async fn freeze(run: &mut Run, length: Duration) -> Result<(), ScenarioError> {
    let leader = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
    let old_base = run.current;
    let old_order = run
        .record
        .history()
        .orders
        .iter()
        .rposition(|o| o.version == old_base);
    let control_address = run.fleet.control_address(leader);
    let callers: Vec<Operator> = (0..CALLERS).map(|_| run.caller()).collect();
    if length.is_zero() {
        // Connections that stand already are served first after a thaw; after a
        // long one they are closed as idle instead.
        join_all(callers.iter().map(|c| c.ask(Asked::Read, control_address))).await;
    }
    run.fleet.node(leader)?.freeze()?;
    let frozen = Instant::now();
    run.say(format!(
        "node {leader}, the leader, is frozen at version {old_base}"
    ));
    let first = run.change(3).await?;
    let next = run.fleet.wait_for_leader(Duration::from_secs(CLEAR_S)).await?;
    run.say(format!(
        "first change after the freeze acknowledged after {first} ms, node {next} leads"
    ));
    let mut changes = 1;
    while frozen.elapsed() + Duration::from_millis(BEFORE_THAW_MS) < length {
        run.change(3).await?;
        changes += 1;
        pause(400).await;
    }
    run.say(format!(
        "{changes} changes past it, version {} in force",
        run.current
    ));
    thaw(run, leader, callers, (old_base, old_order)).await
}

/// Thaws a node that took this version for current, by this order, with calls
/// of these callers waiting.
async fn thaw(
    run: &mut Run,
    leader: u8,
    callers: Vec<Operator>,
    (old_base, old): (u64, Option<usize>),
) -> Result<(), ScenarioError> {
    // A proper order, one that rests on what the frozen node takes for current,
    // one that was taken long ago, and reads.
    let proper = run.next_order("a", 3);
    let stale = {
        let version = run.version_of(proper) + 1;
        run.next = version + 1;
        let body = crate::orders::configuration(version, "late", 3);
        run.record.order(old_base, version, body)
    };
    let control_address = run.fleet.control_address(leader);
    let mut asked = vec![Asked::Read, Asked::Replace(proper), Asked::Replace(stale)];
    asked.extend(old.map(Asked::Replace));
    asked.extend([
        Asked::Replace(proper),
        Asked::Read,
        Asked::Replace(proper),
        Asked::Read,
    ]);
    let calls = callers.into_iter().zip(asked).map(|(caller, asked)| {
        actix_rt::spawn(async move {
            let answer = caller.ask(asked.clone(), control_address).await;
            (asked, answer)
        })
    });
    let calls: Vec<_> = calls.collect();
    pause(BEFORE_THAW_MS).await;
    run.fleet.node(leader)?.thaw()?;
    run.say(format!(
        "node {leader} is thawed with {} calls waiting",
        calls.len()
    ));
    for done in join_all(calls).await.into_iter().flatten() {
        let (asked, answer) = done;
        run.say(format!("  {}: {}", name(run, &asked), short(&answer)));
    }
    // And at once after it.
    let until = Instant::now() + Duration::from_millis(800);
    while Instant::now() < until {
        run.operator.ask(Asked::Read, control_address).await;
        pause(20).await;
    }
    let answer = run.send(proper, Duration::from_secs(CLEAR_S)).await;
    if !matches!(answer, Answer::Good(_)) {
        run.broken(format!(
            "the proper order was not taken after the thaw: {answer:?}"
        ));
        return Err("a proper order was not taken".into());
    }
    Ok(())
}

/// An evacuation that a node took, that was taken back while it was frozen, and
/// that it is asked for again: its confirmation must mean that it is in force.
async fn evacuation(run: &mut Run) -> Result<(), ScenarioError> {
    let zone = zone(ZONE);
    let order = |begin| Asked::Evacuate {
        zone: zone.clone(),
        begin,
    };
    let within = Duration::from_secs(CLEAR_S);
    if run.options.pace == Pace::Full {
        // A leader of some age may know an order for one sent again.
        pause(LED_MS).await;
    }
    let leader = run.fleet.wait_for_leader(within).await?;
    let control_address = run.fleet.control_address(leader);
    let begun = run.operator.settle(order(true), &[control_address], within).await;
    let caller = run.caller();
    caller.ask(Asked::Read, control_address).await;
    run.fleet.node(leader)?.freeze()?;
    let frozen = Instant::now();
    let next = run.fleet.wait_for_leader(within).await?;
    let others = [run.fleet.control_address(next)];
    let finished = run.operator.settle(order(false), &others, within).await;
    run.say(format!(
        "evacuation begun: {}; leader {leader} frozen; taken back: {} after {} ms",
        short(&begun),
        short(&finished),
        frozen.elapsed().as_millis()
    ));
    let again = order(true);
    let waiting = actix_rt::spawn(async move { caller.ask(again, control_address).await });
    pause(BEFORE_THAW_MS).await;
    run.fleet.node(leader)?.thaw()?;
    let answer = waiting.await.map_err(|e| e.to_string())?;
    let in_force = run.is_evacuated(&zone).await;
    run.say(format!(
        "begun again at the thawed node: {}; in force: {in_force:?}",
        short(&answer)
    ));
    if matches!(answer, Answer::Good(_)) && in_force == Some(false) {
        run.broken("an evacuation was confirmed by a leader that had been frozen, and is not in force");
    }
    let last = run
        .operator
        .settle(order(false), &run.fleet.running(), within)
        .await;
    if !matches!(last, Answer::Good(_)) {
        run.broken(format!(
            "taking an evacuation back has no acknowledgement: {last:?}"
        ));
    }
    Ok(())
}

fn name(run: &Run, asked: &Asked) -> String {
    match asked {
        Asked::Replace(n) => {
            let order = &run.record.history().orders[*n];
            format!("order of {} on {}", order.version, order.base)
        }
        other => format!("{other:?}").to_lowercase(),
    }
}

fn short(answer: &Answer) -> String {
    match answer {
        Answer::Good(body) => format!("200, {} bytes", body.len()),
        Answer::Refused(status, text) => format!("{status} {text}"),
        Answer::Unclear(text) => format!("unclear, {text}"),
    }
}
