//! A worker that behaves as the pages say: it runs requests that are addressed to it, echoes their
//! ids and seals its answers. How it reads a body and how long it works is told by the path.

use crate::fleet::ZONES;
use crate::http::{response, Connection, Head};
use crate::record::Record;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that a worker has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    /// Bytes of the body that the worker received.
    pub body: usize,
    /// Whether the worker read the whole body and answered.
    pub is_answered: bool,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    /// Zone of the worker on the platform's list.
    pub zone: &'static str,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    /// Whether runs are no longer noted one by one.
    is_quiet: Arc<AtomicBool>,
    running: Arc<AtomicU64>,
}

/// Returns the number that follows `name` in a path such as `/pay/work-300/read-late-1000/`.
fn number_in(path: &str, name: &str) -> u64 {
    let part = path.split('/').find_map(|p| p.strip_prefix(name));
    part.and_then(|n| n.parse().ok()).unwrap_or(0)
}

impl Worker {
    pub fn start(id: &str, service: &str, address: SocketAddr, record: &Record) -> io::Result<Worker> {
        let listener = TcpListener::bind(address)?;
        let worker = Worker {
            id: id.to_string(),
            service: service.to_string(),
            zone: ZONES[0].0,
            address,
            runs: Arc::default(),
            record: record.clone(),
            is_quiet: Arc::default(),
            running: Arc::default(),
        };
        let accepting = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    if let Err(error) = serving.serve(&mut connection) {
                        serving.note(format!("worker: a connection ended: {error}"));
                    }
                });
            }
        });
        Ok(worker)
    }

    /// Stops noting each run.
    pub fn keep_quiet(&self) {
        self.is_quiet.store(true, Ordering::Relaxed);
    }

    /// Returns the number of runs that have begun and not finished.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed)
    }

    fn note(&self, line: String) {
        if !self.is_quiet.load(Ordering::Relaxed) {
            self.record.note(line);
        }
    }

    fn serve(&self, connection: &mut Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let own = format!("Instance-Id: {}\r\n", self.id);
            if head.header("expected-instance").is_some_and(|e| e != self.id) {
                connection.read_body(&head)?;
                connection.send(&response("421 Misdirected Request", &own, b""))?;
            } else if head.path() == "/health" {
                connection.send(&response("200 OK", &own, b""))?;
            } else {
                self.running.fetch_add(1, Ordering::Relaxed);
                let result = self.run(connection, &head);
                self.running.fetch_sub(1, Ordering::Relaxed);
                result?;
            }
        }
        Ok(())
    }

    fn run(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        let id = head.header("attempt-id").unwrap_or("(none)").to_string();
        let path = head.path().to_string();
        self.note(format!("worker runs {} {path} id={id}", head.method()));
        let index = {
            let mut runs = self.runs.lock().map_err(|_| io::Error::other("poisoned"))?;
            runs.push(Run {
                id: id.clone(),
                path: path.clone(),
                body: 0,
                is_answered: false,
            });
            runs.len() - 1
        };
        std::thread::sleep(Duration::from_millis(number_in(&path, "read-late-")));
        let body = connection.read_body(head)?;
        std::thread::sleep(Duration::from_millis(number_in(&path, "work-")));
        let size = number_in(&path, "answer-") as usize;
        let mut answer = format!("{id} ").into_bytes();
        answer.resize(answer.len().max(size), b'.');
        let headers = format!("Attempt-Id: {id}\r\nServer-Seal: {}-{id}\r\n", self.id);
        self.note(format!(
            "worker answers id={id} to {} bytes with 200 and {} bytes",
            body.len(),
            answer.len()
        ));
        connection.send(&response("200 OK", &headers, &answer))?;
        if let Ok(mut runs) = self.runs.lock() {
            runs[index].body = body.len();
            runs[index].is_answered = true;
        }
        Ok(())
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().map(|runs| runs.clone()).unwrap_or_default()
    }
}
