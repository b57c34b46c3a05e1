//! OWNER: the platform's list comes on two pages, and workers leave between the two: one that runs
//! is on neither, and its keys are given to others at once.

use super::owner::breaches;
use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::operator::{configuration, Operator, Route, HOST};
use crate::platform::{Entry, Platform};
use crate::worker::{Work, Worker};
use crate::{Setting, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MACHINES: usize = 8;
const SERVICE: &str = "huvo11a";
const WORKERS: usize = 60;
/// Workers that are replaced, one a second: 0.45 of all, as in the site's `release`.
const REPLACED: usize = 27;
const GAP: Duration = Duration::from_millis(1030);
/// From the notice of a worker to its end, in steps of the gap: `Drain` (3 s) and a little longer.
const DRAIN_STEPS: usize = 4;
/// A call to the platform from another region, there and back (35 ms one way), ms.
const DISTANCE_MS: u64 = 70;

/// The worker that is replaced at a step: all stand on the first page.
fn old(step: usize) -> String {
    format!("i-{step:04}")
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let fleet = Fleet::start(record, setting.root.clone(), MACHINES)?;
    let platform = Platform::start(fleet.net.platform())?;
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let entry = Entry {
            id: format!("i-{n:04}"),
            service: SERVICE.into(),
            address: fleet.net.worker(n as u8),
            zone: ZONES[n % ZONES.len()].0.into(),
            draining: false,
            started: None,
        };
        workers.push(Worker::start(record, entry, Work::Brief { work_ms: 40 }, true)?);
    }
    let mut listed: Vec<Entry> = workers.iter().map(|w| w.entry.clone()).collect();
    platform.set(listed.clone());
    platform.set_distance(DISTANCE_MS);
    let operator = Operator {
        record: record.clone(),
        nodes: (1..=MACHINES).map(|m| fleet.net.control(m)).collect(),
    };
    let route = Route {
        name: "r-1",
        kind: "idempotent",
        prefix: "/lepu270/",
        service: SERVICE,
        timeout_ms: 2000,
    };
    operator.configure(
        0,
        &configuration(5, &[route], &[(SERVICE, true)]),
        Duration::from_secs(20),
    )?;
    fleet.wait_ready(Duration::from_secs(15))?;

    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..=MACHINES)
        .map(|machine| {
            let (front, ends, record) = (fleet.net.front(machine), ends.clone(), record.clone());
            std::thread::spawn(move || {
                let mut random = machine as u64;
                let mut n = 0;
                while !ends.load(Ordering::Relaxed) {
                    n += 1;
                    random = random
                        .wrapping_mul(6_364_136_223_846_793_005)
                        .wrapping_add(1_442_695_040_888_963_407);
                    let key = (random >> 40) % 65536;
                    let headers = format!(
                        "Host: {HOST}\r\nAttempt-Id: a-{machine}-{n}\r\nDeadline-Ms: 2000\r\nShard-Key: {key}\r\n"
                    );
                    let answer = http::call(front, "GET", "/lepu270/2f", &headers, b"", Duration::from_secs(2));
                    let what = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                    record.note(format!("client sent a-{machine}-{n} key {key} to machine {machine}: {what}"));
                    std::thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(10));
    if setting.trouble {
        // The new one starts first, the old one drains and then leaves.
        for step in 0..REPLACED + DRAIN_STEPS {
            if step < REPLACED {
                let entry = Entry {
                    id: format!("i-1{step:03}"),
                    service: SERVICE.into(),
                    address: fleet.net.worker((WORKERS + step) as u8),
                    zone: ZONES[step % ZONES.len()].0.into(),
                    draining: false,
                    started: Some(Instant::now()),
                };
                workers.push(Worker::start(
                    record,
                    entry.clone(),
                    Work::Brief { work_ms: 40 },
                    true,
                )?);
                listed.push(entry);
                listed[..]
                    .iter_mut()
                    .filter(|e| e.id == old(step))
                    .for_each(|e| e.draining = true);
                record.note(format!("the platform lists worker {} as draining", old(step)));
            }
            if let Some(leaves) = step.checked_sub(DRAIN_STEPS).map(old) {
                workers
                    .iter()
                    .filter(|w| w.entry.id == leaves)
                    .for_each(|w| w.end());
                listed.retain(|e| e.id != leaves);
            }
            platform.set(listed.clone());
            std::thread::sleep(GAP);
        }
        std::thread::sleep(Duration::from_secs(4));
    }
    std::thread::sleep(Duration::from_secs(2));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(breaches(&workers))
}
