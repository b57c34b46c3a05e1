//! Command handling of a node, as `pebblepond` does it: the node executes a command if it is
//! the leader, and otherwise forwards it to the node that it believes to be the leader. The
//! outcome is decided by the log, or by a replica that a majority has confirmed since the command
//! arrived.

mod execution;
mod messages;

pub use messages::{HandlerAction, Mutant, Origin, RoutedCommand};

use crate::cluster::TOLERANCE;
use crate::history::{digest, Reply, Request};
use crate::node::{Process, StepResult};
use config::constants as c;
use control_state::{Confirmation, Outcome, RecentCommands};
use execution::{evacuation, status_of};
use protocol::{CallId, CommandTag, ConfigurationKey, PendingCalls};
use raft::{is_durable, LogPosition, ReadState};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Looks for the leader at the time `at`, ms.
    Routing { at: u64 },
    /// Forwarded to the leader; the answer is matched by the number of the call.
    Forwarded,
    /// In the log at `index` and `term`.
    Logged { index: u64, term: u64 },
    /// Accepted; waits until enough replicas hold it.
    Replicating { index: u64, since: u64 },
    /// Waits for a majority to confirm this replica.
    Reading { token: u64, until: u64 },
}

struct RunningCommand {
    origin: Origin,
    command: RoutedCommand,
    since: u64,
    phase: Phase,
    /// Whether a majority has confirmed this replica since the command arrived.
    confirmation: Confirmation,
}

/// A command in the log that is not applied yet: its key or tag, and its position.
struct Proposal {
    key: Option<ConfigurationKey>,
    tag: Option<CommandTag>,
    index: u64,
    term: u64,
}

/// Status of an answer between nodes: the answering node is not the leader.
const NOT_LEADER: u16 = 0;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const PRECONDITION_FAILED: u16 = 412;
/// The operator should ask another node.
const TEMPORARY_REDIRECT: u16 = 307;
const UNAVAILABLE: u16 = 503;

/// The commands that one process of a node handles.
pub struct CommandHandler {
    pub process: u64,
    calls: PendingCalls<u64, u64>,
    running_commands: BTreeMap<u64, RunningCommand>,
    next: u64,
    /// Times at which this process first saw the commands of the command history.
    recent_commands: RecentCommands,
    /// The last settlement of commands that this process proposed, by term and log index.
    settled: Option<(u64, u64)>,
    /// Commands in the log that are not applied yet.
    pending: Vec<Proposal>,
    mutant: Mutant,
}

impl CommandHandler {
    /// Creates the handler of the process with this number.
    pub fn new(process: u64, mutant: Mutant) -> CommandHandler {
        let incarnation = if mutant == Mutant::PairsByNumber {
            0
        } else {
            process
        };
        CommandHandler {
            process,
            calls: PendingCalls::new(protocol::Incarnation(incarnation), c::COMMAND_TIMEOUT_MS),
            running_commands: BTreeMap::new(),
            next: 0,
            recent_commands: RecentCommands::default(),
            settled: None,
            pending: Vec::new(),
            mutant,
        }
    }

    /// Accepts a command that reaches this node.
    pub fn accept(&mut self, now: u64, node: &Process, origin: Origin, mut command: RoutedCommand) {
        self.next += 1;
        if let (Origin::Operator { .. }, Request::Evacuate { zone, begin }) = (&origin, &command.request) {
            let evacuate = protocol::Command::Evacuate(evacuation(zone, *begin));
            let digests = control_state::command_digests(&evacuate);
            let tag = digests.map(|digests| CommandTag {
                incarnation: self.process,
                number: self.next,
                as_of: node.state.index,
                subject: digests.subject,
                digest: digests.command,
                repeats: 0,
                awaited_at: 0,
                cautious: !begin,
            });
            command.tag = tag.filter(|_| self.mutant != Mutant::SendsNoTag);
        }
        let running = RunningCommand {
            origin,
            command,
            since: now,
            phase: Phase::Routing { at: now },
            confirmation: Confirmation::Unconfirmed,
        };
        self.running_commands.insert(self.next, running);
    }

