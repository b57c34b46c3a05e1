//! A machine of the core is lost for good; its successor and one more machine of its region join. The
//! machine that leads is stopped and started again meanwhile.

use super::{configuration, start_with, SERVICE};
use crate::fleet::{Fleet, ZONES};
use crate::http::call;
use crate::record::Record;
use crate::system::SIGTERM;
use crate::Verdict;
use std::io;
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 3_000;
const GRACE_PERIOD: Duration = Duration::from_secs(6);
const RECOVERY: Duration = Duration::from_secs(15);
/// Twice `Acknowledge`.
const ORDER_FOR: Duration = Duration::from_secs(12);
/// The machine that is lost, its successor and one more machine, all of one region.
const LOST: u8 = 3;
const NEWCOMERS: [u8; 2] = [4, 5];

fn status(fleet: &Fleet, node: u8) -> String {
    let address = fleet.net.control(node);
    let request = format!("GET /status HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let answer = call(address, request.as_bytes(), Duration::from_secs(2));
    answer.map_or(String::new(), |(_, body)| String::from_utf8_lossy(&body).into_owned())
}

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let (mut fleet, _) = start_with(record, TIMEOUT_MS, &[SERVICE])?;
    if has_trouble {
        fleet.kill(LOST);
        record.note(format!("node {LOST} is gone for good, with its disk"));
    }
    std::thread::sleep(Duration::from_millis(1000));
    for node in NEWCOMERS {
        fleet.start_node(node, false)?;
        record.note(format!("node {node} joins in {}, with an empty disk", ZONES[2].0));
    }
    if has_trouble {
        let leads = |node: &u8| status(&fleet, *node).contains("\"leader\":true");
        let leader = (1..LOST).find(leads).unwrap_or(1);
        record.note(format!("node {leader}, which leads, gets SIGTERM"));
        fleet.signal(leader, SIGTERM);
        std::thread::sleep(GRACE_PERIOD);
        fleet.kill(leader);
        fleet.start_node(leader, false)?;
        record.note(format!("node {leader} is started again"));
    }
    std::thread::sleep(RECOVERY);
    for node in [1, 2].into_iter().chain(NEWCOMERS) {
        record.note(format!("node {node} counts as ready: {}", fleet.is_ready(node)));
    }
    let started = Instant::now();
    let acknowledged = fleet.order_for(
        ORDER_FOR,
        "/configuration/replace",
        "Base-Version: 1\r\nContent-Type: application/json\r\n",
        &configuration(2, TIMEOUT_MS),
    );
    for node in 1..=2 {
        let status = status(&fleet, node);
        let core = status.split("\"core\":").nth(1).and_then(|s| s.split('}').next());
        record.note(format!("node {node} says of the core: {}", core.unwrap_or("nothing")));
    }
    Ok(match acknowledged {
        Ok(()) => Verdict::Held,
        Err(error) => Verdict::Broken(format!(
            "Acks: later than Recovery a valid configuration has no acknowledgement after {:.1} s: {error}",
            started.elapsed().as_secs_f64()
        )),
    })
}
