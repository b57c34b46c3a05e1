//! Checks whether the calls that clients observed are consistent with the rules of the system.
//!
//! The configuration is a compare-and-set register: a command names the version that it is based
//! on. Version numbers increase, so of two states the one with the higher number is the newer one.

use std::collections::{BTreeMap, BTreeSet};

/// A command that replaces the whole configuration, as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    pub base: u64,
    pub version: u64,
    pub body: Vec<u8>,
}

/// The operation that a call requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Sends the command at this index of the history.
    Replace(usize),
    /// Sends a command that is invalid by itself; a refusal must name the mark.
    Invalid(String),
    Read,
    Evacuate {
        zone: String,
        begin: bool,
    },
    Status,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A 200 and its body.
    Success(Vec<u8>),
    /// A 4xx that ends the call, and its text.
    Refused(u16, String),
    /// A 5xx, a 408 or 429, a time-out, or a connection that failed.
    Indeterminate(String),
}

/// One call to one node, with times in µs since the start of the history.
#[derive(Clone, Debug)]
pub struct Call {
    pub operation: Operation,
    /// The node's number.
    pub node: u8,
    pub sent_at_us: u64,
    pub ended_at_us: u64,
    pub answer: Answer,
}

/// The commands and calls that clients of `control` observed.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub commands: Vec<Command>,
    pub calls: Vec<Call>,
}

impl History {
    fn replacements(&self) -> impl Iterator<Item = (usize, &Command, &Call)> {
        self.calls.iter().filter_map(|c| match c.operation {
            Operation::Replace(n) => Some((n, self.commands.get(n)?, c)),
            _ => None,
        })
    }

    /// Returns when each command was first acknowledged, in µs, by its index.
    fn acknowledged(&self) -> BTreeMap<usize, u64> {
        let mut first = BTreeMap::new();
        for (n, _, call) in self.replacements() {
            if matches!(call.answer, Answer::Success(_)) {
                let at = first.entry(n).or_insert(call.ended_at_us);
                *at = call.ended_at_us.min(*at);
            }
        }
        first
    }

    /// Returns the successful reads, each with the index of the command whose configuration equals
    /// the answer byte for byte.
    fn successful_reads(&self) -> Vec<(&Call, Option<usize>)> {
        let reads = self.calls.iter().filter_map(|c| match (&c.operation, &c.answer) {
            (Operation::Read, Answer::Success(body)) => Some((c, body)),
            _ => None,
        });
        reads
            .map(|(c, body)| (c, self.commands.iter().position(|c| c.body == *body)))
            .collect()
    }

    /// Returns the newest version that was acknowledged, or 0 if none was.
    pub fn newest_acknowledged(&self) -> u64 {
        let acknowledged = self.acknowledged();
        acknowledged
            .keys()
            .map(|n| self.commands[*n].version)
            .max()
            .unwrap_or(0)
    }
}

/// Returns every violation that a history shows, one line each.
pub fn violations(history: &History) -> Vec<String> {
    let mut found = Vec::new();
    check_one_success_per_base(history, &mut found);
    check_accepted_not_refused(history, &mut found);
    check_stale_refusals(history, &mut found);
    check_reads(history, &mut found);
    check_acknowledged_in_lineage(history, &mut found);
    check_answers_match_calls(history, &mut found);
    found
}

/// Longest part of a body that a violation quotes, in bytes.
const MAX_SHOWN_BODY_BYTES: usize = 60;

fn call_site(call: &Call) -> String {
    format!("node {} at {} ms", call.node, call.sent_at_us / 1000)
}

fn check_one_success_per_base(history: &History, violations: &mut Vec<String>) {
    let mut accepted: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for n in history.acknowledged().into_keys() {
        accepted.entry(history.commands[n].base).or_default().push(n);
    }
    for (base, commands) in accepted.into_iter().filter(|(_, c)| c.len() > 1) {
        let versions: Vec<u64> = commands.iter().map(|n| history.commands[*n].version).collect();
        violations.push(format!(
            "{} changes on top of version {base} were acknowledged: {versions:?}",
            commands.len()
        ));
    }
}

/// Checks that a command which was accepted, as its acknowledgement or a read shows, is never
/// refused.
fn check_accepted_not_refused(history: &History, violations: &mut Vec<String>) {
    let mut accepted: BTreeSet<usize> = history.acknowledged().into_keys().collect();
    accepted.extend(history.successful_reads().into_iter().filter_map(|(_, n)| n));
    for (n, command, call) in history.replacements().filter(|(n, ..)| accepted.contains(n)) {
        if let Answer::Refused(status, text) = &call.answer {
            violations.push(format!(
                "the command of version {} on {} (command {n}) was accepted, and refused with {status} by {}: {text}",
                command.version,
                command.base,
                call_site(call)
            ));
        }
    }
}

