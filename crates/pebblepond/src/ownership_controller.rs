//! The controller of key ownership: the leader grants, renews and revokes the leases of keys,
//! under its own lease.

use crate::control::{LeaderLease, Propose, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::reports::KeyLoads;
use crate::upstream::{call_api, ApiCall, ApiResponse, CallError, Upstream};
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
        leader_since: None,
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

/// Path of a worker's interface that takes keys back.
const RELEASE: &str = "/release";

/// The owner of the grants.
pub struct OwnershipController {
    context: Rc<NodeContext>,
    upstream: Rc<Upstream>,
    ownership: OwnershipManager,
    /// Since when this node leads, as far as the grants go.
    leader_since: Option<u64>,
}

impl Actor for OwnershipController {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(
            Duration::from_millis(c::KEY_CHECK_INTERVAL_MS),
            |controller, ctx| controller.round(ctx),
        );
        ctx.run_interval(
            Duration::from_millis(c::IDLE_SWEEP_INTERVAL_MS),
            |controller, _| controller.upstream.sweep(),
        );
    }
}

impl OwnershipController {
    fn round(&mut self, ctx: &mut Context<Self>) {
        if !self.context.status.get().is_leader {
            self.leader_since = None;
            return;
        }
        let Some(driver) = self.context.get::<Addr<RaftDriver>>() else {
            return;
        };
        ctx.spawn(
            driver
                .send(LeaderLease)
                .into_actor(self)
                .map(|lease, controller, ctx| {
                    let Ok(Some(since)) = lease else { return };
                    let now = controller.context.now();
                    let state = controller.context.state.get();
                    if controller.leader_since != Some(since) {
                        controller.leader_since = Some(since);
                        controller.ownership.begin(now, &state);
                    }
                    for action in controller.ownership.tick(now, &state) {
                        controller.perform(action, ctx);
                    }
                }),
        );
    }

    fn perform(&mut self, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Log(put) => self.log(put, ctx),
            Action::Grant(call) => self.grant(call, ctx),
            Action::Release(call) => self.release(call, ctx),
        }
    }

    fn log(&mut self, put: Vec<KeyLease>, ctx: &mut Context<Self>) {
        let Some(driver) = self.context.get::<Addr<RaftDriver>>() else {
            return;
        };
        for lease in &put {
            log::info!(
                "event=keys service={} from={} to={} worker={} fencing_token={} revoking={}",
                lease.service,
                lease.from,
                lease.to,
                lease.worker,
                lease.fencing_token,
                lease.revoking
            );
        }
        let change = ChangeKind::KeyLeases(KeyLeaseChange { put });
        let leader_since = self.leader_since;
        ctx.spawn(
            driver
                .send(Propose(change))
                .into_actor(self)
                .map(move |_, controller, ctx| {
                    // The end of a proposal that was made under an earlier lease says nothing
                    // of one that is awaited under this one.
                    if controller.leader_since == leader_since {
                        controller.ownership.on_logged();
                        controller.round(ctx);
                    }
                }),
        );
    }

    /// A call to a worker with a JSON body. A release must be heard from that
    /// worker alone, since the keys go to another on its word: a doubled answer
    /// on a connection used again would be taken for it.
    fn call_worker(
        &self,
        address: String,
        worker: String,
        path: &'static str,
        body: serde_json::Value,
        timeout_ms: u64,
    ) -> impl std::future::Future<Output = Result<ApiResponse, CallError>> + 'static {
        let upstream = self.upstream.clone();
        let body = Bytes::from(body.to_string());
        if path == RELEASE {
            // The worker may be short of connections: one in the place of others.
            upstream.forget(&address);
        }
        async move {
            let call = ApiCall {
                method: actix_http::Method::POST,
                address: &address,
                path,
                worker: Some(&worker),
                body: Some(body),
                timeout_ms,
                on_new_connection: path == RELEASE,
            };
            call_api(&upstream, call).await
        }
    }

    fn grant(&self, call: GrantCall, ctx: &mut Context<Self>) {
        let lease = &call.lease;
        let mut body = serde_json::json!({
            "Source": lease.from, "TargetVersion": lease.to, "fence": lease.fencing_token, "Hold": format!("{}ms", call.lease_ms),
        });
        if !lease.handover.is_empty() {
            body["Handover"] = lease.handover.clone().into();
        }
        let (address, worker) = (call.address.clone(), lease.worker.clone());
        let work = self.call_worker(address, worker, "/grant", body, c::GRANT_TIMEOUT_MS);
        ctx.spawn(work.into_actor(self).map(move |result, controller, _| {
            let (now, lease) = (controller.context.now(), &call.lease);
            let granted = match result {
                Ok(response) if response.status.is_success() => GrantResult::Accepted,
                Ok(response) if response.status == 409 => {
                    log::warn!(
                        "event=grant_fenced worker={} fencing_token={} answer={:?}",
                        lease.worker,
                        lease.fencing_token,
                        response.body
                    );
                    GrantResult::Fenced
                }
                Ok(_) | Err(CallError::Unclear) => GrantResult::Unknown,
                Err(CallError::NotSent) => GrantResult::NotSent,
            };
            let before = controller.ownership.unmatched_answers();
            controller.ownership.on_grant_result(now, &call, granted);
            controller.count_unmatched(before);
            if granted != GrantResult::Accepted {
                controller.context.counters.add("grants_failed");
            }
        }));
    }

    /// Counts an answer that no call waits for.
    fn count_unmatched(&self, before: u64) {
        if self.ownership.unmatched_answers() != before {
            self.context.counters.add("unmatched_key_answers");
        }
    }

    fn release(&self, call: ReleaseCall, ctx: &mut Context<Self>) {
        let lease = &call.lease;
        let body = serde_json::json!({ "Source": lease.from, "TargetVersion": lease.to, "fence": lease.fencing_token });
        let (address, worker) = (call.address.clone(), lease.worker.clone());
        let work = self.call_worker(address, worker, RELEASE, body, c::RELEASE_TIMEOUT_MS);
        ctx.spawn(work.into_actor(self).map(move |result, controller, ctx| {
            let released = match result {
                Ok(response) if response.status.is_success() => {
                    let token = response
                        .headers
                        .get("Duty-Handover")
                        .and_then(|v| v.to_str().ok())
                        .unwrap_or("");
                    ReleaseResult::Released(token.to_string())
                }
                other => {
                    controller.context.counters.add("releases_failed");
                    log::info!(
                        "event=release_failed worker={} answer={:?}",
                        call.lease.worker,
                        other.map(|response| response.status)
                    );
                    ReleaseResult::Failed
                }
            };
            let before = controller.ownership.unmatched_answers();
            controller
                .ownership
                .on_release_result(controller.context.now(), &call, released);
            controller.count_unmatched(before);
            controller.round(ctx);
        }));
    }
}
