//! The configuration as a register with compare and set.

use super::{Check, Evidence};
use crate::history::{Content, Observation, Request};
use std::collections::{BTreeMap, BTreeSet};

/// Status of a command that was taken, that lost its race, and of an invalid one.
const OK: u16 = 200;
const PRECONDITION_FAILED: u16 = 412;
const BAD_REQUEST: u16 = 400;

/// What is known of one command, over all its attempts and all who sent it alike.
struct KnownCommand {
    numbers: BTreeSet<u64>,
    valid: bool,
    /// Cannot have taken effect before.
    first_sent: u64,
    /// Had taken effect by then: it was acknowledged, read, or seen in a copy.
    in_force: Option<u64>,
    acknowledged: Option<u64>,
    /// Refusals: sent, heard, status.
    refused: Vec<(u64, u64, u16)>,
}

/// One read that was answered.
struct Read {
    sent: u64,
    heard: u64,
    /// `None`: there was no configuration yet.
    content: Option<Content>,
}

/// A command of the chain, and between which times it took effect.
#[derive(Clone, Copy, Debug)]
struct Link {
    content: Content,
    from: u64,
    to: u64,
}

pub(super) fn check(evidence: &mut Evidence) {
    let mut known_commands = known_commands(evidence);
    let reads = reads(evidence, &mut known_commands);
    copies(evidence, &mut known_commands);
    single_orders(evidence, &known_commands);
    missed(evidence, &known_commands, &reads);
    let Some(chain) = chain(evidence, &known_commands) else {
        return;
    };
    intervals(evidence, &known_commands, &reads, chain);
}

fn known_commands(evidence: &Evidence) -> BTreeMap<Content, KnownCommand> {
    let mut known_commands: BTreeMap<Content, KnownCommand> = BTreeMap::new();
    for a in evidence.attempts.values() {
        let Request::Replace { content, valid } = a.request else {
            continue;
        };
        let command = known_commands.entry(content).or_insert(KnownCommand {
            numbers: BTreeSet::new(),
            valid,
            first_sent: a.sent,
            in_force: None,
            acknowledged: None,
            refused: Vec::new(),
        });
        command.numbers.insert(a.command);
        command.first_sent = command.first_sent.min(a.sent);
        let Some((at, reply)) = &a.heard else { continue };
        match reply.status {
            OK => {
                command.in_force = earlier(command.in_force, *at);
                command.acknowledged = earlier(command.acknowledged, *at);
            }
            PRECONDITION_FAILED | BAD_REQUEST => command.refused.push((a.sent, *at, reply.status)),
            _ => {}
        }
    }
    known_commands
}

fn earlier(known: Option<u64>, at: u64) -> Option<u64> {
    Some(known.map_or(at, |k| k.min(at)))
}

fn reads(evidence: &mut Evidence, known_commands: &mut BTreeMap<Content, KnownCommand>) -> Vec<Read> {
    let mut reads = Vec::new();
    let mut unknown = Vec::new();
    for (number, a) in &evidence.attempts {
        let (Request::Read, Some((heard, reply))) = (&a.request, &a.heard) else {
            continue;
        };
        let content = match (reply.status, reply.read) {
            (200, Some((version, digest))) => {
                // Who sent the same body on two bases: the one in force is meant.
                let alike = |c: &&Content| c.version == version && c.digest == digest;
                let best = known_commands
                    .keys()
                    .filter(alike)
                    .max_by_key(|c| known_commands[c].in_force.is_some());
                let Some(content) = best.copied() else {
                    unknown.push((
                        *heard,
                        format!("attempt {number} reads version {version}, which nobody sent so"),
                    ));
                    continue;
                };
                if let Some(command) = known_commands.get_mut(&content) {
                    command.in_force = earlier(command.in_force, *heard);
                }
                Some(content)
            }
            (404, _) => None,
            _ => continue,
        };
        reads.push(Read {
            sent: a.sent,
            heard: *heard,
            content,
        });
    }
    for (at, what) in unknown {
        evidence.fail(Check::UnknownInForce, at, what);
    }
    reads
}

