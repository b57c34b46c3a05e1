//! Operators of a soak. Each sends one command after the other, and sends a command again to
//! another node if the answer is not definite. Some answers are lost on their way to the operator.

use super::http::{Connection, Message, ReadMode};
use super::observations::{Command, CommandKind, NodeFault, NodeFaultKind, Record};
use super::Routes;
use crate::net::Net;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which an operator gives up on an answer (protocol), in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 1000;
/// How long a command without a base version may be sent again (`Acknowledge`), in milliseconds.
const COMMAND_RETRY_MS: u64 = 6000;
/// How long a configuration is sent again, in milliseconds.
const CONFIGURATION_RETRY_MS: u64 = 20_000;
/// Fraction of the answers that are lost.
const LOST_ANSWER_FRACTION: f64 = 0.4;
/// Fraction of the attempts that go to a frozen node, if there is one.
const FROZEN_NODE_FRACTION: f64 = 0.4;
/// First delay before a command is sent again, in milliseconds. It doubles up to the longest delay.
const FIRST_RETRY_DELAY_MS: u64 = 50;
const MAX_RETRY_DELAY_MS: u64 = 800;

/// An operator.
pub struct Operator {
    /// The operator's number.
    pub number: usize,
    /// Number of nodes.
    pub nodes: u8,
    /// Addresses of the fleet.
    pub net: Net,
    /// Record of what the operator observes.
    pub record: Record,
    /// Set when the operator is to stop after its current command.
    pub stop: Rc<Cell<bool>>,
    /// Generator of the operator's random choices.
    pub rng: StdRng,
}

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandOutcome {
    Acknowledged,
    Refused,
    Indeterminate,
}

/// The HTTP request of a call.
struct Call {
    path: String,
    headers: String,
    body: Vec<u8>,
}

impl Operator {
    /// Begins and finishes evacuations of a zone repeatedly, with short pauses in between.
    pub async fn evacuate(mut self, zone: String) {
        while !self.stop.get() {
            for begin in [true, false] {
                let (kind, call) = evacuation(&zone, begin);
                let outcome = self.retry_until_definite(kind, &call, COMMAND_RETRY_MS).await;
                if begin && outcome != CommandOutcome::Acknowledged {
                    // The evacuation may be in force even so, so it is finished before another one
                    // begins.
                    continue;
                }
                let (shortest, longest) = if begin { (3000, 12_000) } else { (300, 3000) };
                self.pause(shortest, longest).await;
            }
        }
    }

    /// Finishes evacuations of a zone until it is in use, as an operator does who sees in the status
    /// that a begin was counted twice. Returns whether the zone is in use after at most `finishes`.
    pub async fn finish_further(&mut self, zone: &str, finishes: usize, timeout_ms: u64) -> bool {
        for _ in 0..finishes {
            let (kind, call) = evacuation(zone, false);
            // For `Acknowledge` after another finish, this one may be its repetition.
            self.retry_until_definite(kind, &call, 2 * COMMAND_RETRY_MS).await;
            let evacuated = self.read_evacuated(timeout_ms).await;
            if evacuated.is_some_and(|zones| !zones.iter().any(|z| z == zone)) {
                return true;
            }
        }
        false
    }

    /// Sends configurations that add and drop a route, and that drop the partitioned service and
    /// restore it.
    pub async fn configure(mut self) {
        let mut version = 0;
        let mut has_extra_route = true;
        let mut has_keyed_service = true;
        while !self.stop.get() || !has_keyed_service {
            let base = version;
            version = base + self.rng.gen_range(1..4);
            let kind = CommandKind::Configuration {
                version,
                has_extra_route,
            };
            let call = Call {
                path: "/configuration/replace".into(),
                headers: format!("Base-Version: {base}\r\nContent-Type: application/json\r\n"),
                body: configuration(version, has_extra_route, has_keyed_service),
            };
            if self
                .retry_until_definite(kind, &call, CONFIGURATION_RETRY_MS)
                .await
                != CommandOutcome::Acknowledged
            {
                return;
            }
            has_extra_route = self.rng.gen_bool(0.5);
            has_keyed_service = !has_keyed_service || self.rng.gen_bool(0.7);
            let pause_ms = if has_keyed_service { 4000 } else { 1000 };
            self.pause(200, pause_ms).await;
        }
    }

    /// Returns the version that a node reads back. Tries random nodes until one answers.
    pub async fn read_back(&mut self, timeout_ms: u64) -> Option<u64> {
        let read_version = |body: &Value| body["Version"].as_u64();
        self.read("/configuration/read", read_version, timeout_ms).await
    }

    /// Returns the zones that are evacuated according to the leader.
    pub async fn read_evacuated(&mut self, timeout_ms: u64) -> Option<Vec<String>> {
        let read_zones = |body: &Value| {
            let zones = body["evacuated"].as_object()?;
            let is_leader = body["leader"] == true;
            is_leader.then(|| zones.keys().cloned().collect())
        };
        self.read("/status", read_zones, timeout_ms).await
    }

