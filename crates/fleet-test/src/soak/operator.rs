//! Operators: each gives one order after the other, and sends an order again, to another node,
//! when it has no clear answer. Answers get lost on their way to them.

use super::http::{Connection, Message, Reading};
use super::observations::{Order, OrderKind, Record, Trouble, TroubleKind};
use super::Routes;
use crate::net::Net;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Silence after which an operator moves on (protocol), ms.
const SILENCE_MS: u64 = 1000;
/// How long an order without a base may be sent again (`Acknowledge`), ms.
const ACKNOWLEDGE_MS: u64 = 6000;
/// How long a configuration is sent again, ms.
const CONFIGURATION_MS: u64 = 20_000;
/// Part of the answers that are lost.
const LOST_PART: f64 = 0.4;
/// Part of the attempts that go to a node that stands still, if there is one.
const FROZEN_PART: f64 = 0.4;
/// First pause before an order is sent again, ms; it doubles up to the longest.
const PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 800;

/// One operator.
pub struct Operator {
    /// Its number.
    pub number: usize,
    /// All nodes.
    pub nodes: u8,
    /// Addresses.
    pub net: Net,
    /// Where it writes what it sees.
    pub record: Record,
    /// Set when it is to end, after the order that it is at.
    pub stop: Rc<Cell<bool>>,
    /// What it draws by.
    pub rng: StdRng,
}

/// What an order came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Acknowledged,
    Refused,
    Unclear,
}

/// A call as it is sent.
struct Call {
    path: String,
    headers: String,
    body: Vec<u8>,
}

impl Operator {
    /// Begins and finishes evacuations of a zone, in series and with short pauses between.
    pub async fn evacuate(mut self, zone: String) {
        while !self.stop.get() {
            for begin in [true, false] {
                let kind = OrderKind::Evacuation {
                    zone: zone.clone(),
                    begin,
                };
                let what = if begin { "begin" } else { "finish" };
                let call = Call {
                    path: format!("/evacuation/{zone}/{what}"),
                    headers: String::new(),
                    body: Vec::new(),
                };
                let reply = self.settle(kind, &call, ACKNOWLEDGE_MS).await;
                if begin && reply != Reply::Acknowledged {
                    // It may be in force all the same: it is ended before another begins.
                    continue;
                }
                let (shortest, longest) = if begin { (3000, 12_000) } else { (300, 3000) };
                self.pause(shortest, longest).await;
            }
        }
    }

    /// Sends configurations that add and drop a route, and drop the partitioned service and bring
    /// it back.
    pub async fn configure(mut self) {
        let mut version = 0;
        let mut has_extra_route = true;
        let mut has_keyed = true;
        while !self.stop.get() || !has_keyed {
            let base = version;
            version = base + self.rng.gen_range(1..4);
            let kind = OrderKind::Configuration {
                version,
                has_extra_route,
            };
            let call = Call {
                path: "/configuration/replace".into(),
                headers: format!("Base-Version: {base}\r\nContent-Type: application/json\r\n"),
                body: configuration(version, has_extra_route, has_keyed),
            };
            if self.settle(kind, &call, CONFIGURATION_MS).await != Reply::Acknowledged {
                return;
            }
            has_extra_route = self.rng.gen_bool(0.5);
            has_keyed = !has_keyed || self.rng.gen_bool(0.7);
            let pause_ms = if has_keyed { 4000 } else { 1000 };
            self.pause(200, pause_ms).await;
        }
    }

    /// The version that any node reads back; tried until one answers.
    pub async fn read_back(&mut self, within_ms: u64) -> Option<u64> {
        let until = self.record.now() + within_ms;
        while self.record.now() < until {
            let node = self.rng.gen_range(1..=self.nodes);
            let get = "GET /configuration/read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
            if let Some(answer) = self.call(node, get.as_bytes()).await {
                let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                if let (200, Some(version)) = (answer.status(), body["Version"].as_u64()) {
                    return Some(version);
                }
            }
            self.pause(50, 100).await;
        }
        None
    }

