//! Checks that at each moment a key has one holder at most.

use super::{Check, Evidence};
use crate::history::Observation;
use std::collections::BTreeMap;

/// The keys `from` to `to`, held from the time `start` up to `until`, ms.
#[derive(Clone, Copy)]
struct Hold {
    from: u32,
    to: u32,
    start: u64,
    until: u64,
}

pub(super) fn check(evidence: &mut Evidence) {
    let mut held: BTreeMap<&str, Vec<Hold>> = BTreeMap::new();
    for event in evidence.events {
        let Observation::KeysHeld { from, to, until, .. } = event.observation else {
            continue;
        };
        let holds = held.entry(&event.observer).or_default();
        // A new grant or a release ends the earlier hold of these keys.
        for old in std::mem::take(holds) {
            if old.until <= event.at || old.to < from || old.from > to {
                holds.push(old);
                continue;
            }
            let end = |hold: Hold| Hold {
                until: event.at,
                ..hold
            };
            holds.push(end(Hold {
                from: old.from.max(from),
                to: old.to.min(to),
                ..old
            }));
            if old.from < from {
                holds.push(Hold { to: from - 1, ..old });
            }
            if old.to > to {
                holds.push(Hold { from: to + 1, ..old });
            }
        }
        holds.push(Hold {
            from,
            to,
            start: event.at,
            until,
        });
    }
    let all: Vec<(&str, Hold)> = held
        .into_iter()
        .flat_map(|(observer, holds)| holds.into_iter().map(move |hold| (observer, hold)))
        .filter(|(_, hold)| hold.until > hold.start)
        .collect();
    for (i, (a, hold)) in all.iter().enumerate() {
        for (b, other_hold) in &all[i + 1..] {
            let keys = hold.from <= other_hold.to && other_hold.from <= hold.to;
            if a != b && keys && hold.start < other_hold.until && other_hold.start < hold.until {
                let at = hold.start.max(other_hold.start);
                let key = hold.from.max(other_hold.from);
                evidence.fail(Check::TwoHolders, at, format!("{a} and {b} hold key {key}"));
            }
        }
    }
}
