//! Checks a `History`: what operators, nodes, disks and workers saw of one run must
//! be explained by one register of the configuration that commands replace by compare
//! and set, and by one count of evacuations for each zone.
//!
//! Linearizability is costly to decide in general. Here it is cheap: a command to
//! replace names the version that it builds on, so those that were taken form one
//! chain, and their order is known. What is left is whether each can have taken effect
//! at one moment between its sending and its first sight, in the order of the chain;
//! that is an interval for each, narrowed by the replies and the reads. Commands without
//! a clear reply may take effect at any time after they were sent, or never.

mod configuration;
mod evacuations;
mod keys;

use crate::history::{Event, History, Observation, Reply, Request};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a history may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// Replies and reads cannot be explained by one register.
    Register,
    /// A command that was taken was refused when it came again.
    TakenRefused,
    /// A valid command was called invalid.
    ValidRefused,
    /// Two commands on top of one version were both taken.
    TwoForOneBase,
    /// A command came into force after it had been refused.
    RefusedInForce,
    /// An invalid command was acknowledged or is in force.
    InvalidInForce,
    /// A configuration is in force that nobody sent.
    UnknownInForce,
    /// What was acknowledged is gone.
    LostAfterAck,
    /// A command was acknowledged while too few disks held it.
    TooFewDisks,
    /// A read missed what had been acknowledged before it was sent.
    StaleRead,
    /// Evacuations do not add up, or took effect in an order that nobody saw.
    Evacuations,
    /// One command took effect more than once.
    MoreThanOnce,
    /// A reply reached another caller than the one it was made for.
    WrongCaller,
    /// A process went back.
    WentBack,
    /// Two copies differ at the same index.
    CopiesDiffer,
    /// Two nodes led in one term.
    TwoLeaders,
    /// Two workers held the same key at the same time.
    TwoHolders,
    /// In calm times nothing could be read back.
    NoReadBack,
    /// In calm times no valid command was acknowledged.
    NotAcknowledged,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub check: Check,
    /// When it showed, simulated ms.
    pub at: u64,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.check, self.at, self.what)
    }
}

/// What the system promised in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guarantees {
    /// Disks that must hold what is acknowledged; 0 if disks saw nothing.
    pub disks: usize,
    /// From then on all is calm: a read that is sent later must be answered, and a
    /// valid command acknowledged.
    pub calm_from: Option<u64>,
    /// Commands on a zone that are byte for byte alike cannot be told apart on the wire:
    /// one that comes within this time of its like, nothing else about the zone between
    /// them, is taken for the same command sent again, ms.
    pub alike_ms: u64,
}

/// An attempt of an operator to have a command carried out.
pub(crate) struct Attempt {
    pub command: u64,
    pub sent: u64,
    pub to: String,
    pub request: Request,
    /// When the first reply was heard, and which.
    pub heard: Option<(u64, Reply)>,
}

/// What a node did to the copy of the state for one command.
pub(crate) struct Effect {
    pub at: u64,
    pub index: u64,
    pub command: u64,
    pub attempt: u64,
    pub changed: bool,
}

/// A history, sorted by what the checks need.
pub(crate) struct Evidence<'a> {
    pub events: &'a [Event],
    pub attempts: BTreeMap<u64, Attempt>,
    /// The first sight of each pair of index and order.
    pub ready: Vec<Effect>,
    pub violations: Vec<Violation>,
}

impl Evidence<'_> {
    /// Notes a violation once.
    pub fn fail(&mut self, check: Check, at: u64, what: String) {
        let new = Violation { check, at, what };
        if !self.violations.contains(&new) {
            self.violations.push(new);
        }
    }
}

/// All that is wrong with a history, in the order of the checks.
pub fn check_history(history: &History, guarantees: Guarantees) -> Vec<Violation> {
    let mut evidence = sort(history);
    callers(&mut evidence);
    processes(&mut evidence);
    once(&mut evidence);
    disks(&mut evidence, guarantees.disks);
    configuration::check(&mut evidence);
    evacuations::check(&mut evidence, guarantees.alike_ms);
    keys::check(&mut evidence);
    if let Some(from) = guarantees.calm_from {
        answered(&mut evidence, from);
    }
    evidence.violations
}

