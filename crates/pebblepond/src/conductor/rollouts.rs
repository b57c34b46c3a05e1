//! Orders about rollouts, carried out on the leader.

use super::orders::{answer, is_newest, refusal, settle, IsResent, NOT_LEADER};
use super::Conductor;
use crate::producer::{Figures, MayPass, Producer};
use actix::prelude::*;
use config::constants as c;
use control_state::ControlState;
use protocol::*;
use rollout::{Action, Preview, PreviewChange, Refusal, Side};
use std::collections::BTreeSet;

/// The answer to a change of a rollout that does not take place.
pub(super) fn refused(refused: &Refusal) -> CommandResponse {
    match refused {
        Refusal::Held { service, target } => refusal(
            409,
            &format!("Service: a rollout of {service} to {target} is active"),
        ),
        Refusal::Conflict(version) => refusal(
            412,
            &format!("Expected: the rollout has changed; its version is {version}"),
        ),
        Refusal::NotFrom(state) => refusal(
            409,
            &format!("the rollout is {}, which does not allow this", state.name()),
        ),
        Refusal::Unknown => refusal(404, "Service: there is no rollout of it"),
        Refusal::Unreadable => refusal(400, "the order cannot be read"),
    }
}

/// The leader's copy of the control state, and what else an order goes by.
struct Scene {
    stage: ControlState,
    exposure: f64,
    producer: Option<Addr<Producer>>,
}

#[derive(Message)]
#[rtype(result = "Option<Result<Scene, CommandResponse>>")]
struct Look;

impl Handler<Look> for Conductor {
    type Result = Option<Result<Scene, CommandResponse>>;
    fn handle(&mut self, _: Look, _: &mut Self::Context) -> Self::Result {
        if !self.raft.is_established_leader() {
            return None;
        }
        Some(match self.too_few() {
            Some(answer) => Err(answer),
            None => Ok(Scene {
                stage: self.stage.clone(),
                exposure: self.house.settings.get().terms.bounds.exposure_share,
                producer: self.house.get::<Addr<Producer>>(),
            }),
        })
    }
}

/// The leader's copy, once a majority has confirmed it: orders are refused by it.
async fn look(conductor: &Addr<Conductor>) -> Result<Scene, CommandResponse> {
    if !is_newest(conductor).await {
        return Err(answer(NOT_LEADER, ""));
    }
    match conductor.send(Look).await {
        Ok(Some(found)) => found,
        _ => Err(answer(NOT_LEADER, "")),
    }
}

/// What is wrong with an order to begin a rollout, as far as the log would not
/// say so itself.
fn fault(stage: &ControlState, service: &str, target: &str, duration_ms: u64) -> Option<CommandResponse> {
    if target.is_empty() {
        return Some(refusal(400, "TargetVersion: is empty"));
    }
    if duration_ms < c::MIN_ROLLOUT_MS {
        let text = format!("Duration: must be {} ms or more", c::MIN_ROLLOUT_MS);
        return Some(refusal(400, &text));
    }
    if stage.service(service).is_none() {
        return Some(refusal(404, "Service: the configuration has no such service"));
    }
    let mut versions = of_service(stage, service).map(|w| w.version.as_str()).peekable();
    if versions.peek().is_some() && versions.all(|v| v == target) {
        return Some(refusal(400, "TargetVersion: is the current version"));
    }
    None
}

fn of_service<'a>(stage: &'a ControlState, service: &'a str) -> impl Iterator<Item = &'a Worker> {
    let workers = stage.workers.values().map(|w| &**w);
    workers.filter(move |w| w.service == service && !w.draining)
}

pub(super) async fn begin(
    conductor: Addr<Conductor>,
    order: BeginRollout,
    tag: Option<CommandTag>,
) -> CommandResponse {
    let Scene { stage, exposure, .. } = match look(&conductor).await {
        Ok(found) => found,
        Err(answer) => return answer,
    };
    let create = order.create.unwrap_or_default();
    let same = |p: &&std::sync::Arc<Preview>| {
        p.is_active() && p.target == create.target && p.duration_ms == create.duration_ms
    };
    // Sent again it is known by the log, whatever has come of it since.
    let resent = conductor.send(IsResent(tag.clone())).await.unwrap_or(false);
    if !resent && stage.rollouts.get(&order.service).filter(same).is_none() {
        if let Some(fault) = fault(&stage, &order.service, &create.target, create.duration_ms) {
            return fault;
        }
    }
    let before: BTreeSet<String> = of_service(&stage, &order.service)
        .filter(|w| stage.cohort(w) == Side::Old && w.version != create.target)
        .map(|w| w.version.clone())
        .collect();
    let change = PreviewChange {
        service: order.service,
        action: Action::Create as i32,
        who: order.who,
        why: order.why,
        showings: rollout::showings(create.duration_ms, exposure),
        create: Some(create),
        before: before.into_iter().collect(),
        ..Default::default()
    };
    settle(conductor, ChangeKind::Rollout(change), tag).await
}

