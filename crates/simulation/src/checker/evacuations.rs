//! Checks evacuations: each zone has a count that a begin raises and a finish lowers, not
//! below zero. The nodes observed at which log index each command took effect; this order
//! must explain the replies that operators received and the counts that replicas show.
//!
//! On the wire nothing distinguishes two of these commands that are byte for byte equal. So
//! two equal commands that follow each other within a time window may be counted as one: a
//! begin only if no finish came between, a finish also if a begin did, because a zone that
//! is evacuated too long costs work, while ending an evacuation too early breaks a guarantee.
//! Such a finish must not be acknowledged while the zone is evacuated, since it may be new.
//! A command that is repeated later, or a begin after a finish, may be counted again. One
//! attempt counts once at most.

use super::{Attempt, Check, Evidence, Guarantees};
use crate::history::{Event, Observation, Request};
use std::collections::{BTreeMap, BTreeSet};

/// What operators know about one command to begin or to finish an evacuation.
struct KnownCommand {
    zone: String,
    begin: bool,
    sent: u64,
    acknowledged: Option<u64>,
    /// Whether the command changed some replica.
    counted: bool,
    attempts: usize,
}

pub(super) fn check(evidence: &mut Evidence, guarantees: Guarantees) {
    let known_commands = known_commands(evidence);
    check_acknowledged(evidence, &known_commands);
    check_real_time_order(evidence, &known_commands);
    check_replicas(evidence, &known_commands, guarantees);
    check_acknowledged_finishes(evidence, &known_commands);
    check_totals(evidence, &known_commands);
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
        if let Some((at, reply)) = &a.reply {
            if reply.status == 200 {
                command.acknowledged = Some(command.acknowledged.map_or(*at, |first| first.min(*at)));
            }
        }
    }
    for e in evidence.effects.iter().filter(|e| e.changed) {
        if let Some(command) = known_commands.get_mut(&e.command) {
            command.counted = true;
        }
    }
    known_commands
}

/// Checks that every acknowledged command had been applied on some node by then.
fn check_acknowledged(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>) {
    for (number, command) in known_commands {
        let Some(at) = command.acknowledged else { continue };
        let mut effects = evidence.effects.iter().filter(|e| e.command == *number);
        if !effects.any(|e| e.at <= at) {
            let what = format!("command {number} is acknowledged, but no node has applied it");
            evidence.fail(Check::LostAfterAck, at, what);
        }
    }
}

