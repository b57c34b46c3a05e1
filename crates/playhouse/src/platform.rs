//! The duty of reading the platform's list. One node does it, under the lease.

use crate::conductor::{Conductor, Lease, Propose};
use crate::kernel::{House, Plugin};
use crate::upstream::{simple, Upstream};
use actix::prelude::*;
use playbill::constants as c;
use playbill::letters::{ChangeKind, Worker, WorkersChange};
use playbill::span::Span;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

inventory::submit! { Plugin { name: "platform", order: 50, start } }

fn start(house: &Rc<House>) -> Result<(), String> {
    if !house.may_lead() {
        return Ok(());
    }
    let house = house.clone();
    actix_rt::spawn(async move {
        let mut agent = Agent {
            house,
            upstream: Upstream::new(),
            cold: HashMap::new(),
        };
        loop {
            let pause = agent.round().await;
            actix_rt::time::sleep(Duration::from_millis(pause)).await;
        }
    });
    Ok(())
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Page {
    instances: BTreeMap<String, Listed>,
    next_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Listed {
    service: String,
    address: String,
    zone: String,
    #[serde(default = "one")]
    capacity_slots: u32,
    state: String,
    #[serde(default)]
    cold_left: Span,
}

fn one() -> u32 {
    1
}

struct Agent {
    house: Rc<House>,
    upstream: Rc<Upstream>,
    /// When each worker that was told to be cold is warm again.
    cold: HashMap<String, u64>,
}

impl Agent {
    /// One look at the list, if that is this node's duty; the pause after it.
    async fn round(&mut self) -> u64 {
        const IDLE_MS: u64 = 100;
        let Some(conductor) = self.house.get::<Addr<Conductor>>() else {
            return IDLE_MS;
        };
        if !self.house.standing.get().is_leader || !matches!(conductor.send(Lease).await, Ok(Some(_))) {
            return IDLE_MS;
        }
        let begun = self.house.now();
        let mut pages = 0;
        if let Some(listed) = self.read_list(&mut pages).await {
            let change = self.compare(listed);
            if !change.put.is_empty() || !change.gone.is_empty() {
                let _ = conductor.send(Propose(ChangeKind::Workers(change))).await;
            }
        } else {
            self.house.counters.add("platform_calls_failed");
        }
        (begun + c::LIST_EVERY_MS.max(pages * c::LIST_PAGE_MS))
            .saturating_sub(self.house.now())
            .max(IDLE_MS)
    }

    async fn read_list(&self, pages: &mut u64) -> Option<BTreeMap<String, Listed>> {
        let address = self.house.settings.get().platform.cloud_api.address.to_string();
        let mut all = BTreeMap::new();
        let mut token: Option<String> = None;
        loop {
            let path = match &token {
                Some(t) => format!("/instances?PageToken={t}"),
                None => "/instances".to_string(),
            };
            *pages += 1;
            self.house.counters.add("platform_calls");
            let (status, _, body) = simple(
                &self.upstream,
                actix_http::Method::GET,
                &address,
                &path,
                None,
                c::LIST_WAIT_MS,
            )
            .await
            .ok()?;
            if status != 200 {
                return None;
            }
            let page: Page = serde_json::from_slice(&body).ok()?;
            all.extend(page.instances);
            match page.next_token {
                Some(next) if !next.is_empty() => token = Some(next),
                _ => return Some(all),
            }
        }
    }

    /// What the list says that the control state does not.
    fn compare(&mut self, listed: BTreeMap<String, Listed>) -> WorkersChange {
        let now = self.house.now();
        let stage = self.house.stage.get();
        self.cold.retain(|id, _| listed.contains_key(id));
        let mut change = WorkersChange::default();
        for (id, l) in &listed {
            let draining = l.state != "ready";
            let known = stage.workers.get(id);
            let told_until = self.cold.get(id).copied().unwrap_or(0);
            let colder = now + l.cold_left.0 > told_until + c::COLD_MARGIN_MS && l.cold_left.0 > 0;
            let same = known.is_some_and(|w| {
                w.draining == draining
                    && w.address == l.address
                    && w.zone == l.zone
                    && w.service == l.service
                    && w.slots == l.capacity_slots
            });
            // A node that has only just taken the duty over goes by what the
            // log says was told.
            let told_before = known.is_some_and(|w| w.cold_ms > 0) && !self.cold.contains_key(id);
            if same && (told_before || !colder) {
                if told_before {
                    self.cold.insert(id.clone(), now + l.cold_left.0);
                }
                continue;
            }
            self.cold.insert(id.clone(), now + l.cold_left.0);
            change.put.push(Worker {
                id: id.clone(),
                service: l.service.clone(),
                address: l.address.clone(),
                zone: l.zone.clone(),
                slots: l.capacity_slots,
                draining,
                cold_ms: l.cold_left.0,
                cold_at: 0,
            });
        }
        change.gone = stage
            .workers
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        change
    }
}
