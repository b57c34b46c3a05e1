//! Application of a change to the newest rollout of each service.

use crate::constants::AUDIT_RECORDS;
use crate::rollout::{Action, Audit, Rollout, RolloutChange, State};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Reason why a change of a rollout is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another rollout of the service is active.
    Active {
        /// The service.
        service: String,
        /// The target version of that rollout.
        target: String,
    },
    /// The rollout has changed since the version that the change is based on; the value is its
    /// current version.
    Conflict(u64),
    /// The rollout's state does not allow the action.
    WrongState(State),
    /// The service has no rollout.
    Unknown,
    /// The change lacks a required field.
    Malformed,
}

/// The newest rollout of each service.
pub type Table = BTreeMap<String, Arc<Rollout>>;

/// Applies the change with log index `index`. Returns `Ok(false)` if the active rollout of the
/// service was created by an equal command.
pub fn apply(table: &mut Table, index: u64, change: &RolloutChange) -> Result<bool, Refusal> {
    if change.action == Action::Create as i32 {
        create(table, index, change)
    } else {
        advance(table, index, change)
    }
}

fn create(table: &mut Table, index: u64, change: &RolloutChange) -> Result<bool, Refusal> {
    let Some(create) = &change.create else {
        return Err(Refusal::Malformed);
    };
    let current = table.get(&change.service);
    if let Some(active) = current.filter(|rollout| rollout.is_active()) {
        if active.target == create.target && active.duration_ms == create.duration_ms {
            return Ok(false);
        }
        return Err(Refusal::Active {
            service: active.service.clone(),
            target: active.target.clone(),
        });
    }
    if change.stages.is_empty() || create.target.is_empty() {
        return Err(Refusal::Malformed);
    }
    let mut records = current.map(|rollout| rollout.records.clone()).unwrap_or_default();
    push_record(&mut records, audit(change, index, &create.target));
    let rollout = Rollout {
        service: change.service.clone(),
        target: create.target.clone(),
        stages: change.stages.clone(),
        stage_index: 0,
        state: State::Created as i32,
        previous_versions: change.previous_versions.clone(),
        version: index,
        duration_ms: create.duration_ms,
        elapsed_ms: 0,
        records,
        created_index: index,
    };
    table.insert(change.service.clone(), Arc::new(rollout));
    Ok(true)
}

/// Moves a rollout to its next state.
fn advance(table: &mut Table, index: u64, change: &RolloutChange) -> Result<bool, Refusal> {
    let rollout = table.get(&change.service).ok_or(Refusal::Unknown)?;
    if rollout.version != change.expected {
        return Err(Refusal::Conflict(rollout.version));
    }
    let action = Action::try_from(change.action).unwrap_or(Action::None);
    let state = rollout.state_now();
    let stage_index = rollout.stage_index;
    let (next_state, next_stage) = match (action, state) {
        (Action::Start, State::Created) => (State::Canary, 0),
        (Action::Promote, State::Canary | State::Paused) if rollout.is_last_stage() => {
            (State::Completed, stage_index)
        }
        (Action::Promote, State::Canary) => (State::Canary, stage_index + 1),
        (Action::Pause, State::Canary) => (State::Paused, stage_index),
        (Action::Resume, State::Paused) => (State::Canary, stage_index),
        (Action::Rollback, State::Canary | State::Paused) => (State::RolledBack, stage_index),
        (Action::Cancel, State::Created) => (State::Cancelled, stage_index),
        _ => return Err(Refusal::WrongState(state)),
    };
    let mut next = (**rollout).clone();
    next.state = next_state as i32;
    next.stage_index = next_stage;
    next.version = index;
    next.elapsed_ms = change.elapsed_ms.max(rollout.elapsed_ms);
    let record = audit(change, index, &next.target);
    push_record(&mut next.records, record);
    table.insert(change.service.clone(), Arc::new(next));
    Ok(true)
}

fn audit(change: &RolloutChange, index: u64, target: &str) -> Audit {
    Audit {
        version: index,
        action: change.action,
        who: change.who.clone(),
        why: change.why.clone(),
        bypass: change.bypass,
        elapsed_ms: change.elapsed_ms,
        target: target.to_string(),
    }
}

/// Adds a record, and drops the oldest ones beyond the limit.
fn push_record(records: &mut Vec<Audit>, record: Audit) {
    records.push(record);
    let surplus = records.len().saturating_sub(AUDIT_RECORDS);
    records.drain(..surplus);
}
