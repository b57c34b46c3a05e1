//! Applies committed log entries to the control state.

use crate::command_history::CommandStatus;
use crate::error::InvalidChange;
use crate::state::ControlState;
use prost::Message as _;
use protocol::{
    Change, ChangeKind, CommandTag, EvacuationChange, RetryAllowanceChange, WarmupGroup, WorkersChange,
};
use rollout::Refusal;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The result of applying a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change has taken effect.
    Applied,
    /// The same change had already taken effect.
    AlreadyApplied,
    /// The change conflicts with the version in force, which is given here.
    Conflict(u64),
    /// The change itself is invalid.
    Invalid(InvalidChange),
    /// A change of a rollout was rejected.
    RolloutRejected(Refusal),
    /// The command may already have been decided, longer ago than the history goes back. It is
    /// not executed, and the caller learns neither acceptance nor rejection.
    Undecidable,
    /// The command is either a repetition of an earlier one or a new one, and what it asks for is
    /// not in force. It is not executed, and the caller learns neither acceptance nor rejection.
    PossibleRepetition,
}

impl ControlState {
    /// Applies the change at the log index `index`. A change at or below the last applied index
    /// has no effect.
    pub fn apply(&mut self, index: u64, data: &[u8]) -> Outcome {
        if index <= self.index {
            return Outcome::AlreadyApplied;
        }
        self.index = index;
        let Ok(change) = Change::decode(data) else {
            return Outcome::Invalid(InvalidChange::Undecodable);
        };
        if change.settled_index > 0 {
            Arc::make_mut(&mut self.command_history).settle(change.settled_index);
        }
        let Some(kind) = change.kind else {
            return self.apply_tagged(index, change.tag, |_| Outcome::Applied);
        };
        if self.is_unfulfilled_repetition(change.tag.as_ref(), &kind) {
            return Outcome::PossibleRepetition;
        }
        self.apply_tagged(index, change.tag, |state| state.apply_kind(index, kind))
    }

    /// Returns whether a command would count as the repetition of an identical one although the
    /// zone whose evacuation it finishes is evacuated. An acknowledgement would then be wrong if the
    /// command is new, and its execution would be wrong if it is a repetition.
    fn is_unfulfilled_repetition(&self, tag: Option<&CommandTag>, kind: &ChangeKind) -> bool {
        let (Some(tag), ChangeKind::Evacuate(change)) = (tag, kind) else {
            return false;
        };
        let history = &self.command_history;
        let is_evacuated = !change.begin && self.evacuated.contains_key(&change.zone);
        let is_repetition = history.tagged_status(tag).0 == CommandStatus::Accepted;
        is_evacuated && is_repetition && !history.contains_call(tag)
    }

    /// Executes a change, unless the command history shows that the command with this tag has
    /// already been decided.
    fn apply_tagged(
        &mut self,
        index: u64,
        tag: Option<CommandTag>,
        execute: impl FnOnce(&mut ControlState) -> Outcome,
    ) -> Outcome {
        let Some(tag) = tag else {
            return execute(self);
        };
        match self.command_history.tagged_status(&tag) {
            (CommandStatus::Accepted, _) => Outcome::AlreadyApplied,
            (CommandStatus::Rejected, at) => Outcome::RolloutRejected(Refusal::Conflict(at)),
            (CommandStatus::Forgotten, _) => Outcome::Undecidable,
            (CommandStatus::New, _) => {
                let outcome = execute(self);
                let accepted = matches!(outcome, Outcome::Applied | Outcome::AlreadyApplied);
                Arc::make_mut(&mut self.command_history).add_tagged(index, tag, accepted);
                outcome
            }
        }
    }

    fn apply_kind(&mut self, index: u64, kind: ChangeKind) -> Outcome {
        match kind {
            ChangeKind::Replace(command) => return self.replace(command),
            ChangeKind::ReplaceDelta(delta) => return self.replace_by_delta(delta),
            ChangeKind::Evacuate(change) => return self.evacuate(index, change),
            ChangeKind::Rollout(change) => {
                return match rollout::apply(Arc::make_mut(&mut self.rollouts), index, &change) {
                    Ok(true) => Outcome::Applied,
                    Ok(false) => Outcome::AlreadyApplied,
                    Err(refusal) => Outcome::RolloutRejected(refusal),
                }
            }
            ChangeKind::Workers(change) => self.update_workers(index, change),
            ChangeKind::KeyLeases(change) => self.update_key_leases(change.put),
            ChangeKind::Placement(change) => self.fractions = Arc::new(change.fractions),
            ChangeKind::RetryAllowance(change) => self.update_retry_allowances(change),
            ChangeKind::Ejections(change) => self.ejected = Arc::new(change.workers.into_iter().collect()),
            ChangeKind::KillSwitch(switch) => self.kill_switch = Some(switch),
        }
        Outcome::Applied
    }

    /// Begins or ends one evacuation of a zone.
    fn evacuate(&mut self, index: u64, change: EvacuationChange) -> Outcome {
        if change.begin {
            *self.evacuated.entry(change.zone).or_default() += 1;
            return Outcome::Applied;
        }
        match self.evacuated.get_mut(&change.zone) {
            Some(count) if *count > 1 => *count -= 1,
            Some(_) => {
                self.evacuated.remove(&change.zone);
                self.ended_evacuations.insert(change.zone, index);
            }
            None => return Outcome::AlreadyApplied,
        }
        Outcome::Applied
    }

    fn update_workers(&mut self, index: u64, change: WorkersChange) {
        let workers = Arc::make_mut(&mut self.workers);
        for id in &change.removed {
            workers.remove(id);
        }
        for mut worker in change.put {
            worker.warmup_index = index;
            worker.as_of = change.as_of;
            workers.insert(worker.id.clone(), Arc::new(worker));
        }
        for id in &change.warm {
            if let Some(worker) = workers.get_mut(id) {
                let worker = Arc::make_mut(worker);
                worker.warmup_ms = 0;
                worker.warmup_index = index;
                worker.as_of = change.as_of;
            }
        }
        self.update_warmup_groups(change.warmup_groups);
    }

    /// Adds new warm-up groups and removes those that no worker refers to any more.
    fn update_warmup_groups(&mut self, new: Vec<WarmupGroup>) {
        let referenced: BTreeSet<u32> = self.workers.values().map(|w| w.warmup_group).collect();
        if new.is_empty() && self.warmup_groups.keys().all(|n| referenced.contains(n)) {
            return;
        }
        let groups = Arc::make_mut(&mut self.warmup_groups);
        for group in new {
            let nodes = Arc::new(group.nodes.into_iter().collect());
            groups.entry(group.number).or_insert(nodes);
        }
        groups.retain(|n, _| referenced.contains(n));
    }

    fn update_retry_allowances(&mut self, change: RetryAllowanceChange) {
        let nodes = Arc::make_mut(&mut self.retry_allowances);
        nodes.retain(|n| !change.revoked.contains(n));
        nodes.extend(change.granted);
        self.retry_slack = change.slack;
    }
}
