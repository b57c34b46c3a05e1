//! A worker: runs requests, and holds keys if its service is divided by key.

use crate::http::{answer, json_number, json_text, Message, Reader};
use crate::platform::Entry;
use crate::record::Record;
use std::io::Write as _;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Keys that a worker holds, or held, under one grant.
#[derive(Clone, Debug)]
pub struct Hold {
    pub from: u64,
    pub to: u64,
    pub fence: u64,
    /// From the arrival of the grant to its end by time or by release, ms.
    pub since_ms: u64,
    pub until_ms: u64,
}

/// A request that a worker began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at_ms: u64,
    pub key: Option<u64>,
}

/// How the body of an answer is made.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// After so long, a short body.
    Brief { work_ms: u64 },
    /// The same, longer for paths that end so.
    ByPath { work_ms: u64, long_ms: u64 },
    /// At once, a body of so many bytes.
    Long { bytes: usize },
}

pub struct Worker {
    pub entry: Entry,
    record: Record,
    work: Work,
    partitioned: bool,
    ended: AtomicBool,
    pub holds: Mutex<Vec<Hold>>,
    pub runs: Mutex<Vec<Run>>,
    /// When the whole answer to a request was handed to the connection, by its id.
    pub answered: Mutex<Vec<(String, u64)>>,
}

impl Worker {
    pub fn start(
        record: &Record,
        entry: Entry,
        work: Work,
        partitioned: bool,
    ) -> Result<Arc<Worker>, String> {
        let listener = TcpListener::bind(entry.address).map_err(|e| format!("{}: {e}", entry.address))?;
        record.note(format!(
            "worker {} of {} in {} starts",
            entry.id, entry.service, entry.zone
        ));
        let worker = Arc::new(Worker {
            entry,
            record: record.clone(),
            work,
            partitioned,
            ended: AtomicBool::new(false),
            holds: Mutex::default(),
            runs: Mutex::default(),
            answered: Mutex::default(),
        });
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                std::thread::spawn(move || worker.serve(&stream));
            }
        });
        Ok(worker)
    }

    /// Ends in order: it holds nothing any more and answers nobody.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let now = self.record.now_ms();
        self.record.note(format!("worker {} ends", self.entry.id));
        let mut holds = self.holds.lock().unwrap();
        holds.iter_mut().for_each(|h| h.until_ms = h.until_ms.min(now));
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let bytes = self.answer(&request);
            if { stream }.write_all(&bytes).is_err() {
                return;
            }
            if let Some(id) = request.header("attempt-id") {
                self.answered
                    .lock()
                    .unwrap()
                    .push((id.to_string(), self.record.now_ms()));
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let me = &self.entry.id;
        if request
            .header("expected-instance")
            .is_some_and(|expected| expected != me)
        {
            return answer("421 Misdirected Request", &format!("Instance-Id: {me}\r\n"), b"");
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => answer("200 OK", &format!("Instance-Id: {me}\r\n"), b""),
            ("POST", "/grant") => self.grant(&request.text()),
            ("POST", "/release") => self.release(&request.text()),
            _ => self.run(request),
        }
    }

    fn range(body: &str) -> (u64, u64, u64) {
        let number = |name| json_number(body, name).unwrap_or(0);
        (number("Source"), number("TargetVersion"), number("fence"))
    }

    fn grant(&self, body: &str) -> Vec<u8> {
        let (from, to, fence) = Self::range(body);
        let hold = json_text(body, "Hold").unwrap_or("0ms");
        let hold_ms: u64 = hold.strip_suffix("ms").and_then(|n| n.parse().ok()).unwrap_or(0);
        let now = self.record.now_ms();
        let mut holds = self.holds.lock().unwrap();
        let overlapping = |h: &Hold| h.from <= to && h.to >= from;
        if holds.iter().any(|h| overlapping(h) && h.fence > fence) {
            self.record.note(format!(
                "worker {}: grant of {from}-{to} fence {fence} refused, 409",
                self.entry.id
            ));
            return answer("409 Conflict", "", b"");
        }
        let is_renewal = holds.iter().any(|h| overlapping(h) && h.fence == fence);
        if !is_renewal {
            self.record.note(format!(
                "worker {}: grant of {from}-{to} fence {fence} for {hold_ms} ms",
                self.entry.id
            ));
        }
        let same = |h: &&mut Hold| (h.from, h.to, h.fence) == (from, to, fence) && h.until_ms > now;
        if let Some(renewed) = holds.iter_mut().find(same) {
            renewed.until_ms = now + hold_ms;
        } else {
            holds.push(Hold {
                from,
                to,
                fence,
                since_ms: now,
                until_ms: now + hold_ms,
            });
        }
        answer("200 OK", "", b"")
    }

    fn release(&self, body: &str) -> Vec<u8> {
        let (from, to, fence) = Self::range(body);
        let now = self.record.now_ms();
        let mut holds = self.holds.lock().unwrap();
        let mut rest = Vec::new();
        for old in holds
            .iter_mut()
            .filter(|h| h.from <= to && h.to >= from && h.until_ms > now)
        {
            for (from, to) in [(old.from, from.wrapping_sub(1)), (to + 1, old.to)] {
                if from <= to && from >= old.from && to <= old.to {
                    rest.push(Hold {
                        from,
                        to,
                        since_ms: now,
                        ..old.clone()
                    });
                }
            }
            old.until_ms = now;
        }
        holds.extend(rest);
        drop(holds);
        self.record.note(format!(
            "worker {}: release of {from}-{to} fence {fence}",
            self.entry.id
        ));
        // What ran on them ends first.
        if let Work::Brief { work_ms } = self.work {
            std::thread::sleep(Duration::from_millis(work_ms));
        }
        answer(
            "200 OK",
            &format!("Duty-Handover: h-{}-{fence}\r\n", self.entry.id),
            b"",
        )
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let id = request.header("attempt-id").unwrap_or("").to_string();
        if id.is_empty() {
            return answer("400 Bad Request", "Not-Executed: 1\r\n", b"");
        }
        let key: Option<u64> = request.header("shard-key").and_then(|k| k.parse().ok());
        let now = self.record.now_ms();
        if self.partitioned {
            let holds = self.holds.lock().unwrap();
            let is_held = |k: u64| {
                holds
                    .iter()
                    .any(|h| h.from <= k && k <= h.to && h.since_ms <= now && now < h.until_ms)
            };
            if !key.is_some_and(is_held) {
                return answer(
                    "421 Misdirected Request",
                    &format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n"),
                    b"",
                );
            }
        }
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            at_ms: now,
            key,
        });
        self.record.note(format!(
            "worker {} runs {id} {} {}",
            self.entry.id,
            request.method(),
            request.path()
        ));
        let body = match self.work {
            Work::Brief { work_ms } | Work::ByPath { work_ms, .. } => {
                let is_long = request.path().ends_with("/long");
                let work_ms = match self.work {
                    Work::ByPath { long_ms, .. } if is_long => long_ms,
                    _ => work_ms,
                };
                std::thread::sleep(Duration::from_millis(work_ms));
                format!("answer of {} to {id}", self.entry.id).into_bytes()
            }
            Work::Long { bytes } => vec![b'x'; bytes],
        };
        answer(
            "200 OK",
            &format!("Attempt-Id: {id}\r\nServer-Seal: seal-{}-{id}\r\n", self.entry.id),
            &body,
        )
    }
}
