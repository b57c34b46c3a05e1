//! The rollout controller: runs the watchdog, by which the leader advances or rolls back rollouts
//! according to the reports of all nodes.

use crate::control::{GetLeaderSince, IsAnyNodeBehind, Propose, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::reports::RolloutOutcomes;
use actix::prelude::*;
use config::constants as c;
use control_state::ControlState;
use protocol::{name_hash, ChangeKind, WorkerStats};
use rollout::{
    Action, Cohort, Conditions, EmergencyLevel, EmergencyTracker, GateClosed, Rollout, Verdict, Watchdog,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Component { name: "rollouts", order: 38, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    if !context.may_lead() {
        return Ok(());
    }
    let controller = RolloutController {
        context: context.clone(),
        watchdog: Watchdog::default(),
        emergency: EmergencyTracker::default(),
        emergency_level: EmergencyLevel::Calm,
        reported_at: 0,
        is_checking: false,
    };
    let controller = controller.start();
    *context.report_handlers.rollout_outcomes.borrow_mut() = Some(controller.clone().recipient());
    context.register_component(controller);
    Ok(())
}

/// Asks whether an operator's change of a rollout passes the gate. The result is the time since
/// the rollout was created, in milliseconds, or the condition that keeps the gate closed.
#[derive(Message)]
#[rtype(result = "Result<u64, GateClosed>")]
pub struct CheckGate {
    /// The service of the rollout.
    pub service: String,
    /// The action that the operator requested.
    pub action: Action,
    /// Whether the gate is bypassed.
    pub bypass: bool,
}

/// Requests the metrics and verdicts of all rollouts as JSON, for the operator.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct RolloutMetrics;

/// Actor that owns the watchdog and the emergency tracker.
pub struct RolloutController {
    context: Rc<NodeContext>,
    watchdog: Watchdog,
    emergency: EmergencyTracker,
    emergency_level: EmergencyLevel,
    /// Time at which the last report was received, in milliseconds; 0 before the first.
    reported_at: u64,
    /// Whether a check is in progress.
    is_checking: bool,
}

impl Actor for RolloutController {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(
            Duration::from_millis(c::ROLLOUT_CHECK_INTERVAL_MS),
            |controller, ctx| controller.check(ctx),
        );
    }
}

impl RolloutController {
    fn check(&mut self, ctx: &mut Context<Self>) {
        let state = self.context.state.get();
        self.watchdog.sync_rollouts(self.context.now(), &state.rollouts);
        if !self.context.status.get().is_leader || self.is_checking {
            return;
        }
        self.emergency_level = self.emergency.check();
        if state.rollouts.values().all(|rollout| !rollout.is_active()) {
            return;
        }
        let Some(driver) = self.context.component::<Addr<RaftDriver>>() else {
            return;
        };
        self.is_checking = true;
        let active = state.rollouts.values().filter(|rollout| rollout.is_active());
        let versions: Vec<u64> = active.map(|rollout| rollout.version).collect();
        let conditions = async move {
            let leader_since = driver.send(GetLeaderSince).await;
            let mut unapplied = Vec::new();
            for version in versions {
                if driver.send(IsAnyNodeBehind(version)).await.unwrap_or(true) {
                    unapplied.push(version);
                }
            }
            matches!(leader_since, Ok(Some(_))).then_some(unapplied)
        };
        ctx.spawn(conditions.into_actor(self).map(|unapplied, controller, ctx| {
            controller.is_checking = false;
            if let Some(unapplied) = unapplied {
                controller.decide(&unapplied, ctx);
            }
        }));
    }

    fn decide(&mut self, unapplied: &[u64], ctx: &mut Context<Self>) {
        let now = self.context.now();
        let state = self.context.state.get();
        let Some(driver) = self.context.component::<Addr<RaftDriver>>() else {
            return;
        };
        for rollout in state.rollouts.values().filter(|rollout| rollout.is_active()) {
            let conditions = self.conditions(&state, rollout, unapplied.contains(&rollout.version));
            let Some(change) = self.watchdog.decide(now, rollout, &conditions) else {
                continue;
            };
            log::info!(
                "event=rollout service={} target={} state={} stage={} action={} elapsed={} why={:?}",
                rollout.service,
                rollout.target,
                rollout.state_now().name(),
                rollout.stage_index,
                Action::try_from(change.action).map_or("none", |a| a.name()),
                change.elapsed_ms,
                change.why
            );
            self.context.counters.increment("rollout_changes");
            let propose = driver.send(Propose(ChangeKind::Rollout(change)));
            ctx.spawn(propose.into_actor(self).map(|_, _, _| ()));
        }
    }

    fn conditions(&self, state: &ControlState, rollout: &Rollout, is_behind: bool) -> Conditions {
        let mut conditions = Conditions {
            is_behind,
            reported_at: self.reported_at,
            emergency_level: self.emergency_level,
            kill_switch: state.kill_switch.as_ref().is_some_and(|k| k.on),
            ..Default::default()
        };
        for w in state.workers.values() {
            if w.service != rollout.service || w.draining || state.evacuated.contains_key(&w.zone) {
                continue;
            }
            match rollout.cohort(&w.version) {
                Cohort::New if w.warmup_ms == 0 && !state.is_warmup_unknown(w) => {
                    conditions.ready_workers += 1
                }
                Cohort::Old => conditions.old_workers += 1,
                _ => {}
            }
        }
        let is_old = |worker: &str| {
            let row = state.workers.get(worker);
            row.is_some_and(|w| rollout.cohort(&w.version) == Cohort::Old)
        };
        let table = state.key_leases.get(&rollout.service);
        let mut leases = table.into_iter().flat_map(|t| t.values());
        conditions.keys_remain = leases.any(|lease| is_old(&lease.worker));
        conditions
    }

    /// Adds the workers' outcomes to the emergency tracker. Workers of new versions are left out:
    /// their failures say nothing about the health of the system as a whole.
    fn add_worker_stats(&mut self, workers: &[WorkerStats]) {
        let state = self.context.state.get();
        let canaries: BTreeSet<u32> = if state.rollouts.values().any(|rollout| rollout.is_active()) {
            let new = state.workers.values().filter(|w| state.cohort(w) == Cohort::New);
            new.map(|w| name_hash(&w.id)).collect()
        } else {
            BTreeSet::new()
        };
        for w in workers.iter().filter(|w| !canaries.contains(&w.worker)) {
            self.emergency.add(w.served, w.failed);
        }
    }
}

impl Handler<RolloutOutcomes> for RolloutController {
    type Result = ();
    fn handle(&mut self, msg: RolloutOutcomes, _: &mut Self::Context) {
        let now = self.context.now();
        self.reported_at = now;
        self.watchdog
            .sync_rollouts(now, &self.context.state.get().rollouts);
        self.watchdog.add_samples(&msg.samples, name_hash);
        self.add_worker_stats(&msg.workers);
    }
}

impl Handler<CheckGate> for RolloutController {
    type Result = Result<u64, GateClosed>;
    fn handle(&mut self, msg: CheckGate, _: &mut Self::Context) -> Self::Result {
        let now = self.context.now();
        let state = self.context.state.get();
        self.watchdog.sync_rollouts(now, &state.rollouts);
        let rollout = state.rollouts.get(&msg.service).ok_or(GateClosed::Unknown)?;
        let elapsed = self.watchdog.elapsed(now, rollout);
        if msg.bypass {
            return Ok(elapsed);
        }
        let conditions = self.conditions(&state, rollout, false);
        match msg.action {
            Action::Promote => {
                Watchdog::check_gate(now, &conditions)?;
                match self.watchdog.verdict(rollout) {
                    Some(Verdict::Good) => {}
                    Some(Verdict::Unproven(why)) => return Err(GateClosed::Unproven(why)),
                    Some(Verdict::Bad(why)) => return Err(GateClosed::BadVersion(why)),
                    None => return Err(GateClosed::NoMetrics),
                }
                if rollout.is_last_stage() && conditions.keys_remain {
                    return Err(GateClosed::KeysRemain);
                }
            }
            Action::Resume => Watchdog::check_emergency(&conditions)?,
            _ => {}
        }
        Ok(elapsed)
    }
}

impl Handler<RolloutMetrics> for RolloutController {
    type Result = MessageResult<RolloutMetrics>;
    fn handle(&mut self, _: RolloutMetrics, _: &mut Self::Context) -> Self::Result {
        let now = self.context.now();
        let state = self.context.state.get();
        let rows: serde_json::Map<String, serde_json::Value> = state
            .rollouts
            .values()
            .filter_map(|rollout| {
                let metrics = self.watchdog.metrics(&rollout.service)?;
                let totals = metrics.totals();
                let verdict = match self.watchdog.verdict(rollout)? {
                    Verdict::Good => "good".to_string(),
                    Verdict::Unproven(why) => format!("not proven: {why}"),
                    Verdict::Bad(why) => format!("bad: {why}"),
                };
                let cohort = |sums: &rollout::OutcomeSums| {
                    serde_json::json!({"answered": sums.answered(), "errors": sums.errors, "lost": sums.unanswered,
                        "mean_ms": if sums.served > 0.0 { sums.response_ms / sums.served } else { 0.0 }})
                };
                let row = serde_json::json!({
                    "verdict": verdict, "elapsed_ms": self.watchdog.elapsed(now, rollout),
                    "old": cohort(&totals.old), "new": cohort(&totals.new),
                });
                Some((rollout.service.clone(), row))
            })
            .collect();
        MessageResult(serde_json::json!({"level": self.emergency_level as u8, "rollouts": rows}))
    }
}
