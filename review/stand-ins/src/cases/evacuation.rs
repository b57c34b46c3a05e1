//! EVAC: an order that was taken and confirmed long ago reaches the leader once more, out of a
//! node that stood still, and takes back an evacuation that was begun after it.

use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::operator::{configuration, Operator, Route, ACKNOWLEDGE, HOST};
use crate::platform::{Entry, Platform};
use crate::worker::{Work, Worker};
use crate::{sys, Setting, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ZONE: &str = "rec-ant";
/// The machine that stands still: one without a disk, in another zone.
const FROZEN: usize = 8;
const MACHINES: usize = 8;
/// How long it stands still; `node_freeze` of the pages lasts 5 s.
const FREEZE: Duration = Duration::from_millis(4800);
/// `Evacuation` of the settings, ms.
const EVACUATION_MS: u64 = 5000;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let fleet = Fleet::start(record, setting.root.clone(), MACHINES)?;
    let platform = Platform::start(fleet.net.platform())?;
    let mut workers = Vec::new();
    for (n, (zone, _)) in ZONES.iter().chain(ZONES.iter()).enumerate() {
        let entry = Entry {
            id: format!("i-{n:04}"),
            service: "huvo11a".into(),
            address: fleet.net.worker(n as u8),
            zone: zone.to_string(),
            draining: false,
            started: None,
        };
        workers.push(Worker::start(record, entry, Work::Brief { work_ms: 30 }, false)?);
    }
    platform.set(workers.iter().map(|w| w.entry.clone()).collect());
    let others: Vec<usize> = (1..=MACHINES).filter(|m| *m != FROZEN).collect();
    let operator = |first: Option<usize>| Operator {
        record: record.clone(),
        nodes: first
            .into_iter()
            .chain(others.iter().copied())
            .map(|m| fleet.net.control(m))
            .collect(),
    };
    let route = Route {
        name: "r-1",
        kind: "idempotent",
        prefix: "/lepu270/",
        service: "huvo11a",
        timeout_ms: 2000,
    };
    operator(None).configure(
        0,
        &configuration(5, &[route], &[("huvo11a", false)]),
        Duration::from_secs(20),
    )?;
    fleet.wait_ready(Duration::from_secs(15))?;
    std::thread::sleep(Duration::from_secs(3));

    // Traffic at all machines but the one that stands still.
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = others
        .iter()
        .map(|machine| {
            let (front, ends, record, machine) =
                (fleet.net.front(*machine), ends.clone(), record.clone(), *machine);
            std::thread::spawn(move || {
                let mut n = 0;
                while !ends.load(Ordering::Relaxed) {
                    n += 1;
                    let headers =
                        format!("Host: {HOST}\r\nAttempt-Id: a-{machine}-{n}\r\nDeadline-Ms: 2000\r\n");
                    let answer =
                        http::call(front, "GET", "/lepu270/2f", &headers, b"", Duration::from_secs(2));
                    let what = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                    record.note(format!(
                        "client sent a-{machine}-{n} to machine {machine}: {what}"
                    ));
                    std::thread::sleep(Duration::from_millis(25));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));

    let begin = format!("/evacuation/{ZONE}/begin");
    let finish = format!("/evacuation/{ZONE}/finish");
    // Every order is confirmed before the next is sent.
    let confirmed = |operator: &Operator, path: &str| match operator.order(path, "", "", ACKNOWLEDGE)? {
        (200, at) => Ok(at),
        (status, _) => Err(format!("{path} is answered with {status}")),
    };
    confirmed(&operator(None), &begin)?;
    std::thread::sleep(Duration::from_secs(3));
    let frozen_at = Instant::now();
    if setting.trouble {
        fleet.signal(FROZEN, sys::SIGSTOP, "stands still");
        std::thread::sleep(Duration::from_millis(100));
    }
    // The order goes to the machine first; after a second of silence to the next.
    confirmed(&operator(Some(FROZEN)), &finish)?;
    std::thread::sleep(Duration::from_millis(1500));
    let begun_ms = confirmed(&operator(None), &begin)?;
    record.note("the second evacuation is confirmed; it is not taken back by anybody from here on");
    if setting.trouble {
        std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        fleet.signal(FROZEN, sys::SIGCONT, "goes on");
    }
    std::thread::sleep(Duration::from_secs(14));
    let ended_ms = record.now_ms();
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let mut breaches = Vec::new();
    for worker in workers.iter().filter(|w| w.entry.zone == ZONE) {
        let runs = worker.runs.lock().unwrap();
        let late = runs
            .iter()
            .filter(|r| r.at_ms > begun_ms + EVACUATION_MS && r.at_ms < ended_ms);
        let late: Vec<u64> = late.map(|r| r.at_ms - begun_ms).collect();
        if let (Some(first), Some(last)) = (late.first(), late.last()) {
            breaches.push(format!(
                "EVAC: worker {} of {ZONE} ran {} requests {first} to {last} ms after the evacuation was confirmed",
                worker.entry.id,
                late.len()
            ));
        }
    }
    Ok(breaches)
}
