//! The watchdog starts, promotes, pauses, completes and rolls back rollouts based on the metrics
//! and subject to the gate. It runs on the leader; its decisions take effect through the log.

use crate::change::Table;
use crate::constants::{
    ACTION_PAUSE_MS, APPLIED_WAIT_MS, COMPLETION_MARGIN_MS, MAX_REPORT_AGE_MS, OLD_IDLE_MS, READY_FRACTION,
};
use crate::emergency::EmergencyLevel;
use crate::gate::GateClosed;
use crate::metrics::{CohortMetrics, CohortSample, Verdict};
use crate::rollout::{Action, Rollout, RolloutChange, State};
use std::collections::BTreeMap;

/// Input of the watchdog's decisions in addition to the metrics.
#[derive(Clone, Debug, Default)]
pub struct Conditions {
    /// Number of usable warm workers of the new version.
    pub ready_workers: usize,
    /// Number of workers of the old versions.
    pub old_workers: usize,
    /// Whether nodes in contact have not applied the rollout's newest change.
    pub is_behind: bool,
    /// Whether keys are still held by workers of the old versions.
    pub keys_remain: bool,
    /// Time of the last report, in milliseconds; 0 if there was none.
    pub reported_at: u64,
    /// Emergency level of the system.
    pub emergency_level: EmergencyLevel,
    /// Whether the kill switch is on, so that no rollout starts or is promoted.
    pub kill_switch: bool,
}

#[derive(Debug, Default)]
struct WatchedRollout {
    created_index: u64,
    /// The rollout's version last seen.
    version: u64,
    /// Time at which that version was first seen, in milliseconds.
    seen_at: u64,
    /// Time at which the rollout was created, as far as this node can tell, in milliseconds.
    created_at: i64,
    /// Time since which the version counts as applied by all nodes in contact, in milliseconds.
    in_force_since: Option<u64>,
    /// Time of the last outcomes of old workers, in milliseconds.
    last_old_outcome_at: u64,
    last_action_at: u64,
    metrics: CohortMetrics,
}

/// The watchdog of all active rollouts.
#[derive(Debug, Default)]
pub struct Watchdog {
    watched: BTreeMap<String, WatchedRollout>,
}

/// Author of the watchdog's changes.
const WHO: &str = "watchdog";

impl Watchdog {
    /// Updates the watched rollouts from the control state. Must be called on every node that may
    /// lead.
    pub fn sync_rollouts(&mut self, now: u64, table: &Table) {
        self.watched
            .retain(|s, _| table.get(s).is_some_and(|rollout| rollout.is_active()));
        for (service, rollout) in table.iter().filter(|(_, rollout)| rollout.is_active()) {
            let watch = self.watched.entry(service.clone()).or_default();
            if watch.created_index != rollout.created_index {
                *watch = WatchedRollout {
                    created_index: rollout.created_index,
                    created_at: now as i64,
                    ..WatchedRollout::default()
                };
            }
            watch.created_at = watch.created_at.min(now as i64 - rollout.elapsed_ms as i64);
            if watch.version != rollout.version {
                watch.version = rollout.version;
                watch.seen_at = now;
                watch.in_force_since = None;
                watch.last_old_outcome_at = now;
            }
        }
    }

    /// Adds the nodes' samples. `hash` returns the hash of a service's name.
    pub fn add_samples(&mut self, samples: &[CohortSample], hash: impl Fn(&str) -> u32) {
        for (service, watch) in &mut self.watched {
            let service_hash = hash(service);
            for sample in samples {
                if sample.service == service_hash && sample.created_index == watch.created_index {
                    watch.metrics.add(sample);
                }
            }
        }
    }

    /// Returns the time since the rollout was created, as far as this node can tell, in
    /// milliseconds.
    pub fn elapsed(&self, now: u64, rollout: &Rollout) -> u64 {
        let created_at = self.watched.get(&rollout.service).map(|w| w.created_at);
        created_at.map_or(rollout.elapsed_ms, |created_at| {
            (now as i64 - created_at).max(0) as u64
        })
    }

    /// Evaluates the metrics of the current stage. Returns `None` if the rollout is not watched.
    pub fn verdict(&self, rollout: &Rollout) -> Option<Verdict> {
        self.watched
            .get(&rollout.service)
            .map(|w| verdict(&w.metrics, rollout))
    }

    /// Returns the metrics of a service's rollout.
    pub fn metrics(&self, service: &str) -> Option<&CohortMetrics> {
        self.watched.get(service).map(|w| &w.metrics)
    }

    /// Checks the gate for resuming a rollout.
    pub fn check_emergency(conditions: &Conditions) -> Result<(), GateClosed> {
        if conditions.emergency_level >= EmergencyLevel::Two {
            return Err(GateClosed::Emergency(conditions.emergency_level as u8));
        }
        Ok(())
    }

