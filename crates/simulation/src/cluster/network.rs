//! Delivers messages between nodes, and calls between the leader and workers.

use super::Cluster;
use crate::node::{Node, Process};
use config::constants as c;
use key_ownership::{GrantCall, GrantResult, ReleaseCall, ReleaseResult};
use rand::Rng;
use std::collections::BTreeSet;

/// Latency of a call to a worker in each direction without `lag_ms`, ms.
pub(super) const WORKER_CALL_MS: u64 = 20;
/// Time that a worker takes to release keys, ms.
const RELEASE_MS: u64 = 150;
/// Time after which an unanswered release call fails, ms.
const RELEASE_TIMEOUT_MS: u64 = 1000;
/// Latency between two regions, ms.
const REMOTE_LATENCY_MS: u64 = 30;
/// Latency within a region, ms.
const LOCAL_LATENCY_MS: u64 = 1;
/// Upper bound of the random addition to a latency, ms.
const LATENCY_JITTER_MS: u64 = 5;

/// The process that made a call. Only this process receives the answer.
#[derive(Clone)]
pub(super) struct Caller {
    pub(super) node: String,
    /// Time at which the process started, ms.
    pub(super) started: u64,
}

/// A message or call in flight.
pub(super) enum InFlight {
    /// A message between nodes.
    Raft {
        from: String,
        sender: u64,
        to: u64,
        message: raft::Message,
    },
    /// A grant of keys to a worker.
    Grant {
        caller: Caller,
        call: GrantCall,
        sent: u64,
        /// Whether the call arrives after the caller has stopped waiting.
        is_late: bool,
    },
    /// The answer to a grant.
    GrantAnswer {
        caller: Caller,
        call: GrantCall,
        result: GrantResult,
    },
    /// A request to a worker to release keys.
    Release { caller: Caller, call: ReleaseCall },
    /// The answer to a release request.
    ReleaseAnswer {
        caller: Caller,
        call: ReleaseCall,
        result: ReleaseResult,
    },
}

impl Cluster {
    fn latency(&mut self, a: &str, b: &str) -> u64 {
        let region = |n: &str| self.nodes.get(n).map(|n| n.region.clone());
        let base = if region(a) == region(b) {
            LOCAL_LATENCY_MS
        } else {
            REMOTE_LATENCY_MS
        };
        base + self.rng.gen_range(0..LATENCY_JITTER_MS)
    }

    pub(super) fn send(&mut self, from: &str, message: raft::Message) {
        let to = message.to;
        let Some(name) = self.nodes.values().find(|n| n.id() == to).map(|n| n.name.clone()) else {
            return;
        };
        if self.blocked_links.contains(&(from.to_string(), name.clone())) {
            return;
        }
        let bytes = prost::Message::encoded_len(&message);
        *self.sent.entry(from.to_string()).or_default() += bytes;
        let sent_at = self.transmit(from, true, self.now, bytes);
        let latency = self.latency(from, &name);
        let at = self.transmit(&name, false, sent_at + latency, bytes);
        let sender = self.nodes.get(from).map_or(0, Node::id);
        self.in_flight.push((
            at,
            InFlight::Raft {
                from: from.into(),
                sender,
                to,
                message,
            },
        ));
    }

    /// Returns the time at which a message that reaches a link at `at` has passed it, ms. A link
    /// transmits messages one after the other, each for a time proportional to its size.
    fn transmit(&mut self, machine: &str, is_outgoing: bool, at: u64, bytes: usize) -> u64 {
        let Some(bytes_per_s) = self.bandwidth.get(machine) else {
            return at;
        };
        let key = (machine.to_string(), is_outgoing);
        let free_at_us = self.link_free_at.entry(key).or_default();
        *free_at_us = (*free_at_us).max(at * 1000) + bytes as u64 * 1_000_000 / bytes_per_s;
        *free_at_us / 1000
    }

    /// Delivers the messages that are due. Messages to a frozen node wait.
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let frozen = self.frozen.iter().filter_map(|name| self.nodes.get(name));
        let frozen: BTreeSet<u64> = frozen.map(Node::id).collect();
        let is_held =
            |message: &InFlight| matches!(message, InFlight::Raft { to, .. } if frozen.contains(to));
        let all = std::mem::take(&mut self.in_flight).into_iter();
        let (due, rest): (Vec<_>, Vec<_>) = all.partition(|(at, message)| *at <= now && !is_held(message));
        self.in_flight = rest;
        for (_, message) in due {
            self.deliver_one(message);
        }
    }

    fn deliver_one(&mut self, message: InFlight) {
        let now = self.now;
        match message {
            InFlight::Raft {
                sender, to, message, ..
            } => {
                let node = self.nodes.values_mut().find(|n| n.id() == to);
                if let Some(process) = node.and_then(|n| n.process.as_mut()) {
                    process.raft.step(now, sender, message);
                }
            }
            InFlight::Grant {
                caller,
                call,
                sent,
                is_late,
            } => self.deliver_grant(caller, call, sent, is_late),
            InFlight::GrantAnswer { caller, call, result } => {
                if let Some(process) = self.calling_process(&caller) {
                    process.ownership.on_grant_result(now, &call, result);
                }
            }
            InFlight::Release { caller, call } => self.deliver_release(caller, call),
            InFlight::ReleaseAnswer { caller, call, result } => {
                if let Some(process) = self.calling_process(&caller) {
                    process.ownership.on_release_result(now, &call, result);
                }
            }
        }
    }

    fn deliver_grant(&mut self, caller: Caller, call: GrantCall, sent: u64, is_late: bool) {
        let now = self.now;
        let mut workers = self.workers.values_mut();
        let result = match workers.find(|w| w.listed.address == call.address) {
            Some(worker) if worker.up => {
                let result = worker.grant(now, &call.lease, call.lease_ms);
                if worker.drops_answers {
                    GrantResult::Unknown
                } else {
                    result
                }
            }
            _ => GrantResult::Unknown,
        };
        if is_late {
            return;
        }
        let answered_at = if result == GrantResult::Unknown {
            sent + c::GRANT_TIMEOUT_MS
        } else {
            now + WORKER_CALL_MS
        };
        let answer = InFlight::GrantAnswer { caller, call, result };
        self.in_flight.push((answered_at.max(now), answer));
    }

    fn deliver_release(&mut self, caller: Caller, call: ReleaseCall) {
        let mut workers = self.workers.values_mut();
        let result = match workers.find(|w| w.listed.address == call.address) {
            Some(worker) if worker.up && !worker.drops_answers => worker.release(&call.lease),
            _ => ReleaseResult::Failed,
        };
        let wait_ms = if result == ReleaseResult::Failed {
            RELEASE_TIMEOUT_MS
        } else {
            RELEASE_MS
        };
        let answer = InFlight::ReleaseAnswer { caller, call, result };
        self.in_flight.push((self.now + wait_ms, answer));
    }

    /// Returns the process that made a call, if it is still running.
    fn calling_process(&mut self, caller: &Caller) -> Option<&mut Process> {
        let node = self.nodes.get_mut(&caller.node)?;
        node.process.as_mut().filter(|p| p.started == caller.started)
    }

    /// Resets the connections between two nodes: drops the messages in flight between them.
    pub fn reset(&mut self, a: &str, b: &str) {
        let (a_id, b_id) = (
            self.nodes.get(a).map_or(0, Node::id),
            self.nodes.get(b).map_or(0, Node::id),
        );
        self.in_flight.retain(|(_, message)| match message {
            InFlight::Raft { from, to, .. } => !(from == a && *to == b_id || from == b && *to == a_id),
            _ => true,
        });
    }
}
