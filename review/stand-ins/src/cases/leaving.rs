//! LOST: a machine that is stopped in order takes requests until 0.7 of `GracePeriod`, and ends at
//! 0.9 of it, whatever it has passed on to workers by then.

use crate::fleet::Fleet;
use crate::http;
use crate::operator::{configuration, Operator, Route, HOST};
use crate::platform::{Entry, Platform};
use crate::worker::{Work, Worker};
use crate::{sys, Setting, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const MACHINES: usize = 8;
/// The machine that is stopped, without a disk.
const STOPPED: usize = 8;
/// The longest work of `dist-submit`, and what its clients wait.
const LONG_MS: u64 = 2100;
const DEADLINE_MS: u64 = 2500;
const GRACE_MS: u64 = 6000;
/// When the orders are sent, after SIGTERM. Clients may hold an answer of the directory for three
/// times its life, 6 s here.
const SENT_AFTER_MS: [u64; 4] = [3500, 3600, 3700, 3800];

struct Sent {
    id: String,
    at_ms: u64,
    ended_ms: u64,
    /// The status, or why there is none.
    answer: Result<u16, String>,
}

fn send(setting: &Setting, front: std::net::SocketAddrV4, id: String, path: &str, deadline_ms: u64) -> Sent {
    let at_ms = setting.record.now_ms();
    let headers = format!("Host: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n");
    let silence = Duration::from_millis(deadline_ms + 500);
    let answer = http::call(front, "POST", path, &headers, b"order", silence);
    let sent = Sent {
        id,
        at_ms,
        ended_ms: setting.record.now_ms(),
        answer: answer.map(|a| a.status()).map_err(|e| e.to_string()),
    };
    setting.record.note(format!(
        "client sent {} to machine {STOPPED} at {at_ms} ms: {:?}",
        sent.id, sent.answer
    ));
    sent
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let mut fleet = Fleet::start(record, setting.root.clone(), MACHINES)?;
    let platform = Platform::start(fleet.net.platform())?;
    let mut workers = Vec::new();
    for n in 0..6 {
        let entry = Entry {
            id: format!("i-{n:04}"),
            service: "huvo11a".into(),
            address: fleet.net.worker(n),
            zone: Fleet::zone(STOPPED).0.into(),
            draining: false,
            started: None,
        };
        let work = Work::ByPath {
            work_ms: 100,
            long_ms: LONG_MS,
        };
        workers.push(Worker::start(record, entry, work, false)?);
    }
    platform.set(workers.iter().map(|w| w.entry.clone()).collect());
    let operator = Operator {
        record: record.clone(),
        nodes: (1..=MACHINES).map(|m| fleet.net.control(m)).collect(),
    };
    let route = Route {
        name: "r-1",
        kind: "non_idempotent",
        prefix: "/lepu270/",
        service: "huvo11a",
        timeout_ms: DEADLINE_MS,
    };
    operator.configure(
        0,
        &configuration(5, &[route], &[("huvo11a", false)]),
        Duration::from_secs(20),
    )?;
    fleet.wait_ready(Duration::from_secs(15))?;
    // Longer than `Contact` after the start: the machine is in touch.
    std::thread::sleep(Duration::from_secs(6));

    let front = fleet.net.front(STOPPED);
    let ends = Arc::new(AtomicBool::new(false));
    let stopped_ms = record.now_ms() + 1000;
    let mut sent: Vec<Sent> = std::thread::scope(|scope| {
        // Clients that go on sending brief requests.
        for c in 0..6 {
            let ends = ends.clone();
            scope.spawn(move || {
                let mut n = 0;
                while !ends.load(Ordering::Relaxed) {
                    n += 1;
                    send(
                        setting,
                        front,
                        format!("brief-{c}-{n}"),
                        "/lepu270/2f",
                        DEADLINE_MS,
                    );
                    std::thread::sleep(Duration::from_millis(30));
                }
            });
        }
        std::thread::sleep(Duration::from_millis(1000));
        if setting.trouble {
            fleet.signal(STOPPED, sys::SIGTERM, "is stopped in order (SIGTERM)");
        }
        let orders: Vec<_> = SENT_AFTER_MS
            .iter()
            .map(|after| {
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(*after));
                    send(
                        setting,
                        front,
                        format!("order-{after}"),
                        "/lepu270/long",
                        DEADLINE_MS,
                    )
                })
            })
            .collect();
        let mut has_ended = false;
        for _ in 0..GRACE_MS / 20 {
            if !has_ended && fleet.has_ended(STOPPED) {
                has_ended = true;
                let after = record.now_ms() - stopped_ms;
                record.note(format!(
                    "machine {STOPPED}: its process has ended, {after} ms after the signal"
                ));
                ends.store(true, Ordering::Relaxed);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        ends.store(true, Ordering::Relaxed);
        if setting.trouble {
            fleet.signal(STOPPED, sys::SIGKILL, "is killed, GracePeriod after SIGTERM");
        }
        orders.into_iter().filter_map(|o| o.join().ok()).collect()
    });
    sent.sort_by_key(|s| s.at_ms);
    std::thread::sleep(Duration::from_millis(500));
    let mut breaches = Vec::new();
    for order in &sent {
        let run = workers.iter().find_map(|w| {
            let runs = w.runs.lock().unwrap();
            runs.iter()
                .find(|r| r.id == order.id)
                .map(|r| (w.entry.id.clone(), r.at_ms))
        });
        let Some((worker, run_ms)) = run else { continue };
        let Err(error) = &order.answer else { continue };
        let after_ms = order.ended_ms - stopped_ms;
        // Not counted: the deadline or the timeout was reached; a request that was sent no later
        // than 3 s after the signal.
        let had_time = order.ended_ms < order.at_ms + DEADLINE_MS;
        if had_time && order.at_ms > stopped_ms + 3000 && after_ms < GRACE_MS + 1000 {
            breaches.push(format!(
                "LOST: {} was sent {} ms after SIGTERM, {worker} began it at {} ms, and the connection closed at {after_ms} ms ({error})",
                order.id,
                order.at_ms - stopped_ms,
                run_ms - stopped_ms
            ));
        }
    }
    Ok(breaches)
}
