//! Checks the configuration as a compare-and-set register.

use super::{Check, Evidence};
use crate::history::{Content, Observation, Request};
use std::collections::{BTreeMap, BTreeSet};

/// Status codes of an accepted command, of one whose base is not in force, and of an invalid
/// one.
const OK: u16 = 200;
const PRECONDITION_FAILED: u16 = 412;
const BAD_REQUEST: u16 = 400;

/// What is known about one command, over all its attempts and all operators that sent an equal
/// one.
struct KnownCommand {
    numbers: BTreeSet<u64>,
    valid: bool,
    /// Time of the first attempt, ms: the command cannot have taken effect earlier.
    first_sent: u64,
    /// Time by which the command had taken effect, ms: it was acknowledged, read, or seen in a
    /// replica.
    in_force: Option<u64>,
    acknowledged: Option<u64>,
    /// Refused attempts: time sent, time at which the reply was received, status.
    refused: Vec<(u64, u64, u16)>,
}

/// A read that was answered.
struct Read {
    sent: u64,
    replied_at: u64,
    /// `None` if there was no configuration yet.
    content: Option<Content>,
}

/// A command of the chain, and the interval in which it took effect.
#[derive(Clone, Copy, Debug)]
struct Link {
    content: Content,
    from: u64,
    to: u64,
}

pub(super) fn check(evidence: &mut Evidence) {
    let mut known_commands = known_commands(evidence);
    let reads = reads(evidence, &mut known_commands);
    check_replicas(evidence, &mut known_commands);
    check_single_commands(evidence, &known_commands);
    check_stale_reads(evidence, &known_commands, &reads);
    let Some(chain) = chain(evidence, &known_commands) else {
        return;
    };
    check_intervals(evidence, &known_commands, &reads, chain);
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
        let Some((at, reply)) = &a.reply else { continue };
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
        let (Request::Read, Some((replied_at, reply))) = (&a.request, &a.reply) else {
            continue;
        };
        let content = match (reply.status, reply.read) {
            (200, Some((version, digest))) => {
                // If the same body was sent on two bases, the one in force is meant.
                let matches_read = |c: &&Content| c.version == version && c.digest == digest;
                let candidate = known_commands
                    .keys()
                    .filter(matches_read)
                    .max_by_key(|c| known_commands[c].in_force.is_some());
                let Some(content) = candidate.copied() else {
                    unknown.push((
                        *replied_at,
                        format!("attempt {number} reads version {version} with a body that no operator sent"),
                    ));
                    continue;
                };
                if let Some(command) = known_commands.get_mut(&content) {
                    command.in_force = earlier(command.in_force, *replied_at);
                }
                Some(content)
            }
            (404, _) => None,
            _ => continue,
        };
        reads.push(Read {
            sent: a.sent,
            replied_at: *replied_at,
            content,
        });
    }
    for (at, what) in unknown {
        evidence.fail(Check::UnknownInForce, at, what);
    }
    reads
}

/// Records the configurations that replicas show to be in force, and reports unknown ones.
fn check_replicas(evidence: &mut Evidence, known_commands: &mut BTreeMap<Content, KnownCommand>) {
    for event in evidence.events {
        let Observation::Applied { replica, .. } = &event.observation else {
            continue;
        };
        let Some(content) = replica.content else { continue };
        match known_commands.get_mut(&content) {
            Some(command) => command.in_force = earlier(command.in_force, event.at),
            None => {
                let what = format!("{} has version {content}, which no operator sent", event.observer);
                evidence.fail(Check::UnknownInForce, event.at, what);
            }
        }
    }
}

/// Checks each command by itself, and that no two commands with the same base were accepted.
fn check_single_commands(evidence: &mut Evidence, known_commands: &BTreeMap<Content, KnownCommand>) {
    let mut on_base: BTreeMap<u64, (Content, u64)> = BTreeMap::new();
    for (content, command) in known_commands {
        let refused = command.refused.first();
        if let (Some(since), Some((_, replied_at, status))) = (command.in_force, refused) {
            let (check, at) = match command
                .refused
                .iter()
                .find(|(_, replied_at, _)| *replied_at >= since)
            {
                Some((_, replied_at, _)) => (Check::TakenRefused, *replied_at),
                None => (Check::RefusedInForce, since),
            };
            let what =
                format!("version {content}: in force by {since}, refused with {status} at {replied_at}");
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
            let what = format!("versions {other} and {content} were both accepted");
            evidence.fail(Check::TwoForOneBase, since.max(before), what);
        }
    }
}

