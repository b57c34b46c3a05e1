//! A worker: works on requests for a time that their path names, and holds keys if its service is
//! partitioned.

use super::http::{answer, Connection, Message, Reading};
use super::observations::{Hold, Record, Run};
use crate::ScenarioError;
use actix_rt::task::JoinHandle;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A release is answered when what ran on the keys has ended; that long, ms.
const RELEASE_MS: u64 = 30;

/// A worker that runs.
pub struct Worker {
    /// Its identifier.
    pub id: String,
    is_partitioned: bool,
    record: Record,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// The work that a path names: `/anything/so-many-ms/so-many-bytes`.
fn work(path: &str) -> (u64, usize) {
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
            .map_err(|e| format!("the worker at {address}: {e}"))?;
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

    /// Ends the process: its connections close, and it holds nothing any more.
    pub fn end(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        let now = self.record.now();
        self.record.note(|seen| {
            if let Some(facts) = seen.workers.get_mut(&self.id) {
                facts.ended_at = Some(now);
            }
            let holds = seen.holds.iter_mut().filter(|h| h.worker == self.id);
            holds.for_each(|h| h.until = h.until.min(now));
        });
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(Reading::AtOnce).await {
            let (bytes, run) = self.answer(&request).await;
            if connection.send(&bytes).await.is_err() {
                return;
            }
            if let Some(place) = run {
                let now = self.record.now();
                self.record.note(|seen| seen.runs[place].ended_at = Some(now));
            }
        }
    }

    /// The answer to a request, and the place of its run.
    async fn answer(&self, request: &Message) -> (Vec<u8>, Option<usize>) {
        let name = format!("Instance-Id: {}\r\n", self.id);
        if request.header("expected-instance").is_some_and(|e| e != self.id) {
            return (answer("421 Misdirected Request", &name, b""), None);
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => (answer("200 OK", &name, b""), None),
            ("POST", "/grant") => (self.grant(&request.body), None),
            ("POST", "/release") => (self.release(&request.body).await, None),
            _ => self.run(request).await,
        }
    }

    fn grant(&self, body: &[u8]) -> Vec<u8> {
        let (Some((from, to, token)), now) = (range(body), self.record.now()) else {
            return answer("400 Bad Request", "", b"");
        };
        let hold_ms = lease_ms(body);
        self.record.note(|seen| {
            let of_mine = |h: &&mut Hold| h.worker == self.id && h.from <= to && from <= h.to;
            if seen.holds.iter_mut().filter(of_mine).any(|h| h.token > token) {
                return answer("409 Conflict", "", b"");
            }
            let is_same = |h: &&mut Hold| (h.from, h.to, h.token) == (from, to, token) && h.until > now;
            match seen.holds.iter_mut().filter(of_mine).find(is_same) {
                Some(hold) => hold.until = now + hold_ms,
                None => seen.holds.push(Hold {
                    worker: self.id.clone(),
                    from,
                    to,
                    token,
                    since: now,
                    until: now + hold_ms,
                }),
            }
            answer("200 OK", "", b"")
        })
    }

    async fn release(&self, body: &[u8]) -> Vec<u8> {
        let (Some((from, to, token)), now) = (range(body), self.record.now()) else {
            return answer("400 Bad Request", "", b"");
        };
        self.record.note(|seen| {
            let mut kept = Vec::new();
            let mine = seen
                .holds
                .iter_mut()
                .filter(|h| h.worker == self.id && h.until > now);
            for hold in mine.filter(|h| h.from <= to && from <= h.to) {
                let below = (hold.from, from.wrapping_sub(1));
                let above = (to + 1, hold.to);
                let rest = [below, above].into_iter();
                let rest = rest.filter(|(a, b)| a <= b && *a >= hold.from && *b <= hold.to);
                kept.extend(rest.map(|(from, to)| Hold {
                    from,
                    to,
                    since: now,
                    ..hold.clone()
                }));
                hold.until = now;
            }
            seen.holds.extend(kept);
        });
        actix_rt::time::sleep(Duration::from_millis(RELEASE_MS)).await;
        let handover = format!("Duty-Handover: {}-{token}\r\n", self.id);
        answer("200 OK", &handover, b"")
    }

    fn holds(&self, key: u32) -> bool {
        let now = self.record.now();
        self.record.note(|seen| {
            let mut mine = seen.holds.iter().filter(|h| h.worker == self.id);
            mine.any(|h| h.from <= key && key <= h.to && h.since <= now && now < h.until)
        })
    }

    async fn run(&self, request: &Message) -> (Vec<u8>, Option<usize>) {
        let id = request.header("attempt-id").unwrap_or_default().to_string();
        let key = request.number("shard-key").map(|k| k as u32);
        let own = format!("Attempt-Id: {id}\r\n");
        if self.is_partitioned && !key.is_some_and(|key| self.holds(key)) {
            let headers = format!("{own}Not-Executed: 1\r\n");
            return (answer("421 Misdirected Request", &headers, b""), None);
        }
        let run = Run {
            id: id.clone(),
            worker: self.id.clone(),
            key: key.filter(|_| self.is_partitioned),
            began_at: self.record.now(),
            ended_at: None,
        };
        let place = self.record.note(|seen| {
            seen.runs.push(run);
            seen.runs.len() - 1
        });
        let (work_ms, bytes) = work(request.path());
        let given_ms = request.number("deadline-ms").unwrap_or(u64::MAX);
        actix_rt::time::sleep(Duration::from_millis(work_ms.min(given_ms))).await;
        if work_ms > given_ms {
            return (answer("504 Gateway Timeout", &own, b""), Some(place));
        }
        let mut body = format!("{id} ").into_bytes();
        body.resize(body.len().max(bytes), b'x');
        let headers = format!("{own}Server-Seal: {}-{id}\r\n", self.id);
        (answer("200 OK", &headers, &body), Some(place))
    }
}

/// The range of a call about keys, and its token.
fn range(body: &[u8]) -> Option<(u32, u32, u64)> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let number = |name: &str| body[name].as_u64();
    Some((
        number("Source")? as u32,
        number("TargetVersion")? as u32,
        number("fence")?,
    ))
}

/// How long a grant lasts, ms.
fn lease_ms(body: &[u8]) -> u64 {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = body["Hold"].as_str().and_then(|hold| hold.strip_suffix("ms"));
    text.and_then(|ms| ms.parse().ok()).unwrap_or(0)
}
