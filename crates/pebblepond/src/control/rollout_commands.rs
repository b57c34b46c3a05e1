//! Execution of rollout commands on the leader.

use super::driver::RaftDriver;
use super::error::{response, CommandError};
use super::execution::{commit_and_acknowledge, confirm_leadership, CommandResult, IsRepeated};
use crate::rollout_controller::{CheckGate, RolloutController, RolloutMetrics};
use actix::prelude::*;
use config::constants as c;
use control_state::ControlState;
use protocol::{BeginRollout, ChangeKind, CommandTag, Worker};
use rollout::{Action, Cohort, Create, Rollout, RolloutChange};
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// The leader's copy of the control state, and other inputs of a rollout command.
struct RolloutView {
    state: ControlState,
    /// Largest share of a service's requests that a bad version may receive.
    exposure_share: f64,
    controller: Option<Addr<RolloutController>>,
}

#[derive(Message)]
#[rtype(result = "Result<RolloutView, CommandError>")]
struct ReadRolloutView;

impl Handler<ReadRolloutView> for RaftDriver {
    type Result = Result<RolloutView, CommandError>;
    fn handle(&mut self, _: ReadRolloutView, _: &mut Self::Context) -> Self::Result {
        self.check_leadership()?;
        Ok(RolloutView {
            state: self.state.clone(),
            exposure_share: self.context.settings.get().terms.bounds.exposure_share,
            controller: self.context.component::<Addr<RolloutController>>(),
        })
    }
}

/// Returns the leader's copy of the state once a majority has confirmed it, so that it can be
/// used to reject commands.
async fn confirmed_view(driver: &Addr<RaftDriver>) -> Result<RolloutView, CommandError> {
    confirm_leadership(driver).await?;
    let view = driver.send(ReadRolloutView).await;
    view.unwrap_or(Err(CommandError::NotLeader))
}

/// Checks a command to begin a rollout for errors that applying the log entry does not detect.
fn check_begin(state: &ControlState, service: &str, create: &Create) -> Result<(), CommandError> {
    if create.target.is_empty() {
        return Err(CommandError::InvalidField("TargetVersion: is empty".into()));
    }
    if create.duration_ms < c::MIN_ROLLOUT_MS {
        let text = format!("Duration: must be {} ms or more", c::MIN_ROLLOUT_MS);
        return Err(CommandError::InvalidField(text));
    }
    if state.service(service).is_none() {
        return Err(CommandError::UnknownService);
    }
    let mut versions = workers(state, service).map(|w| w.version.as_str()).peekable();
    if versions.peek().is_some() && versions.all(|v| v == create.target) {
        let text = "TargetVersion: is the current version";
        return Err(CommandError::InvalidField(text.into()));
    }
    Ok(())
}

fn workers<'a>(state: &'a ControlState, service: &'a str) -> impl Iterator<Item = &'a Worker> {
    let workers = state.workers.values().map(|w| &**w);
    workers.filter(move |w| w.service == service && !w.draining)
}

/// Returns whether a command most likely repeats one that was accepted recently.
async fn is_repeated(driver: &Addr<RaftDriver>, tag: &Option<CommandTag>) -> bool {
    driver.send(IsRepeated(tag.clone())).await.unwrap_or(false)
}

pub(super) async fn begin(
    driver: &Addr<RaftDriver>,
    command: BeginRollout,
    tag: Option<CommandTag>,
) -> CommandResult {
    let RolloutView {
        state,
        exposure_share,
        ..
    } = confirmed_view(driver).await?;
    let create = command.create.unwrap_or_default();
    let is_same =
        |r: &Rollout| r.is_active() && r.target == create.target && r.duration_ms == create.duration_ms;
    let is_running = state.rollouts.get(&command.service).is_some_and(|r| is_same(r));
    // A repeated command is recognised when its entry is applied, whatever the rollout's state is
    // by then.
    if !is_repeated(driver, &tag).await && !is_running {
        check_begin(&state, &command.service, &create)?;
    }
    let current = workers(&state, &command.service)
        .filter(|w| state.cohort(w) == Cohort::Old && w.version != create.target);
    let previous_versions: BTreeSet<String> = current.map(|w| w.version.clone()).collect();
    let change = RolloutChange {
        service: command.service,
        action: Action::Create as i32,
        who: command.who,
        why: command.why,
        stages: rollout::stages(create.duration_ms, exposure_share),
        create: Some(create),
        previous_versions: previous_versions.into_iter().collect(),
        ..Default::default()
    };
    commit_and_acknowledge(driver, ChangeKind::Rollout(change), tag).await
}

