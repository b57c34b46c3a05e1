//! Application of a change to the newest rollouts.

use crate::constants::AUDIT_RECORDS;
use crate::rollout::{Action, Audit, Rollout, RolloutChange, State};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Why a change of a rollout does not take place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another rollout of the service is active.
    Active {
        /// The service.
        service: String,
        /// The version that it moves to.
        target: String,
    },
    /// It has changed since: its version now.
    Conflict(u64),
    /// The state does not allow it.
    WrongState(State),
    /// There is no such rollout.
    Unknown,
    /// The change cannot be read.
    Malformed,
}

/// The newest rollout of each service.
pub type Table = BTreeMap<String, Arc<Rollout>>;

/// Applies the change at `index`; `Ok(false)` if the very same command has been applied already.
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
    let known = table.get(&change.service);
    if let Some(active) = known.filter(|rollout| rollout.is_active()) {
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
    let mut records = known.map(|rollout| rollout.records.clone()).unwrap_or_default();
    push(&mut records, audit(change, index, &create.target));
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

/// Takes a rollout to its next state.
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
        (Action::Promote, State::Canary | State::Paused) if rollout.is_last() => {
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
    push(&mut next.records, record);
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

/// Adds a record; the oldest ones are dropped.
fn push(records: &mut Vec<Audit>, record: Audit) {
    records.push(record);
    let surplus = records.len().saturating_sub(AUDIT_RECORDS);
    records.drain(..surplus);
}
