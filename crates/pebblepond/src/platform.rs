//! The duty of reading the platform's list. One node does it, under the lease.

use crate::conductor::{Conductor, Lease, Propose};
use crate::kernel::{House, Plugin};
use crate::listing::{Listing, Next};
use crate::upstream::{simple, Simple, Upstream};
use actix::prelude::*;
use config::{constants as c, DurationText};
use placement::{is_nothing, Caller, Casting, Scene};
use protocol::{ChangeKind, Worker};
use serde::Deserialize;
use std::collections::BTreeMap;
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
            casting: Casting::default(),
            since: None,
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
    #[serde(default)]
    version: String,
    #[serde(default = "one")]
    capacity_slots: u32,
    state: String,
    #[serde(default)]
    cold_left: DurationText,
}

impl Listed {
    fn into_row(self, id: String) -> Worker {
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

struct Agent {
    house: Rc<House>,
    upstream: Rc<Upstream>,
    casting: Casting,
    /// Since when this node leads, as far as the list goes.
    since: Option<u64>,
}

impl Agent {
    /// One look at the list, if that is this node's duty; the pause after it.
    async fn round(&mut self) -> u64 {
        const IDLE_MS: u64 = 100;
        let Some(conductor) = self.house.get::<Addr<Conductor>>() else {
            return IDLE_MS;
        };
        if !self.house.standing.get().is_leader {
            return IDLE_MS;
        }
        let Ok(Some(since)) = conductor.send(Lease).await else {
            return IDLE_MS;
        };
        if self.since != Some(since) {
            self.since = Some(since);
            self.casting.begin();
        }
        let begun = self.house.now();
        let as_of = self.house.stage.get().index;
        let mut pages = 0;
        if let Some(listing) = self.read_list(since, &mut pages).await {
            let duty = conductor.send(Lease).await.ok().flatten();
            let Some(listed) = listing.finish(duty) else {
                self.house.counters.add("listings_of_another_duty");
                return IDLE_MS;
            };
            let listed = listed.into_iter().map(|(id, l)| (id.clone(), l.into_row(id)));
            let settings = self.house.settings.get();
            let scene = Scene {
                stage: &self.house.stage.get(),
                as_of,
                callers: &self.callers(),
                bounds: &settings.terms.bounds,
                lag_ms: settings.platform.cloud_api.lag.ms,
            };
            let change = self.casting.compare(self.house.now(), &listed.collect(), &scene);
            if !is_nothing(&change) {
                let _ = conductor.send(Propose(ChangeKind::Workers(change))).await;
            }
        } else {
            self.house.counters.add("platform_calls_failed");
        }
        (begun + c::LIST_INTERVAL_MS.max(pages * c::LIST_PAGE_INTERVAL_MS))
            .saturating_sub(self.house.now())
            .max(IDLE_MS)
    }

    /// The nodes that take clients.
    fn callers(&self) -> Vec<Caller> {
        let members = self.house.members.get();
        let serving = members.iter().filter(|m| m.is_alive() && m.ready && m.id != 0);
        serving
            .map(|m| Caller {
                id: m.id,
                zone: m.zone.clone(),
            })
            .collect()
    }

    async fn read_list(&self, duty: u64, pages: &mut u64) -> Option<Listing<Listed>> {
        let address = self.house.settings.get().platform.cloud_api.address.to_string();
        let mut listing = Listing::begin(duty);
        let mut path = "/instances".to_string();
        loop {
            *pages += 1;
            self.house.counters.add("platform_calls");
            let call = Simple {
                method: actix_http::Method::GET,
                address: &address,
                path: &path,
                worker: None,
                body: None,
                wait_ms: c::LIST_TIMEOUT_MS,
                fresh: false,
            };
            let (status, _, body) = simple(&self.upstream, call).await.ok()?;
            if status != 200 {
                return None;
            }
            let page: Page = serde_json::from_slice(&body).ok()?;
            match listing.page(page.instances, page.next_token) {
                Next::Page(token) => path = format!("/instances?PageToken={token}"),
                Next::Done => return Some(listing),
                Next::Broken => return None,
            }
        }
    }
}
