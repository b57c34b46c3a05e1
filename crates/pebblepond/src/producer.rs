//! The duty of watching rollouts: the leader's watchdog, fed by the reports.

use crate::conductor::{Behind, Conductor, Lease, Propose};
use crate::kernel::{House, Plugin};
use actix::prelude::*;
use config::constants as c;
use control_state::ControlState;
use protocol::{name_hash, ChangeKind, WorkerStats};
use rollout::{Action, Critic, Facts, Level, Levels, Preview, Side, Trial, Verdict};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Plugin { name: "producer", order: 38, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    if !house.may_lead() {
        return Ok(());
    }
    let producer = Producer {
        house: house.clone(),
        critic: Critic::default(),
        levels: Levels::default(),
        level: Level::Calm,
        reported_at: 0,
        busy: false,
    };
    house.put(producer.start());
    Ok(())
}

/// What a proxy, or a voter for those that it feeds, has counted.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Outcomes {
    pub trials: Vec<Trial>,
    pub capacity: Vec<WorkerStats>,
}

/// Whether an operator's change of a rollout may pass; the time since its order.
#[derive(Message)]
#[rtype(result = "Result<u64, String>")]
pub struct MayPass {
    pub service: String,
    pub action: Action,
    pub bypass: bool,
}

/// What the figures of the rollouts come to, for the operator.
#[derive(Message)]
#[rtype(result = "serde_json::Value")]
pub struct Figures;

pub struct Producer {
    house: Rc<House>,
    critic: Critic,
    levels: Levels,
    level: Level,
    reported_at: u64,
    busy: bool,
}

impl Actor for Producer {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_millis(c::ROLLOUT_CHECK_INTERVAL_MS), |me, ctx| {
            me.round(ctx)
        });
    }
}

impl Producer {
    fn round(&mut self, ctx: &mut Context<Self>) {
        let stage = self.house.stage.get();
        self.critic.follow(self.house.now(), &stage.rollouts);
        if !self.house.standing.get().is_leader || self.busy {
            return;
        }
        self.level = self.levels.look();
        if stage.rollouts.values().all(|p| !p.is_active()) {
            return;
        }
        let Some(conductor) = self.house.get::<Addr<Conductor>>() else {
            return;
        };
        self.busy = true;
        let active = stage.rollouts.values().filter(|p| p.is_active());
        let versions: Vec<u64> = active.map(|p| p.version).collect();
        let facts = async move {
            let lease = conductor.send(Lease).await;
            let mut behind = Vec::new();
            for version in versions {
                if conductor.send(Behind(version)).await.unwrap_or(true) {
                    behind.push(version);
                }
            }
            matches!(lease, Ok(Some(_))).then_some(behind)
        };
        ctx.spawn(facts.into_actor(self).map(|behind, me, ctx| {
            me.busy = false;
            if let Some(behind) = behind {
                me.decide(&behind, ctx);
            }
        }));
    }

    fn decide(&mut self, behind: &[u64], ctx: &mut Context<Self>) {
        let now = self.house.now();
        let stage = self.house.stage.get();
        let Some(conductor) = self.house.get::<Addr<Conductor>>() else {
            return;
        };
        for p in stage.rollouts.values().filter(|p| p.is_active()) {
            let facts = self.facts(&stage, p, behind.contains(&p.version));
            let Some(change) = self.critic.decide(now, p, &facts) else {
                continue;
            };
            log::info!(
                "event=rollout service={} target={} state={} stage={} action={} elapsed={} why={:?}",
                p.service,
                p.target,
                p.state_now().name(),
                p.at,
                Action::try_from(change.action).map_or("none", |a| a.name()),
                change.elapsed_ms,
                change.why
            );
            self.house.counters.add("rollout_changes");
            let propose = conductor.send(Propose(ChangeKind::Rollout(change)));
            ctx.spawn(propose.into_actor(self).map(|_, _, _| ()));
        }
    }

