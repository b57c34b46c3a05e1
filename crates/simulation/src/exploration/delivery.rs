//! Delivers messages between operators and nodes, and between the command handlers of nodes.

use super::Exploration;
use crate::command_handler::{HandlerAction, Origin, RoutedCommand};
use crate::history::{Observation, Reply};
use crate::node::{Node, StepResult};
use protocol::CallId;
use rand::Rng;

#[derive(Clone)]
pub(super) enum InFlight {
    Request {
        to: String,
        process: u64,
        command: RoutedCommand,
    },
    Response {
        attempt: u64,
        reply: Reply,
    },
    Call {
        from: String,
        to: String,
        id: CallId,
        command: RoutedCommand,
    },
    Answer {
        from_id: u64,
        to: String,
        id: CallId,
        reply: Reply,
    },
    /// The connection failed: no process runs on the node.
    Failed {
        attempt: u64,
    },
}

impl Exploration {
    pub(super) fn step_handlers(&mut self) {
        let now = self.cluster.now;
        let step_results: Vec<(String, StepResult)> = std::mem::take(&mut self.cluster.step_results);
        for (name, step_result) in &step_results {
            self.coverage.snapshots += u64::from(step_result.installed);
            let process = self.process(name);
            for entry in &step_result.applied {
                let Some((command, attempt)) = self.logged.get(&(entry.index, entry.term)).copied() else {
                    continue;
                };
                let changed = entry.outcome == Some(control_state::Outcome::Applied);
                let observation = Observation::Effect {
                    process,
                    index: entry.index,
                    command,
                    attempt,
                    changed,
                };
                self.record(name, observation);
            }
            let node = self.cluster.nodes.get_mut(name).and_then(|n| n.process.as_mut());
            let (Some(handler), Some(node)) = (self.handlers.get_mut(name), node) else {
                continue;
            };
            let actions = handler.step(now, node, step_result);
            self.perform(name, actions);
        }
    }

    pub(super) fn perform(&mut self, name: &str, actions: Vec<HandlerAction>) {
        for action in actions {
            match action {
                HandlerAction::Logged {
                    index,
                    term,
                    command,
                    attempt,
                } => {
                    self.logged.insert((index, term), (command, attempt));
                }
                HandlerAction::Forward { to, id, command } => {
                    let known = self.cluster.nodes.values().find(|n| n.id() == to);
                    if let Some(to) = known.map(|n| n.name.clone()) {
                        let call = InFlight::Call {
                            from: name.to_string(),
                            to: to.clone(),
                            id,
                            command,
                        };
                        self.send_between(name, &to, &call);
                    }
                }
                HandlerAction::Respond {
                    origin: Origin::Operator { attempt },
                    reply,
                } => {
                    let status = reply.status;
                    self.record(name, Observation::ReplySent { attempt, status });
                    let at = self.cluster.now + self.rng.gen_range(1..20);
                    if !self.link_fails() {
                        self.in_flight.push((at, InFlight::Response { attempt, reply }));
                    }
                }
                HandlerAction::Respond {
                    origin: Origin::Node { name: to, id },
                    reply,
                } => {
                    let from_id = self.cluster.nodes.get(name).map_or(0, Node::id);
                    let answer = InFlight::Answer {
                        from_id,
                        to: to.clone(),
                        id,
                        reply,
                    };
                    self.send_between(name, &to, &answer);
                }
            }
        }
    }

    /// Returns whether the current message is hit by the loss rate of the links.
    pub(super) fn link_fails(&mut self) -> bool {
        self.loss_percent > 0 && self.rng.gen_range(0..100) < self.loss_percent
    }

    /// Sends a message from node to node. A cut link drops it; a lossy one may drop, duplicate or
    /// delay it.
    pub(super) fn send_between(&mut self, from: &str, to: &str, message: &InFlight) {
        if self
            .cluster
            .blocked_links
            .contains(&(from.to_string(), to.to_string()))
        {
            return;
        }
        let crosses_regions =
            self.cluster.nodes.get(from).map(|n| &n.region) != self.cluster.nodes.get(to).map(|n| &n.region);
        if self.link_fails() {
            return;
        }
        let copies = 1 + u8::from(self.link_fails());
        for _ in 0..copies {
            let delay_ms = if self.link_fails() {
                self.rng.gen_range(0..3000)
            } else {
                0
            };
            let base_ms = if crosses_regions { 30 } else { 1 };
            let at = self.cluster.now + base_ms + delay_ms + self.rng.gen_range(0..5);
            self.in_flight.push((at, message.clone()));
        }
    }

    pub(super) fn deliver(&mut self) {
        let now = self.cluster.now;
        let frozen = &self.cluster.frozen;
        let is_held = |message: &InFlight| match message {
            InFlight::Request { to, .. } | InFlight::Call { to, .. } | InFlight::Answer { to, .. } => {
                frozen.contains(to)
            }
            _ => false,
        };
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, message)| *at <= now && !is_held(message));
        self.in_flight = rest;
        for (_, message_in_flight) in due {
            match message_in_flight {
                InFlight::Request { to, process, command } => {
                    let attempt = command.attempt;
                    // A connection to an earlier process of the node has ended.
                    if process == self.process(&to) {
                        self.deliver_command(&to, Origin::Operator { attempt }, command);
                    }
                }
                InFlight::Call {
                    from,
                    to,
                    id,
                    command,
                } => {
                    self.deliver_command(&to, Origin::Node { name: from, id }, command);
                }
                InFlight::Answer {
                    from_id,
                    to,
                    id,
                    reply,
                } => {
                    if self.cluster.nodes.get(&to).is_some_and(|n| n.process.is_some()) {
                        let actions = self
                            .handlers
                            .get_mut(&to)
                            .map(|handler| handler.on_answer(now, from_id, id, reply));
                        self.perform(&to, actions.unwrap_or_default());
                    }
                }
                InFlight::Response { attempt, reply } => self.on_reply(attempt, Some(reply)),
                InFlight::Failed { attempt } => self.on_reply(attempt, None),
            }
        }
    }

    pub(super) fn deliver_command(&mut self, to: &str, origin: Origin, command: RoutedCommand) {
        let now = self.cluster.now;
        let node = self.cluster.nodes.get(to).and_then(|n| n.process.as_ref());
        if let (Some(handler), Some(node)) = (self.handlers.get_mut(to), node) {
            handler.accept(now, node, origin, command);
        }
    }
}
