//! Clients leave soon after they have sent a request, for a while. Afterwards others come and stay.

use super::{configuration, configuration_without_other, start_with_configuration, OTHER_SERVICE, SERVICE};
use crate::fleet::{Fleet, HOST};
use crate::http::{call, Connection};
use crate::record::Record;
use crate::system::reset;
use crate::Verdict;
use std::io;
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 3_000;
const CLIENTS: u64 = 8;
/// Requests of each client during the disruption, and the longest time in which they are sent.
const REQUESTS: u64 = 4_000;
const LONGEST: Duration = Duration::from_secs(40);
/// A client leaves within this time.
const LEAVE_WITHIN_US: u64 = 5_000;
/// Requests for each service after the disruption.
const CHECKS: usize = 40;

fn request(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\r\n")
}

/// Sends requests, and leaves each time before the answer; without the disruption it stays.
fn client(fleet: &Fleet, number: u64, leaves: bool) -> std::thread::JoinHandle<[u64; 3]> {
    let address = fleet.net.front(1);
    std::thread::spawn(move || {
        let started = Instant::now();
        let mut random = number + 1;
        let [mut sent, mut served, mut failed] = [0; 3];
        while sent < REQUESTS && started.elapsed() < LONGEST {
            let id = format!("1eaf{number:04x}{sent:08x}");
            let text = request("/other/work-5/", &id);
            sent += 1;
            if !leaves {
                let answer = call(address, text.as_bytes(), Duration::from_millis(TIMEOUT_MS));
                let is_served = answer.is_ok_and(|(head, _)| head.status() == 200);
                served += u64::from(is_served);
                failed += u64::from(!is_served);
                continue;
            }
            let Ok(mut connection) = Connection::open(address, Duration::from_secs(1)) else {
                failed += 1;
                continue;
            };
            random = random
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let stay = Duration::from_micros((random >> 33) % LEAVE_WITHIN_US);
            let at = Instant::now();
            let _ = connection.send(text.as_bytes());
            while at.elapsed() < stay {
                std::hint::spin_loop();
            }
            reset(connection.stream);
        }
        [sent, served, failed]
    })
}

/// Sends requests one after the other, to the same node, and returns how many were served.
fn served(fleet: &Fleet, record: &Record, path: &str) -> usize {
    let mut statuses = std::collections::BTreeMap::new();
    for number in 0..CHECKS {
        let text = request(path, &format!("c4ec{number:012x}"));
        let answer = call(fleet.net.front(1), text.as_bytes(), Duration::from_millis(TIMEOUT_MS));
        *statuses.entry(answer.map_or(0, |(head, _)| head.status())).or_insert(0) += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    record.note(format!(
        "{CHECKS} requests for {path}, one at a time: answers by status {statuses:?}"
    ));
    statuses.get(&200).copied().unwrap_or(0)
}

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let first = configuration_without_other(1, TIMEOUT_MS);
    let (fleet, workers) = start_with_configuration(record, &first, &[SERVICE, OTHER_SERVICE])?;
    fleet.configure(1, &configuration(2, TIMEOUT_MS))?;
    std::thread::sleep(Duration::from_millis(3500));
    for worker in &workers {
        worker.keep_quiet();
    }
    if served(&fleet, record, "/other/work-5/") < CHECKS {
        return Err(io::Error::other("the new route is not served before the disruption"));
    }
    record.note(format!(
        "{CLIENTS} clients send requests for /other/ to node 1 and {}",
        if has_trouble { "leave within 5 ms" } else { "stay" }
    ));
    let clients: Vec<_> = (0..CLIENTS).map(|n| client(&fleet, n, has_trouble)).collect();
    let mut sum = [0; 3];
    for client in clients {
        let counts = client.join().map_err(|_| io::Error::other("a client failed"))?;
        sum = [sum[0] + counts[0], sum[1] + counts[1], sum[2] + counts[2]];
    }
    record.note(format!(
        "clients: sent {}, served {}, failed {}",
        sum[0], sum[1], sum[2]
    ));
    std::thread::sleep(Duration::from_secs(10));
    let is_ready = fleet.is_ready(1);
    let (first, later) = (
        served(&fleet, record, "/read/work-5/"),
        served(&fleet, record, "/other/work-5/"),
    );
    record.note(format!("node 1 counts as ready: {is_ready}; served {first} on the first route, {later} on the route that was added later"));
    for worker in &workers {
        record.note(format!(
            "worker of {}: {} requests begun and not finished",
            worker.service,
            worker.running()
        ));
    }
    if later * 4 < first {
        return Ok(Verdict::Broken(format!(
            "CONFIG: 10 s after the last client left, {later} of {CHECKS} requests on the route that was added later are served, and {first} of {CHECKS} on the first one"
        )));
    }
    Ok(Verdict::Held)
}