/// Promotes, pauses, resumes, rolls back or cancels a rollout.
pub(super) async fn change(
    driver: &Addr<RaftDriver>,
    mut change: RolloutChange,
    tag: Option<CommandTag>,
) -> CommandResult {
    let RolloutView {
        state, controller, ..
    } = confirmed_view(driver).await?;
    if is_repeated(driver, &tag).await {
        return commit_and_acknowledge(driver, ChangeKind::Rollout(change), tag).await;
    }
    let rollout = state
        .rollouts
        .get(&change.service)
        .ok_or(CommandError::NoRollout)?;
    if change.bypass && change.why.trim().chars().count() < c::MIN_BYPASS_REASON_CHARS {
        return Err(CommandError::bypass_without_reason());
    }
    let controller = controller.ok_or(CommandError::NotLeader)?;
    let gate = CheckGate {
        service: change.service.clone(),
        action: Action::try_from(change.action).unwrap_or(Action::None),
        bypass: change.bypass,
    };
    let gate_result = controller.send(gate).await.map_err(|_| CommandError::Ending)?;
    change.elapsed_ms = gate_result.map_err(CommandError::GateClosed)?;
    if change.expected == 0 {
        change.expected = rollout.version;
    }
    commit_and_acknowledge(driver, ChangeKind::Rollout(change), tag).await
}

/// Reads one rollout in the format of the operator's protocol.
pub(super) async fn read_one(driver: &Addr<RaftDriver>, service: &str) -> CommandResult {
    let state = confirmed_view(driver).await?.state;
    let rollout = state.rollouts.get(service).ok_or(CommandError::NoRollout)?;
    let body = json!({"State": rollout.state_now().protocol_name(), "TargetVersion": rollout.target});
    Ok(response(200, body.to_string()))
}

/// Reads all rollouts with their stages, records and metrics, and the kill switch.
pub(super) async fn read_all(driver: &Addr<RaftDriver>) -> CommandResult {
    let RolloutView {
        state, controller, ..
    } = confirmed_view(driver).await?;
    let metrics = match controller {
        Some(controller) => controller.send(RolloutMetrics).await.unwrap_or_default(),
        None => Value::Null,
    };
    let rollouts: Vec<Value> = state.rollouts.values().map(|r| report(r)).collect();
    let switch = state.kill_switch.as_ref();
    let body = json!({
        "Rollouts": rollouts, "Figures": metrics,
        "KillSwitch": switch.is_some_and(|k| k.on),
        "KillSwitchWho": switch.map(|k| k.who.clone()), "KillSwitchWhy": switch.map(|k| k.why.clone()),
    });
    Ok(response(200, body.to_string()))
}

fn report(rollout: &Rollout) -> Value {
    let records = rollout.records.iter().map(|r| {
        json!({
            "version": r.version, "action": Action::try_from(r.action).map_or("none", Action::name),
            "who": r.who, "why": r.why, "bypass": r.bypass, "elapsed_ms": r.elapsed_ms, "target": r.target,
        })
    });
    let stages = rollout
        .stages
        .iter()
        .map(|s| json!({"share": s.share, "observe_ms": s.observe_ms, "auto_promote": s.auto_promote}));
    let (records, stages): (Vec<Value>, Vec<Value>) = (records.collect(), stages.collect());
    json!({
        "State": rollout.state_now().protocol_name(), "TargetVersion": rollout.target,
        "Service": rollout.service, "Phase": rollout.state_now().name(), "Stage": rollout.stage_index,
        "Share": rollout.share(), "Version": rollout.version,
        "Duration": format!("{}ms", rollout.duration_ms), "Before": rollout.previous_versions,
        "Stages": stages, "Records": records,
    })
}
