//! Keys that workers hold: at each moment one holder of a key at the most.

use super::{Check, Evidence};
use crate::history::Observation;
use std::collections::BTreeMap;

/// Keys `from` to `to`, held from `start` up to `until`.
#[derive(Clone, Copy)]
struct Piece {
    from: u32,
    to: u32,
    start: u64,
    until: u64,
}

pub(super) fn check(evidence: &mut Evidence) {
    let mut held: BTreeMap<&str, Vec<Piece>> = BTreeMap::new();
    for event in evidence.events {
        let Observation::KeysHeld { from, to, until, .. } = event.observation else {
            continue;
        };
        let pieces = held.entry(&event.observer).or_default();
        // What is granted or given back anew ends what was held of it.
        for old in std::mem::take(pieces) {
            if old.until <= event.at || old.to < from || old.from > to {
                pieces.push(old);
                continue;
            }
            let end = |piece: Piece| Piece {
                until: event.at,
                ..piece
            };
            pieces.push(end(Piece {
                from: old.from.max(from),
                to: old.to.min(to),
                ..old
            }));
            if old.from < from {
                pieces.push(Piece { to: from - 1, ..old });
            }
            if old.to > to {
                pieces.push(Piece { from: to + 1, ..old });
            }
        }
        pieces.push(Piece {
            from,
            to,
            start: event.at,
            until,
        });
    }
    let all: Vec<(&str, Piece)> = held
        .into_iter()
        .flat_map(|(observer, pieces)| pieces.into_iter().map(move |p| (observer, p)))
        .filter(|(_, p)| p.until > p.start)
        .collect();
    for (i, (a, p)) in all.iter().enumerate() {
        for (b, q) in &all[i + 1..] {
            let keys = p.from <= q.to && q.from <= p.to;
            if a != b && keys && p.start < q.until && q.start < p.until {
                let at = p.start.max(q.start);
                let key = p.from.max(q.from);
                evidence.fail(Check::TwoHolders, at, format!("{a} and {b} hold key {key}"));
            }
        }
    }
}
