//! Evacuations: for each zone a count that a begin raises and a finish lowers, not
//! below zero. The nodes saw where in the log each command took effect; that order must
//! explain what the operators heard and what the copies show.
//!
//! On the wire these commands carry nothing that tells one from another that is byte for
//! byte alike. So two alike that follow each other within a time may be counted as one: a
//! begin only if no finish came between, a finish also if a begin did, for a zone that is
//! evacuated too long costs work and one taken back too soon breaks a promise. One that
//! comes again later, or a begin behind a finish, may be counted again. One attempt counts
//! once at the most.

use super::{Attempt, Check, Evidence};
use crate::history::{Event, Observation, Request};
use std::collections::{BTreeMap, BTreeSet};

/// What operators know of one command to begin or to finish an evacuation.
struct KnownCommand {
    zone: String,
    begin: bool,
    sent: u64,
    acknowledged: Option<u64>,
    /// Some copy was changed by it.
    counted: bool,
    attempts: usize,
}

pub(super) fn check(evidence: &mut Evidence, alike_ms: u64) {
    let known_commands = known_commands(evidence);
    acknowledged(evidence, &known_commands);
    order_in_time(evidence, &known_commands);
    copies(evidence, &known_commands, alike_ms);
    totals(evidence, &known_commands);
}

fn known_commands(evidence: &Evidence) -> BTreeMap<u64, KnownCommand> {
    let mut known_commands: BTreeMap<u64, KnownCommand> = BTreeMap::new();
    for a in evidence.attempts.values() {
        let Request::Evacuate { zone, begin } = &a.request else {
            continue;
        };
        let command = known_commands.entry(a.command).or_insert(KnownCommand {
            zone: zone.clone(),
            begin: *begin,
            sent: a.sent,
            acknowledged: None,
            counted: false,
            attempts: 0,
        });
        command.sent = command.sent.min(a.sent);
        command.attempts += 1;
        if let Some((at, reply)) = &a.heard {
            if reply.status == 200 {
                command.acknowledged = Some(command.acknowledged.map_or(*at, |first| first.min(*at)));
            }
        }
    }
    for e in evidence.ready.iter().filter(|e| e.changed) {
        if let Some(command) = known_commands.get_mut(&e.command) {
            command.counted = true;
        }
    }
    known_commands
}

/// What was acknowledged had been applied somewhere by then.
fn acknowledged(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>) {
    for (number, command) in known_commands {
        let Some(at) = command.acknowledged else { continue };
        let mut own = evidence.ready.iter().filter(|e| e.command == *number);
        if !own.any(|e| e.at <= at) {
            let what = format!("order {number} is acknowledged and was applied nowhere");
            evidence.fail(Check::LostAfterAck, at, what);
        }
    }
}

/// Who was acknowledged before another was sent stands before it in the log: where it
/// counted first.
fn order_in_time(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>) {
    let mut found = Vec::new();
    // The latest sending among those that stand before.
    let mut latest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut counted: BTreeSet<u64> = BTreeSet::new();
    for e in &evidence.ready {
        if !counted.insert(e.command) {
            continue;
        }
        let Some(command) = known_commands.get(&e.command) else {
            continue;
        };
        if e.at < command.sent {
            found.push((
                e.at,
                format!("order {} was applied before it was sent", e.command),
            ));
        }
        let (sent, other) = latest.get(command.zone.as_str()).copied().unwrap_or_default();
        if command.acknowledged.is_some_and(|at| at < sent) && e.changed {
            let what = format!(
                "order {} was acknowledged before order {other} was sent, and stands behind it",
                e.command
            );
            found.push((e.at, what));
        }
        if command.sent >= sent {
            latest.insert(&command.zone, (command.sent, e.command));
        }
    }
    for (at, what) in found {
        evidence.fail(Check::Evacuations, at, what);
    }
}

/// When each process of a node first stood at an index, or behind it.
fn first_seen(evidence: &Evidence) -> Vec<BTreeMap<u64, u64>> {
    let mut processes: BTreeMap<(&str, u64), BTreeMap<u64, u64>> = BTreeMap::new();
    for event in evidence.events {
        if let Observation::Applied { process, replica } = &event.observation {
            let times = processes.entry((&event.observer, *process)).or_default();
            times.entry(replica.index).or_insert(event.at);
        }
    }
    processes.into_values().collect()
}

