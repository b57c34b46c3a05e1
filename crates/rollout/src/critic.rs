//! The watchdog: starts, promotes, pauses and rolls back by the figures, under
//! the gate. It runs on the leader; what it decides takes place in the log.

use crate::limits::*;
use crate::rollout::{Action, Preview, PreviewChange, State, Table};
use crate::tally::{Tally, Trial, Verdict};
use std::collections::BTreeMap;

/// How severe the state of the whole system is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    #[default]
    Calm,
    One,
    Two,
    Three,
}

/// Derives the emergency level from how tries end, whatever the workers say.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    tries: f64,
    failed: f64,
    seen: Level,
    looks: u32,
    level: Level,
}

impl Levels {
    pub fn take(&mut self, served: u64, failed: u64) {
        self.tries += (served + failed) as f64;
        self.failed += failed as f64;
    }

    /// One look; levels 2 and 3 count once they have been seen a few times.
    pub fn look(&mut self) -> Level {
        let part = self.failed / self.tries.max(1.0);
        let now = match () {
            () if self.tries < LEVEL_TRIES => Level::Calm,
            () if part >= LEVELS[2] => Level::Three,
            () if part >= LEVELS[1] => Level::Two,
            () if part >= LEVELS[0] => Level::One,
            () => Level::Calm,
        };
        self.looks = if now == self.seen { self.looks + 1 } else { 1 };
        self.seen = now;
        if now < Level::Two || self.looks >= LEVEL_LOOKS {
            self.level = now;
        }
        self.tries *= RECENT_KEEP;
        self.failed *= RECENT_KEEP;
        self.level
    }
}

/// What the watchdog goes by besides the figures.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Warm workers of the new version that may be used.
    pub ready: usize,
    /// Workers of the old versions.
    pub old: usize,
    /// Nodes in contact have not applied the rollout's newest change.
    pub behind: bool,
    /// Keys are still held by workers of the old versions.
    pub keys_left: bool,
    /// When the last report came.
    pub reported_at: u64,
    pub level: Level,
    pub kill_switch: bool,
}

#[derive(Debug, Default)]
struct Watch {
    ordered: u64,
    /// The version seen, and when it was first seen.
    version: u64,
    seen_at: u64,
    /// When the order was given, as far as this node can tell.
    began_at: i64,
    /// Since when all nodes in contact have it in force.
    in_force: Option<u64>,
    /// When the old workers last ended something.
    busy_at: u64,
    acted_at: u64,
    tally: Tally,
}

/// The watchdog of all rollouts.
#[derive(Debug, Default)]
pub struct Critic {
    watches: BTreeMap<String, Watch>,
}

const WHO: &str = "watchdog";

impl Critic {
    /// Looks at what the log says; to be called on every node that may lead.
    pub fn follow(&mut self, now: u64, table: &Table) {
        self.watches
            .retain(|s, _| table.get(s).is_some_and(|p| p.is_active()));
        for (service, p) in table.iter().filter(|(_, p)| p.is_active()) {
            let watch = self.watches.entry(service.clone()).or_default();
            if watch.ordered != p.ordered {
                *watch = Watch {
                    ordered: p.ordered,
                    began_at: now as i64,
                    ..Watch::default()
                };
            }
            watch.began_at = watch.began_at.min(now as i64 - p.elapsed_ms as i64);
            if watch.version != p.version {
                watch.version = p.version;
                watch.seen_at = now;
                watch.in_force = None;
                watch.busy_at = now;
            }
        }
    }

    /// Takes in what nodes have counted; `short` gives a service's short name.
    pub fn take(&mut self, trials: &[Trial], short: impl Fn(&str) -> u32) {
        for (service, watch) in &mut self.watches {
            let name = short(service);
            for t in trials {
                if t.service == name && t.ordered == watch.ordered {
                    watch.tally.take(t);
                }
            }
        }
    }

    /// Time since the order, as far as this node can tell, ms.
    pub fn elapsed(&self, now: u64, p: &Preview) -> u64 {
        let began = self.watches.get(&p.service).map(|w| w.began_at);
        began.map_or(p.elapsed_ms, |at| (now as i64 - at).max(0) as u64)
    }

    /// What the figures of the stage in force come to.
    pub fn verdict(&self, p: &Preview) -> Option<Verdict> {
        self.watches.get(&p.service).map(|w| verdict(&w.tally, p))
    }

    /// The figures of a rollout.
    pub fn tally(&self, service: &str) -> Option<&Tally> {
        self.watches.get(service).map(|w| &w.tally)
    }