fn sort(history: &History) -> Evidence<'_> {
    let mut attempts: BTreeMap<u64, Attempt> = BTreeMap::new();
    let mut ready: BTreeMap<(u64, u64), Effect> = BTreeMap::new();
    for event in &history.events {
        match &event.observation {
            Observation::Sent {
                command,
                attempt,
                to,
                request,
            } => {
                let new = Attempt {
                    command: *command,
                    sent: event.at,
                    to: to.clone(),
                    request: request.clone(),
                    heard: None,
                };
                attempts.insert(*attempt, new);
            }
            Observation::ReplyReceived { attempt, reply } => {
                if let Some(a) = attempts.get_mut(attempt) {
                    a.heard.get_or_insert((event.at, reply.clone()));
                }
            }
            Observation::Effect {
                index,
                command,
                attempt,
                changed,
                ..
            } => {
                ready.entry((*index, *command)).or_insert(Effect {
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
        ready: ready.into_values().collect(),
        violations: Vec::new(),
    }
}

/// Every reply was made for the attempt that hears it, by the node that was asked,
/// and is heard once.
fn callers(evidence: &mut Evidence) {
    let mut replied: BTreeSet<(u64, &str, u16)> = BTreeSet::new();
    let mut heard: BTreeSet<u64> = BTreeSet::new();
    for event in evidence.events {
        match &event.observation {
            Observation::ReplySent { attempt, status } => {
                replied.insert((*attempt, &event.observer, *status));
            }
            Observation::ReplyReceived { attempt, reply } => {
                let at = event.at;
                if reply.made_for != *attempt {
                    let what = format!("attempt {attempt} hears what was made for {}", reply.made_for);
                    evidence.fail(Check::WrongCaller, at, what);
                }
                let asked = evidence.attempts.get(attempt);
                if !asked.is_some_and(|a| replied.contains(&(*attempt, &a.to, reply.status))) {
                    let what = format!("attempt {attempt} hears {} that nobody replied", reply.status);
                    evidence.fail(Check::WrongCaller, at, what);
                }
                if !heard.insert(*attempt) {
                    evidence.fail(Check::WrongCaller, at, format!("attempt {attempt} hears twice"));
                }
            }
            _ => {}
        }
    }
}

/// Processes: nothing goes back, copies are alike, one leads in a term.
fn processes(evidence: &mut Evidence) {
    let mut stands: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
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
                let before = stands.insert((observer, *process), now).unwrap_or_default();
                if now.0 < before.0 || now.1 < before.1 || ended.contains(&(observer, *process)) {
                    let what = format!("{observer} stood at index, version {before:?}, now at {now:?}");
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

/// One attempt changes the state at one index at the most, and an index is one command's.
/// (Whether several attempts of one command may, its kind says.)
fn once(evidence: &mut Evidence) {
    let mut changed_at: BTreeMap<u64, u64> = BTreeMap::new();
    let mut owner: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for e in &evidence.ready {
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
        let first = *owner.entry(e.index).or_insert(e.command);
        if first != e.command {
            let what = format!("index {} is order {first}'s and order {}'s", e.index, e.command);
            found.push((Check::CopiesDiffer, e.at, what));
        }
    }
    for (check, at, what) in found {
        evidence.fail(check, at, what);
    }
}

/// A reply is this long on its way at the most, ms: disks lost meanwhile still count.
const ON_ITS_WAY_MS: u64 = 1000;

/// What is acknowledged is on so many disks.
fn disks(evidence: &mut Evidence, least: usize) {
    // What each disk holds, and the time until which that counts.
    let mut holds: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut gone: Vec<(u64, u64)> = Vec::new();
    let mut found = Vec::new();
    for event in evidence.events {
        match &event.observation {
            Observation::Synced { index } => {
                holds.insert(&event.observer, (*index, u64::MAX));
            }
            Observation::ProcessEnded { how: "disk lost", .. } => {
                let lost = holds.remove(event.observer.as_str());
                gone.extend(lost.map(|(index, _)| (index, event.at + ON_ITS_WAY_MS)));
            }
            Observation::ReplySent { attempt, status: 200 } => {
                let Some(command) = evidence.attempts.get(attempt).map(|a| a.command) else {
                    continue;
                };
                let mut own = evidence
                    .ready
                    .iter()
                    .filter(|e| e.command == command && e.at <= event.at);
                let first = own.clone().next();
                let Some(effect) = own.find(|e| e.changed).or(first) else {
                    continue;
                };
                let all = holds.values().chain(&gone);
                let count = all
                    .filter(|(i, until)| *i >= effect.index && event.at < *until)
                    .count();
                if count < least {
                    let what = format!(
                        "order {command} is acknowledged, index {} on {count} disks",
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

/// In calm times a read is answered and a command acknowledged.
fn answered(evidence: &mut Evidence, from: u64) {
    let status = |a: &Attempt| a.heard.as_ref().map(|(_, r)| r.status);
    let later = || evidence.attempts.values().filter(|a| a.sent >= from);
    let mut reads = later().filter(|a| a.request == Request::Read);
    let read = reads.any(|a| matches!(status(a), Some(200 | 404)));
    let replaces: Vec<&Attempt> = later()
        .filter(|a| matches!(a.request, Request::Replace { valid: true, .. }))
        .collect();
    let taken = replaces.is_empty() || replaces.iter().any(|a| status(a) == Some(200));
    if !read {
        let what = "no read since then was answered".into();
        evidence.fail(Check::NoReadBack, from, what);
    }
    if !taken {
        let what = "no valid order since then was acknowledged".into();
        evidence.fail(Check::NotAcknowledged, from, what);
    }
}