/// Checks that a command acknowledged before another was sent precedes it in the log. The
/// index at which a command was first applied counts.
fn check_real_time_order(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>) {
    let mut found = Vec::new();
    // For each zone, the latest time sent among the commands earlier in the log, and that command.
    let mut latest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut counted: BTreeSet<u64> = BTreeSet::new();
    for e in &evidence.effects {
        if !counted.insert(e.command) {
            continue;
        }
        let Some(command) = known_commands.get(&e.command) else {
            continue;
        };
        if e.at < command.sent {
            found.push((
                e.at,
                format!("command {} was applied before it was sent", e.command),
            ));
        }
        let (sent, other) = latest.get(command.zone.as_str()).copied().unwrap_or_default();
        if command.acknowledged.is_some_and(|at| at < sent) && e.changed {
            let what = format!(
                "command {} was acknowledged before command {other} was sent, but follows it in the log",
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

/// For each process, returns the time at which it was first observed at each applied index, ms.
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

/// Checks that the counts in each replica match the commands up to its index.
fn check_replicas(
    evidence: &mut Evidence,
    known_commands: &BTreeMap<u64, KnownCommand>,
    guarantees: Guarantees,
) {
    let duplicate_window_ms = guarantees.duplicate_window_ms;
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    // The counts of all zones after each index with an effect.
    let mut after: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
    after.insert(0, counts.clone());
    // The newest counted command of each kind for each zone: index, time, number.
    let mut newest: BTreeMap<(&str, bool), (u64, u64, u64)> = BTreeMap::new();
    let mut applied: BTreeSet<u64> = BTreeSet::new();
    let first_seen = first_seen(evidence);
    let mut found = Vec::new();
    for e in &evidence.effects {
        let Some(command) = known_commands.get(&e.command) else {
            continue;
        };
        let count = counts.entry(command.zone.clone()).or_default();
        let newest_of = |begin| newest.get(&(command.zone.as_str(), begin)).copied();
        let other = newest_of(!command.begin).map_or(0, |(index, _, _)| index);
        let same = newest_of(command.begin);
        let sent = evidence.attempts.get(&e.attempt).map_or(0, |a| a.sent);
        // The leader may have seen the equal command as late as the last process did.
        let window_ms = guarantees.repetition_window_ms(command.begin);
        let is_recent = |index: u64| {
            let processes = first_seen
                .iter()
                .filter_map(|process| process.range(index..).next());
            let latest = processes.map(|(_, at)| *at).filter(|at| *at <= e.at).max();
            latest.is_some_and(|at| sent < at + window_ms)
        };
        let next = same.filter(|(index, _, _)| *index > other);
        let duplicate = if command.begin { next } else { same };
        let duplicate = duplicate.filter(|(index, _, _)| is_recent(*index));
        let next = next.filter(|(_, at, _)| e.at <= at + duplicate_window_ms);
        if !e.changed {
            // A repeated command changes nothing, nor does a finish without an evacuation.
            let is_repeated = applied.contains(&e.command) || duplicate.is_some();
            if !is_repeated && (command.begin || *count > 0) {
                let what = format!("command {} was applied and changed nothing", e.command);
                found.push((Check::Evacuations, e.at, what));
            }
            // A finish without an evacuation may have been treated as a repetition or as a new command.
            if !is_repeated || !command.begin && *count == 0 {
                newest.insert((&command.zone, command.begin), (e.index, e.at, e.command));
            }
            // A command that was once treated as a repetition is treated so whenever it is repeated.
            applied.insert(e.command);
            continue;
        }
        if next.is_some_and(|(_, _, number)| number == e.command) {
            let what = format!("command {} counts again at index {}", e.command, e.index);
            found.push((Check::MoreThanOnce, e.at, what));
        }
        applied.insert(e.command);
        newest.insert((&command.zone, command.begin), (e.index, e.at, e.command));
        if command.begin {
            *count += 1;
        } else if *count > 0 {
            *count -= 1;
        } else {
            let what = format!(
                "command {} finished an evacuation that was not in force",
                e.command
            );
            found.push((Check::Evacuations, e.at, what));
        }
        counts.retain(|_, n| *n > 0);
        after.insert(e.index, counts.clone());
    }
    check_counts(evidence, &after);
    for (check, at, what) in found {
        evidence.fail(check, at, what);
    }
}

/// Checks that each replica shows the counts that `after` holds for its index.
fn check_counts(evidence: &mut Evidence, after: &BTreeMap<u64, BTreeMap<String, u32>>) {
    for event in evidence.events {
        let Observation::Applied { replica, .. } = &event.observation else {
            continue;
        };
        let expected = after.range(..=replica.index).next_back().map(|(_, c)| c);
        if expected != Some(&replica.evacuated) {
            let what = format!(
                "{} shows {:?} evacuated at index {}, but the commands up to it give {:?}",
                event.observer, replica.evacuated, replica.index, expected
            );
            evidence.fail(Check::Evacuations, event.at, what);
            break;
        }
    }
}

/// Checks that no finish is acknowledged that changes nothing while its zone is evacuated: what an
/// acknowledged command asks for is in force, or was when the command was first applied. A begin
/// may have followed since.
fn check_acknowledged_finishes(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>) {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let mut fulfilled: BTreeSet<u64> = BTreeSet::new();
    let mut found = Vec::new();
    for e in &evidence.effects {
        let Some(command) = known_commands.get(&e.command) else {
            continue;
        };
        let count = counts.entry(&command.zone).or_default();
        if e.changed || *count == 0 {
            fulfilled.insert(e.command);
        }
        if e.changed {
            *count = if command.begin {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
            continue;
        }
        let attempt = evidence.attempts.get(&e.attempt);
        let reply = attempt.and_then(|a| a.reply.as_ref());
        let is_acknowledged = reply.is_some_and(|(_, reply)| reply.status == 200);
        if is_acknowledged && !command.begin && !fulfilled.contains(&e.command) {
            found.push((e.at, e.command));
        }
    }
    for (at, number) in found {
        let what = format!("command {number} is acknowledged, but the zone stays evacuated");
        evidence.fail(Check::Evacuations, at, what);
    }
}

/// Checks that at the end a zone is evacuated if more begins were acknowledged than finishes sent.
fn check_totals(evidence: &mut Evidence, known_commands: &BTreeMap<u64, KnownCommand>) {
    let mut newest: Option<(u64, u64, BTreeMap<String, u32>)> = None;
    let mut running: BTreeMap<&str, (u64, u64, &BTreeMap<String, u32>)> = BTreeMap::new();
    for event in evidence.events {
        match &event.observation {
            Observation::Applied { replica, .. } => {
                running.insert(&event.observer, (replica.index, event.at, &replica.evacuated));
            }
            Observation::ProcessEnded { .. } => {
                running.remove(event.observer.as_str());
            }
            _ => {}
        }
    }
    for (index, at, evacuated) in running.into_values() {
        if newest.as_ref().is_none_or(|(i, _, _)| *i < index) {
            newest = Some((index, at, evacuated.clone()));
        }
    }
    let Some((_, at, evacuated)) = newest else { return };
    // Replicas may be behind until there is a leader again. Another check covers whether one is
    // ever elected.
    let ended = |e: &&Event| matches!(e.observation, Observation::ProcessEnded { .. });
    let last = evidence.events.iter().rev().find(ended).map_or(0, |e| e.at);
    let shows_leader = |a: &Attempt| {
        a.sent > last
            && a.reply
                .as_ref()
                .is_some_and(|(_, r)| matches!(r.status, 200 | 404 | 412))
    };
    if last > 0 && !evidence.attempts.values().any(shows_leader) {
        return;
    }
    let zones: BTreeSet<&String> = known_commands.values().map(|o| &o.zone).collect();
    for zone in zones {
        let commands_of = |begin| {
            known_commands
                .values()
                .filter(move |o| o.zone == *zone && o.begin == begin)
        };
        let counted = |o: &&KnownCommand| o.counted && o.acknowledged.is_some_and(|a| a <= at);
        let begun = commands_of(true).filter(counted).count();
        let count = evacuated.get(zone).copied().unwrap_or(0) as usize;
        let finishes: usize = commands_of(false).map(|o| o.attempts).sum();
        if begun > finishes + count {
            let what =
                format!("{zone}: {begun} begins acknowledged, {finishes} finishes sent, count {count}");
            evidence.fail(Check::LostAfterAck, at, what);
        }
    }
}