/// Copies show what the commands before their index come to.
fn copies(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>, alike_ms: u64) {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    // After each index with an effect: the counts of all zones.
    let mut after: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
    after.insert(0, counts.clone());
    // The newest order of each kind that counted for each zone: index, when, number.
    let mut newest: BTreeMap<(&str, bool), (u64, u64, u64)> = BTreeMap::new();
    let mut done: BTreeSet<u64> = BTreeSet::new();
    let first_seen = first_seen(evidence);
    let mut found = Vec::new();
    for e in &evidence.ready {
        let Some(command) = known_commands.get(&e.command) else {
            continue;
        };
        let count = counts.entry(command.zone.clone()).or_default();
        let of = |begin| newest.get(&(command.zone.as_str(), begin)).copied();
        let other = of(!command.begin).map_or(0, |(index, _, _)| index);
        let same = of(command.begin);
        let sent = evidence.attempts.get(&e.attempt).map_or(0, |a| a.sent);
        // Whoever led may have seen its like that late.
        let recent = |index: u64| {
            let processes = first_seen
                .iter()
                .filter_map(|process| process.range(index..).next());
            let latest = processes.map(|(_, at)| *at).filter(|at| *at <= e.at).max();
            latest.is_some_and(|at| sent < at + alike_ms)
        };
        let next = same.filter(|(index, _, _)| *index > other);
        let alike = if command.begin { next } else { same };
        let alike = alike.filter(|(index, _, _)| recent(*index));
        let next = next.filter(|(_, at, _)| e.at <= at + alike_ms);
        if !e.changed {
            // What comes again changes nothing, nor does a finish of nothing.
            let again = done.contains(&e.command) || alike.is_some();
            if !again && (command.begin || *count > 0) {
                let what = format!("order {} was applied and changed nothing", e.command);
                found.push((Check::Evacuations, e.at, what));
            }
            // A finish of nothing may have been taken for either.
            if !again || !command.begin && *count == 0 {
                newest.insert((&command.zone, command.begin), (e.index, e.at, e.command));
            }
            // What was taken for its like once is so whenever it comes again.
            done.insert(e.command);
            continue;
        }
        if next.is_some_and(|(_, _, number)| number == e.command) {
            let what = format!("order {} counts again at index {}", e.command, e.index);
            found.push((Check::MoreThanOnce, e.at, what));
        }
        done.insert(e.command);
        newest.insert((&command.zone, command.begin), (e.index, e.at, e.command));
        if command.begin {
            *count += 1;
        } else if *count > 0 {
            *count -= 1;
        } else {
            let what = format!("order {} took back what was not evacuated", e.command);
            found.push((Check::Evacuations, e.at, what));
        }
        counts.retain(|_, n| *n > 0);
        after.insert(e.index, counts.clone());
    }
    for event in evidence.events {
        let Observation::Applied { replica, .. } = &event.observation else {
            continue;
        };
        let expected = after.range(..=replica.index).next_back().map(|(_, c)| c);
        if expected != Some(&replica.evacuated) {
            let what = format!(
                "{} shows {:?} evacuated at index {}, its orders come to {:?}",
                event.observer, replica.evacuated, replica.index, expected
            );
            found.push((Check::Evacuations, event.at, what));
            break;
        }
    }
    for (check, at, what) in found {
        evidence.fail(check, at, what);
    }
}

/// At the end a zone is evacuated if more begins were acknowledged than finishes sent.
fn totals(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>) {
    let mut newest: Option<(u64, u64, BTreeMap<String, u32>)> = None;
    let mut living: BTreeMap<&str, (u64, u64, &BTreeMap<String, u32>)> = BTreeMap::new();
    for event in evidence.events {
        match &event.observation {
            Observation::Applied { replica, .. } => {
                living.insert(&event.observer, (replica.index, event.at, &replica.evacuated));
            }
            Observation::ProcessEnded { .. } => {
                living.remove(event.observer.as_str());
            }
            _ => {}
        }
    }
    for (index, at, evacuated) in living.into_values() {
        if newest.as_ref().is_none_or(|(i, _, _)| *i < index) {
            newest = Some((index, at, evacuated.clone()));
        }
    }
    let Some((_, at, evacuated)) = newest else { return };
    // Before somebody leads again copies may be behind; whether somebody ever does is
    // another check's.
    let ended = |e: &&Event| matches!(e.observation, Observation::ProcessEnded { .. });
    let last = evidence.events.iter().rev().find(ended).map_or(0, |e| e.at);
    let led = |a: &Attempt| {
        a.sent > last
            && a.heard
                .as_ref()
                .is_some_and(|(_, r)| matches!(r.status, 200 | 404 | 412))
    };
    if last > 0 && !evidence.attempts.values().any(led) {
        return;
    }
    let zones: BTreeSet<&String> = known_commands.values().map(|o| &o.zone).collect();
    for zone in zones {
        let of = |begin| {
            known_commands
                .values()
                .filter(move |o| o.zone == *zone && o.begin == begin)
        };
        let counted = |o: &&KnownCommand| o.counted && o.acknowledged.is_some_and(|a| a <= at);
        let begun = of(true).filter(counted).count();
        let count = evacuated.get(zone).copied().unwrap_or(0) as usize;
        let finishes: usize = of(false).map(|o| o.attempts).sum();
        if begun > finishes + count {
            let what =
                format!("{zone}: {begun} begins acknowledged, {finishes} finishes sent, count {count}");
            evidence.fail(Check::LostAfterAck, at, what);
        }
    }
}