    /// Handles the answer of another node to a forwarded command.
    pub fn on_answer(&mut self, now: u64, from: u64, id: CallId, reply: Reply) -> Vec<HandlerAction> {
        let Some(number) = self.calls.finish(&self.peer_key(from), id, now) else {
            return Vec::new();
        };
        if reply.status == NOT_LEADER {
            if let Some(running) = self.running_commands.get_mut(&number) {
                running.phase = Phase::Routing {
                    at: now + c::COMMAND_RETRY_MS,
                };
            }
            return Vec::new();
        }
        let Some(running) = self.running_commands.remove(&number) else {
            return Vec::new();
        };
        vec![HandlerAction::Respond {
            origin: running.origin,
            reply,
        }]
    }

    /// Returns the key of a peer for matching calls and answers.
    fn peer_key(&self, id: u64) -> u64 {
        if self.mutant == Mutant::PairsByNumber {
            0
        } else {
            id
        }
    }

    /// Advances all commands by one step, after the node has completed `step_result`.
    pub fn step(&mut self, now: u64, node: &mut Process, step_result: &StepResult) -> Vec<HandlerAction> {
        let mut actions = Vec::new();
        self.recent_commands.record(now, &node.state.command_history);
        self.settle_commands(now, node);
        let is_leader = node.raft.is_leader();
        let applied_index = node.state.index;
        let numbers: Vec<u64> = self.running_commands.keys().copied().collect();
        for number in numbers {
            let Some(mut running) = self.running_commands.remove(&number) else {
                continue;
            };
            match self.advance(now, node, step_result, number, &mut running, &mut actions) {
                Some(reply) => actions.push(HandlerAction::Respond {
                    origin: running.origin,
                    reply,
                }),
                None => drop(self.running_commands.insert(number, running)),
            }
        }
        self.pending.retain(|p| is_leader && p.index > applied_index);
        actions
    }

    /// Advances a command as far as possible. Returns the reply if the command is finished.
    fn advance(
        &mut self,
        now: u64,
        node: &mut Process,
        step_result: &StepResult,
        number: u64,
        running: &mut RunningCommand,
        actions: &mut Vec<HandlerAction>,
    ) -> Option<Reply> {
        if running.is_from_operator() && now >= running.since + c::COMMAND_TIMEOUT_MS {
            return Some(running.reply(UNAVAILABLE));
        }
        match running.phase {
            Phase::Routing { at } if now < at => None,
            Phase::Routing { .. } => self.route(now, node, number, running, actions),
            Phase::Forwarded => None,
            Phase::Logged { index, term } => {
                self.await_applied(now, node, step_result, running, LogPosition { index, term })
            }
            Phase::Replicating { index, since } => await_durable(now, node, running, index, since),
            Phase::Reading { token, until } => {
                self.await_confirmed(now, node, step_result, running, token, until)
            }
        }
    }

    /// Executes a command if this node is the leader, or forwards it to the node that it believes to
    /// be the leader.
    fn route(
        &mut self,
        now: u64,
        node: &mut Process,
        number: u64,
        running: &mut RunningCommand,
        actions: &mut Vec<HandlerAction>,
    ) -> Option<Reply> {
        let is_from_operator = running.is_from_operator();
        if let Some(tag) = running.command.tag.as_mut().filter(|_| is_from_operator) {
            tag.awaited_at = node.state.index;
        }
        let silent_ms = match self.mutant {
            Mutant::RefusesByCopy | Mutant::ReadsCopy if node.raft.is_leader() => 0,
            _ => now.saturating_sub(node.raft.majority_heard_at(now)),
        };
        let has_begun = !node.raft.membership().voters.is_empty();
        if is_from_operator && has_begun && silent_ms >= c::OUT_OF_CONTACT_MS {
            return Some(running.reply(TEMPORARY_REDIRECT));
        }
        if node.raft.is_leader() && (!is_from_operator || silent_ms < c::ELECTION_TIMEOUT_MS) {
            return match self.execute(now, node, running, actions) {
                Ok(phase) => {
                    running.phase = phase;
                    None
                }
                Err(NOT_LEADER) => running.not_leader(now),
                Err(status) => {
                    let read = self.configuration_in_force(node).filter(|_| status == OK);
                    Some(Reply {
                        read,
                        ..running.reply(status)
                    })
                }
            };
        }
        let leader = node.raft.leader_id();
        if !is_from_operator || leader == 0 || node.raft.is_leader() {
            return running.not_leader(now);
        }
        let id = self.calls.begin(self.peer_key(leader), now, number);
        running.phase = Phase::Forwarded;
        actions.push(HandlerAction::Forward {
            to: leader,
            id,
            command: running.command.clone(),
        });
        None
    }

