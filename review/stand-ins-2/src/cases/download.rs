//! Clients stop reading for a while in the middle of a long answer.

use super::start;
use crate::fleet::HOST;
use crate::http::Connection;
use crate::record::Record;
use crate::system::SIGTERM;
use crate::Verdict;
use std::io;
use std::time::Duration;

const REQUESTS: usize = 8;
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
const PAUSE_MS: u64 = 2500;

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let (fleet, worker) = start(record, 10_000)?;
    let pause = if has_trouble { PAUSE_MS } else { 0 };
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("9c41d07be2a3{number:04x}");
        let address = fleet.net.front(1);
        let record = record.clone();
        clients.push(std::thread::spawn(move || -> io::Result<bool> {
            let mut connection = Connection::open(address, Duration::from_secs(9))?;
            let request = format!("POST /pay/work-100/answer-{ANSWER_BYTES}/ HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n");
            connection.send(request.as_bytes())?;
            record.note(format!("client sends id={id}"));
            let head = connection.read_head()?.ok_or_else(|| io::Error::other("no answer"))?;
            std::thread::sleep(Duration::from_millis(pause));
            let body = connection.read_body(&head);
            record.note(format!("client id={id}: {} {:?} {:?}", head.status(), body.as_ref().map(Vec::len).ok(), body.as_ref().err().map(|e| e.to_string())));
            Ok(body.is_ok())
        }));
    }
    std::thread::sleep(Duration::from_millis(300));
    record.note("node 1 gets SIGTERM");
    fleet.signal(1, SIGTERM);
    let mut cut = 0;
    for client in clients {
        let is_whole = client.join().map_err(|_| io::Error::other("a client failed"))?;
        cut += usize::from(!is_whole.unwrap_or(false));
    }
    record.note(format!("worker ran {:?}", worker.runs()));
    if cut > 0 {
        return Ok(Verdict::Broken(format!(
            "LOST: after SIGTERM {cut} of {REQUESTS} answers were cut"
        )));
    }
    Ok(Verdict::Held)
}
