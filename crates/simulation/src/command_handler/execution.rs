//! Execution of commands on the leader.

use super::{
    CommandHandler, HandlerAction, Mutant, Phase, Proposal, RunningCommand, NOT_FOUND, NOT_LEADER, OK,
    PRECONDITION_FAILED, UNAVAILABLE,
};
use crate::cluster::{ACKNOWLEDGE_MS, TOLERANCE};
use crate::history::Request;
use crate::node::Process;
use config::constants as c;
use control_state::{configuration_key, CommandDecision, Outcome};
use protocol::{Change, ChangeKind, CommandTag, ConfigurationCommand, ConfigurationKey, EvacuationChange};
use raft::{tolerates_faults, LogPosition};

impl CommandHandler {
    /// Executes a command on the leader. Returns its next phase, or the status that ends it.
    pub(super) fn execute(
        &mut self,
        now: u64,
        node: &mut Process,
        running: &RunningCommand,
        actions: &mut Vec<HandlerAction>,
    ) -> Result<Phase, u16> {
        if !node.raft.is_established_leader() {
            return Err(NOT_LEADER);
        }
        if running.command.request != Request::Read && !tolerates_faults(node.raft.membership(), TOLERANCE) {
            return Err(UNAVAILABLE);
        }
        match &running.command.request {
            Request::Read if self.mutant == Mutant::ReadsCopy => {
                Err(if node.state.version() > 0 { OK } else { NOT_FOUND })
            }
            Request::Read => Ok(self.confirm(now, node)),
            Request::Replace { content, .. } => self.replace(now, node, running, content.base, actions),
            Request::Evacuate { zone, begin } => {
                let tag = running.command.tag.clone();
                if tag.as_ref().is_some_and(|tag| self.is_overtaken(node, tag)) {
                    return Err(NOT_LEADER);
                }
                let tag = tag.map(|tag| self.with_repeats(now, node, tag));
                let kind = ChangeKind::Evacuate(evacuation(zone, *begin));
                self.propose(node, running, kind, None, tag, actions)
            }
        }
    }

    fn replace(
        &mut self,
        now: u64,
        node: &mut Process,
        running: &RunningCommand,
        base: u64,
        actions: &mut Vec<HandlerAction>,
    ) -> Result<Phase, u16> {
        let replace = ConfigurationCommand {
            base,
            body: running.command.body.clone(),
            ..Default::default()
        };
        if self.mutant == Mutant::RefusesByCopy && base != node.state.version() {
            return Err(PRECONDITION_FAILED);
        }
        match node.state.decide(&replace, running.confirmation) {
            CommandDecision::Log => {}
            CommandDecision::Confirm => return Ok(self.confirm(now, node)),
            // Already applied: its index is at most the commit index.
            CommandDecision::Final(Outcome::AlreadyApplied | Outcome::Applied) => {
                let index = node.raft.commit_index();
                return Ok(Phase::Replicating { index, since: now });
            }
            CommandDecision::Final(outcome) => return Err(status_of(&outcome)),
        }
        let key = configuration_key(&replace);
        if let Some(duplicate) = self.pending.iter().find(|p| p.key.as_ref() == Some(&key)) {
            return Ok(Phase::Logged {
                index: duplicate.index,
                term: duplicate.term,
            });
        }
        self.propose(
            node,
            running,
            ChangeKind::Replace(replace),
            Some(key),
            None,
            actions,
        )
    }

    /// Returns the commands with a tag that are in the log and not applied, with their indexes.
    fn pending_commands(&self) -> impl Iterator<Item = (u64, &CommandTag)> {
        let pending = self.pending.iter();
        pending.filter_map(|p| Some((p.index, p.tag.as_ref()?)))
    }

    /// Returns whether a command arrives too late to be ordered after the newest one on its subject.
    fn is_overtaken(&self, node: &Process, tag: &CommandTag) -> bool {
        let history = &node.state.command_history;
        history.is_overtaken(tag, self.pending_commands())
    }

    /// Adds to a tag the index of the recent command that this command most likely repeats.
    fn with_repeats(&self, now: u64, node: &Process, tag: CommandTag) -> CommandTag {
        let history = &node.state.command_history;
        let pending = self.pending_commands();
        let recent = &self.recent_commands;
        let repeated = recent.repeated(now, history, &tag, pending, ACKNOWLEDGE_MS);
        CommandTag {
            repeats: repeated.unwrap_or(0),
            ..tag
        }
    }

    /// Settles the commands that no caller sends again any more.
    pub(super) fn settle_commands(&mut self, now: u64, node: &mut Process) {
        if !node.raft.is_established_leader() {
            return;
        }
        let settleable = self.recent_commands.settleable_index(now, ACKNOWLEDGE_MS);
        let proposed = settleable.map(|index| (node.raft.term(), index));
        if let Some((_, index)) = proposed.filter(|proposed| self.settled != Some(*proposed)) {
            if node.raft.propose(Change::encode_settled(index)).is_some() {
                self.settled = proposed;
            }
        }
    }

    fn propose(
        &mut self,
        node: &mut Process,
        running: &RunningCommand,
        kind: ChangeKind,
        key: Option<ConfigurationKey>,
        tag: Option<CommandTag>,
        actions: &mut Vec<HandlerAction>,
    ) -> Result<Phase, u16> {
        let data = Change::encode_tagged(node.state.compact_for_log(kind), tag.clone());
        let LogPosition { index, term } = node.raft.propose(data).ok_or(NOT_LEADER)?;
        self.pending.push(Proposal {
            key,
            tag,
            index,
            term,
        });
        actions.push(HandlerAction::Logged {
            index,
            term,
            command: running.command.number,
            attempt: running.command.attempt,
        });
        if self.mutant == Mutant::AcknowledgesEarly {
            return Err(OK);
        }
        Ok(Phase::Logged { index, term })
    }

    /// Requests the confirmation of this replica by a majority.
    fn confirm(&mut self, now: u64, node: &mut Process) -> Phase {
        self.next += 1;
        node.raft.request_read(self.next);
        Phase::Reading {
            token: self.next,
            until: now + c::COMMAND_TIMEOUT_MS,
        }
    }
}

pub(super) fn evacuation(zone: &str, begin: bool) -> EvacuationChange {
    EvacuationChange {
        zone: zone.into(),
        begin,
    }
}

/// Returns the status that reports an outcome.
pub(super) fn status_of(outcome: &Outcome) -> u16 {
    match outcome {
        Outcome::Applied | Outcome::AlreadyApplied => OK,
        Outcome::Conflict(_) => PRECONDITION_FAILED,
        Outcome::Invalid(_) => 400,
        Outcome::RolloutRejected(_) => 409,
        Outcome::Undecidable | Outcome::PossibleRepetition => UNAVAILABLE,
    }
}