/// What copies show is in force.
fn copies(evidence: &mut Evidence, known_commands: &mut BTreeMap<Content, KnownCommand>) {
    for event in evidence.events {
        let Observation::Applied { replica, .. } = &event.observation else {
            continue;
        };
        let Some(content) = replica.content else { continue };
        match known_commands.get_mut(&content) {
            Some(command) => command.in_force = earlier(command.in_force, event.at),
            None => {
                let what = format!("{} has version {content}, which nobody sent", event.observer);
                evidence.fail(Check::UnknownInForce, event.at, what);
            }
        }
    }
}

/// What must hold of each command for itself, and of two on one base.
fn single_orders(evidence: &mut Evidence, known_commands: &BTreeMap<Content, KnownCommand>) {
    let mut on_base: BTreeMap<u64, (Content, u64)> = BTreeMap::new();
    for (content, command) in known_commands {
        let refused = command.refused.first();
        if let (Some(since), Some((_, heard, status))) = (command.in_force, refused) {
            let (check, at) = match command.refused.iter().find(|(_, heard, _)| *heard >= since) {
                Some((_, heard, _)) => (Check::TakenRefused, *heard),
                None => (Check::RefusedInForce, since),
            };
            let what = format!("version {content}: in force by {since}, refused with {status} at {heard}");
            evidence.fail(check, at, what);
        }
        for (_, at, status) in &command.refused {
            if command.valid && *status == BAD_REQUEST {
                evidence.fail(Check::ValidRefused, *at, format!("version {content} is valid"));
            }
        }
        let Some(since) = command.in_force else { continue };
        if !command.valid {
            evidence.fail(Check::InvalidInForce, since, format!("version {content}"));
        }
        if let Some((other, before)) = on_base.insert(content.base, (*content, since)) {
            let what = format!("versions {other} and {content} were both taken");
            evidence.fail(Check::TwoForOneBase, since.max(before), what);
        }
    }
}

/// Reads that miss what was acknowledged before they were sent. Versions rise along
/// the chain, so a lower one is an older one.
fn missed(evidence: &mut Evidence, known_commands: &BTreeMap<Content, KnownCommand>, reads: &[Read]) {
    let version = |r: &Read| r.content.map_or(0, |c| c.version);
    let acknowledged = |before: u64| {
        let by_then = known_commands
            .iter()
            .filter(|(_, o)| o.acknowledged.is_some_and(|at| at < before));
        by_then.map(|(c, _)| c.version).max().unwrap_or(0)
    };
    for read in reads {
        let newest = acknowledged(read.sent);
        if version(read) >= newest {
            continue;
        }
        let found_later = reads.iter().any(|r| r.heard > read.heard && version(r) >= newest);
        let check = if found_later {
            Check::StaleRead
        } else {
            Check::LostAfterAck
        };
        let what = format!(
            "a read sent at {} finds version {}, {newest} had been acknowledged",
            read.sent,
            version(read)
        );
        evidence.fail(check, read.heard, what);
    }
}

/// Commands that were taken, from the first on, and those without a clear reply that
/// must have been taken since others build on them.
fn chain(evidence: &mut Evidence, known_commands: &BTreeMap<Content, KnownCommand>) -> Option<Vec<Link>> {
    let mut taken: BTreeMap<u64, Content> = BTreeMap::new();
    for (content, _) in known_commands.iter().filter(|(_, o)| o.in_force.is_some()) {
        taken.insert(content.version, *content);
    }
    let mut missing: Vec<Content> = taken.values().copied().collect();
    while let Some(content) = missing.pop() {
        if content.base == 0 || taken.contains_key(&content.base) {
            continue;
        }
        let unclear = known_commands
            .iter()
            .filter(|(c, o)| c.version == content.base && o.valid && o.refused.is_empty());
        // Of several, the one sent first constrains least.
        let Some((before, _)) = unclear.min_by_key(|(_, o)| o.first_sent) else {
            let at = known_commands[&content].in_force.unwrap_or(0);
            let what = format!("version {content} was taken, its base never was");
            evidence.fail(Check::Register, at, what);
            return None;
        };
        taken.insert(before.version, *before);
        missing.push(*before);
    }
    let mut base = 0;
    let mut links = Vec::new();
    for content in taken.into_values() {
        if content.base != base {
            let at = known_commands[&content].in_force.unwrap_or(0);
            let what = format!("version {content} was taken on top of {base}");
            evidence.fail(Check::Register, at, what);
            return None;
        }
        base = content.version;
        let command = &known_commands[&content];
        links.push(Link {
            content,
            from: command.first_sent,
            to: command.in_force.unwrap_or(u64::MAX),
        });
    }
    Some(links)
}

