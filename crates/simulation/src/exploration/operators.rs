//! The operators of a run: what they ask for, where they send it, and how they go on without an
//! answer.

use super::delivery::InFlight;
use super::{Exploration, OPERATORS};
use crate::command_handler::RoutedCommand;
use crate::history::{digest, Content, Observation, Reply, Request};
use crate::plan::OperatorRequest;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// An operator waits for an answer so long, ms.
const REPLY_TIMEOUT_MS: u64 = 1000;
/// An operator is sent on so many times before it pauses.
const MAX_REDIRECTS: u32 = 2;
/// Commands of one operator under way at once.
const MAX_PENDING: usize = 8;

pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) body: Vec<u8>,
    /// The attempt that is waited for, and since when.
    pub(super) open: Option<(u64, u64)>,
    pub(super) next_at: u64,
    pub(super) pause: u64,
    /// Nodes that named others, one after the other.
    pub(super) redirects: u32,
    pub(super) first_to: Option<String>,
}

impl PendingRequest {
    /// Tries again after a pause that grows.
    fn later(&mut self, now: u64) {
        self.open = None;
        self.next_at = now + self.pause;
        self.pause = (2 * self.pause).min(2000);
    }
}

#[derive(Default)]
pub(super) struct Operator {
    /// Versions that it knows to have been in force.
    pub(super) known: BTreeSet<u64>,
    pub(super) pending: BTreeMap<u64, PendingRequest>,
}

/// A configuration that differs from all others; an invalid one lacks its limits.
fn body(version: u64, mark: u64, valid: bool) -> Vec<u8> {
    let limits = r#""Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},"#;
    let limits = if valid { limits } else { "" };
    format!(r#"{{"Version":{version},{limits}"AccessPoints":[],"Groups":[{{"Name":"s","Partitioned":true}},{{"Name":"s{mark}"}}]}}"#)
        .into_bytes()
}

impl Exploration {
    pub(super) fn request(&mut self, operator: usize, node: u8, asked: OperatorRequest) {
        if self.operators[operator].pending.len() < MAX_PENDING {
            self.submit(operator, node, asked);
        }
    }

    pub(super) fn submit(&mut self, operator: usize, node: u8, asked: OperatorRequest) {
        let (request, body) = match asked {
            OperatorRequest::Read => (Request::Read, Vec::new()),
            OperatorRequest::Evacuate { zone, begin } => {
                let zone = format!("z{zone}");
                (Request::Evacuate { zone, begin }, Vec::new())
            }
            OperatorRequest::Twin => match &self.last_sent {
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
                pause: 100,
                redirects: 0,
                first_to,
            },
        );
    }

    /// What an operator does by now.
    pub(super) fn step_operator(&mut self, operator: usize) {
        let now = self.cluster.now;
        let commands: Vec<u64> = self.operators[operator].pending.keys().copied().collect();
        for number in commands {
            let Some(command) = self.operators[operator].pending.get_mut(&number) else {
                continue;
            };
            match command.open {
                Some((attempt, since)) if now >= since + REPLY_TIMEOUT_MS => {
                    command.later(now);
                    self.record(OPERATORS[operator], Observation::RequestTimedOut { attempt });
                }
                None if now >= command.next_at => self.send(operator, number),
                _ => {}
            }
        }
    }

    pub(super) fn send(&mut self, operator: usize, number: u64) {
        let now = self.cluster.now;
        let any = self.rng.gen_range(0..self.machines.len() as u8);
        let any = self.machine(any);
        self.attempts += 1;
        let attempt = self.attempts;
        let Some(command) = self.operators[operator].pending.get_mut(&number) else {
            return;
        };
        let is_resent = command.open.is_none() && command.first_to.is_none();
        let Some(to) = command.first_to.take().or(any) else {
            return;
        };
        self.coverage.resends += u64::from(is_resent);
        command.open = Some((attempt, now));
        let travels = RoutedCommand {
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
        let up = self.cluster.nodes.get(&to).is_some_and(|n| n.process.is_some());
        if !up {
            self.in_flight.push((at + 10, InFlight::Failed { attempt }));
        } else if !self.link_fails() {
            let process = self.process(&to);
            let command = travels;
            self.in_flight
                .push((at, InFlight::Request { to, process, command }));
        }
    }

    /// A reply, or word that the connection failed, reaches an operator.
    pub(super) fn on_reply(&mut self, attempt: u64, reply: Option<Reply>) {
        let now = self.cluster.now;
        for (operator, name) in OPERATORS.iter().enumerate() {
            let state = &mut self.operators[operator];
            let mut all = state.pending.iter_mut();
            let Some((number, command)) = all.find(|(_, o)| o.open.is_some_and(|(a, _)| a == attempt)) else {
                continue;
            };
            let number = *number;
            let Some(reply) = &reply else {
                command.later(now);
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
                _ => command.later(now),
            }
            let (reply, is_redirected) = (reply.clone(), reply.status == 307);
            if let (true, Some(command)) = (is_redirected, self.operators[operator].pending.get_mut(&number))
            {
                // It names nodes that may know better: on to one of them at once.
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
