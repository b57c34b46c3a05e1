//! The key ownership controller: while it holds the leader lease, the leader grants, renews and
//! revokes key leases.

use crate::control::{GetLeaderSince, Propose, RaftDriver};
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
    context.register_component(controller);
    Ok(())
}

impl Handler<KeyLoads> for OwnershipController {
    type Result = ();
    fn handle(&mut self, msg: KeyLoads, _: &mut Self::Context) {
        self.ownership.add_loads(&msg.keys, &msg.workers);
    }
}

/// Path on a worker that revokes its ownership of a key range.
const RELEASE_PATH: &str = "/release";

/// Actor that manages the key leases while this node is the leader.
pub struct OwnershipController {
    context: Rc<NodeContext>,
    upstream: Rc<Upstream>,
    ownership: OwnershipManager,
    /// Start of the leadership that `ownership` was last initialised for, in milliseconds; `None`
    /// while this node does not lead.
    leader_since: Option<u64>,
}

impl Actor for OwnershipController {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(
            Duration::from_millis(c::KEY_CHECK_INTERVAL_MS),
            |controller, ctx| controller.check_leases(ctx),
        );
        ctx.run_interval(
            Duration::from_millis(c::IDLE_SWEEP_INTERVAL_MS),
            |controller, _| controller.upstream.close_expired_connections(),
        );
    }
}

impl OwnershipController {
    fn check_leases(&mut self, ctx: &mut Context<Self>) {
        if !self.context.status.get().is_leader {
            self.leader_since = None;
            return;
        }
        let Some(driver) = self.context.component::<Addr<RaftDriver>>() else {
            return;
        };
        ctx.spawn(
            driver
                .send(GetLeaderSince)
                .into_actor(self)
                .map(|leader_since, controller, ctx| {
                    let Ok(Some(since)) = leader_since else { return };
                    let now = controller.context.now();
                    let state = controller.context.state.get();
                    if controller.leader_since != Some(since) {
                        controller.leader_since = Some(since);
                        controller.ownership.start_leadership(now, &state);
                    }
                    for action in controller.ownership.tick(now, &state) {
                        controller.perform(action, ctx);
                    }
                }),
        );
    }

    fn perform(&mut self, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::ProposeLeases(put) => self.propose_leases(put, ctx),
            Action::Grant(call) => self.grant(call, ctx),
            Action::Release(call) => self.release(call, ctx),
        }
    }

    fn propose_leases(&mut self, put: Vec<KeyLease>, ctx: &mut Context<Self>) {
        let Some(driver) = self.context.component::<Addr<RaftDriver>>() else {
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
                    // A proposal made under an earlier leadership must not be taken for the one
                    // that is pending under the current leadership.
                    if controller.leader_since == leader_since {
                        controller.ownership.on_proposal_finished();
                        controller.check_leases(ctx);
                    }
                }),
        );
    }

    /// Sends a request with a JSON body to a worker. A release uses a new
    /// connection: its response allows the keys to move to another worker, and a
    /// duplicated response on a reused connection would be taken for it.
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
        if path == RELEASE_PATH {
            // The worker may limit its connections: close the idle ones before opening a new one.
            upstream.close_idle_connections(&address);
        }
        async move {
            let call = ApiCall {
                method: actix_http::Method::POST,
                address: &address,
                path,
                worker: Some(&worker),
                body: Some(body),
                timeout_ms,
                on_new_connection: path == RELEASE_PATH,
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
        let request = self.call_worker(address, worker, "/grant", body, c::GRANT_TIMEOUT_MS);
        ctx.spawn(request.into_actor(self).map(move |result, controller, _| {
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
            let before = controller.ownership.unmatched_results();
            controller.ownership.on_grant_result(now, &call, granted);
            controller.count_unmatched(before);
            if granted != GrantResult::Accepted {
                controller.context.counters.increment("grants_failed");
            }
        }));
    }

    /// Counts a response that matched no pending call, given the manager's count before it.
    fn count_unmatched(&self, before: u64) {
        if self.ownership.unmatched_results() != before {
            self.context.counters.increment("unmatched_key_answers");
        }
    }

    fn release(&self, call: ReleaseCall, ctx: &mut Context<Self>) {
        let lease = &call.lease;
        let body = serde_json::json!({ "Source": lease.from, "TargetVersion": lease.to, "fence": lease.fencing_token });
        let (address, worker) = (call.address.clone(), lease.worker.clone());
        let request = self.call_worker(address, worker, RELEASE_PATH, body, c::RELEASE_TIMEOUT_MS);
        ctx.spawn(request.into_actor(self).map(move |result, controller, ctx| {
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
                    controller.context.counters.increment("releases_failed");
                    log::info!(
                        "event=release_failed worker={} answer={:?}",
                        call.lease.worker,
                        other.map(|response| response.status)
                    );
                    ReleaseResult::Failed
                }
            };
            let before = controller.ownership.unmatched_results();
            controller
                .ownership
                .on_release_result(controller.context.now(), &call, released);
            controller.count_unmatched(before);
            controller.check_leases(ctx);
        }));
    }
}