    /// Reads a resource from random nodes until one gives an answer that `parse` accepts.
    async fn read<T>(
        &mut self,
        path: &str,
        parse: impl Fn(&Value) -> Option<T>,
        timeout_ms: u64,
    ) -> Option<T> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
        let until = self.record.now() + timeout_ms;
        while self.record.now() < until {
            let node = self.rng.gen_range(1..=self.nodes);
            let answer = self.call(node, request.as_bytes()).await;
            if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
                let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                if let Some(value) = parse(&body) {
                    return Some(value);
                }
            }
            self.pause(50, 100).await;
        }
        None
    }

    /// Sends a command until the answer is definite or the time is over.
    async fn retry_until_definite(
        &mut self,
        kind: CommandKind,
        call: &Call,
        timeout_ms: u64,
    ) -> CommandOutcome {
        let sent_at = self.record.now();
        let command = Command {
            operator: self.number,
            kind,
            sent_at,
            last_sent_at: sent_at,
            acknowledged_at: None,
            is_refused: false,
        };
        let index = self.record.update(|seen| {
            seen.commands.push(command);
            seen.commands.len() - 1
        });
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{}Content-Length: {}\r\n\r\n",
            call.path,
            call.headers,
            call.body.len()
        );
        let bytes = [head.as_bytes(), &call.body].concat();
        let mut pause_ms = FIRST_RETRY_DELAY_MS;
        loop {
            let node = self.choose_node();
            let now = self.record.now();
            self.record.update(|seen| seen.commands[index].last_sent_at = now);
            let answer = self.call(node, &bytes).await;
            let is_lost = self.rng.gen_bool(LOST_ANSWER_FRACTION);
            let status = answer.filter(|_| !is_lost).map_or(0, |answer| answer.status());
            let now = self.record.now();
            match status {
                200 => {
                    self.record
                        .update(|seen| seen.commands[index].acknowledged_at = Some(now));
                    return CommandOutcome::Acknowledged;
                }
                400 | 409 | 412 | 413 | 422 => {
                    self.record.update(|seen| seen.commands[index].is_refused = true);
                    return CommandOutcome::Refused;
                }
                _ => {}
            }
            if now >= sent_at + timeout_ms {
                return CommandOutcome::Indeterminate;
            }
            self.pause(pause_ms, pause_ms + 1).await;
            pause_ms = (pause_ms * 2).min(MAX_RETRY_DELAY_MS);
        }
    }

    /// Chooses a random node, but a frozen one more often than by chance, because a frozen node
    /// reads its calls late.
    fn choose_node(&mut self) -> u8 {
        let frozen = self.record.update(|seen| {
            let node_faults = seen.node_faults.iter().rev();
            let is_frozen = |f: &&NodeFault| f.kind == NodeFaultKind::Frozen && f.until == u64::MAX;
            node_faults.clone().find(is_frozen).map(|f| f.node)
        });
        let any_node = self.rng.gen_range(1..=self.nodes);
        frozen
            .filter(|_| self.rng.gen_bool(FROZEN_NODE_FRACTION))
            .unwrap_or(any_node)
    }

    /// Calls a node, and waits up to 1 s for the answer.
    async fn call(&self, node: u8, bytes: &[u8]) -> Option<Message> {
        let exchange = async {
            let stream = TcpStream::connect(self.net.control(node)).await.ok()?;
            let mut connection = Connection::new(stream);
            connection.send(bytes).await.ok()?;
            connection.read(ReadMode::Immediate).await.ok()?
        };
        let response_timeout = Duration::from_millis(RESPONSE_TIMEOUT_MS);
        tokio::time::timeout(response_timeout, exchange).await.ok()?
    }

    async fn pause(&mut self, shortest_ms: u64, longest_ms: u64) {
        let ms = self.rng.gen_range(shortest_ms..longest_ms);
        actix_rt::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Returns the command that begins or finishes an evacuation, and its call.
fn evacuation(zone: &str, begin: bool) -> (CommandKind, Call) {
    let what = if begin { "begin" } else { "finish" };
    let call = Call {
        path: format!("/evacuation/{zone}/{what}"),
        headers: String::new(),
        body: Vec::new(),
    };
    let zone = zone.to_string();
    (CommandKind::Evacuation { zone, begin }, call)
}

/// Returns a configuration with the routes of a soak.
fn configuration(version: u64, has_extra_route: bool, has_keyed_service: bool) -> Vec<u8> {
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
        rule(Routes::IDEMPOTENT, "idempotent", Routes::PLAIN_SERVICE, timeout),
        rule(
            Routes::NON_IDEMPOTENT,
            "non_idempotent",
            Routes::PLAIN_SERVICE,
            timeout,
        ),
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
    if has_keyed_service {
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
