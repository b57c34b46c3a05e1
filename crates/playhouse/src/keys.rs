//! The duty of granting keys. The leader does it, under the lease.

use crate::conductor::{Conductor, Lease, Propose};
use crate::kernel::{House, Plugin};
use crate::upstream::{simple, Fault, Upstream};
use actix::prelude::*;
use bytes::Bytes;
use playbill::constants as c;
use playbill::letters::{Capacity, ChangeKind, Holding, KeyCounts, KeysChange};
use std::rc::Rc;
use std::time::Duration;
use wardrobe::{Act, GrantCall, Granted, ReleaseCall, Released, Wardrobe};

inventory::submit! { Plugin { name: "keys", order: 60, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    if !house.may_lead() {
        return Ok(());
    }
    let bounds = &house.settings.get().terms.bounds;
    let wardrobe = Wardrobe::new(bounds.hold_limit.0, bounds.thaw.0);
    let dresser = Dresser {
        house: house.clone(),
        upstream: Upstream::new(),
        wardrobe,
        since: None,
    };
    house.put(dresser.start());
    Ok(())
}

/// What a proxy counted for the keys.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Counted {
    pub keys: Vec<KeyCounts>,
    pub capacity: Vec<Capacity>,
}

impl Handler<Counted> for Dresser {
    type Result = ();
    fn handle(&mut self, msg: Counted, _: &mut Self::Context) {
        self.wardrobe.take_loads(&msg.keys, &msg.capacity);
    }
}

/// A worker's answer, read whole.
type Answered = Result<(actix_http::StatusCode, actix_http::header::HeaderMap, Bytes), Fault>;

/// The owner of the grants.
pub struct Dresser {
    house: Rc<House>,
    upstream: Rc<Upstream>,
    wardrobe: Wardrobe,
    /// Since when this node leads, as far as the grants go.
    since: Option<u64>,
}

impl Actor for Dresser {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_millis(c::KEYS_EVERY_MS), |me, ctx| me.round(ctx));
        ctx.run_interval(Duration::from_millis(c::SWEEP_MS), |me, _| me.upstream.sweep());
    }
}

impl Dresser {
    fn round(&mut self, ctx: &mut Context<Self>) {
        if !self.house.standing.get().is_leader {
            self.since = None;
            return;
        }
        let Some(conductor) = self.house.get::<Addr<Conductor>>() else {
            return;
        };
        ctx.spawn(conductor.send(Lease).into_actor(self).map(|lease, me, ctx| {
            let Ok(Some(since)) = lease else { return };
            let now = me.house.now();
            let stage = me.house.stage.get();
            if me.since != Some(since) {
                me.since = Some(since);
                me.wardrobe.begin(now, &stage);
            }
            let ends: Vec<(u64, u64)> = stage
                .holdings
                .values()
                .flat_map(|t| t.values())
                .map(|h| (h.fence, me.wardrobe.hold_end(h.fence)))
                .collect();
            for act in me.wardrobe.tick(now, &stage) {
                me.act(act, &ends, ctx);
            }
        }));
    }

    fn act(&mut self, act: Act, ends: &[(u64, u64)], ctx: &mut Context<Self>) {
        match act {
            Act::Log(put) => self.log(put, ctx),
            Act::Grant(call) => {
                let end = ends
                    .iter()
                    .find(|(f, _)| *f == call.holding.fence)
                    .map_or(0, |(_, e)| *e);
                self.grant(call, end, ctx);
            }
            Act::Release(call) => self.release(call, ctx),
        }
    }

    fn log(&mut self, put: Vec<Holding>, ctx: &mut Context<Self>) {
        let Some(conductor) = self.house.get::<Addr<Conductor>>() else {
            return;
        };
        for h in &put {
            log::info!(
                "event=keys service={} from={} to={} worker={} fence={} leaving={}",
                h.service,
                h.from,
                h.to,
                h.worker,
                h.fence,
                h.leaving
            );
        }
        let change = ChangeKind::Keys(KeysChange { put });
        ctx.spawn(
            conductor
                .send(Propose(change))
                .into_actor(self)
                .map(|_, me, ctx| {
                    me.wardrobe.logged();
                    me.round(ctx);
                }),
        );
    }

    /// A call to a worker with a JSON body.
    fn ask(
        &self,
        address: String,
        path: &'static str,
        body: serde_json::Value,
        wait_ms: u64,
    ) -> impl std::future::Future<Output = Answered> + 'static {
        let upstream = self.upstream.clone();
        let body = Bytes::from(body.to_string());
        async move {
            simple(
                &upstream,
                actix_http::Method::POST,
                &address,
                path,
                Some(body),
                wait_ms,
            )
            .await
        }
    }

    fn grant(&self, call: GrantCall, end_before: u64, ctx: &mut Context<Self>) {
        let h = call.holding;
        let mut body = serde_json::json!({
            "Source": h.from, "TargetVersion": h.to, "fence": h.fence, "Hold": format!("{}ms", call.hold_ms),
        });
        if !h.handover.is_empty() {
            body["Handover"] = h.handover.clone().into();
        }
        let work = self.ask(call.address, "/grant", body, c::GRANT_WAIT_MS);
        ctx.spawn(work.into_actor(self).map(move |result, me, _| {
            let now = me.house.now();
            let granted = match result {
                Ok((status, _, _)) if status.is_success() => Granted::Yes,
                Ok((status, _, body)) if status == 409 => {
                    log::warn!(
                        "event=grant_outrun worker={} fence={} answer={:?}",
                        h.worker,
                        h.fence,
                        body
                    );
                    Granted::Outrun
                }
                Ok(_) | Err(Fault::Unclear) => Granted::Unclear,
                Err(Fault::NotSent) => Granted::NotSent,
            };
            if granted == Granted::NotSent {
                me.wardrobe.not_sent(now, &h, end_before);
            } else {
                me.wardrobe.granted(now, &h, granted);
            }
            if granted != Granted::Yes {
                me.house.counters.add("grants_failed");
            }
        }));
    }

    fn release(&self, call: ReleaseCall, ctx: &mut Context<Self>) {
        let h = call.holding;
        let body = serde_json::json!({ "Source": h.from, "TargetVersion": h.to, "fence": h.fence });
        let work = self.ask(call.address, "/release", body, c::RELEASE_WAIT_MS);
        ctx.spawn(work.into_actor(self).map(move |result, me, ctx| {
            let released = match result {
                Ok((status, headers, _)) if status.is_success() => {
                    let token = headers
                        .get("Duty-Handover")
                        .and_then(|v| v.to_str().ok())
                        .unwrap_or("");
                    Released::Yes(token.to_string())
                }
                other => {
                    me.house.counters.add("releases_failed");
                    log::info!(
                        "event=release_failed worker={} answer={:?}",
                        h.worker,
                        other.map(|r| r.0)
                    );
                    Released::Failed
                }
            };
            me.wardrobe.released(me.house.now(), &h, released);
            me.round(ctx);
        }));
    }
}
