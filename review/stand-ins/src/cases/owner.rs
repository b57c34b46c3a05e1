//! OWNER: a configuration drops a service that is divided by key, and the next one brings it
//! back; the keys are then given out anew while the holders of before still hold them.

use crate::fleet::{Fleet, ZONES};
use crate::http;
use crate::operator::{configuration, Operator, Route, HOST};
use crate::platform::{Entry, Platform};
use crate::worker::{Hold, Run, Work, Worker};
use crate::{Setting, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const MACHINES: usize = 8;
const SERVICE: &str = "huvo11a";
const OTHER: &str = "wuno96b";
/// Between the two configurations; a storm of the pages has one each 330 ms.
const GAP: Duration = Duration::from_millis(400);
/// Two workers may hold the same keys for half a second.
const MOST_MS: u64 = 500;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let fleet = Fleet::start(record, setting.root.clone(), MACHINES)?;
    let platform = Platform::start(fleet.net.platform())?;
    let mut workers = Vec::new();
    for (n, (zone, _)) in ZONES.iter().enumerate() {
        for (k, service) in [SERVICE, OTHER].into_iter().enumerate() {
            let entry = Entry {
                id: format!("i-{n}{k}"),
                service: service.into(),
                address: fleet.net.worker((2 * n + k) as u8),
                zone: zone.to_string(),
                draining: false,
                started: None,
            };
            workers.push(Worker::start(
                record,
                entry,
                Work::Brief { work_ms: 40 },
                service == SERVICE,
            )?);
        }
    }
    platform.set(workers.iter().map(|w| w.entry.clone()).collect());
    let operator = Operator {
        record: record.clone(),
        nodes: (1..=MACHINES).map(|m| fleet.net.control(m)).collect(),
    };
    let route = |name, prefix, service| Route {
        name,
        kind: "idempotent",
        prefix,
        service,
        timeout_ms: 2000,
    };
    let keyed = || route("r-1", "/lepu270/", SERVICE);
    let plain = || route("r-2", "/xapu221/", OTHER);
    let whole = |version| configuration(version, &[keyed(), plain()], &[(SERVICE, true), (OTHER, false)]);
    operator.configure(0, &whole(5), Duration::from_secs(20))?;
    fleet.wait_ready(Duration::from_secs(15))?;

    // Some keys are far busier than others.
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..=MACHINES)
        .flat_map(|machine| (0..3).map(move |n| (machine, n)))
        .map(|(machine, c)| {
            let (front, ends, record) = (fleet.net.front(machine), ends.clone(), record.clone());
            std::thread::spawn(move || {
                let mut random = (machine * 7 + c) as u64;
                let mut n = 0;
                while !ends.load(Ordering::Relaxed) {
                    n += 1;
                    random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    let drawn = random >> 40;
                    let key = if drawn % 10 < 6 { drawn % 4000 } else { drawn % 65536 };
                    let headers = format!(
                        "Host: {HOST}\r\nAttempt-Id: a-{machine}-{c}-{n}\r\nDeadline-Ms: 2000\r\nShard-Key: {key}\r\n"
                    );
                    let answer = http::call(front, "GET", "/lepu270/2f", &headers, b"", Duration::from_secs(2));
                    let what = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                    record.note(format!("client sent a-{machine}-{c}-{n} key {key} to machine {machine}: {what}"));
                    std::thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(16));
    if setting.trouble {
        // A change that leaves the service out, and the change that brings it back.
        operator.configure(
            5,
            &configuration(7, &[plain()], &[(OTHER, false)]),
            Duration::from_secs(6),
        )?;
        std::thread::sleep(GAP);
        operator.configure(7, &whole(9), Duration::from_secs(6))?;
    }
    std::thread::sleep(Duration::from_secs(6));
    ends.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(breaches(&workers))
}

/// Every pair of workers that held the same keys for too long: the worst one of each pair.
pub fn breaches(workers: &[Arc<Worker>]) -> Vec<String> {
    let holds: Vec<(&str, Vec<Hold>, Vec<Run>)> = workers
        .iter()
        .map(|w| {
            (
                w.entry.id.as_str(),
                w.holds.lock().unwrap().clone(),
                w.runs.lock().unwrap().clone(),
            )
        })
        .collect();
    let mut breaches = Vec::new();
    for (i, (a, of_a, runs_a)) in holds.iter().enumerate() {
        for (b, of_b, runs_b) in &holds[i + 1..] {
            let pairs = of_a.iter().flat_map(|x| of_b.iter().map(move |y| (x, y)));
            let common = pairs.filter_map(|(x, y)| {
                let (from, to) = (x.from.max(y.from), x.to.min(y.to));
                let (since, until) = (x.since_ms.max(y.since_ms), x.until_ms.min(y.until_ms));
                (from <= to && since < until).then_some((until - since, since, from, to, x.fence, y.fence))
            });
            let Some((ms, since, from, to, x, y)) = common.max() else {
                continue;
            };
            if ms <= MOST_MS {
                continue;
            }
            let began = |runs: &[Run]| {
                let within = |r: &&Run| r.at_ms >= since && r.at_ms < since + ms;
                runs.iter()
                    .filter(within)
                    .filter(|r| r.key.is_some_and(|k| from <= k && k <= to))
                    .count()
            };
            breaches.push(format!(
                "OWNER: workers {a} (fence {x}) and {b} (fence {y}) both held keys {from}-{to} for {ms} ms, \
                 from {since} ms on; they began {} and {} requests on them meanwhile",
                began(runs_a),
                began(runs_b)
            ));
        }
    }
    breaches
}