/// Checks that reads return every change that was acknowledged before they were sent. Versions
/// rise along the chain, so a lower version is an older one.
fn check_stale_reads(
    evidence: &mut Evidence,
    known_commands: &BTreeMap<Content, KnownCommand>,
    reads: &[Read],
) {
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
        let found_later = reads
            .iter()
            .any(|r| r.replied_at > read.replied_at && version(r) >= newest);
        let check = if found_later {
            Check::StaleRead
        } else {
            Check::LostAfterAck
        };
        let what = format!(
            "a read sent at {} returned version {}, but {newest} had been acknowledged",
            read.sent,
            version(read)
        );
        evidence.fail(check, read.replied_at, what);
    }
}

/// Returns the accepted commands from the first on, including those without a definite reply
/// that must have been accepted because others build on them.
fn chain(evidence: &mut Evidence, known_commands: &BTreeMap<Content, KnownCommand>) -> Option<Vec<Link>> {
    let mut accepted: BTreeMap<u64, Content> = BTreeMap::new();
    for (content, _) in known_commands.iter().filter(|(_, o)| o.in_force.is_some()) {
        accepted.insert(content.version, *content);
    }
    let mut unchecked: Vec<Content> = accepted.values().copied().collect();
    while let Some(content) = unchecked.pop() {
        if content.base == 0 || accepted.contains_key(&content.base) {
            continue;
        }
        let unanswered = known_commands
            .iter()
            .filter(|(c, o)| c.version == content.base && o.valid && o.refused.is_empty());
        // Of several candidates, the one sent first constrains the interval least.
        let Some((before, _)) = unanswered.min_by_key(|(_, o)| o.first_sent) else {
            let at = known_commands[&content].in_force.unwrap_or(0);
            let what = format!("version {content} was accepted, but its base never was");
            evidence.fail(Check::Register, at, what);
            return None;
        };
        accepted.insert(before.version, *before);
        unchecked.push(*before);
    }
    let mut base = 0;
    let mut links = Vec::new();
    for content in accepted.into_values() {
        if content.base != base {
            let at = known_commands[&content].in_force.unwrap_or(0);
            let what = format!("version {content} was accepted on top of {base}");
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

/// Checks that each command of the chain can have taken effect at some moment.
fn check_intervals(
    evidence: &mut Evidence,
    known_commands: &BTreeMap<Content, KnownCommand>,
    reads: &[Read],
    mut chain: Vec<Link>,
) {
    let position = |chain: &[Link], version: u64| chain.iter().position(|l| l.content.version == version);
    for read in reads {
        // The version read had taken effect when the reply arrived; its successor had not
        // taken effect before the read was sent.
        let next = match read.content {
            None => 0,
            Some(content) => match position(&chain, content.version) {
                Some(i) => {
                    chain[i].to = chain[i].to.min(read.replied_at);
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
        match narrow_by_refusals(evidence, known_commands, &mut chain) {
            Narrowed::Again => {}
            Narrowed::Done => return,
        }
    }
}

enum Narrowed {
    Again,
    Done,
}

/// Narrows the intervals by the commands refused with 412: at some moment of each refused
/// attempt the base of the command was not yet, or no longer, in force.
fn narrow_by_refusals(
    evidence: &mut Evidence,
    known_commands: &BTreeMap<Content, KnownCommand>,
    chain: &mut Vec<Link>,
) -> Narrowed {
    let mut again = false;
    for (content, command) in known_commands {
        for (sent, replied_at, status) in &command.refused {
            if *status != PRECONDITION_FAILED {
                continue;
            }
            let base = chain.iter().position(|l| l.content.version == content.base);
            let next = match (content.base, base) {
                (0, _) => 0,
                // The base was never in force, or may have taken effect later.
                (_, None) => continue,
                (_, Some(i)) if chain[i].to > *sent => continue,
                (_, Some(i)) => i + 1,
            };
            if let Some(link) = chain.get_mut(next) {
                if link.to > *replied_at {
                    link.to = *replied_at;
                    again = true;
                }
                continue;
            }
            let unanswered: Vec<(&Content, &KnownCommand)> = known_commands
                .iter()
                .filter(|(c, o)| c.base == content.base && o.valid && o.refused.is_empty())
                .filter(|(_, o)| o.first_sent <= *replied_at)
                .collect();
            match unanswered.as_slice() {
                [] => {
                    let what = format!(
                        "version {content} was refused from {sent} to {replied_at}, although its base was in force all that time"
                    );
                    evidence.fail(Check::Register, *replied_at, what);
                }
                [(winner, o)] => {
                    chain.push(Link {
                        content: **winner,
                        from: o.first_sent,
                        to: *replied_at,
                    });
                    again = true;
                }
                // One of several commands took effect; it is not known which.
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
