//! The workers of a soak and the platform's list of them. Workers are replaced one after the other,
//! and some crash.

use super::observations::{Record, WorkerFacts};
use super::shape::Shape;
use super::worker::Worker;
use super::Routes;
use crate::net::Net;
use crate::platform::{FirstPage, Instances, Platform};
use crate::settings;
use crate::ScenarioError;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// First machine number of the workers' addresses, above those of nodes.
const FIRST_ADDRESS: u8 = 130;
/// Number of addresses that workers use in turn.
const ADDRESSES: u8 = 110;
/// Ports that workers use in turn on each of these addresses.
const PORTS: u16 = 2;
/// How long a draining worker keeps serving, in milliseconds: slightly longer than `Drain`.
const DRAIN_MS: u64 = 3200;
/// Interval between two looks whether the list was read, in milliseconds.
const READING_POLL_MS: u64 = 5;
/// How long a crashed worker stays on the list, in milliseconds.
const CRASHED_LISTED_MS: u64 = 2500;

/// All workers of a soak.
#[derive(Clone)]
pub struct WorkerPool {
    record: Record,
    net: Net,
    instances: Instances,
    first_page: Arc<Mutex<FirstPage>>,
    workers: Rc<RefCell<Vec<Rc<Worker>>>>,
    started_count: Rc<Cell<u32>>,
}

impl WorkerPool {
    /// Creates a pool without workers. The platform will list its workers.
    pub fn new(record: &Record, net: Net, platform: &Platform) -> WorkerPool {
        WorkerPool {
            record: record.clone(),
            net,
            instances: platform.instances.clone(),
            first_page: platform.first_page.clone(),
            workers: Rc::default(),
            started_count: Rc::default(),
        }
    }

    /// Starts the workers of all zones.
    pub async fn start_all(&self, shape: &Shape) -> Result<(), ScenarioError> {
        for zone in 1..=shape.worker_zones {
            for _ in 0..shape.workers_per_zone {
                for service in [Routes::PLAIN_SERVICE, Routes::KEYED_SERVICE] {
                    self.start(service, &settings::zone(zone)).await?;
                }
            }
        }
        Ok(())
    }

    async fn start(&self, service: &str, zone: &str) -> Result<(), ScenarioError> {
        let is_partitioned = service == Routes::KEYED_SERVICE;
        let (worker, address) = self.start_at_free_address(is_partitioned).await?;
        let id = worker.id.clone();
        self.record.update(|seen| {
            let facts = WorkerFacts {
                zone: zone.into(),
                ..Default::default()
            };
            seen.workers.insert(id.clone(), facts)
        });
        self.workers.borrow_mut().push(worker);
        if let Ok(mut listed) = self.instances.lock() {
            listed.insert(
                id,
                json!({
                    "Service": service, "Address": address.to_string(), "Zone": zone, "Version": "v1",
                    "CapacitySlots": 60, "State": "ready", "ColdLeft": "0ms"
                }),
            );
        }
        Ok(())
    }

    /// Starts a worker at the next address that no other worker uses.
    async fn start_at_free_address(
        &self,
        is_partitioned: bool,
    ) -> Result<(Rc<Worker>, SocketAddrV4), ScenarioError> {
        let mut result = Err("there is no address for a worker".into());
        for _ in 0..u16::from(ADDRESSES) * PORTS {
            let number = self.started_count.get();
            self.started_count.set(number + 1);
            // Identifiers are scattered so that a new worker may appear anywhere in the list.
            let id = format!("i-{:08x}", number.wrapping_mul(2_654_435_761));
            let machine = FIRST_ADDRESS + (number % u32::from(ADDRESSES)) as u8;
            let port_offset = (number / u32::from(ADDRESSES)) as u16 % PORTS;
            let port = self.net.front(0).port() + port_offset;
            let address = SocketAddrV4::new(self.net.ip(machine), port);
            match Worker::start(&self.record, &id, address, is_partitioned).await {
                Ok(worker) => return Ok((worker, address)),
                Err(error) => result = Err(error),
            }
        }
        result
    }

    /// Replaces a worker: the new one starts first, and the old one drains or crashes.
    pub async fn replace_random_worker(&self, rng: &mut StdRng) -> Result<(), ScenarioError> {
        let candidates: Vec<Rc<Worker>> = self.workers.borrow().clone();
        match candidates.choose(rng).cloned() {
            Some(old_worker) => self.replace(old_worker, rng).await,
            None => Ok(()),
        }
    }

    /// Replaces workers on the first page of the list right after it was read, so that a whole
    /// reading goes by before the page is read again. Waits up to `timeout_ms` for the reading.
    pub async fn replace_after_reading(
        &self,
        count: usize,
        timeout_ms: u64,
        rng: &mut StdRng,
    ) -> Result<(), ScenarioError> {
        let read_first_page = || self.first_page.lock().map(|p| p.clone()).unwrap_or_default();
        let (before, until) = (read_first_page().readings, self.record.now() + timeout_ms);
        while read_first_page().readings == before && self.record.now() < until {
            actix_rt::time::sleep(Duration::from_millis(READING_POLL_MS)).await;
        }
        let on_page = read_first_page().workers;
        let workers: Vec<Rc<Worker>> = self.workers.borrow().clone();
        let on_page = workers.into_iter().filter(|w| on_page.contains(&w.id));
        for old_worker in on_page.take(count) {
            self.replace(old_worker, rng).await?;
        }
        Ok(())
    }

    async fn replace(&self, old_worker: Rc<Worker>, rng: &mut StdRng) -> Result<(), ScenarioError> {
        let entry = self
            .instances
            .lock()
            .ok()
            .and_then(|l| l.get(&old_worker.id).cloned());
        let Some(entry) = entry.filter(|e| e["State"] == "ready") else {
            return Ok(());
        };
        let text_field = |name: &str| entry[name].as_str().unwrap_or_default().to_string();
        self.start(&text_field("Service"), &text_field("Zone")).await?;
        self.workers.borrow_mut().retain(|w| w.id != old_worker.id);
        let worker_pool = self.clone();
        let is_graceful = rng.gen_bool(0.8);
        actix_rt::spawn(async move { worker_pool.retire(&old_worker, is_graceful).await });
        Ok(())
    }

    async fn retire(&self, old_worker: &Worker, is_graceful: bool) {
        if is_graceful {
            if let Ok(mut listed) = self.instances.lock() {
                if let Some(entry) = listed.get_mut(&old_worker.id) {
                    entry["State"] = "draining".into();
                }
            }
            let now = self.record.now();
            self.record.update(|seen| {
                if let Some(facts) = seen.workers.get_mut(&old_worker.id) {
                    facts.draining_at = Some(now);
                }
            });
            actix_rt::time::sleep(Duration::from_millis(DRAIN_MS)).await;
        }
        old_worker.end();
        if !is_graceful {
            actix_rt::time::sleep(Duration::from_millis(CRASHED_LISTED_MS)).await;
        }
        if let Ok(mut listed) = self.instances.lock() {
            listed.remove(&old_worker.id);
        }
    }
}
