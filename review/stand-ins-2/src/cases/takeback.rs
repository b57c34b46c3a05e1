//! An evacuation is taken back right after all processes were killed at the same moment.

use super::{configuration, SERVICE};
use crate::fleet::{Fleet, HOST, ZONES};
use crate::http::call;
use crate::record::Record;
use crate::worker::Worker;
use crate::Verdict;
use std::io;
use std::time::Duration;

const TIMEOUT_MS: u64 = 3_000;
/// `Recovery`, and a little more.
const RECOVERY: Duration = Duration::from_millis(15_500);
const REQUESTS: usize = 40;

/// Sends requests to all nodes in turn and returns how many were served.
fn served(fleet: &Fleet, record: &Record, when: &str) -> usize {
    let mut statuses = std::collections::BTreeMap::new();
    for number in 0..REQUESTS {
        let request = format!(
            "GET /read/work-5/ HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: c4ec{number:012x}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\r\n"
        );
        let address = fleet.net.front(1 + (number % ZONES.len()) as u8);
        let answer = call(address, request.as_bytes(), Duration::from_millis(TIMEOUT_MS));
        *statuses.entry(answer.map_or(0, |(head, _)| head.status())).or_insert(0) += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    record.note(format!("{when}: {REQUESTS} requests, answers by status {statuses:?}"));
    statuses.get(&200).copied().unwrap_or(0)
}

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let net = Fleet::find_net()?;
    let mut workers = Vec::new();
    for (number, (zone, _)) in ZONES.iter().take(2).enumerate() {
        let id = format!("i-7f3a91c{number}");
        let mut worker = Worker::start(&id, SERVICE, net.worker(1 + number as u8), record)?;
        worker.zone = zone;
        worker.keep_quiet();
        workers.push(worker);
    }
    let mut fleet = Fleet::start(record, &configuration(1, TIMEOUT_MS), &workers, net)?;
    let (first, second) = (ZONES[0].0, ZONES[1].0);
    let evacuate = |fleet: &Fleet, zone: &str, what: &str| fleet.order(&format!("/evacuation/{zone}/{what}"), "", "");
    // The first zone is emptied, opened and emptied again, each time with some seconds in between.
    for what in ["begin", "finish", "begin"] {
        evacuate(&fleet, first, what)?;
        std::thread::sleep(Duration::from_secs(5));
    }
    let before = served(&fleet, record, "before the fault");
    if has_trouble {
        record.note("all processes are killed");
        for node in 1..=ZONES.len() as u8 {
            fleet.kill(node);
        }
        std::thread::sleep(Duration::from_millis(1000));
        for node in 1..=ZONES.len() as u8 {
            fleet.start_node(node, false)?;
        }
        record.note("all processes are started again");
    }
    evacuate(&fleet, first, "finish")?;
    std::thread::sleep(Duration::from_millis(1000));
    evacuate(&fleet, second, "begin")?;
    std::thread::sleep(RECOVERY);
    let after = served(&fleet, record, "after Recovery");
    for worker in &workers {
        record.note(format!(
            "worker in {} ran {} requests in all",
            worker.zone,
            worker.runs().len()
        ));
    }
    if before * 4 >= REQUESTS && after * 4 < REQUESTS {
        return Ok(Verdict::Broken(format!(
            "RECOVER: {after} of {REQUESTS} requests are served later than Recovery; the acknowledged end of the evacuation of {first} is not in force"
        )));
    }
    Ok(Verdict::Held)
}
