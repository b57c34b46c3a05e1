//! Checks a `History`: the observations of operators, nodes, disks and workers in one run
//! must be consistent with one compare-and-set register that holds the configuration, and
//! with one counter of evacuations per zone.
//!
//! Linearizability is costly to decide in general. Here it is cheap: a replace command
//! names the version that it builds on, so the accepted commands form one chain and
//! their order is known. It remains to decide whether each command can have taken effect
//! at one moment between its sending and its first observation, in the order of the chain.
//! This gives an interval for each command, narrowed by the replies and the reads. Commands
//! without a definite reply may take effect at any time after they were sent, or never.

mod configuration;
mod evacuations;
mod keys;

use crate::history::{Event, History, Observation, Reply, Request};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A property that a history can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// No single register can explain the replies and reads.
    Register,
    /// A command that had been accepted was refused when it was sent again.
    TakenRefused,
    /// A valid command was refused as invalid.
    ValidRefused,
    /// Two commands with the same base version were both accepted.
    TwoForOneBase,
    /// A command took effect after it had been refused.
    RefusedInForce,
    /// An invalid command was acknowledged or is in force.
    InvalidInForce,
    /// A configuration is in force that no operator sent.
    UnknownInForce,
    /// An acknowledged change is lost.
    LostAfterAck,
    /// A command was acknowledged while it was on too few disks.
    TooFewDisks,
    /// A read did not return a change that had been acknowledged before the read was sent.
    StaleRead,
    /// The evacuation counts do not match the commands, or commands took effect in an order
    /// that contradicts the observations.
    Evacuations,
    /// One command took effect more than once.
    MoreThanOnce,
    /// A reply reached a caller other than the one that it was made for.
    WrongCaller,
    /// The applied index or the version of a process decreased.
    WentBack,
    /// Two replicas differ at the same index.
    CopiesDiffer,
    /// Two nodes were leader in the same term.
    TwoLeaders,
    /// Two workers held the same key at the same time.
    TwoHolders,
    /// No read was answered after all faults had ended.
    NoReadBack,
    /// No valid command was acknowledged after all faults had ended.
    NotAcknowledged,
}

/// A violation of one check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub check: Check,
    /// Simulated time at which the violation was observed, ms.
    pub at: u64,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.check, self.at, self.what)
    }
}

/// The guarantees that the system gives in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guarantees {
    /// Number of disks that must hold an acknowledged change; 0 if the history has no disk
    /// observations.
    pub disks: usize,
    /// Time from which the system has recovered from all faults, ms: of the requests sent later, a
    /// read must be answered and a valid command acknowledged.
    pub fault_free_from: Option<u64>,
    /// Commands on a zone that are byte for byte equal cannot be distinguished on the wire.
    /// One that arrives within this time after an equal one, with no other command on the
    /// zone between them, is treated as a repetition of the same command, ms.
    pub duplicate_window_ms: u64,
    /// Longest time for which a caller sends a command without a base version again, ms. Within it a
    /// finish that may be a repetition is not executed, and not acknowledged either.
    pub resend_ms: u64,
}

impl Guarantees {
    /// Returns the time within which an equal command may count as a repetition, ms.
    fn repetition_window_ms(&self, begin: bool) -> u64 {
        if begin {
            self.duplicate_window_ms
        } else {
            self.duplicate_window_ms.max(self.resend_ms)
        }
    }
}

/// One attempt by an operator to have a command executed.
pub(crate) struct Attempt {
    pub command: u64,
    pub sent: u64,
    pub to: String,
    pub request: Request,
    /// Time at which the first reply was received, and that reply.
    pub reply: Option<(u64, Reply)>,
}

/// The effect of one command on a replica of the control state.
pub(crate) struct Effect {
    pub at: u64,
    pub index: u64,
    pub command: u64,
    pub attempt: u64,
    pub changed: bool,
}

/// A history, indexed for the checks.
pub(crate) struct Evidence<'a> {
    pub events: &'a [Event],
    pub attempts: BTreeMap<u64, Attempt>,
    /// The first observed effect of each pair of index and command.
    pub effects: Vec<Effect>,
    pub violations: Vec<Violation>,
}

impl Evidence<'_> {
    /// Records a violation unless an equal one is already recorded.
    pub fn fail(&mut self, check: Check, at: u64, what: String) {
        let violation = Violation { check, at, what };
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }
}

