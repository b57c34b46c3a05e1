//! Clients: each keeps to one node, and uses its connection until that is closed, and the node
//! until its process is gone.

use super::http::{Connection, Reading};
use super::observations::{Ending, Record, Request};
use super::Routes;
use crate::net::Net;
use rand::rngs::StdRng;
use rand::Rng;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest pause between two requests of a client, ms.
const PAUSE_MS: u64 = 60;
/// Pause before a client tries a node again that refused its connection, ms.
const REFUSED_PAUSE_MS: u64 = 150;
/// Longest wait for a connection, ms.
const CONNECT_MS: u64 = 1000;
/// Connections refused in a row after which a client takes another node, connections.
const REFUSED_BEFORE_MOVE: u32 = 3;
/// A reader that takes about 1 MB a second.
const SLOW_READER: Reading = Reading::Slow {
    part_bytes: 32 * 1024,
    pause_ms: 30,
};

/// One client.
pub struct Client {
    /// Its number.
    pub number: usize,
    /// The node that it keeps to at first.
    pub node: u8,
    /// All nodes.
    pub nodes: u8,
    /// Addresses.
    pub net: Net,
    /// Where it writes what it sees.
    pub record: Record,
    /// Set when it is to end.
    pub stop: Rc<Cell<bool>>,
    /// What it draws by.
    pub rng: StdRng,
}

/// What a client asks for.
struct Wish {
    method: &'static str,
    path: String,
    headers: String,
    is_repeatable: bool,
    deadline_ms: u64,
    reading: Reading,
}

impl Client {
    /// Sends requests one after the other until it is told to stop.
    pub async fn run(mut self) {
        let mut connection = None;
        let mut refused = 0;
        let mut sent = 0;
        while !self.stop.get() {
            let mut open = match connection.take() {
                Some(open) => open,
                None => match self.connect().await {
                    Some(open) => open,
                    None => {
                        refused += 1;
                        if refused >= REFUSED_BEFORE_MOVE {
                            refused = 0;
                            self.node = self.rng.gen_range(1..=self.nodes);
                        }
                        pause(REFUSED_PAUSE_MS).await;
                        continue;
                    }
                },
            };
            refused = 0;
            sent += 1;
            let id = format!("a-{}-{sent}", self.number);
            if self.ask(&mut open, id).await {
                connection = Some(open);
            }
            pause(self.rng.gen_range(0..PAUSE_MS)).await;
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let connecting = TcpStream::connect(self.net.front(self.node));
        let connected = tokio::time::timeout(Duration::from_millis(CONNECT_MS), connecting).await;
        let stream = connected.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection::new(stream))
    }

    fn wish(&mut self) -> Wish {
        let mut wish = Wish {
            method: "GET",
            path: String::new(),
            headers: String::new(),
            is_repeatable: true,
            deadline_ms: Routes::TIMEOUT_MS,
            reading: Reading::AtOnce,
        };
        match self.rng.gen_range(0..100) {
            0..40 => wish.path = format!("{}{}/40", Routes::REPEATABLE, self.rng.gen_range(5..150)),
            40..60 => {
                wish.headers = format!("Shard-Key: {}\r\n", self.rng.gen_range(0..65_536));
                wish.path = format!("{}{}/40", Routes::KEYED, self.rng.gen_range(5..60));
            }
            60..72 => wish.path = format!("{}5/40", Routes::EXTRA),
            72..95 => {
                (wish.method, wish.is_repeatable) = ("POST", false);
                let is_long = self.rng.gen_bool(0.3);
                let work_ms = self.rng.gen_range(if is_long { 1000..2200 } else { 5..300 });
                wish.path = format!("{}{work_ms}/40", Routes::ONCE);
            }
            _ => {
                (wish.method, wish.is_repeatable) = ("POST", false);
                wish.deadline_ms = Routes::LONG_TIMEOUT_MS;
                wish.reading = SLOW_READER;
                let bytes = self.rng.gen_range(100_000..2_500_000);
                wish.path = format!("{}20/{bytes}", Routes::LONG);
            }
        }
        wish
    }

    /// Sends one request; whether the connection goes on.
    async fn ask(&mut self, connection: &mut Connection, id: String) -> bool {
        let wish = self.wish();
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{}Content-Length: 0\r\n\r\n",
            wish.method,
            wish.path,
            crate::orders::HOST,
            wish.deadline_ms,
            wish.headers
        );
        let is_sent = connection.send(text.as_bytes()).await.is_ok();
        let sent_at = self.record.now();
        let mut goes_on = false;
        let ending = if is_sent {
            let wait = Duration::from_millis(wish.deadline_ms);
            match tokio::time::timeout(wait, connection.read(wish.reading)).await {
                Err(_) => Ending::DeadlinePassed,
                Ok(Ok(Some(answer))) => {
                    goes_on = !answer.closes();
                    let is_success = (200..300).contains(&answer.status());
                    let own = answer.header("attempt-id").is_some_and(|a| a == id)
                        && answer.body.starts_with(id.as_bytes());
                    Ending::Answered {
                        status: answer.status(),
                        is_own: own || !is_success,
                    }
                }
                Ok(Ok(None) | Err(_)) => Ending::Closed,
            }
        } else {
            Ending::NotSent
        };
        let request = Request {
            id,
            path: wish.path,
            is_repeatable: wish.is_repeatable,
            node: self.node,
            sent_at,
            ended_at: self.record.now(),
            deadline_ms: wish.deadline_ms,
            ending,
        };
        self.record.note(|seen| seen.requests.push(request));
        goes_on
    }
}

async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