/// Whether each order of the chain can have its moment.
fn intervals(
    evidence: &mut Evidence,
    known_commands: &BTreeMap<Content, KnownCommand>,
    reads: &[Read],
    mut chain: Vec<Link>,
) {
    let position = |chain: &[Link], version: u64| chain.iter().position(|l| l.content.version == version);
    for read in reads {
        // What is read had taken effect by the reply, what follows it had not before
        // the read was sent.
        let next = match read.content {
            None => 0,
            Some(content) => match position(&chain, content.version) {
                Some(i) => {
                    chain[i].to = chain[i].to.min(read.heard);
                    i + 1
                }
                None => continue,
            },
        };
        if let Some(link) = chain.get_mut(next) {
            link.from = link.from.max(read.sent);
        }
    }
    loop {
        for i in 1..chain.len() {
            chain[i].from = chain[i].from.max(chain[i - 1].from);
        }
        for i in (1..chain.len()).rev() {
            chain[i - 1].to = chain[i - 1].to.min(chain[i].to);
        }
        if let Some(link) = chain.iter().find(|l| l.from > l.to) {
            let what = format!(
                "version {} cannot have taken effect at any moment: not before {}, not after {}",
                link.content, link.from, link.to
            );
            evidence.fail(Check::Register, link.to, what);
            return;
        }
        match refusals(evidence, known_commands, &mut chain) {
            Narrowed::Again => {}
            Narrowed::Done => return,
        }
    }
}

enum Narrowed {
    Again,
    Done,
}

/// A command that lost its race found another version than its base: at some moment of
/// each refused attempt the base was not yet, or no longer, in force.
fn refusals(
    evidence: &mut Evidence,
    known_commands: &BTreeMap<Content, KnownCommand>,
    chain: &mut Vec<Link>,
) -> Narrowed {
    let mut again = false;
    for (content, command) in known_commands {
        for (sent, heard, status) in &command.refused {
            if *status != PRECONDITION_FAILED {
                continue;
            }
            let base = chain.iter().position(|l| l.content.version == content.base);
            let next = match (content.base, base) {
                (0, _) => 0,
                // The base was never in force, or may have come later.
                (_, None) => continue,
                (_, Some(i)) if chain[i].to > *sent => continue,
                (_, Some(i)) => i + 1,
            };
            if let Some(link) = chain.get_mut(next) {
                if link.to > *heard {
                    link.to = *heard;
                    again = true;
                }
                continue;
            }
            let unclear: Vec<(&Content, &KnownCommand)> = known_commands
                .iter()
                .filter(|(c, o)| c.base == content.base && o.valid && o.refused.is_empty())
                .filter(|(_, o)| o.first_sent <= *heard)
                .collect();
            match unclear.as_slice() {
                [] => {
                    let what = format!(
                        "version {content} was refused from {sent} to {heard}, its base in force all the while"
                    );
                    evidence.fail(Check::Register, *heard, what);
                }
                [(winner, o)] => {
                    chain.push(Link {
                        content: **winner,
                        from: o.first_sent,
                        to: *heard,
                    });
                    again = true;
                }
                // One of several: nothing more is known.
                _ => {}
            }
        }
    }
    if again {
        Narrowed::Again
    } else {
        Narrowed::Done
    }
}
