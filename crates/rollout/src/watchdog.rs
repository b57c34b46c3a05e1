//! The watchdog: starts, promotes, pauses and rolls back by the figures, under
//! the gate. It runs on the leader; what it decides takes place in the log.

use crate::change::Table;
use crate::constants::{
    ACTION_PAUSE_MS, APPLIED_WAIT_MS, COMPLETION_MARGIN_MS, MAX_REPORT_AGE_MS, OLD_QUIET_MS, READY_PART,
};
use crate::emergency::EmergencyLevel;
use crate::gate::GateClosed;
use crate::metrics::{CohortMetrics, CohortSample, Verdict};
use crate::rollout::{Action, Rollout, RolloutChange, State};
use std::collections::BTreeMap;

/// What the watchdog goes by besides the figures.
#[derive(Clone, Debug, Default)]
pub struct Conditions {
    /// Warm workers of the new version that may be used.
    pub ready: usize,
    /// Workers of the old versions.
    pub old: usize,
    /// Nodes in contact have not applied the rollout's newest change.
    pub is_behind: bool,
    /// Keys are still held by workers of the old versions.
    pub keys_remain: bool,
    /// When the last report came.
    pub reported_at: u64,
    /// How severe the state of the system is.
    pub level: EmergencyLevel,
    /// No rollout starts or is promoted.
    pub kill_switch: bool,
}

#[derive(Debug, Default)]
struct WatchedRollout {
    created_index: u64,
    /// The version last seen.
    version: u64,
    /// When it was first seen, ms.
    seen_at: u64,
    /// When the rollout was created, as far as this node can tell, ms.
    began_at: i64,
    /// Since when all nodes in contact have it in force.
    in_force: Option<u64>,
    /// When the old workers last ended something.
    busy_at: u64,
    acted_at: u64,
    metrics: CohortMetrics,
}

/// The watchdog of all rollouts.
#[derive(Debug, Default)]
pub struct Watchdog {
    watched: BTreeMap<String, WatchedRollout>,
}

/// Author of its changes.
const WHO: &str = "watchdog";

impl Watchdog {
    /// Looks at what the log says; to be called on every node that may lead.
    pub fn follow(&mut self, now: u64, table: &Table) {
        self.watched
            .retain(|s, _| table.get(s).is_some_and(|rollout| rollout.is_active()));
        for (service, rollout) in table.iter().filter(|(_, rollout)| rollout.is_active()) {
            let watch = self.watched.entry(service.clone()).or_default();
            if watch.created_index != rollout.created_index {
                *watch = WatchedRollout {
                    created_index: rollout.created_index,
                    began_at: now as i64,
                    ..WatchedRollout::default()
                };
            }
            watch.began_at = watch.began_at.min(now as i64 - rollout.elapsed_ms as i64);
            if watch.version != rollout.version {
                watch.version = rollout.version;
                watch.seen_at = now;
                watch.in_force = None;
                watch.busy_at = now;
            }
        }
    }

    /// Takes in what nodes have counted; `hash` gives the hash of a service's name.
    pub fn add(&mut self, samples: &[CohortSample], hash: impl Fn(&str) -> u32) {
        for (service, watch) in &mut self.watched {
            let name = hash(service);
            for t in samples {
                if t.service == name && t.created_index == watch.created_index {
                    watch.metrics.add(t);
                }
            }
        }
    }

    /// Time since it was created, as far as this node can tell, ms.
    pub fn elapsed(&self, now: u64, rollout: &Rollout) -> u64 {
        let began = self.watched.get(&rollout.service).map(|w| w.began_at);
        began.map_or(rollout.elapsed_ms, |began_at| {
            (now as i64 - began_at).max(0) as u64
        })
    }

    /// What the figures of the stage in force come to.
    pub fn verdict(&self, rollout: &Rollout) -> Option<Verdict> {
        self.watched
            .get(&rollout.service)
            .map(|w| verdict(&w.metrics, rollout))
    }

    /// The figures of a rollout.
    pub fn metrics(&self, service: &str) -> Option<&CohortMetrics> {
        self.watched.get(service).map(|w| &w.metrics)
    }

    /// The gate in front of resume.
    pub fn check_emergency(conditions: &Conditions) -> Result<(), GateClosed> {
        if conditions.level >= EmergencyLevel::Two {
            return Err(GateClosed::Emergency(conditions.level as u8));
        }
        Ok(())
    }

    /// The gate in front of start and promote: closed unless everything that it
    /// goes by can be read and is in order.
    pub fn check_gate(now: u64, conditions: &Conditions) -> Result<(), GateClosed> {
        if conditions.kill_switch {
            return Err(GateClosed::KillSwitch);
        }
        Watchdog::check_emergency(conditions)?;
        if now.saturating_sub(conditions.reported_at) > MAX_REPORT_AGE_MS || conditions.reported_at == 0 {
            return Err(GateClosed::StaleFigures);
        }
        Ok(())
    }

