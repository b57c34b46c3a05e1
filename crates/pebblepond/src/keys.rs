//! The duty of granting keys. The leader does it, under the lease.

use crate::conductor::{Conductor, Lease, Propose};
use crate::kernel::{House, Plugin};
use crate::upstream::{simple, Fault, Simple, Upstream};
use actix::prelude::*;
use bytes::Bytes;
use config::constants as c;
use key_ownership::{Act, GrantCall, Granted, OwnershipManager, ReleaseCall, Released};
use protocol::{ChangeKind, KeyCounts, KeyLease, KeyLeaseChange, WorkerStats};
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Plugin { name: "keys", order: 60, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    if !house.may_lead() {
        return Ok(());
    }
    let bounds = &house.settings.get().terms.bounds;
    let ownership = OwnershipManager::new(bounds.hold_limit.ms, bounds.thaw.ms);
    let dresser = Dresser {
        house: house.clone(),
        upstream: Upstream::new(),
        ownership,
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
    pub capacity: Vec<WorkerStats>,
}

impl Handler<Counted> for Dresser {
    type Result = ();
    fn handle(&mut self, msg: Counted, _: &mut Self::Context) {
        self.ownership.take_loads(&msg.keys, &msg.capacity);
    }
}

const RELEASE: &str = "/release";

/// A worker's answer, read whole.
type Answered = Result<(actix_http::StatusCode, actix_http::header::HeaderMap, Bytes), Fault>;

/// The owner of the grants.
pub struct Dresser {
    house: Rc<House>,
    upstream: Rc<Upstream>,
    ownership: OwnershipManager,
    /// Since when this node leads, as far as the grants go.
    since: Option<u64>,
}

impl Actor for Dresser {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_millis(c::KEY_CHECK_INTERVAL_MS), |me, ctx| {
            me.round(ctx)
        });
        ctx.run_interval(Duration::from_millis(c::IDLE_SWEEP_INTERVAL_MS), |me, _| {
            me.upstream.sweep()
        });
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
                me.ownership.begin(now, &stage);
            }
            for act in me.ownership.tick(now, &stage) {
                me.act(act, ctx);
            }
        }));
    }

    fn act(&mut self, act: Act, ctx: &mut Context<Self>) {
        match act {
            Act::Log(put) => self.log(put, ctx),
            Act::Grant(call) => self.grant(call, ctx),
            Act::Release(call) => self.release(call, ctx),
        }
    }

    fn log(&mut self, put: Vec<KeyLease>, ctx: &mut Context<Self>) {
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
                h.fencing_token,
                h.revoking
            );
        }
        let change = ChangeKind::KeyLeases(KeyLeaseChange { put });
        let duty = self.since;
        ctx.spawn(
            conductor
                .send(Propose(change))
                .into_actor(self)
                .map(move |_, me, ctx| {
                    // Word of a change that was made in an earlier duty says nothing
                    // of one that this duty waits for.
                    if me.since == duty {
                        me.ownership.logged();
                        me.round(ctx);
                    }
                }),
        );
    }

    /// A call to a worker with a JSON body. A release must be heard from that
    /// worker alone, since the keys go to another on its word: a doubled answer
    /// on a connection used again would be taken for it.
    fn ask(
        &self,
        address: String,
        worker: String,
        path: &'static str,
        body: serde_json::Value,
        wait_ms: u64,
    ) -> impl std::future::Future<Output = Answered> + 'static {
        let upstream = self.upstream.clone();
        let body = Bytes::from(body.to_string());
        if path == RELEASE {
            // The worker may be short of connections: one in the place of others.
            upstream.forget(&address);
        }
        async move {
            let call = Simple {
                method: actix_http::Method::POST,
                address: &address,
                path,
                worker: Some(&worker),
                body: Some(body),
                wait_ms,
                fresh: path == RELEASE,
            };
            simple(&upstream, call).await
        }
    }

    fn grant(&self, call: GrantCall, ctx: &mut Context<Self>) {
        let h = &call.holding;
        let mut body = serde_json::json!({
            "Source": h.from, "TargetVersion": h.to, "fence": h.fencing_token, "Hold": format!("{}ms", call.hold_ms),
        });
        if !h.handover.is_empty() {
            body["Handover"] = h.handover.clone().into();
        }
        let (address, worker) = (call.address.clone(), h.worker.clone());
        let work = self.ask(address, worker, "/grant", body, c::GRANT_TIMEOUT_MS);
        ctx.spawn(work.into_actor(self).map(move |result, me, _| {
            let (now, h) = (me.house.now(), &call.holding);
            let granted = match result {
                Ok((status, _, _)) if status.is_success() => Granted::Yes,
                Ok((status, _, body)) if status == 409 => {
                    log::warn!(
                        "event=grant_outrun worker={} fence={} answer={:?}",
                        h.worker,
                        h.fencing_token,
                        body
                    );
                    Granted::Outrun
                }
                Ok(_) | Err(Fault::Unclear) => Granted::Unclear,
                Err(Fault::NotSent) => Granted::NotSent,
            };
            let unknown = me.ownership.unknown_answers();
            me.ownership.granted(now, &call, granted);
            me.count_unknown(unknown);
            if granted != Granted::Yes {
                me.house.counters.add("grants_failed");
            }
        }));
    }

    /// Counts an answer that came to nobody.
    fn count_unknown(&self, before: u64) {
        if self.ownership.unknown_answers() != before {
            self.house.counters.add("unknown_key_answers");
        }
    }

    fn release(&self, call: ReleaseCall, ctx: &mut Context<Self>) {
        let h = &call.holding;
        let body = serde_json::json!({ "Source": h.from, "TargetVersion": h.to, "fence": h.fencing_token });
        let (address, worker) = (call.address.clone(), h.worker.clone());
        let work = self.ask(address, worker, RELEASE, body, c::RELEASE_TIMEOUT_MS);
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
                        call.holding.worker,
                        other.map(|r| r.0)
                    );
                    Released::Failed
                }
            };
            let unknown = me.ownership.unknown_answers();
            me.ownership.released(me.house.now(), &call, released);
            me.count_unknown(unknown);
            me.round(ctx);
        }));
    }
}
