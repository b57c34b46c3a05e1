//! Service discovery: while it holds the leader lease, the leader reads the platform's list of
//! workers and proposes the changes to the log.

mod listing;

use crate::control::{GetLeaderSince, Propose, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::upstream::{call_api, ApiCall, Upstream};
use actix::prelude::*;
use config::{constants as c, DurationText};
use listing::{Listing, NextStep};
use placement::{draining_on_page, is_empty_change, DiscoveryInput, ProxyNode, WarmupAdmission};
use protocol::{ChangeKind, Worker, WorkersChange};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Component { name: "discovery", order: 50, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    if !context.may_lead() {
        return Ok(());
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        let mut discovery = Discovery {
            context,
            upstream: Upstream::new(),
            warmup: WarmupAdmission::default(),
            leader_since: None,
        };
        loop {
            let pause_ms = discovery.poll().await;
            actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    });
    Ok(())
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Page {
    instances: BTreeMap<String, ListedInstance>,
    next_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListedInstance {
    service: String,
    address: String,
    zone: String,
    #[serde(default)]
    version: String,
    #[serde(default = "one")]
    capacity_slots: u32,
    state: String,
    #[serde(default)]
    cold_left: DurationText,
}

impl ListedInstance {
    fn into_worker(self, id: String) -> Worker {
        Worker {
            id,
            draining: self.state != "ready",
            service: self.service,
            address: self.address,
            zone: self.zone,
            version: self.version,
            slots: self.capacity_slots,
            warmup_ms: self.cold_left.ms,
            ..Default::default()
        }
    }
}

fn one() -> u32 {
    1
}

/// A reading of the list in progress.
struct Reading {
    /// Start of the leadership under which the reading was begun, in milliseconds.
    leader_since: u64,
    /// Start of the reading, in milliseconds.
    started_at: u64,
    /// Last applied log index before the reading.
    as_of: u64,
    /// Number of pages requested so far.
    pages: u64,
}

struct Discovery {
    context: Rc<NodeContext>,
    upstream: Rc<Upstream>,
    warmup: WarmupAdmission,
    /// Start of the leadership that `warmup` was last reset for, in milliseconds.
    leader_since: Option<u64>,
}

impl Discovery {
    /// Reads the list once if this node holds the leader lease, and proposes what has changed.
    /// Returns the pause until the next call, in milliseconds.
    async fn poll(&mut self) -> u64 {
        const IDLE_MS: u64 = 100;
        let Some(driver) = self.context.component::<Addr<RaftDriver>>() else {
            return IDLE_MS;
        };
        if !self.context.status.get().is_leader {
            return IDLE_MS;
        }
        let Ok(Some(since)) = driver.send(GetLeaderSince).await else {
            return IDLE_MS;
        };
        if self.leader_since != Some(since) {
            self.leader_since = Some(since);
            self.warmup.reset();
        }
        let mut reading = Reading {
            leader_since: since,
            started_at: self.context.now(),
            as_of: self.context.state.get().index,
            pages: 0,
        };
        if let Some(listing) = self.read_list(&driver, &mut reading).await {
            let leader_since = driver.send(GetLeaderSince).await.ok().flatten();
            let Some(listed) = listing.finish(leader_since) else {
                self.context.counters.increment("listings_of_another_lease");
                return IDLE_MS;
            };
            let settings = self.context.settings.get();
            let input = DiscoveryInput {
                state: &self.context.state.get(),
                as_of: reading.as_of,
                nodes: &self.proxy_nodes(),
                bounds: &settings.terms.bounds,
                lag_ms: settings.platform.cloud_api.lag.ms,
                pages: reading.pages,
            };
            let change = self.warmup.compare(self.context.now(), &listed, &input);
            if !is_empty_change(&change) {
                log_leaving(&change, self.context.now() - reading.started_at, reading.pages);
                let _ = driver.send(Propose(ChangeKind::Workers(change))).await;
            }
        } else {
            self.context.counters.increment("platform_calls_failed");
        }
        (reading.started_at + c::LIST_INTERVAL_MS.max(reading.pages * c::LIST_PAGE_INTERVAL_MS))
            .saturating_sub(self.context.now())
            .max(IDLE_MS)
    }

    /// Proposes the workers that a page shows as draining, if this node still leads. The reading
    /// goes on meanwhile.
    async fn propose_draining(&self, driver: &Addr<RaftDriver>, change: WorkersChange, reading: &Reading) {
        if is_empty_change(&change) {
            return;
        }
        let leader_since = driver.send(GetLeaderSince).await.ok().flatten();
        if leader_since == Some(reading.leader_since) {
            log_leaving(&change, self.context.now() - reading.started_at, reading.pages);
            driver.do_send(Propose(ChangeKind::Workers(change)));
        }
    }

    /// Returns the nodes that accept client requests.
    fn proxy_nodes(&self) -> Vec<ProxyNode> {
        let members = self.context.members.get();
        let serving = members.iter().filter(|m| m.is_alive() && m.is_ready && m.id != 0);
        serving
            .map(|m| ProxyNode {
                id: m.id,
                zone: m.zone.clone(),
            })
            .collect()
    }

    async fn read_list(&self, driver: &Addr<RaftDriver>, reading: &mut Reading) -> Option<Listing<Worker>> {
        let address = self.context.settings.get().platform.cloud_api.address.to_string();
        let mut listing = Listing::new(reading.leader_since);
        let mut path = "/instances".to_string();
        loop {
            reading.pages += 1;
            self.context.counters.increment("platform_calls");
            let call = ApiCall {
                method: actix_http::Method::GET,
                address: &address,
                path: &path,
                worker: None,
                body: None,
                timeout_ms: c::LIST_TIMEOUT_MS,
                on_new_connection: false,
            };
            let response = call_api(&self.upstream, call).await.ok()?;
            if response.status != 200 {
                return None;
            }
            let page: Page = serde_json::from_slice(&response.body).ok()?;
            let entries = page.instances.into_iter();
            let entries: BTreeMap<String, Worker> =
                entries.map(|(id, l)| (id.clone(), l.into_worker(id))).collect();
            let draining = draining_on_page(entries.values(), &self.context.state.get(), reading.as_of);
            match listing.add_page(entries, page.next_token) {
                NextStep::Page(token) => {
                    self.propose_draining(driver, draining, reading).await;
                    path = format!("/instances?PageToken={token}");
                }
                // The comparison with the whole list follows at once.
                NextStep::Done => return Some(listing),
                NextStep::Invalid => return None,
            }
        }
    }
}

/// Logs the workers that a reading of the list shows as draining or removed, and the time that the
/// reading took.
fn log_leaving(change: &WorkersChange, listing_ms: u64, pages: u64) {
    let draining = change.put.iter().filter(|worker| worker.draining).count();
    let removed = change.removed.len();
    if draining + removed > 0 {
        log::info!(
            "event=workers_leaving draining={draining} removed={removed} listing_ms={listing_ms} pages={pages}"
        );
    }
}