    /// The gate in front of resume.
    pub fn calm_enough(facts: &Facts) -> Result<(), String> {
        if facts.level >= Level::Two {
            return Err(format!("the emergency level is {}", facts.level as u8));
        }
        Ok(())
    }

    /// The gate in front of start and promote: closed unless everything that it
    /// goes by can be read and is in order.
    pub fn gate(now: u64, facts: &Facts) -> Result<(), String> {
        if facts.kill_switch {
            return Err("the kill switch is on".into());
        }
        Critic::calm_enough(facts)?;
        if now.saturating_sub(facts.reported_at) > BLIND_MS || facts.reported_at == 0 {
            return Err("the figures cannot be read".into());
        }
        Ok(())
    }

    /// What is to be done to a rollout now.
    pub fn decide(&mut self, now: u64, p: &Preview, facts: &Facts) -> Option<PreviewChange> {
        let elapsed = self.elapsed(now, p);
        let watch = self.watches.get_mut(&p.service)?;
        if watch.version != p.version || now < watch.acted_at + ACT_AGAIN_MS {
            return None;
        }
        if std::mem::take(&mut watch.tally.old_since) > 0.0 {
            watch.busy_at = now;
        }
        let waited = watch.seen_at + APPLIED_WAIT_MS;
        if watch.in_force.is_none() && (!facts.behind || now > waited) {
            // A leader that has taken over has seen it come into force.
            watch.in_force = Some(now.min(waited));
            watch.tally.next_stage();
        }
        let verdict = verdict(&watch.tally, p);
        watch.tally.fade();
        let (action, why, bypass) = action(now, elapsed, p, facts, watch, &verdict)?;
        watch.acted_at = now;
        Some(PreviewChange {
            service: p.service.clone(),
            action: action as i32,
            expected: p.version,
            who: WHO.into(),
            why,
            bypass,
            elapsed_ms: elapsed,
            ..Default::default()
        })
    }
}

fn verdict(tally: &Tally, p: &Preview) -> Verdict {
    let showing = p.showings.get(p.at as usize);
    let review = showing.and_then(|s| s.review.clone()).unwrap_or_default();
    tally.judge(&review, p.share() < 1.0)
}

/// Whether the new version has the warm workers that a share asks for.
fn staffed(facts: &Facts, share: f64) -> bool {
    let wanted = (facts.old as f64 * share * READY_PART).ceil().max(1.0);
    facts.ready as f64 >= wanted
}

fn action(
    now: u64,
    elapsed: u64,
    p: &Preview,
    facts: &Facts,
    watch: &Watch,
    verdict: &Verdict,
) -> Option<(Action, String, bool)> {
    let state = p.state_now();
    let over = elapsed >= p.duration_ms;
    if state == State::Created {
        if over {
            return Some((
                Action::Cancel,
                "the term is over and nothing has started".into(),
                false,
            ));
        }
        let first = p.showings.first()?;
        let ready = staffed(facts, first.share) && Critic::gate(now, facts).is_ok();
        return ready.then(|| (Action::Start, format!("{} workers are warm", facts.ready), false));
    }
    if let Verdict::Bad(why) = verdict {
        return Some((Action::Rollback, why.clone(), false));
    }
    if over {
        return Some((Action::Rollback, "stalled: the term is over".into(), false));
    }
    if facts.level >= Level::Three {
        return Some((Action::Rollback, "emergency level 3".into(), true));
    }
    if state == State::Paused {
        return None;
    }
    if facts.level >= Level::Two {
        return Some((Action::Pause, "emergency level 2".into(), false));
    }
    let showing = p.showings.get(p.at as usize)?;
    let since = watch.in_force?;
    if !showing.auto_promote || now < since + showing.observe_ms || Critic::gate(now, facts).is_err() {
        return None;
    }
    if p.is_last() {
        let quiet = now >= watch.busy_at + QUIET_MS || elapsed + TERM_REST_MS >= p.duration_ms;
        let proven = matches!(verdict, Verdict::Good);
        let done = quiet && proven && !facts.keys_left;
        return done.then(|| (Action::Promote, "all of it has moved".into(), false));
    }
    let next = p.showings.get(p.at as usize + 1)?;
    let good = *verdict == Verdict::Good && staffed(facts, next.share);
    good.then(|| {
        let why = format!("good over {:.0} requests", watch.tally.new_answers());
        (Action::Promote, why, false)
    })
}
