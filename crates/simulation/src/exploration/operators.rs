//! The operators of a run: their requests, the nodes that they send them to, and how they retry
//! without an answer.

use super::delivery::InFlight;
use super::{Exploration, OPERATORS};
use crate::command_handler::RoutedCommand;
use crate::history::{digest, Content, Observation, Reply, Request};
use crate::plan::OperatorRequest;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which an operator waits for a reply, ms.
const REPLY_TIMEOUT_MS: u64 = 1000;
/// Number of redirects that an operator follows before it pauses.
const MAX_REDIRECTS: u32 = 2;
/// Largest number of pending commands of one operator.
const MAX_PENDING: usize = 8;

pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) body: Vec<u8>,
    /// The attempt that the operator waits for, and the time at which it was sent, ms.
    pub(super) open: Option<(u64, u64)>,
    pub(super) next_at: u64,
    pub(super) pause_ms: u64,
    /// Number of consecutive redirects.
    pub(super) redirects: u32,
    pub(super) first_to: Option<String>,
}

impl PendingRequest {
    /// Schedules a retry after a pause that doubles, up to 2 s.
    fn schedule_retry(&mut self, now: u64) {
        self.open = None;
        self.next_at = now + self.pause_ms;
        self.pause_ms = (2 * self.pause_ms).min(2000);
    }
}

#[derive(Default)]
pub(super) struct Operator {
    /// Versions that the operator knows to have been in force.
    pub(super) known: BTreeSet<u64>,
    pub(super) pending: BTreeMap<u64, PendingRequest>,
}

/// Returns a configuration that differs from all others. An invalid one lacks its limits.
fn body(version: u64, unique: u64, valid: bool) -> Vec<u8> {
    let limits = r#""Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},"#;
    let limits = if valid { limits } else { "" };
    format!(r#"{{"Version":{version},{limits}"AccessPoints":[],"Groups":[{{"Name":"s","Partitioned":true}},{{"Name":"s{unique}"}}]}}"#)
        .into_bytes()
}

impl Exploration {
    pub(super) fn request(&mut self, operator: usize, node: u8, requested: OperatorRequest) {
        if self.operators[operator].pending.len() < MAX_PENDING {
            self.submit(operator, node, requested);
        }
    }

    pub(super) fn submit(&mut self, operator: usize, node: u8, requested: OperatorRequest) {
        let (request, body) = match requested {
            OperatorRequest::Read => (Request::Read, Vec::new()),
            OperatorRequest::Evacuate { zone, begin } => {
                let zone = format!("z{zone}");
                (Request::Evacuate { zone, begin }, Vec::new())
            }
            OperatorRequest::Duplicate => match &self.last_sent {
                Some(last) => last.clone(),
                None => return,
            },
            OperatorRequest::Replace { older, invalid } => {
                let known = &self.operators[operator].known;
                let base = known.iter().rev().nth(older as usize).copied().unwrap_or(0);
                let version = base + 1;
                let body = body(version, self.commands + 1, !invalid);
                let content = Content {
                    base,
                    version,
                    digest: digest(&body),
                };
                self.contents.insert((version, content.digest), content);
                let request = Request::Replace {
                    content,
                    valid: !invalid,
                };
                self.last_sent = Some((request.clone(), body.clone()));
                (request, body)
            }
        };
        self.commands += 1;
        let first_to = self.machine(node);
        self.operators[operator].pending.insert(
            self.commands,
            PendingRequest {
                request,
                body,
                open: None,
                next_at: self.cluster.now,
                pause_ms: 100,
                redirects: 0,
                first_to,
            },
        );
    }

    /// Sends the requests of an operator that are due, and ends its waits that have timed out.
    pub(super) fn step_operator(&mut self, operator: usize) {
        let now = self.cluster.now;
        let commands: Vec<u64> = self.operators[operator].pending.keys().copied().collect();
        for number in commands {
            let Some(command) = self.operators[operator].pending.get_mut(&number) else {
                continue;
            };
            match command.open {
                Some((attempt, since)) if now >= since + REPLY_TIMEOUT_MS => {
                    command.schedule_retry(now);
                    self.record(OPERATORS[operator], Observation::RequestTimedOut { attempt });
                }
                None if now >= command.next_at => self.send(operator, number),
                _ => {}
            }
        }
    }

    pub(super) fn send(&mut self, operator: usize, number: u64) {
        let now = self.cluster.now;
        let random_node = self.rng.gen_range(0..self.machines.len() as u8);
        let random_node = self.machine(random_node);
        self.attempts += 1;
        let attempt = self.attempts;
        let Some(command) = self.operators[operator].pending.get_mut(&number) else {
            return;
        };
        let is_resent = command.open.is_none() && command.first_to.is_none();
        let Some(to) = command.first_to.take().or(random_node) else {
            return;
        };
        self.coverage.resends += u64::from(is_resent);
        command.open = Some((attempt, now));
        let routed = RoutedCommand {
            number,
            attempt,
            request: command.request.clone(),
            body: command.body.clone(),
            tag: None,
        };
        let request = command.request.clone();
        let observation = Observation::Sent {
            command: number,
            attempt,
            to: to.clone(),
            request,
        };
        self.record(OPERATORS[operator], observation);
        let at = now + self.rng.gen_range(1..20);
        let is_up = self.cluster.nodes.get(&to).is_some_and(|n| n.process.is_some());
        if !is_up {
            self.in_flight.push((at + 10, InFlight::Failed { attempt }));
        } else if !self.link_fails() {
            let process = self.process(&to);
            let command = routed;
            self.in_flight
                .push((at, InFlight::Request { to, process, command }));
        }
    }

    /// Handles a reply that reaches an operator, or a failed connection (`None`).
    pub(super) fn on_reply(&mut self, attempt: u64, reply: Option<Reply>) {
        let now = self.cluster.now;
        for (operator, name) in OPERATORS.iter().enumerate() {
            let state = &mut self.operators[operator];
            let mut pending = state.pending.iter_mut();
            let Some((number, command)) = pending.find(|(_, o)| o.open.is_some_and(|(a, _)| a == attempt))
            else {
                continue;
            };
            let number = *number;
            let Some(reply) = &reply else {
                command.schedule_retry(now);
                continue;
            };
            match reply.status {
                200 | 400 | 404 | 412 => {
                    match (&command.request, reply.status, reply.read) {
                        (Request::Replace { content, .. }, 200, _) => {
                            state.known.insert(content.version);
                            self.coverage.acknowledged += 1;
                        }
                        (Request::Read, _, Some((version, _))) => {
                            state.known.insert(version);
                        }
                        (_, 400 | 412, _) => self.coverage.refusals += 1,
                        _ => {}
                    }
                    state.pending.remove(&number);
                }
                _ => command.schedule_retry(now),
            }
            let (reply, is_redirected) = (reply.clone(), reply.status == 307);
            if let (true, Some(command)) = (is_redirected, self.operators[operator].pending.get_mut(&number))
            {
                // The reply names other nodes: the operator tries another node at once.
                command.redirects += 1;
                if command.redirects <= MAX_REDIRECTS {
                    command.next_at = now;
                } else {
                    command.redirects = 0;
                }
            }
            self.record(name, Observation::ReplyReceived { attempt, reply });
        }
    }
}
