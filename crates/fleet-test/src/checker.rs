//! What callers saw, and whether a system that keeps the rules can have shown it.
//!
//! The configuration is a register with compare-and-set: an order names the
//! version that it rests on. Its numbers rise, so of any two states the one with
//! the higher number is the newer.

use std::collections::{BTreeMap, BTreeSet};

/// An order of a whole configuration, as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub base: u64,
    pub version: u64,
    pub body: Vec<u8>,
}

/// What one call asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// The order of this place in the history.
    Replace(usize),
    /// An order that is invalid by itself; a refusal names the mark.
    Invalid(String),
    Read,
    Evacuate {
        zone: String,
        begin: bool,
    },
    Status,
}

/// What came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A 200 and its body.
    Good(Vec<u8>),
    /// A 4xx that ends the call, and its text.
    Refused(u16, String),
    /// A 5xx, a 408 or 429, silence, or a connection that failed.
    Unclear(String),
}

/// One call at one node, times in µs from the start of the history.
#[derive(Clone, Debug)]
pub struct Call {
    pub asked: Asked,
    /// The node's number.
    pub node: u8,
    pub sent: u64,
    pub ended: u64,
    pub answer: Answer,
}

/// What callers of `control` observed.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub orders: Vec<Order>,
    pub calls: Vec<Call>,
}

impl History {
    fn replaces(&self) -> impl Iterator<Item = (usize, &Order, &Call)> {
        self.calls.iter().filter_map(|c| match c.asked {
            Asked::Replace(n) => Some((n, self.orders.get(n)?, c)),
            _ => None,
        })
    }

    /// When an order was acknowledged first.
    fn acknowledged(&self) -> BTreeMap<usize, u64> {
        let mut first = BTreeMap::new();
        for (n, _, call) in self.replaces() {
            if matches!(call.answer, Answer::Good(_)) {
                let at = first.entry(n).or_insert(call.ended);
                *at = call.ended.min(*at);
            }
        }
        first
    }

    /// Commands whose configuration is, byte for byte, that which was read.
    fn read(&self) -> Vec<(&Call, Option<usize>)> {
        let reads = self.calls.iter().filter_map(|c| match (&c.asked, &c.answer) {
            (Asked::Read, Answer::Good(body)) => Some((c, body)),
            _ => None,
        });
        reads
            .map(|(c, body)| (c, self.orders.iter().position(|o| o.body == *body)))
            .collect()
    }

    /// The newest version that was acknowledged, 0 if none was.
    pub fn newest_acknowledged(&self) -> u64 {
        let taken = self.acknowledged();
        taken.keys().map(|n| self.orders[*n].version).max().unwrap_or(0)
    }
}

/// Every breach of the rules that a history shows, each in one line.
pub fn faults(history: &History) -> Vec<String> {
    let mut faults = Vec::new();
    two_on_one_base(history, &mut faults);
    taken_and_refused(history, &mut faults);
    refused_by_old_state(history, &mut faults);
    reads(history, &mut faults);
    lost(history, &mut faults);
    wrong_caller(history, &mut faults);
    faults
}

/// Of a body that is shown, bytes.
const SHOWN: usize = 60;

fn at(call: &Call) -> String {
    format!("node {} at {} ms", call.node, call.sent / 1000)
}

fn two_on_one_base(history: &History, faults: &mut Vec<String>) {
    let mut taken: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for n in history.acknowledged().into_keys() {
        taken.entry(history.orders[n].base).or_default().push(n);
    }
    for (base, orders) in taken.into_iter().filter(|(_, o)| o.len() > 1) {
        let versions: Vec<u64> = orders.iter().map(|n| history.orders[*n].version).collect();
        faults.push(format!(
            "{} changes on top of version {base} were acknowledged: {versions:?}",
            orders.len()
        ));
    }
}

/// What was taken, as its acknowledgement or a read shows, is never refused.
fn taken_and_refused(history: &History, faults: &mut Vec<String>) {
    let mut taken: BTreeSet<usize> = history.acknowledged().into_keys().collect();
    taken.extend(history.read().into_iter().filter_map(|(_, n)| n));
    for (n, order, call) in history.replaces().filter(|(n, ..)| taken.contains(n)) {
        if let Answer::Refused(status, text) = &call.answer {
            faults.push(format!(
                "the order of {} on {} (order {n}) was taken, and refused with {status} by {}: {text}",
                order.version,
                order.base,
                at(call)
            ));
        }
    }
}