/// Checks that a valid command is refused only if a version other than its base may have been
/// current while the call was in progress.
fn check_stale_refusals(history: &History, violations: &mut Vec<String>) {
    let acknowledged = history.acknowledged();
    for (n, command, call) in history.replacements() {
        let Answer::Refused(status, text) = &call.answer else {
            continue;
        };
        // True if the base was in force before this command was sent.
        let base_was_in_force = command.base == 0
            || acknowledged
                .iter()
                .any(|(m, at)| history.commands[*m].version == command.base && *at < call.sent_at_us);
        // True if another command on the same base was sent before this call ended.
        let has_rival = history.replacements().any(|(m, other, other_call)| {
            m != n && other.base == command.base && other_call.sent_at_us < call.ended_at_us
        });
        if base_was_in_force && !has_rival && !acknowledged.contains_key(&n) {
            violations.push(format!(
                "the command of version {} on {}, the current version, was refused with {status} by {}: {text}",
                command.version,
                command.base,
                call_site(call)
            ));
        }
    }
}

/// Checks that no read returns a version older than one that was acknowledged or read before, or a
/// configuration that nobody sent.
fn check_reads(history: &History, violations: &mut Vec<String>) {
    let acknowledged = history.acknowledged();
    let reads = history.successful_reads();
    let mut observed: Vec<(u64, u64)> = acknowledged
        .iter()
        .map(|(n, at)| (*at, history.commands[*n].version))
        .collect();
    observed.extend(
        reads
            .iter()
            .filter_map(|(c, n)| Some((c.ended_at_us, history.commands[(*n)?].version))),
    );
    let first_sent_us: BTreeMap<usize, u64> =
        history
            .replacements()
            .fold(BTreeMap::new(), |mut first, (n, _, c)| {
                let at = first.entry(n).or_insert(c.sent_at_us);
                *at = c.sent_at_us.min(*at);
                first
            });
    for (call, read_command) in &reads {
        let Some(n) = read_command else {
            let shown = match &call.answer {
                Answer::Success(body) => {
                    String::from_utf8_lossy(&body[..body.len().min(MAX_SHOWN_BODY_BYTES)]).into_owned()
                }
                other => format!("{other:?}"),
            };
            violations.push(format!(
                "{} answered a read with a configuration that nobody sent: {shown}",
                call_site(call)
            ));
            continue;
        };
        let version = history.commands[*n].version;
        if first_sent_us.get(n).is_none_or(|first| *first > call.ended_at_us) {
            violations.push(format!(
                "{} showed version {version} before it was sent",
                call_site(call)
            ));
        }
        let newest = observed
            .iter()
            .filter(|(when, _)| *when < call.sent_at_us)
            .map(|(_, v)| *v)
            .max();
        if newest.is_some_and(|newest| newest > version) {
            violations.push(format!(
                "{} showed version {version} after {} was known to be in force",
                call_site(call),
                newest.unwrap_or(0)
            ));
        }
    }
    for call in &history.calls {
        if let (Operation::Read, Answer::Refused(status, _)) = (&call.operation, &call.answer) {
            let in_force = acknowledged.values().any(|when| *when < call.sent_at_us);
            if in_force {
                violations.push(format!("{} refused a read with {status}", call_site(call)));
            }
        }
    }
}

/// Checks that every acknowledged change is what the last read returned or one of its ancestors.
fn check_acknowledged_in_lineage(history: &History, violations: &mut Vec<String>) {
    let Some((last, Some(mut n))) = history
        .successful_reads()
        .into_iter()
        .max_by_key(|(c, _)| c.sent_at_us)
    else {
        return;
    };
    let acknowledged = history.acknowledged();
    let mut lineage = BTreeSet::from([n]);
    // If several commands carry the base's number, the accepted one is known by its
    // acknowledgement. Without an acknowledgement it may have been any of them.
    while history.commands[n].base != 0 {
        let base = history.commands[n].base;
        let mut same = (0..history.commands.len()).filter(|m| history.commands[*m].version == base);
        let Some(any) = same.clone().next() else { break };
        n = same.find(|m| acknowledged.contains_key(m)).unwrap_or(any);
        if !lineage.insert(n) {
            break;
        }
    }
    for (n, when) in acknowledged {
        if when < last.sent_at_us && !lineage.contains(&n) {
            violations.push(format!(
                "version {} (command {n}) was acknowledged, and is not part of what {} showed last",
                history.commands[n].version,
                call_site(last)
            ));
        }
    }
}

/// Checks that each answer matches the operation of its call.
fn check_answers_match_calls(history: &History, violations: &mut Vec<String>) {
    for call in &history.calls {
        let is_mismatch = match (&call.operation, &call.answer) {
            (Operation::Invalid(mark), Answer::Refused(400, text)) => !text.contains(mark.as_str()),
            (Operation::Invalid(_), Answer::Refused(..)) => false,
            (Operation::Invalid(_), Answer::Success(_)) => true,
            (Operation::Replace(_) | Operation::Evacuate { .. }, Answer::Success(body)) => {
                body.len() > 2 || !b"{}".starts_with(body)
            }
            (Operation::Status, Answer::Success(body)) => {
                !body.starts_with(b"{") || !contains(body, b"\"members\"")
            }
            _ => false,
        };
        if is_mismatch {
            violations.push(format!(
                "{} answered {:?} with an answer that belongs to another call",
                call_site(call),
                call.operation
            ));
        }
    }
}

fn contains(body: &[u8], pattern: &[u8]) -> bool {
    body.windows(pattern.len()).any(|w| w == pattern)
}
