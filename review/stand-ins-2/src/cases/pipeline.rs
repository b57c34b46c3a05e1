//! A client sends two requests on one connection, one behind the other. The first one offers to
//! change to another protocol; the second one goes to another service.

use super::{start_with, OTHER_SERVICE, SERVICE};
use crate::fleet::HOST;
use crate::http::{Connection, Head};
use crate::record::Record;
use crate::Verdict;
use std::io;
use std::time::Duration;

/// Bytes of the first request's body; more than a node keeps before it sends a request on.
const BODY_BYTES: usize = 200_000;
const FIRST_ID: &str = "9c41d07be2a35f68";
const SECOND_ID: &str = "9c41d07be2a35f69";

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let (fleet, workers) = start_with(record, 3_000, &[SERVICE, OTHER_SERVICE])?;
    let offer = if has_trouble {
        "Connection: Upgrade\r\nUpgrade: websocket\r\n"
    } else {
        ""
    };
    let mut bytes = format!(
        "PUT /read/work-300/ HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {FIRST_ID}\r\nDeadline-Ms: 3000\r\n{offer}Content-Length: {BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES, b'x');
    let second =
        format!("GET /other/work-50/ HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {SECOND_ID}\r\nDeadline-Ms: 3000\r\n\r\n");
    bytes.extend_from_slice(second.as_bytes());
    record.note(format!("client sends id={FIRST_ID} for {SERVICE} ({offer:?}, Content-Length: {BODY_BYTES}) and, behind it, id={SECOND_ID} for {OTHER_SERVICE}"));
    let mut connection = Connection::open(fleet.net.front(1), Duration::from_secs(4))?;
    connection.send(&bytes)?;
    let mut statuses = Vec::new();
    for _ in 0..2 {
        let head = connection.read_head();
        record.note(format!("client gets {head:?}"));
        let Ok(Some(head)) = head else { break };
        statuses.push(Head::status(&head));
        let _ = connection.read_body(&head);
    }
    std::thread::sleep(Duration::from_millis(500));
    for worker in &workers {
        record.note(format!("worker of {} ran {:?}", worker.service, worker.runs()));
    }
    let foreign = workers[0].runs().into_iter().find(|run| run.id == SECOND_ID);
    if let Some(run) = foreign {
        return Ok(Verdict::Broken(format!(
            "ROUTE, UNASKED: a worker of {SERVICE} ran id={SECOND_ID} {}, which every configuration sends to {OTHER_SERVICE}",
            run.path
        )));
    }
    if !has_trouble && statuses != [200, 200] {
        return Err(io::Error::other(format!(
            "the ordinary requests were answered {statuses:?}"
        )));
    }
    Ok(Verdict::Held)
}