/// Promotes, pauses, resumes, rolls back or cancels.
pub(super) async fn steer(
    conductor: Addr<Conductor>,
    mut change: PreviewChange,
    tag: Option<CommandTag>,
) -> CommandResponse {
    let Scene { stage, producer, .. } = match look(&conductor).await {
        Ok(found) => found,
        Err(answer) => return answer,
    };
    if conductor.send(IsResent(tag.clone())).await.unwrap_or(false) {
        return settle(conductor, ChangeKind::Rollout(change), tag).await;
    }
    let Some(p) = stage.rollouts.get(&change.service) else {
        return refused(&Refusal::Unknown);
    };
    let action = Action::try_from(change.action).unwrap_or(Action::None);
    if change.bypass && change.why.trim().chars().count() < c::MIN_BYPASS_REASON_CHARS {
        let text = format!(
            "Why: a bypass wants a reason of {} letters or more",
            c::MIN_BYPASS_REASON_CHARS
        );
        return refusal(400, &text);
    }
    let Some(producer) = producer else {
        return answer(NOT_LEADER, "");
    };
    let pass = producer.send(MayPass {
        service: change.service.clone(),
        action,
        bypass: change.bypass,
    });
    match pass.await {
        Ok(Ok(elapsed)) => change.elapsed_ms = elapsed,
        Ok(Err(why)) => return refusal(409, &format!("the gate is closed: {why}")),
        Err(_) => return refusal(503, "ending"),
    }
    if change.expected == 0 {
        change.expected = p.version;
    }
    settle(conductor, ChangeKind::Rollout(change), tag).await
}

fn shown(p: &Preview) -> serde_json::Value {
    let records: Vec<serde_json::Value> = p
        .records
        .iter()
        .map(|r| {
            serde_json::json!({
                "version": r.version, "action": Action::try_from(r.action).map_or("none", Action::name),
                "who": r.who, "why": r.why, "bypass": r.bypass, "elapsed_ms": r.elapsed_ms, "target": r.target,
            })
        })
        .collect();
    let stages: Vec<serde_json::Value> = p
        .showings
        .iter()
        .map(|s| serde_json::json!({"share": s.share, "observe_ms": s.observe_ms, "auto_promote": s.auto_promote}))
        .collect();
    serde_json::json!({
        "State": p.state_now().on_the_wire(), "TargetVersion": p.target, "Service": p.service,
        "Phase": p.state_now().name(), "Stage": p.at, "Share": p.share(), "Version": p.version,
        "Duration": format!("{}ms", p.duration_ms), "Before": p.before, "Stages": stages, "Records": records,
    })
}

/// One rollout as the operator's protocol wants it, or all with all there is.
pub(super) async fn read(conductor: Addr<Conductor>, service: Option<String>) -> CommandResponse {
    let Scene { stage, producer, .. } = match look(&conductor).await {
        Ok(found) => found,
        Err(answer) => return answer,
    };
    if let Some(service) = service {
        return match stage.rollouts.get(&service) {
            Some(p) => answer(
                200,
                serde_json::json!({"State": p.state_now().on_the_wire(), "TargetVersion": p.target})
                    .to_string(),
            ),
            None => refused(&Refusal::Unknown),
        };
    }
    let figures = match producer {
        Some(producer) => producer.send(Figures).await.unwrap_or_default(),
        None => serde_json::Value::Null,
    };
    let all: Vec<serde_json::Value> = stage.rollouts.values().map(|p| shown(p)).collect();
    let switch = stage.kill_switch.as_ref();
    let value = serde_json::json!({
        "Rollouts": all, "Figures": figures,
        "KillSwitch": switch.is_some_and(|k| k.on),
        "KillSwitchWho": switch.map(|k| k.who.clone()), "KillSwitchWhy": switch.map(|k| k.why.clone()),
    });
    answer(200, value.to_string())
}
