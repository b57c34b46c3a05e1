//! Clients of a soak. Each client stays with one node, and uses its connection until the connection
//! is closed and the node until its process is gone.

use super::http::{Connection, ReadMode};
use super::observations::{Ending, Record, Request};
use super::Routes;
use crate::net::Net;
use rand::rngs::StdRng;
use rand::Rng;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Upper limit of the pause between two requests of a client, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Pause before a client tries a node again that refused its connection, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 150;
/// Time limit for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// Connections refused in a row after which a client switches to another node.
const MAX_REFUSED_CONNECTIONS: u32 = 3;
/// A reader that takes about 1 MB per second.
const SLOW_READER: ReadMode = ReadMode::Slow {
    chunk_bytes: 32 * 1024,
    pause_ms: 30,
};

/// A client.
pub struct Client {
    /// The client's number.
    pub number: usize,
    /// The node that the client uses first.
    pub node: u8,
    /// Number of nodes.
    pub nodes: u8,
    /// Addresses of the fleet.
    pub net: Net,
    /// Record of what the client observes.
    pub record: Record,
    /// Set when the client is to stop.
    pub stop: Rc<Cell<bool>>,
    /// Generator of the client's random choices.
    pub rng: StdRng,
}

/// A request to be sent, and how its answer is read.
struct RequestSpec {
    method: &'static str,
    path: String,
    headers: String,
    is_idempotent: bool,
    deadline_ms: u64,
    read_mode: ReadMode,
}

impl Client {
    /// Sends requests one after the other until it is stopped.
    pub async fn run(mut self) {
        let mut connection = None;
        let mut refused_connections = 0;
        let mut sent_requests = 0;
        while !self.stop.get() {
            let mut current_connection = match connection.take() {
                Some(current_connection) => current_connection,
                None => match self.connect().await {
                    Some(current_connection) => current_connection,
                    None => {
                        refused_connections += 1;
                        if refused_connections >= MAX_REFUSED_CONNECTIONS {
                            refused_connections = 0;
                            self.node = self.rng.gen_range(1..=self.nodes);
                        }
                        pause(REFUSED_PAUSE_MS).await;
                        continue;
                    }
                },
            };
            refused_connections = 0;
            sent_requests += 1;
            let id = format!("a-{}-{sent_requests}", self.number);
            if self.exchange(&mut current_connection, id).await {
                connection = Some(current_connection);
            }
            pause(self.rng.gen_range(0..MAX_PAUSE_MS)).await;
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let connecting = TcpStream::connect(self.net.front(self.node));
        let connected = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await;
        let stream = connected.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection::new(stream))
    }

    fn spec(&mut self) -> RequestSpec {
        let mut spec = RequestSpec {
            method: "GET",
            path: String::new(),
            headers: String::new(),
            is_idempotent: true,
            deadline_ms: Routes::TIMEOUT_MS,
            read_mode: ReadMode::Immediate,
        };
        match self.rng.gen_range(0..100) {
            0..40 => spec.path = format!("{}{}/40", Routes::IDEMPOTENT, self.rng.gen_range(5..150)),
            40..60 => {
                spec.headers = format!("Shard-Key: {}\r\n", self.rng.gen_range(0..65_536));
                spec.path = format!("{}{}/40", Routes::KEYED, self.rng.gen_range(5..60));
            }
            60..72 => spec.path = format!("{}5/40", Routes::EXTRA),
            72..95 => {
                (spec.method, spec.is_idempotent) = ("POST", false);
                let is_long = self.rng.gen_bool(0.3);
                let work_ms = self.rng.gen_range(if is_long { 1000..2200 } else { 5..300 });
                spec.path = format!("{}{work_ms}/40", Routes::NON_IDEMPOTENT);
            }
            _ => {
                (spec.method, spec.is_idempotent) = ("POST", false);
                spec.deadline_ms = Routes::LONG_TIMEOUT_MS;
                spec.read_mode = SLOW_READER;
                let bytes = self.rng.gen_range(100_000..2_500_000);
                spec.path = format!("{}20/{bytes}", Routes::LONG);
            }
        }
        spec
    }

    /// Sends one request, and returns whether the connection can be reused.
    async fn exchange(&mut self, connection: &mut Connection, id: String) -> bool {
        let spec = self.spec();
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{}Content-Length: 0\r\n\r\n",
            spec.method,
            spec.path,
            crate::orders::HOST,
            spec.deadline_ms,
            spec.headers
        );
        let is_sent = connection.send(text.as_bytes()).await.is_ok();
        let sent_at = self.record.now();
        let mut is_reusable = false;
        let ending = if is_sent {
            let deadline = Duration::from_millis(spec.deadline_ms);
            match tokio::time::timeout(deadline, connection.read(spec.read_mode)).await {
                Err(_) => Ending::DeadlinePassed,
                Ok(Ok(Some(answer))) => {
                    is_reusable = !answer.closes();
                    let is_success = (200..300).contains(&answer.status());
                    let is_own_answer = answer.header("attempt-id").is_some_and(|a| a == id)
                        && answer.body.starts_with(id.as_bytes());
                    Ending::Answered {
                        status: answer.status(),
                        matches_request: is_own_answer || !is_success,
                    }
                }
                Ok(Ok(None) | Err(_)) => Ending::Closed,
            }
        } else {
            Ending::NotSent
        };
        let request = Request {
            id,
            path: spec.path,
            is_idempotent: spec.is_idempotent,
            node: self.node,
            sent_at,
            ended_at: self.record.now(),
            deadline_ms: spec.deadline_ms,
            ending,
        };
        self.record.update(|seen| seen.requests.push(request));
        is_reusable
    }
}

async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