    /// What is to be done to a rollout now.
    pub fn decide(&mut self, now: u64, rollout: &Rollout, conditions: &Conditions) -> Option<RolloutChange> {
        let elapsed = self.elapsed(now, rollout);
        let watch = self.watched.get_mut(&rollout.service)?;
        if watch.version != rollout.version || now < watch.acted_at + ACTION_PAUSE_MS {
            return None;
        }
        if std::mem::take(&mut watch.metrics.old_outcomes) > 0.0 {
            watch.busy_at = now;
        }
        let waited = watch.seen_at + APPLIED_WAIT_MS;
        if watch.in_force.is_none() && (!conditions.is_behind || now > waited) {
            // A leader that has taken over has seen it come into force.
            watch.in_force = Some(now.min(waited));
            watch.metrics.next_stage();
        }
        let verdict = verdict(&watch.metrics, rollout);
        watch.metrics.fade();
        let decision = decide(now, elapsed, rollout, conditions, watch, &verdict)?;
        watch.acted_at = now;
        Some(RolloutChange {
            service: rollout.service.clone(),
            action: decision.action as i32,
            expected: rollout.version,
            who: WHO.into(),
            why: decision.why,
            bypass: decision.bypass,
            elapsed_ms: elapsed,
            ..Default::default()
        })
    }
}

fn verdict(metrics: &CohortMetrics, rollout: &Rollout) -> Verdict {
    let stage = rollout.stages.get(rollout.stage_index as usize);
    let criteria = stage.and_then(|s| s.criteria.clone()).unwrap_or_default();
    metrics.judge(&criteria, rollout.share() < 1.0)
}

/// Whether the new version has the warm workers that a share asks for.
fn has_enough_workers(conditions: &Conditions, share: f64) -> bool {
    let wanted = (conditions.old as f64 * share * READY_PART).ceil().max(1.0);
    conditions.ready as f64 >= wanted
}

/// What the watchdog does to a rollout.
struct Decision {
    action: Action,
    why: String,
    /// The gate is bypassed.
    bypass: bool,
}

impl Decision {
    fn new(action: Action, why: impl Into<String>) -> Decision {
        Decision {
            action,
            why: why.into(),
            bypass: false,
        }
    }
}

fn decide(
    now: u64,
    elapsed: u64,
    rollout: &Rollout,
    conditions: &Conditions,
    watch: &WatchedRollout,
    verdict: &Verdict,
) -> Option<Decision> {
    let state = rollout.state_now();
    let over = elapsed >= rollout.duration_ms;
    if state == State::Created {
        if over {
            let why = "the term is over and nothing has started";
            return Some(Decision::new(Action::Cancel, why));
        }
        let first = rollout.stages.first()?;
        let ready =
            has_enough_workers(conditions, first.share) && Watchdog::check_gate(now, conditions).is_ok();
        return ready.then(|| Decision::new(Action::Start, format!("{} workers are warm", conditions.ready)));
    }
    if let Verdict::Bad(why) = verdict {
        return Some(Decision::new(Action::Rollback, why.clone()));
    }
    if over {
        return Some(Decision::new(Action::Rollback, "stalled: the term is over"));
    }
    if conditions.level >= EmergencyLevel::Three {
        return Some(Decision {
            bypass: true,
            ..Decision::new(Action::Rollback, "emergency level 3")
        });
    }
    if state == State::Paused {
        return None;
    }
    if conditions.level >= EmergencyLevel::Two {
        return Some(Decision::new(Action::Pause, "emergency level 2"));
    }
    let stage = rollout.stages.get(rollout.stage_index as usize)?;
    let since = watch.in_force?;
    if !stage.auto_promote || now < since + stage.observe_ms || Watchdog::check_gate(now, conditions).is_err()
    {
        return None;
    }
    if rollout.is_last() {
        let quiet =
            now >= watch.busy_at + OLD_QUIET_MS || elapsed + COMPLETION_MARGIN_MS >= rollout.duration_ms;
        let proven = matches!(verdict, Verdict::Good);
        let done = quiet && proven && !conditions.keys_remain;
        return done.then(|| Decision::new(Action::Promote, "all of it has moved"));
    }
    let next = rollout.stages.get(rollout.stage_index as usize + 1)?;
    let good = *verdict == Verdict::Good && has_enough_workers(conditions, next.share);
    good.then(|| {
        let why = format!("good over {:.0} requests", watch.metrics.new_answers());
        Decision::new(Action::Promote, why)
    })
}