    fn facts(&self, stage: &ControlState, p: &Preview, behind: bool) -> Facts {
        let mut facts = Facts {
            behind,
            reported_at: self.reported_at,
            level: self.level,
            kill_switch: stage.kill_switch.as_ref().is_some_and(|k| k.on),
            ..Default::default()
        };
        for w in stage.workers.values() {
            if w.service != p.service || w.draining || stage.evacuated.contains_key(&w.zone) {
                continue;
            }
            match p.side(&w.version) {
                Side::New if w.warmup_ms == 0 && !stage.is_warmup_unknown(w) => facts.ready += 1,
                Side::Old => facts.old += 1,
                _ => {}
            }
        }
        let old = |worker: &str| {
            let row = stage.workers.get(worker);
            row.is_some_and(|w| p.side(&w.version) == Side::Old)
        };
        let table = stage.key_leases.get(&p.service);
        let mut held = table.into_iter().flat_map(|t| t.values());
        facts.keys_left = held.any(|h| old(&h.worker));
        facts
    }

    /// What is counted of new versions is no sign of the system's state.
    fn take_capacity(&mut self, capacity: &[WorkerStats]) {
        let stage = self.house.stage.get();
        let on_trial: BTreeSet<u32> = if stage.rollouts.values().any(|p| p.is_active()) {
            let new = stage.workers.values().filter(|w| stage.cohort(w) == Side::New);
            new.map(|w| name_hash(&w.id)).collect()
        } else {
            BTreeSet::new()
        };
        for w in capacity.iter().filter(|w| !on_trial.contains(&w.worker)) {
            self.levels.take(w.served, w.failed);
        }
    }
}

impl Handler<Outcomes> for Producer {
    type Result = ();
    fn handle(&mut self, msg: Outcomes, _: &mut Self::Context) {
        let now = self.house.now();
        self.reported_at = now;
        self.critic.follow(now, &self.house.stage.get().rollouts);
        self.critic.take(&msg.trials, name_hash);
        self.take_capacity(&msg.capacity);
    }
}

impl Handler<MayPass> for Producer {
    type Result = Result<u64, String>;
    fn handle(&mut self, msg: MayPass, _: &mut Self::Context) -> Self::Result {
        let now = self.house.now();
        let stage = self.house.stage.get();
        self.critic.follow(now, &stage.rollouts);
        let p = stage.rollouts.get(&msg.service).ok_or("no such rollout")?;
        let elapsed = self.critic.elapsed(now, p);
        if msg.bypass {
            return Ok(elapsed);
        }
        let facts = self.facts(&stage, p, false);
        match msg.action {
            Action::Promote => {
                Critic::gate(now, &facts)?;
                match self.critic.verdict(p) {
                    Some(Verdict::Good) => {}
                    Some(Verdict::Unproven(why)) => return Err(format!("not proven: {why}")),
                    Some(Verdict::Bad(why)) => return Err(format!("the version is bad: {why}")),
                    None => return Err("there are no figures".into()),
                }
                if p.is_last() && facts.keys_left {
                    return Err("keys are still held by workers of the old version".into());
                }
            }
            Action::Resume => Critic::calm_enough(&facts)?,
            _ => {}
        }
        Ok(elapsed)
    }
}

impl Handler<Figures> for Producer {
    type Result = MessageResult<Figures>;
    fn handle(&mut self, _: Figures, _: &mut Self::Context) -> Self::Result {
        let now = self.house.now();
        let stage = self.house.stage.get();
        let rows: serde_json::Map<String, serde_json::Value> = stage
            .rollouts
            .values()
            .filter_map(|p| {
                let tally = self.critic.tally(&p.service)?;
                let (old, new) = tally.whole();
                let verdict = match self.critic.verdict(p)? {
                    Verdict::Good => "good".to_string(),
                    Verdict::Unproven(why) => format!("not proven: {why}"),
                    Verdict::Bad(why) => format!("bad: {why}"),
                };
                let side = |s: &rollout::Sums| {
                    serde_json::json!({"answered": s.answered(), "errors": s.bad, "lost": s.lost,
                        "mean_ms": if s.served > 0.0 { s.ms / s.served } else { 0.0 }})
                };
                let row = serde_json::json!({
                    "verdict": verdict, "elapsed_ms": self.critic.elapsed(now, p),
                    "old": side(&old), "new": side(&new),
                });
                Some((p.service.clone(), row))
            })
            .collect();
        MessageResult(serde_json::json!({"level": self.level as u8, "rollouts": rows}))
    }
}
