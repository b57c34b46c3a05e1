//! A sound worker works on long requests and reads on in their bodies only after a while.

use super::start;
use crate::fleet::HOST;
use crate::http::Connection;
use crate::record::Record;
use crate::system::SIGTERM;
use crate::Verdict;
use std::io;
use std::time::Duration;

const REQUESTS: usize = 8;
/// More than the buffers of the connections hold.
const BODY_BYTES: usize = 16 * 1024 * 1024;
const READ_LATE_MS: u64 = 1500;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let (fleet, worker) = start(record, 10_000)?;
    let late = if has_trouble { READ_LATE_MS } else { 0 };
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("9c41d07be2a3{number:04x}");
        let address = fleet.net.front(1);
        let record = record.clone();
        clients.push(std::thread::spawn(move || -> io::Result<(String, u16)> {
            let mut connection = Connection::open(address, Duration::from_secs(9))?;
            let head = format!("POST /pay/read-late-{late}/work-200/ HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 8000\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            connection.send(head.as_bytes())?;
            record.note(format!("client sends id={id} with {BODY_BYTES} bytes of body"));
            let sent = connection.send(&vec![b'x'; BODY_BYTES]);
            let answer = connection.read_head();
            let status = answer.as_ref().ok().and_then(|h| h.as_ref().map(|h| h.status()));
            record.note(format!("client id={id}: sent {:?}, answered {status:?} {:?}", sent.err().map(|e| e.to_string()), answer.err().map(|e| e.to_string())));
            Ok((id, status.unwrap_or(0)))
        }));
    }
    std::thread::sleep(Duration::from_millis(300));
    record.note("node 1 gets SIGTERM");
    fleet.signal(1, SIGTERM);
    let mut broken = Vec::new();
    for client in clients {
        let (id, status) = client.join().map_err(|_| io::Error::other("a client failed"))??;
        if status != 200 && worker.runs().iter().any(|run| run.id == id) {
            broken.push(format!("{id}: {status}"));
        }
    }
    if !broken.is_empty() {
        return Ok(Verdict::Broken(format!(
            "LOST: after SIGTERM {} of {REQUESTS} requests were broken off while their worker was at work: {broken:?}",
            broken.len()
        )));
    }
    Ok(Verdict::Held)
}