    /// Checks the gate for starting and promoting a rollout. It is closed unless all of its
    /// conditions can be read and are met.
    pub fn check_gate(now: u64, conditions: &Conditions) -> Result<(), GateClosed> {
        if conditions.kill_switch {
            return Err(GateClosed::KillSwitch);
        }
        Watchdog::check_emergency(conditions)?;
        if now.saturating_sub(conditions.reported_at) > MAX_REPORT_AGE_MS || conditions.reported_at == 0 {
            return Err(GateClosed::StaleMetrics);
        }
        Ok(())
    }

    /// Returns the change to be made to a rollout now, if any.
    pub fn decide(&mut self, now: u64, rollout: &Rollout, conditions: &Conditions) -> Option<RolloutChange> {
        let elapsed = self.elapsed(now, rollout);
        let watch = self.watched.get_mut(&rollout.service)?;
        if watch.version != rollout.version || now < watch.last_action_at + ACTION_PAUSE_MS {
            return None;
        }
        if std::mem::take(&mut watch.metrics.old_outcomes) > 0.0 {
            watch.last_old_outcome_at = now;
        }
        let wait_ends_at = watch.seen_at + APPLIED_WAIT_MS;
        if watch.in_force_since.is_none() && (!conditions.is_behind || now > wait_ends_at) {
            // A new leader assumes that the stage took effect by the end of the wait at the latest.
            watch.in_force_since = Some(now.min(wait_ends_at));
            watch.metrics.next_stage();
        }
        let verdict = verdict(&watch.metrics, rollout);
        watch.metrics.decay();
        let decision = decide(now, elapsed, rollout, conditions, watch, &verdict)?;
        watch.last_action_at = now;
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
    metrics.evaluate(&criteria, rollout.share() < 1.0)
}

/// Returns whether the new version has the warm workers that a share requires.
fn has_enough_workers(conditions: &Conditions, share: f64) -> bool {
    let required = (conditions.old_workers as f64 * share * READY_FRACTION)
        .ceil()
        .max(1.0);
    conditions.ready_workers as f64 >= required
}

/// A decision of the watchdog on a rollout.
struct Decision {
    action: Action,
    why: String,
    /// Whether the gate is bypassed.
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
    elapsed_ms: u64,
    rollout: &Rollout,
    conditions: &Conditions,
    watch: &WatchedRollout,
    verdict: &Verdict,
) -> Option<Decision> {
    let state = rollout.state_now();
    let is_expired = elapsed_ms >= rollout.duration_ms;
    if state == State::Created {
        if is_expired {
            let why = "the term is over and nothing has started";
            return Some(Decision::new(Action::Cancel, why));
        }
        let first = rollout.stages.first()?;
        let ready =
            has_enough_workers(conditions, first.share) && Watchdog::check_gate(now, conditions).is_ok();
        return ready.then(|| {
            Decision::new(
                Action::Start,
                format!("{} workers are warm", conditions.ready_workers),
            )
        });
    }
    if let Verdict::Bad(why) = verdict {
        return Some(Decision::new(Action::Rollback, why.clone()));
    }
    if is_expired {
        return Some(Decision::new(Action::Rollback, "stalled: the term is over"));
    }
    if conditions.emergency_level >= EmergencyLevel::Three {
        return Some(Decision {
            bypass: true,
            ..Decision::new(Action::Rollback, "emergency level 3")
        });
    }
    if state == State::Paused {
        return None;
    }
    if conditions.emergency_level >= EmergencyLevel::Two {
        return Some(Decision::new(Action::Pause, "emergency level 2"));
    }
    let stage = rollout.stages.get(rollout.stage_index as usize)?;
    let since = watch.in_force_since?;
    if !stage.auto_promote || now < since + stage.observe_ms || Watchdog::check_gate(now, conditions).is_err()
    {
        return None;
    }
    if rollout.is_last_stage() {
        let is_idle_or_near_deadline = now >= watch.last_old_outcome_at + OLD_IDLE_MS
            || elapsed_ms + COMPLETION_MARGIN_MS >= rollout.duration_ms;
        let is_proven = matches!(verdict, Verdict::Good);
        let can_complete = is_idle_or_near_deadline && is_proven && !conditions.keys_remain;
        return can_complete.then(|| Decision::new(Action::Promote, "all of it has moved"));
    }
    let next = rollout.stages.get(rollout.stage_index as usize + 1)?;
    let can_promote = *verdict == Verdict::Good && has_enough_workers(conditions, next.share);
    can_promote.then(|| {
        let why = format!("good over {:.0} requests", watch.metrics.new_answers());
        Decision::new(Action::Promote, why)
    })
}
