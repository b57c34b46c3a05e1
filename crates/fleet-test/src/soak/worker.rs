//! A worker, which processes each request for the time named in its path, and holds key leases if
//! its service is partitioned.

use super::http::{encode_answer, Connection, Message, ReadMode};
use super::observations::{KeyLease, Record, Run};
use crate::ScenarioError;
use actix_rt::task::JoinHandle;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before a release is answered, in milliseconds. It simulates waiting for requests on the
/// released keys to end.
const RELEASE_DELAY_MS: u64 = 30;

/// A running worker.
pub struct Worker {
    /// The worker's identifier.
    pub id: String,
    is_partitioned: bool,
    record: Record,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// Parses the work that a path names, as `/anything/milliseconds/bytes`.
fn work_in_path(path: &str) -> (u64, usize) {
    let mut parts = path.rsplit('/');
    let bytes = parts.next().and_then(|p| p.parse().ok()).unwrap_or(0);
    let ms = parts.next().and_then(|p| p.parse().ok()).unwrap_or(0);
    (ms, bytes)
}

impl Worker {
    /// Starts a worker at an address.
    pub async fn start(
        record: &Record,
        id: &str,
        address: SocketAddrV4,
        is_partitioned: bool,
    ) -> Result<Rc<Worker>, ScenarioError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|e| format!("cannot listen at {address} for a worker: {e}"))?;
        let worker = Rc::new(Worker {
            id: id.into(),
            is_partitioned,
            record: record.clone(),
            tasks: RefCell::default(),
        });
        let serving = worker.clone();
        let accepting = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = serving.clone();
                let task = actix_rt::spawn(async move { worker.serve(stream).await });
                serving.tasks.borrow_mut().push(task);
            }
        });
        worker.tasks.borrow_mut().push(accepting);
        Ok(worker)
    }

    /// Ends the worker: its connections close, and it holds no keys any more.
    pub fn end(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        let now = self.record.now();
        self.record.update(|seen| {
            if let Some(facts) = seen.workers.get_mut(&self.id) {
                facts.ended_at = Some(now);
            }
            let key_leases = seen.key_leases.iter_mut().filter(|l| l.worker == self.id);
            key_leases.for_each(|l| l.until = l.until.min(now));
        });
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(ReadMode::Immediate).await {
            let (bytes, run) = self.answer(&request).await;
            if connection.send(&bytes).await.is_err() {
                return;
            }
            if let Some(index) = run {
                let now = self.record.now();
                self.record.update(|seen| seen.runs[index].ended_at = Some(now));
            }
        }
    }

    /// Returns the answer to a request and the index of its run.
    async fn answer(&self, request: &Message) -> (Vec<u8>, Option<usize>) {
        let instance_header = format!("Instance-Id: {}\r\n", self.id);
        if request.header("expected-instance").is_some_and(|e| e != self.id) {
            return (
                encode_answer("421 Misdirected Request", &instance_header, b""),
                None,
            );
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => (encode_answer("200 OK", &instance_header, b""), None),
            ("POST", "/grant") => (self.grant(&request.body), None),
            ("POST", "/release") => (self.release(&request.body).await, None),
            _ => self.run(request).await,
        }
    }

    fn grant(&self, body: &[u8]) -> Vec<u8> {
        let (Some((from, to, token)), now) = (parse_key_range(body), self.record.now()) else {
            return encode_answer("400 Bad Request", "", b"");
        };
        let hold_ms = lease_ms(body);
        self.record.update(|seen| {
            let overlaps = |l: &&mut KeyLease| l.worker == self.id && l.from <= to && from <= l.to;
            if seen
                .key_leases
                .iter_mut()
                .filter(overlaps)
                .any(|l| l.token > token)
            {
                return encode_answer("409 Conflict", "", b"");
            }
            let is_same = |l: &&mut KeyLease| (l.from, l.to, l.token) == (from, to, token) && l.until > now;
            match seen.key_leases.iter_mut().filter(overlaps).find(is_same) {
                Some(key_lease) => key_lease.until = now + hold_ms,
                None => seen.key_leases.push(KeyLease {
                    worker: self.id.clone(),
                    from,
                    to,
                    token,
                    since: now,
                    until: now + hold_ms,
                }),
            }
            encode_answer("200 OK", "", b"")
        })
    }

    async fn release(&self, body: &[u8]) -> Vec<u8> {
        let (Some((from, to, token)), now) = (parse_key_range(body), self.record.now()) else {
            return encode_answer("400 Bad Request", "", b"");
        };
        self.record.update(|seen| {
            let mut remaining = Vec::new();
            let own_leases = seen
                .key_leases
                .iter_mut()
                .filter(|l| l.worker == self.id && l.until > now);
            for key_lease in own_leases.filter(|l| l.from <= to && from <= l.to) {
                let below = (key_lease.from, from.wrapping_sub(1));
                let above = (to + 1, key_lease.to);
                let rest = [below, above].into_iter();
                let rest = rest.filter(|(a, b)| a <= b && *a >= key_lease.from && *b <= key_lease.to);
                remaining.extend(rest.map(|(from, to)| KeyLease {
                    from,
                    to,
                    since: now,
                    ..key_lease.clone()
                }));
                key_lease.until = now;
            }
            seen.key_leases.extend(remaining);
        });
        actix_rt::time::sleep(Duration::from_millis(RELEASE_DELAY_MS)).await;
        let handover = format!("Duty-Handover: {}-{token}\r\n", self.id);
        encode_answer("200 OK", &handover, b"")
    }

    fn holds_key(&self, key: u32) -> bool {
        let now = self.record.now();
        self.record.update(|seen| {
            let mut own_leases = seen.key_leases.iter().filter(|l| l.worker == self.id);
            own_leases.any(|l| l.from <= key && key <= l.to && l.since <= now && now < l.until)
        })
    }

    async fn run(&self, request: &Message) -> (Vec<u8>, Option<usize>) {
        let id = request.header("attempt-id").unwrap_or_default().to_string();
        let key = request.number("shard-key").map(|k| k as u32);
        let attempt_header = format!("Attempt-Id: {id}\r\n");
        if self.is_partitioned && !key.is_some_and(|key| self.holds_key(key)) {
            let headers = format!("{attempt_header}Not-Executed: 1\r\n");
            return (encode_answer("421 Misdirected Request", &headers, b""), None);
        }
        let run = Run {
            id: id.clone(),
            worker: self.id.clone(),
            key: key.filter(|_| self.is_partitioned),
            began_at: self.record.now(),
            ended_at: None,
        };
        let index = self.record.update(|seen| {
            seen.runs.push(run);
            seen.runs.len() - 1
        });
        let (work_ms, bytes) = work_in_path(request.path());
        let deadline_ms = request.number("deadline-ms").unwrap_or(u64::MAX);
        actix_rt::time::sleep(Duration::from_millis(work_ms.min(deadline_ms))).await;
        if work_ms > deadline_ms {
            return (
                encode_answer("504 Gateway Timeout", &attempt_header, b""),
                Some(index),
            );
        }
        let mut body = format!("{id} ").into_bytes();
        body.resize(body.len().max(bytes), b'x');
        let headers = format!("{attempt_header}Server-Seal: {}-{id}\r\n", self.id);
        (encode_answer("200 OK", &headers, &body), Some(index))
    }
}

/// Parses the key range and the fencing token of a grant or release.
fn parse_key_range(body: &[u8]) -> Option<(u32, u32, u64)> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let number = |name: &str| body[name].as_u64();
    Some((
        number("Source")? as u32,
        number("TargetVersion")? as u32,
        number("fence")?,
    ))
}

/// Parses the duration of a grant, in milliseconds.
fn lease_ms(body: &[u8]) -> u64 {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = body["Hold"].as_str().and_then(|hold| hold.strip_suffix("ms"));
    text.and_then(|ms| ms.parse().ok()).unwrap_or(0)
}