/// Returns all violations in a history, in the order of the checks.
pub fn check_history(history: &History, guarantees: Guarantees) -> Vec<Violation> {
    let mut evidence = collect_evidence(history);
    check_reply_routing(&mut evidence);
    check_processes(&mut evidence);
    check_single_effect(&mut evidence);
    check_durability(&mut evidence, guarantees.disks);
    configuration::check(&mut evidence);
    evacuations::check(&mut evidence, guarantees);
    keys::check(&mut evidence);
    if let Some(from) = guarantees.fault_free_from {
        check_liveness(&mut evidence, from);
    }
    evidence.violations
}

fn collect_evidence(history: &History) -> Evidence<'_> {
    let mut attempts: BTreeMap<u64, Attempt> = BTreeMap::new();
    let mut effects: BTreeMap<(u64, u64), Effect> = BTreeMap::new();
    for event in &history.events {
        match &event.observation {
            Observation::Sent {
                command,
                attempt,
                to,
                request,
            } => {
                let new_attempt = Attempt {
                    command: *command,
                    sent: event.at,
                    to: to.clone(),
                    request: request.clone(),
                    reply: None,
                };
                attempts.insert(*attempt, new_attempt);
            }
            Observation::ReplyReceived { attempt, reply } => {
                if let Some(a) = attempts.get_mut(attempt) {
                    a.reply.get_or_insert((event.at, reply.clone()));
                }
            }
            Observation::Effect {
                index,
                command,
                attempt,
                changed,
                ..
            } => {
                effects.entry((*index, *command)).or_insert(Effect {
                    at: event.at,
                    index: *index,
                    command: *command,
                    attempt: *attempt,
                    changed: *changed,
                });
            }
            _ => {}
        }
    }
    Evidence {
        events: &history.events,
        attempts,
        effects: effects.into_values().collect(),
        violations: Vec::new(),
    }
}