    /// Waits until the entry at a position is applied.
    fn await_applied(
        &self,
        now: u64,
        node: &Process,
        step_result: &StepResult,
        running: &mut RunningCommand,
        position: LogPosition,
    ) -> Option<Reply> {
        let ignores_term = self.mutant == Mutant::IgnoresTerm;
        let mut applied = step_result.applied.iter();
        match applied.find(|entry| entry.index == position.index) {
            Some(entry) if entry.term == position.term || ignores_term => match &entry.outcome {
                Some(Outcome::Applied | Outcome::AlreadyApplied) if ignores_term => Some(running.reply(OK)),
                Some(Outcome::Applied | Outcome::AlreadyApplied) => {
                    running.phase = Phase::Replicating {
                        index: position.index,
                        since: now,
                    };
                    None
                }
                Some(outcome) => Some(running.reply(status_of(outcome))),
                None => Some(running.reply(UNAVAILABLE)),
            },
            Some(_) => running.not_leader(now),
            None if !node.raft.is_leader() && !ignores_term => running.not_leader(now),
            None => None,
        }
    }

    /// Waits until a majority has confirmed this replica.
    fn await_confirmed(
        &self,
        now: u64,
        node: &Process,
        step_result: &StepResult,
        running: &mut RunningCommand,
        token: u64,
        until: u64,
    ) -> Option<Reply> {
        match step_result.reads.iter().find(|r| r.token == token) {
            Some(ReadState { confirmed: true, .. }) if running.command.request != Request::Read => {
                running.confirmation = Confirmation::Confirmed;
                running.phase = Phase::Routing { at: now };
                None
            }
            Some(ReadState { confirmed: true, .. }) => {
                let read = self.configuration_in_force(node);
                let status = if read.is_some() { OK } else { NOT_FOUND };
                Some(Reply {
                    read,
                    ..running.reply(status)
                })
            }
            None if now < until => None,
            _ => running.not_leader(now),
        }
    }

    /// Returns the version and digest of the configuration in force in this node's replica.
    fn configuration_in_force(&self, node: &Process) -> Option<(u64, u64)> {
        let version = node.state.version();
        (version > 0).then(|| (version, digest(&node.state.configuration_body)))
    }
}

impl RunningCommand {
    fn is_from_operator(&self) -> bool {
        matches!(self.origin, Origin::Operator { .. })
    }

    fn reply(&self, status: u16) -> Reply {
        Reply {
            status,
            made_for: self.command.attempt,
            read: None,
        }
    }

    /// Handles a command on a node that is not the leader: it looks for the leader again, and
    /// informs the node that forwarded the command, if any.
    fn not_leader(&mut self, now: u64) -> Option<Reply> {
        self.phase = Phase::Routing {
            at: now + c::COMMAND_RETRY_MS,
        };
        (!self.is_from_operator()).then(|| self.reply(NOT_LEADER))
    }
}

/// Waits until a change can be acknowledged: enough replicas hold it to survive any loss within
/// the tolerance, and the voters in contact have applied it or `APPLY_WAIT_MS` has passed.
fn await_durable(
    now: u64,
    node: &Process,
    running: &mut RunningCommand,
    index: u64,
    since: u64,
) -> Option<Reply> {
    let raft = &node.raft;
    if !raft.is_established_leader() {
        return running.not_leader(now);
    }
    if !is_durable(raft, index, now, TOLERANCE, c::CONTACT_TIMEOUT_MS) {
        return (now >= since + c::COMMAND_TIMEOUT_MS).then(|| running.reply(UNAVAILABLE));
    }
    let voters = raft.membership().voters.iter();
    let is_behind = voters
        .filter_map(|v| raft.progress(v.id))
        .any(|p| now.saturating_sub(p.last_heard) < c::CONTACT_TIMEOUT_MS && p.applied_index < index);
    (now >= since + c::APPLY_WAIT_MS || !is_behind).then(|| running.reply(OK))
}
