//! Evacuations: for each zone a count that a begin raises and a finish lowers, not
//! below zero. The nodes saw where in the log each order took effect; that order must
//! explain what the operators heard and what the copies show.
//!
//! On the wire these orders carry nothing that tells one from another that is byte for
//! byte alike. So two alike that follow each other within a time may be counted as one: a
//! begin only if no finish came between, a finish also if a begin did, for a zone that is
//! evacuated too long costs work and one taken back too soon breaks a promise. One that
//! comes again later, or a begin behind a finish, may be counted again. One attempt counts
//! once at the most.

use super::{Attempt, Check, Seen};
use crate::history::{Event, Request, Saw};
use std::collections::{BTreeMap, BTreeSet};

/// What operators know of one order to begin or to finish an evacuation.
struct Order {
    zone: String,
    begin: bool,
    sent: u64,
    acknowledged: Option<u64>,
    /// Some copy was changed by it.
    counted: bool,
    attempts: usize,
}

pub(super) fn check(seen: &mut Seen, alike_ms: u64) {
    let orders = orders(seen);
    acknowledged(seen, &orders);
    order_in_time(seen, &orders);
    copies(seen, &orders, alike_ms);
    totals(seen, &orders);
}

fn orders(seen: &Seen) -> BTreeMap<u64, Order> {
    let mut orders: BTreeMap<u64, Order> = BTreeMap::new();
    for a in seen.attempts.values() {
        let Request::Evacuate { zone, begin } = &a.request else {
            continue;
        };
        let order = orders.entry(a.order).or_insert(Order {
            zone: zone.clone(),
            begin: *begin,
            sent: a.sent,
            acknowledged: None,
            counted: false,
            attempts: 0,
        });
        order.sent = order.sent.min(a.sent);
        order.attempts += 1;
        if let Some((at, reply)) = &a.heard {
            if reply.status == 200 {
                order.acknowledged = Some(order.acknowledged.map_or(*at, |first| first.min(*at)));
            }
        }
    }
    for e in seen.ready.iter().filter(|e| e.changed) {
        if let Some(order) = orders.get_mut(&e.order) {
            order.counted = true;
        }
    }
    orders
}

/// What was acknowledged had been applied somewhere by then.
fn acknowledged(seen: &mut Seen, orders: &BTreeMap<u64, Order>) {
    for (number, order) in orders {
        let Some(at) = order.acknowledged else { continue };
        let mut own = seen.ready.iter().filter(|e| e.order == *number);
        if !own.any(|e| e.at <= at) {
            let what = format!("order {number} is acknowledged and was applied nowhere");
            seen.fail(Check::LostAfterAck, at, what);
        }
    }
}

/// Who was acknowledged before another was sent stands before it in the log: where it
/// counted first.
fn order_in_time(seen: &mut Seen, orders: &BTreeMap<u64, Order>) {
    let mut found = Vec::new();
    // The latest sending among those that stand before.
    let mut latest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut counted: BTreeSet<u64> = BTreeSet::new();
    for e in &seen.ready {
        if !counted.insert(e.order) {
            continue;
        }
        let Some(order) = orders.get(&e.order) else {
            continue;
        };
        if e.at < order.sent {
            found.push((e.at, format!("order {} was applied before it was sent", e.order)));
        }
        let (sent, other) = latest.get(order.zone.as_str()).copied().unwrap_or_default();
        if order.acknowledged.is_some_and(|at| at < sent) && e.changed {
            let what = format!(
                "order {} was acknowledged before order {other} was sent, and stands behind it",
                e.order
            );
            found.push((e.at, what));
        }
        if order.sent >= sent {
            latest.insert(&order.zone, (order.sent, e.order));
        }
    }
    for (at, what) in found {
        seen.fail(Check::Evacuations, at, what);
    }
}

/// When each life of a node first stood at an index, or behind it.
fn first_seen(seen: &Seen) -> Vec<BTreeMap<u64, u64>> {
    let mut lives: BTreeMap<(&str, u64), BTreeMap<u64, u64>> = BTreeMap::new();
    for event in seen.events {
        if let Saw::Applied { life, replica } = &event.saw {
            let times = lives.entry((&event.who, *life)).or_default();
            times.entry(replica.index).or_insert(event.at);
        }
    }
    lives.into_values().collect()
}