/// Checks that every reply was made for the attempt that receives it, by the node that the
/// attempt was sent to, and that it is received once.
fn check_reply_routing(evidence: &mut Evidence) {
    let mut replies_sent: BTreeSet<(u64, &str, u16)> = BTreeSet::new();
    let mut received: BTreeSet<u64> = BTreeSet::new();
    for event in evidence.events {
        match &event.observation {
            Observation::ReplySent { attempt, status } => {
                replies_sent.insert((*attempt, &event.observer, *status));
            }
            Observation::ReplyReceived { attempt, reply } => {
                let at = event.at;
                if reply.made_for != *attempt {
                    let what = format!(
                        "attempt {attempt} received a reply made for attempt {}",
                        reply.made_for
                    );
                    evidence.fail(Check::WrongCaller, at, what);
                }
                let sent = evidence.attempts.get(attempt);
                if !sent.is_some_and(|a| replies_sent.contains(&(*attempt, &a.to, reply.status))) {
                    let what = format!(
                        "attempt {attempt} received status {} that no node sent",
                        reply.status
                    );
                    evidence.fail(Check::WrongCaller, at, what);
                }
                if !received.insert(*attempt) {
                    evidence.fail(
                        Check::WrongCaller,
                        at,
                        format!("attempt {attempt} received two replies"),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Checks the processes: index and version never decrease, replicas are equal at the same
/// index, and each term has one leader.
fn check_processes(evidence: &mut Evidence) {
    let mut positions: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
    let mut ended: BTreeSet<(&str, u64)> = BTreeSet::new();
    let mut digests: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let mut leaders: BTreeMap<u64, (&str, u64)> = BTreeMap::new();
    for event in evidence.events {
        let (observer, at) = (event.observer.as_str(), event.at);
        match &event.observation {
            Observation::ProcessEnded { process, .. } => {
                ended.insert((observer, *process));
            }
            Observation::Applied { process, replica } => {
                let now = (replica.index, replica.content.map_or(0, |c| c.version));
                let before = positions.insert((observer, *process), now).unwrap_or_default();
                if now.0 < before.0 || now.1 < before.1 || ended.contains(&(observer, *process)) {
                    let what = format!("{observer} went from index, version {before:?} back to {now:?}");
                    evidence.fail(Check::WentBack, at, what);
                }
                let (digest, first) = *digests.entry(replica.index).or_insert((replica.digest, observer));
                if digest != replica.digest {
                    let what = format!("{first} and {observer} differ at index {}", replica.index);
                    evidence.fail(Check::CopiesDiffer, at, what);
                }
            }
            Observation::Leads { process, term } => {
                let first = *leaders.entry(*term).or_insert((observer, *process));
                if first != (observer, *process) {
                    let what = format!("{} and {observer} lead in term {term}", first.0);
                    evidence.fail(Check::TwoLeaders, at, what);
                }
            }
            _ => {}
        }
    }
}

/// Checks that one attempt changes the state at one index at most, and that an index belongs
/// to one command. (Whether several attempts of one command may change the state depends on
/// the kind of the command.)
fn check_single_effect(evidence: &mut Evidence) {
    let mut changed_at: BTreeMap<u64, u64> = BTreeMap::new();
    let mut command_at: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for e in &evidence.effects {
        if e.changed {
            let first = *changed_at.entry(e.attempt).or_insert(e.index);
            if first != e.index {
                let what = format!(
                    "attempt {} took effect at index {first} and {}",
                    e.attempt, e.index
                );
                found.push((Check::MoreThanOnce, e.at, what));
            }
        }
        let first = *command_at.entry(e.index).or_insert(e.command);
        if first != e.command {
            let what = format!(
                "index {} belongs to command {first} and to command {}",
                e.index, e.command
            );
            found.push((Check::CopiesDiffer, e.at, what));
        }
    }
    for (check, at, what) in found {
        evidence.fail(check, at, what);
    }
}

/// Longest time that a reply travels, ms. Disks that are lost within this time still count.
const MAX_REPLY_TRANSIT_MS: u64 = 1000;

/// Checks that every acknowledged change is on at least `min_disks` disks.
fn check_durability(evidence: &mut Evidence, min_disks: usize) {
    // The last index on each disk, and the time until which the disk counts, ms.
    let mut last_synced: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut lost_disks: Vec<(u64, u64)> = Vec::new();
    let mut found = Vec::new();
    for event in evidence.events {
        match &event.observation {
            Observation::Synced { index } => {
                last_synced.insert(&event.observer, (*index, u64::MAX));
            }
            Observation::ProcessEnded { how: "disk lost", .. } => {
                let lost = last_synced.remove(event.observer.as_str());
                lost_disks.extend(lost.map(|(index, _)| (index, event.at + MAX_REPLY_TRANSIT_MS)));
            }
            Observation::ReplySent { attempt, status: 200 } => {
                let Some(command) = evidence.attempts.get(attempt).map(|a| a.command) else {
                    continue;
                };
                let mut effects = evidence
                    .effects
                    .iter()
                    .filter(|e| e.command == command && e.at <= event.at);
                let first = effects.clone().next();
                let Some(effect) = effects.find(|e| e.changed).or(first) else {
                    continue;
                };
                let disk_indexes = last_synced.values().chain(&lost_disks);
                let count = disk_indexes
                    .filter(|(i, until)| *i >= effect.index && event.at < *until)
                    .count();
                if count < min_disks {
                    let what = format!(
                        "command {command} is acknowledged, but index {} is on {count} disks",
                        effect.index
                    );
                    found.push((event.at, what));
                }
            }
            _ => {}
        }
    }
    for (at, what) in found {
        evidence.fail(Check::TooFewDisks, at, what);
    }
}

/// Checks that a read is answered and a valid command acknowledged once all faults have ended.
fn check_liveness(evidence: &mut Evidence, from: u64) {
    let status = |a: &Attempt| a.reply.as_ref().map(|(_, r)| r.status);
    let later = || evidence.attempts.values().filter(|a| a.sent >= from);
    let mut reads = later().filter(|a| a.request == Request::Read);
    let is_read_answered = reads.any(|a| matches!(status(a), Some(200 | 404)));
    let replaces: Vec<&Attempt> = later()
        .filter(|a| matches!(a.request, Request::Replace { valid: true, .. }))
        .collect();
    let is_replace_acknowledged = replaces.is_empty() || replaces.iter().any(|a| status(a) == Some(200));
    if !is_read_answered {
        let what = "no read sent since then was answered".into();
        evidence.fail(Check::NoReadBack, from, what);
    }
    if !is_replace_acknowledged {
        let what = "no valid command sent since then was acknowledged".into();
        evidence.fail(Check::NotAcknowledged, from, what);
    }
}
