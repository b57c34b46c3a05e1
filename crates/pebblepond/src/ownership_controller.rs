//! The controller of key ownership: the leader grants, renews and revokes the leases of keys,
//! under its own lease.

use crate::control::{LeaderLease, Propose, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::reports::KeyLoads;
use crate::upstream::{simple, Fault, Simple, Upstream};
use actix::prelude::*;
use bytes::Bytes;
use config::constants as c;
use key_ownership::{Action, GrantCall, GrantResult, OwnershipManager, ReleaseCall, ReleaseResult};
use protocol::{ChangeKind, KeyLease, KeyLeaseChange};
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Component { name: "key_ownership", order: 60, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    if !context.may_lead() {
        return Ok(());
    }
    let bounds = &context.settings.get().terms.bounds;
    let ownership = OwnershipManager::new(bounds.hold_limit.ms, bounds.thaw.ms);
    let controller = OwnershipController {
        context: context.clone(),
        upstream: Upstream::new(),
        ownership,
        since: None,
    };
    let controller = controller.start();
    *context.report_handlers.key_loads.borrow_mut() = Some(controller.clone().recipient());
    context.put(controller);
    Ok(())
}

impl Handler<KeyLoads> for OwnershipController {
    type Result = ();
    fn handle(&mut self, msg: KeyLoads, _: &mut Self::Context) {
        self.ownership.add_loads(&msg.keys, &msg.workers);
    }
}

const RELEASE: &str = "/release";

/// A worker's answer, read whole.
type Answered = Result<(actix_http::StatusCode, actix_http::header::HeaderMap, Bytes), Fault>;

/// The owner of the grants.
pub struct OwnershipController {
    context: Rc<NodeContext>,
    upstream: Rc<Upstream>,
    ownership: OwnershipManager,
    /// Since when this node leads, as far as the grants go.
    since: Option<u64>,
}

impl Actor for OwnershipController {
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

impl OwnershipController {
    fn round(&mut self, ctx: &mut Context<Self>) {
        if !self.context.status.get().is_leader {
            self.since = None;
            return;
        }
        let Some(driver) = self.context.get::<Addr<RaftDriver>>() else {
            return;
        };
        ctx.spawn(driver.send(LeaderLease).into_actor(self).map(|lease, me, ctx| {
            let Ok(Some(since)) = lease else { return };
            let now = me.context.now();
            let state = me.context.state.get();
            if me.since != Some(since) {
                me.since = Some(since);
                me.ownership.begin(now, &state);
            }
            for act in me.ownership.tick(now, &state) {
                me.act(act, ctx);
            }
        }));
    }

    fn act(&mut self, act: Action, ctx: &mut Context<Self>) {
        match act {
            Action::Log(put) => self.log(put, ctx),
            Action::Grant(call) => self.grant(call, ctx),
            Action::Release(call) => self.release(call, ctx),
        }
    }

    fn log(&mut self, put: Vec<KeyLease>, ctx: &mut Context<Self>) {
        let Some(driver) = self.context.get::<Addr<RaftDriver>>() else {
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
            driver
                .send(Propose(change))
                .into_actor(self)
                .map(move |_, me, ctx| {
                    // Word of a change that was made in an earlier duty says nothing
                    // of one that this duty waits for.
                    if me.since == duty {
                        me.ownership.on_logged();
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
        let h = &call.lease;
        let mut body = serde_json::json!({
            "Source": h.from, "TargetVersion": h.to, "fence": h.fencing_token, "Hold": format!("{}ms", call.lease_ms),
        });
        if !h.handover.is_empty() {
            body["Handover"] = h.handover.clone().into();
        }
        let (address, worker) = (call.address.clone(), h.worker.clone());
        let work = self.ask(address, worker, "/grant", body, c::GRANT_TIMEOUT_MS);
        ctx.spawn(work.into_actor(self).map(move |result, me, _| {
            let (now, h) = (me.context.now(), &call.lease);
            let granted = match result {
                Ok((status, _, _)) if status.is_success() => GrantResult::Accepted,
                Ok((status, _, body)) if status == 409 => {
                    log::warn!(
                        "event=grant_outrun worker={} fence={} answer={:?}",
                        h.worker,
                        h.fencing_token,
                        body
                    );
                    GrantResult::Fenced
                }
                Ok(_) | Err(Fault::Unclear) => GrantResult::Unknown,
                Err(Fault::NotSent) => GrantResult::NotSent,
            };
            let unknown = me.ownership.unmatched_answers();
            me.ownership.on_grant_result(now, &call, granted);
            me.count_unknown(unknown);
            if granted != GrantResult::Accepted {
                me.context.counters.add("grants_failed");
            }
        }));
    }

    /// Counts an answer that came to nobody.
    fn count_unknown(&self, before: u64) {
        if self.ownership.unmatched_answers() != before {
            self.context.counters.add("unknown_key_answers");
        }
    }

    fn release(&self, call: ReleaseCall, ctx: &mut Context<Self>) {
        let h = &call.lease;
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
                    ReleaseResult::Released(token.to_string())
                }
                other => {
                    me.context.counters.add("releases_failed");
                    log::info!(
                        "event=release_failed worker={} answer={:?}",
                        call.lease.worker,
                        other.map(|r| r.0)
                    );
                    ReleaseResult::Failed
                }
            };
            let unknown = me.ownership.unmatched_answers();
            me.ownership.on_release_result(me.context.now(), &call, released);
            me.count_unknown(unknown);
            me.round(ctx);
        }));
    }
}