    /// Sends an order until it has a clear answer or its time is over.
    async fn settle(&mut self, kind: OrderKind, call: &Call, within_ms: u64) -> Reply {
        let sent_at = self.record.now();
        let order = Order {
            operator: self.number,
            kind,
            sent_at,
            acknowledged_at: None,
            is_refused: false,
        };
        let place = self.record.note(|seen| {
            seen.orders.push(order);
            seen.orders.len() - 1
        });
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n",
            call.path,
            call.headers,
            call.body.len()
        );
        let bytes = [text.as_bytes(), &call.body].concat();
        let mut pause_ms = PAUSE_MS;
        loop {
            let node = self.choose_node();
            let answer = self.call(node, &bytes).await;
            let is_lost = self.rng.gen_bool(LOST_PART);
            let status = answer.filter(|_| !is_lost).map_or(0, |answer| answer.status());
            let now = self.record.now();
            match status {
                200 => {
                    self.record
                        .note(|seen| seen.orders[place].acknowledged_at = Some(now));
                    return Reply::Acknowledged;
                }
                400 | 409 | 412 | 413 | 422 => {
                    self.record.note(|seen| seen.orders[place].is_refused = true);
                    return Reply::Refused;
                }
                _ => {}
            }
            if now >= sent_at + within_ms {
                return Reply::Unclear;
            }
            self.pause(pause_ms, pause_ms + 1).await;
            pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
        }
    }

    /// Any node, and one that stands still more often than by chance: what is left there is read
    /// late.
    fn choose_node(&mut self) -> u8 {
        let frozen = self.record.note(|seen| {
            let troubles = seen.troubles.iter().rev();
            let is_frozen = |t: &&Trouble| t.kind == TroubleKind::Frozen && t.until == u64::MAX;
            troubles.clone().find(is_frozen).map(|t| t.node)
        });
        let any = self.rng.gen_range(1..=self.nodes);
        frozen.filter(|_| self.rng.gen_bool(FROZEN_PART)).unwrap_or(any)
    }

    /// One call at a node, up to a second of silence.
    async fn call(&self, node: u8, bytes: &[u8]) -> Option<Message> {
        let exchange = async {
            let stream = TcpStream::connect(self.net.control(node)).await.ok()?;
            let mut connection = Connection::new(stream);
            connection.send(bytes).await.ok()?;
            connection.read(Reading::AtOnce).await.ok()?
        };
        let silence = Duration::from_millis(SILENCE_MS);
        tokio::time::timeout(silence, exchange).await.ok()?
    }

    async fn pause(&mut self, shortest_ms: u64, longest_ms: u64) {
        let ms = self.rng.gen_range(shortest_ms..longest_ms);
        actix_rt::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// A configuration with the routes of a soak.
fn configuration(version: u64, has_extra_route: bool, has_keyed: bool) -> Vec<u8> {
    let rule = |prefix: &str, kind: &str, service: &str, timeout_ms: u64| {
        json!({
            "Name": prefix.trim_matches('/'), "RouteType": kind, "Target": "800ms", "Priority": 1,
            "Condition": { "PathPrefix": prefix },
            "Treatment": { "Service": service, "Timeout": format!("{timeout_ms}ms"), "AttemptLimit": 2, "HomeRegions": [] }
        })
    };
    let group = |name: &str, is_partitioned: bool| {
        json!({
            "Name": name, "HealthPath": "/health", "ConnectionLimit": 400, "Protocol": "h1", "Tls": false,
            "ColdPeriod": "0s", "ColdRateS": 6.0, "Partitioned": is_partitioned, "WarmUp": "0s", "Grants": "invocation"
        })
    };
    let timeout = Routes::TIMEOUT_MS;
    let mut rules = vec![
        rule(Routes::REPEATABLE, "idempotent", Routes::PLAIN_SERVICE, timeout),
        rule(Routes::ONCE, "non_idempotent", Routes::PLAIN_SERVICE, timeout),
        rule(
            Routes::LONG,
            "non_idempotent",
            Routes::PLAIN_SERVICE,
            Routes::LONG_TIMEOUT_MS,
        ),
    ];
    let mut groups = vec![group(Routes::PLAIN_SERVICE, false)];
    if has_extra_route {
        rules.push(rule(Routes::EXTRA, "idempotent", Routes::PLAIN_SERVICE, timeout));
    }
    if has_keyed {
        rules.push(rule(Routes::KEYED, "idempotent", Routes::KEYED_SERVICE, timeout));
        groups.push(group(Routes::KEYED_SERVICE, true));
    }
    json!({
        "Version": version,
        "Limits": { "HeaderMaxBytes": 16384, "BodyMaxBytes": 1_000_000, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms" },
        "AccessPoints": [{ "Host": crate::orders::HOST, "Rules": rules }],
        "Groups": groups
    })
    .to_string()
    .into_bytes()
}