/// A valid order is refused only if another version than its base may have been
/// current while it was under way.
fn refused_by_old_state(history: &History, faults: &mut Vec<String>) {
    let acknowledged = history.acknowledged();
    for (n, order, call) in history.replaces() {
        let Answer::Refused(status, text) = &call.answer else {
            continue;
        };
        // The base was in force before this was sent...
        let base_stood = order.base == 0
            || acknowledged
                .iter()
                .any(|(m, at)| history.orders[*m].version == order.base && *at < call.sent);
        // ...and nothing else was sent on top of it before this was answered.
        let rival = history
            .replaces()
            .any(|(m, other, sent)| m != n && other.base == order.base && sent.sent < call.ended);
        if base_stood && !rival && !acknowledged.contains_key(&n) {
            faults.push(format!(
                "the order of {} on {}, the current version, was refused with {status} by {}: {text}",
                order.version,
                order.base,
                at(call)
            ));
        }
    }
}

/// Nothing is read that is older than what was acknowledged or read before, or
/// that nobody sent.
fn reads(history: &History, faults: &mut Vec<String>) {
    let acknowledged = history.acknowledged();
    let all = history.read();
    let mut known: Vec<(u64, u64)> = acknowledged
        .iter()
        .map(|(n, at)| (*at, history.orders[*n].version))
        .collect();
    known.extend(
        all.iter()
            .filter_map(|(c, n)| Some((c.ended, history.orders[(*n)?].version))),
    );
    let sent: BTreeMap<usize, u64> = history.replaces().fold(BTreeMap::new(), |mut first, (n, _, c)| {
        let at = first.entry(n).or_insert(c.sent);
        *at = c.sent.min(*at);
        first
    });
    for (call, read) in &all {
        let Some(n) = read else {
            let shown = match &call.answer {
                Answer::Good(body) => String::from_utf8_lossy(&body[..body.len().min(SHOWN)]).into_owned(),
                other => format!("{other:?}"),
            };
            faults.push(format!(
                "{} answered a read with what nobody sent: {shown}",
                at(call)
            ));
            continue;
        };
        let version = history.orders[*n].version;
        if sent.get(n).is_none_or(|first| *first > call.ended) {
            faults.push(format!(
                "{} showed version {version} before it was sent",
                at(call)
            ));
        }
        let newest = known
            .iter()
            .filter(|(when, _)| *when < call.sent)
            .map(|(_, v)| *v)
            .max();
        if newest.is_some_and(|newest| newest > version) {
            faults.push(format!(
                "{} showed version {version} after {} was known to be in force",
                at(call),
                newest.unwrap_or(0)
            ));
        }
    }
    for call in &history.calls {
        if let (Asked::Read, Answer::Refused(status, _)) = (&call.asked, &call.answer) {
            let in_force = acknowledged.values().any(|when| *when < call.sent);
            if in_force {
                faults.push(format!("{} refused a read with {status}", at(call)));
            }
        }
    }
}

/// Whatever was acknowledged is what the last read shows, or was built upon by it.
fn lost(history: &History, faults: &mut Vec<String>) {
    let Some((last, Some(mut n))) = history.read().into_iter().max_by_key(|(c, _)| c.sent) else {
        return;
    };
    let acknowledged = history.acknowledged();
    let mut line = BTreeSet::from([n]);
    // Of several orders of the base's number, the one taken is known by its
    // acknowledgement; without one, any may have been it.
    while history.orders[n].base != 0 {
        let base = history.orders[n].base;
        let mut of = (0..history.orders.len()).filter(|m| history.orders[*m].version == base);
        let Some(first) = of.clone().next() else { break };
        n = of.find(|m| acknowledged.contains_key(m)).unwrap_or(first);
        if !line.insert(n) {
            break;
        }
    }
    for (n, when) in acknowledged {
        if when < last.sent && !line.contains(&n) {
            faults.push(format!(
                "version {} (order {n}) was acknowledged, and is not part of what {} showed last",
                history.orders[n].version,
                at(last)
            ));
        }
    }
}

/// Each answer is one to what its call asked for.
fn wrong_caller(history: &History, faults: &mut Vec<String>) {
    for call in &history.calls {
        let wrong = match (&call.asked, &call.answer) {
            (Asked::Invalid(mark), Answer::Refused(400, text)) => !text.contains(mark.as_str()),
            (Asked::Invalid(_), Answer::Refused(..)) => false,
            (Asked::Invalid(_), Answer::Good(_)) => true,
            (Asked::Replace(_) | Asked::Evacuate { .. }, Answer::Good(body)) => {
                body.len() > 2 || !b"{}".starts_with(body)
            }
            (Asked::Status, Answer::Good(body)) => !body.starts_with(b"{") || !contains(body, b"\"members\""),
            _ => false,
        };
        if wrong {
            faults.push(format!(
                "{} answered {:?} with what belongs to another call",
                at(call),
                call.asked
            ));
        }
    }
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|w| w == part)
}