/// Copies show what the orders before their index come to.
fn copies(seen: &mut Seen, orders: &BTreeMap<u64, Order>, alike_ms: u64) {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    // After each index with an effect: the counts of all zones.
    let mut after: BTreeMap<u64, BTreeMap<String, u32>> = BTreeMap::new();
    after.insert(0, counts.clone());
    // The newest order of each kind that counted for each zone: index, when, number.
    let mut newest: BTreeMap<(&str, bool), (u64, u64, u64)> = BTreeMap::new();
    let mut done: BTreeSet<u64> = BTreeSet::new();
    let first_seen = first_seen(seen);
    let mut found = Vec::new();
    for e in &seen.ready {
        let Some(order) = orders.get(&e.order) else {
            continue;
        };
        let count = counts.entry(order.zone.clone()).or_default();
        let of = |begin| newest.get(&(order.zone.as_str(), begin)).copied();
        let other = of(!order.begin).map_or(0, |(index, _, _)| index);
        let same = of(order.begin);
        let sent = seen.attempts.get(&e.attempt).map_or(0, |a| a.sent);
        // Whoever led may have seen its like that late.
        let recent = |index: u64| {
            let lives = first_seen.iter().filter_map(|life| life.range(index..).next());
            let latest = lives.map(|(_, at)| *at).filter(|at| *at <= e.at).max();
            latest.is_some_and(|at| sent < at + alike_ms)
        };
        let next = same.filter(|(index, _, _)| *index > other);
        let alike = if order.begin { next } else { same };
        let alike = alike.filter(|(index, _, _)| recent(*index));
        let next = next.filter(|(_, at, _)| e.at <= at + alike_ms);
        if !e.changed {
            // What comes again changes nothing, nor does a finish of nothing.
            let again = done.contains(&e.order) || alike.is_some();
            if !again && (order.begin || *count > 0) {
                let what = format!("order {} was applied and changed nothing", e.order);
                found.push((Check::Evacuations, e.at, what));
            }
            // A finish of nothing may have been taken for either.
            if !again || !order.begin && *count == 0 {
                newest.insert((&order.zone, order.begin), (e.index, e.at, e.order));
            }
            // What was taken for its like once is so whenever it comes again.
            done.insert(e.order);
            continue;
        }
        if next.is_some_and(|(_, _, number)| number == e.order) {
            let what = format!("order {} counts again at index {}", e.order, e.index);
            found.push((Check::MoreThanOnce, e.at, what));
        }
        done.insert(e.order);
        newest.insert((&order.zone, order.begin), (e.index, e.at, e.order));
        if order.begin {
            *count += 1;
        } else if *count > 0 {
            *count -= 1;
        } else {
            let what = format!("order {} took back what was not evacuated", e.order);
            found.push((Check::Evacuations, e.at, what));
        }
        counts.retain(|_, n| *n > 0);
        after.insert(e.index, counts.clone());
    }
    for event in seen.events {
        let Saw::Applied { replica, .. } = &event.saw else {
            continue;
        };
        let expected = after.range(..=replica.index).next_back().map(|(_, c)| c);
        if expected != Some(&replica.evacuated) {
            let what = format!(
                "{} shows {:?} evacuated at index {}, its orders come to {:?}",
                event.who, replica.evacuated, replica.index, expected
            );
            found.push((Check::Evacuations, event.at, what));
            break;
        }
    }
    for (check, at, what) in found {
        seen.fail(check, at, what);
    }
}

/// At the end a zone is evacuated if more begins were acknowledged than finishes sent.
fn totals(seen: &mut Seen, orders: &BTreeMap<u64, Order>) {
    let mut newest: Option<(u64, u64, BTreeMap<String, u32>)> = None;
    let mut living: BTreeMap<&str, (u64, u64, &BTreeMap<String, u32>)> = BTreeMap::new();
    for event in seen.events {
        match &event.saw {
            Saw::Applied { replica, .. } => {
                living.insert(&event.who, (replica.index, event.at, &replica.evacuated));
            }
            Saw::LifeEnded { .. } => {
                living.remove(event.who.as_str());
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
    let ended = |e: &&Event| matches!(e.saw, Saw::LifeEnded { .. });
    let last = seen.events.iter().rev().find(ended).map_or(0, |e| e.at);
    let led = |a: &Attempt| {
        a.sent > last
            && a.heard
                .as_ref()
                .is_some_and(|(_, r)| matches!(r.status, 200 | 404 | 412))
    };
    if last > 0 && !seen.attempts.values().any(led) {
        return;
    }
    let zones: BTreeSet<&String> = orders.values().map(|o| &o.zone).collect();
    for zone in zones {
        let of = |begin| {
            orders
                .values()
                .filter(move |o| o.zone == *zone && o.begin == begin)
        };
        let counted = |o: &&Order| o.counted && o.acknowledged.is_some_and(|a| a <= at);
        let begun = of(true).filter(counted).count();
        let count = evacuated.get(zone).copied().unwrap_or(0) as usize;
        let finishes: usize = of(false).map(|o| o.attempts).sum();
        if begun > finishes + count {
            let what =
                format!("{zone}: {begun} begins acknowledged, {finishes} finishes sent, count {count}");
            seen.fail(Check::LostAfterAck, at, what);
        }
    }
}
