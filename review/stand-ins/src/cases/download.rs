//! LOST: a machine that is stopped in order cuts long answers that are on their way.

use crate::fleet::Fleet;
use crate::http::Reader;
use crate::operator::{configuration, Operator, Route, HOST};
use crate::platform::{Entry, Platform};
use crate::worker::{Work, Worker};
use crate::{sys, Setting, Verdict};
use std::io::{Read as _, Write as _};
use std::time::{Duration, Instant};

const MACHINES: usize = 8;
/// The machine that is stopped, without a disk.
const STOPPED: usize = 8;
const CLIENTS: usize = 6;
/// A long answer.
const BYTES: usize = 6_200_000;
/// What a client takes in a second, bytes: 3.6 Mbit/s, more than the 2 Mbit/s that the pages give
/// the links of machines without a disk in the grown deployments.
const BYTES_PER_S: usize = 1_000_000;
/// `Deadline-Ms` and `Timeout`: those of `ship-status` in the grown deployment.
const DEADLINE_MS: u64 = 10_000;
const GRACE_MS: u64 = 6000;

struct Download {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    body_bytes: usize,
    status: u16,
    error: Option<String>,
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let mut fleet = Fleet::start(record, setting.root.clone(), MACHINES)?;
    let platform = Platform::start(fleet.net.platform())?;
    let mut workers = Vec::new();
    for n in 0..4 {
        let entry = Entry {
            id: format!("i-{n:04}"),
            service: "huvo11a".into(),
            address: fleet.net.worker(n),
            zone: Fleet::zone(STOPPED).0.into(),
            draining: false,
            started: None,
        };
        workers.push(Worker::start(record, entry, Work::Long { bytes: BYTES }, false)?);
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
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || {
                let id = format!("a-{n}");
                let sent_ms = record.now_ms();
                record.note(format!("client sends {id} to machine {STOPPED}"));
                let mut download = Download {
                    id,
                    sent_ms,
                    ended_ms: 0,
                    body_bytes: 0,
                    status: 0,
                    error: None,
                };
                if let Err(error) = fetch(front, &mut download) {
                    download.error = Some(error.to_string());
                }
                download.ended_ms = record.now_ms();
                record.note(format!(
                    "client has {} bytes of the answer to {} (status {}), error: {:?}",
                    download.body_bytes, download.id, download.status, download.error
                ));
                download
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let stopped_ms = record.now_ms();
    if setting.trouble {
        fleet.signal(STOPPED, sys::SIGTERM, "is stopped in order (SIGTERM)");
    }
    let until = Instant::now() + Duration::from_millis(GRACE_MS);
    let mut has_ended = false;
    while Instant::now() < until {
        if !has_ended && fleet.has_ended(STOPPED) {
            has_ended = true;
            let after = record.now_ms() - stopped_ms;
            record.note(format!(
                "machine {STOPPED}: its process has ended, {after} ms after the signal"
            ));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if setting.trouble {
        fleet.signal(STOPPED, sys::SIGKILL, "is killed, GracePeriod after SIGTERM");
    }
    let downloads: Vec<Download> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let mut breaches = Vec::new();
    for download in downloads {
        let is_whole = download.error.is_none() && download.status == 200 && download.body_bytes == BYTES;
        if is_whole {
            continue;
        }
        let answered = workers.iter().find_map(|w| {
            let answered = w.answered.lock().unwrap();
            answered
                .iter()
                .find(|(id, _)| *id == download.id)
                .map(|(_, at)| *at)
        });
        let Some(answered_ms) = answered else {
            record.note(format!(
                "{} was not answered by its worker: not counted",
                download.id
            ));
            continue;
        };
        record.note(format!(
            "the worker of {} had handed over its whole answer {} ms after the signal",
            download.id,
            answered_ms as i64 - stopped_ms as i64
        ));
        // Not counted: a worker at work in the second half of `GracePeriod`, or the deadline.
        if download.ended_ms < download.sent_ms + DEADLINE_MS && answered_ms < stopped_ms + GRACE_MS / 2 {
            breaches.push(format!(
                "LOST: {} ran, and its client was cut off after {} of {BYTES} bytes, {} ms after SIGTERM",
                download.id,
                download.body_bytes,
                download.ended_ms - stopped_ms
            ));
        }
    }
    Ok(breaches)
}

/// Fetches at the pace of a client's link.
fn fetch(front: std::net::SocketAddrV4, download: &mut Download) -> std::io::Result<()> {
    let stream = sys::connect_narrow(front, 64 * 1024)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let request = format!(
        "POST /lepu270/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nok",
        download.id
    );
    (&stream).write_all(request.as_bytes())?;
    let mut reader = Reader::new(&stream);
    let Some(head) = reader.head()? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    download.status = head.status();
    let length = head
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    download.body_bytes = reader.buffered();
    let begun = Instant::now();
    let mut part = vec![0; 16 * 1024];
    while download.body_bytes < length {
        let due = Duration::from_secs_f64(download.body_bytes as f64 / BYTES_PER_S as f64);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
        let read = (&stream).read(&mut part)?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        download.body_bytes += read;
    }
    Ok(())
}
