//! The rollout object and its states.

use crate::limits::RECORDS_KEPT;
use prost::{Enumeration, Message};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum State {
    Unknown = 0,
    Created = 1,
    Canary = 2,
    Paused = 3,
    Completed = 4,
    RolledBack = 5,
    Cancelled = 6,
}

impl State {
    pub fn is_active(self) -> bool {
        matches!(self, State::Created | State::Canary | State::Paused)
    }

    pub fn name(self) -> &'static str {
        match self {
            State::Unknown => "UNKNOWN",
            State::Created => "CREATED",
            State::Canary => "CANARY",
            State::Paused => "PAUSED",
            State::Completed => "COMPLETED",
            State::RolledBack => "ROLLED_BACK",
            State::Cancelled => "CANCELLED",
        }
    }

    /// What the operator's protocol calls it.
    pub fn on_the_wire(self) -> &'static str {
        match self {
            State::Completed => "completed",
            State::RolledBack | State::Cancelled => "reverted",
            _ => "in_progress",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum Action {
    None = 0,
    Create = 1,
    Start = 2,
    Promote = 3,
    Pause = 4,
    Resume = 5,
    Rollback = 6,
    Cancel = 7,
}

impl Action {
    pub fn name(self) -> &'static str {
        match self {
            Action::None => "none",
            Action::Create => "create",
            Action::Start => "start",
            Action::Promote => "promote",
            Action::Pause => "pause",
            Action::Resume => "resume",
            Action::Rollback => "rollback",
            Action::Cancel => "cancel",
        }
    }

    pub fn from_name(name: &str) -> Option<Action> {
        let all = [
            Action::Start,
            Action::Promote,
            Action::Pause,
            Action::Resume,
            Action::Rollback,
            Action::Cancel,
        ];
        all.into_iter().find(|a| a.name() == name)
    }
}

/// The pass criteria of a stage.
#[derive(Clone, PartialEq, Message)]
pub struct Review {
    #[prost(double, tag = "1")]
    pub errors_most: f64,
    #[prost(double, tag = "2")]
    pub errors_above: f64,
    #[prost(double, tag = "3")]
    pub slow_mean: f64,
    #[prost(double, tag = "4")]
    pub slow_p95: f64,
    #[prost(uint64, tag = "5")]
    pub requests: u64,
}

/// A stage.
#[derive(Clone, PartialEq, Message)]
pub struct Showing {
    /// Part of the service's requests that go to the new version.
    #[prost(double, tag = "1")]
    pub share: f64,
    #[prost(uint64, tag = "2")]
    pub observe_ms: u64,
    #[prost(bool, tag = "3")]
    pub auto_promote: bool,
    #[prost(message, optional, tag = "4")]
    pub review: Option<Review>,
}

/// Who did what, and why.
#[derive(Clone, PartialEq, Message)]
pub struct Audit {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(enumeration = "Action", tag = "2")]
    pub action: i32,
    #[prost(string, tag = "3")]
    pub who: String,
    #[prost(string, tag = "4")]
    pub why: String,
    /// A gate was passed over.
    #[prost(bool, tag = "5")]
    pub bypass: bool,
    #[prost(uint64, tag = "6")]
    pub elapsed_ms: u64,
    #[prost(string, tag = "7")]
    pub target: String,
}

/// A rollout of a service.
#[derive(Clone, PartialEq, Message)]
pub struct Preview {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub target: String,
    #[prost(message, repeated, tag = "3")]
    pub showings: Vec<Showing>,
    /// The stage in force.
    #[prost(uint32, tag = "4")]
    pub at: u32,
    #[prost(enumeration = "State", tag = "5")]
    pub state: i32,
    /// The split that is being replaced: the versions that had the traffic.
    #[prost(string, repeated, tag = "6")]
    pub before: Vec<String>,
    /// The index of the change that made it what it is, for compare-and-set.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    #[prost(uint64, tag = "8")]
    pub duration_ms: u64,
    /// Time since the order, as of the newest change, ms.
    #[prost(uint64, tag = "9")]
    pub elapsed_ms: u64,
    #[prost(message, repeated, tag = "10")]
    pub records: Vec<Audit>,
    /// The index of the order.
    #[prost(uint64, tag = "11")]
    pub ordered: u64,
}

/// Which part of the split a worker belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Side {
    Old,
    New,
    /// It gets nothing.
    Neither,
}

impl Preview {
    pub fn state_now(&self) -> State {
        State::try_from(self.state).unwrap_or(State::Unknown)
    }

    pub fn is_active(&self) -> bool {
        self.state_now().is_active()
    }

    /// Part of the requests that go to the new version.
    pub fn share(&self) -> f64 {
        match self.state_now() {
            State::Canary | State::Paused => self.showings.get(self.at as usize).map_or(0.0, |s| s.share),
            State::Completed => 1.0,
            _ => 0.0,
        }
    }

    pub fn is_last(&self) -> bool {
        self.at as usize + 1 >= self.showings.len()
    }

    /// Where workers of a version stand. Once the rollout has ended there is one
    /// side only, and what lost gets nothing.
    pub fn side(&self, version: &str) -> Side {
        let new = version == self.target;
        match self.state_now() {
            State::Completed if !new && self.before.iter().any(|v| v == version) => Side::Neither,
            State::RolledBack | State::Cancelled if new => Side::Neither,
            state if state.is_active() && new => Side::New,
            _ => Side::Old,
        }
    }
}

/// An order to begin a rollout.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Create {
    #[prost(string, tag = "1")]
    pub target: String,
    #[prost(uint64, tag = "2")]
    pub duration_ms: u64,
}

/// One change of a rollout, as the log orders it.
#[derive(Clone, PartialEq, Message)]
pub struct PreviewChange {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(enumeration = "Action", tag = "2")]
    pub action: i32,
    /// The version of the rollout that the change rests on.
    #[prost(uint64, tag = "3")]
    pub expected: u64,
    #[prost(string, tag = "4")]
    pub who: String,
    #[prost(string, tag = "5")]
    pub why: String,
    #[prost(bool, tag = "6")]
    pub bypass: bool,
    #[prost(uint64, tag = "7")]
    pub elapsed_ms: u64,
    #[prost(message, optional, tag = "8")]
    pub create: Option<Create>,
    #[prost(message, repeated, tag = "9")]
    pub showings: Vec<Showing>,
    /// The versions that have the traffic as the rollout is created.
    #[prost(string, repeated, tag = "10")]
    pub before: Vec<String>,
}

/// Why a change of a rollout does not take place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another rollout of the service is active.
    Held { service: String, target: String },
    /// It has changed since: its version now.
    Conflict(u64),
    /// The state does not allow it.
    NotFrom(State),
    /// There is no such rollout.
    Unknown,
    /// The change cannot be read.
    Unreadable,
}

/// The newest rollout of each service.
pub type Table = BTreeMap<String, Arc<Preview>>;

/// Applies the change at `index`; `Ok(false)` if the very same order stands already.
pub fn apply(table: &mut Table, index: u64, change: &PreviewChange) -> Result<bool, Refusal> {
    let action = Action::try_from(change.action).unwrap_or(Action::None);
    let known = table.get(&change.service);
    let record = |target: &str| Audit {
        version: index,
        action: change.action,
        who: change.who.clone(),
        why: change.why.clone(),
        bypass: change.bypass,
        elapsed_ms: change.elapsed_ms,
        target: target.to_string(),
    };
    if action == Action::Create {
        let Some(create) = &change.create else {
            return Err(Refusal::Unreadable);
        };
        if let Some(p) = known.filter(|p| p.is_active()) {
            if p.target == create.target && p.duration_ms == create.duration_ms {
                return Ok(false);
            }
            return Err(Refusal::Held {
                service: p.service.clone(),
                target: p.target.clone(),
            });
        }
        if change.showings.is_empty() || create.target.is_empty() {
            return Err(Refusal::Unreadable);
        }
        let mut records = known.map(|p| p.records.clone()).unwrap_or_default();
        push(&mut records, record(&create.target));
        let preview = Preview {
            service: change.service.clone(),
            target: create.target.clone(),
            showings: change.showings.clone(),
            at: 0,
            state: State::Created as i32,
            before: change.before.clone(),
            version: index,
            duration_ms: create.duration_ms,
            elapsed_ms: 0,
            records,
            ordered: index,
        };
        table.insert(change.service.clone(), Arc::new(preview));
        return Ok(true);
    }
    let Some(p) = known else {
        return Err(Refusal::Unknown);
    };
    if p.version != change.expected {
        return Err(Refusal::Conflict(p.version));
    }
    let state = p.state_now();
    let (next, at) = match (action, state) {
        (Action::Start, State::Created) => (State::Canary, 0),
        (Action::Promote, State::Canary | State::Paused) if p.is_last() => (State::Completed, p.at),
        (Action::Promote, State::Canary) => (State::Canary, p.at + 1),
        (Action::Pause, State::Canary) => (State::Paused, p.at),
        (Action::Resume, State::Paused) => (State::Canary, p.at),
        (Action::Rollback, State::Canary | State::Paused) => (State::RolledBack, p.at),
        (Action::Cancel, State::Created) => (State::Cancelled, p.at),
        _ => return Err(Refusal::NotFrom(state)),
    };
    let mut new = (**p).clone();
    new.state = next as i32;
    new.at = at;
    new.version = index;
    new.elapsed_ms = change.elapsed_ms.max(p.elapsed_ms);
    let target = new.target.clone();
    push(&mut new.records, record(&target));
    table.insert(change.service.clone(), Arc::new(new));
    Ok(true)
}

fn push(records: &mut Vec<Audit>, record: Audit) {
    records.push(record);
    let over = records.len().saturating_sub(RECORDS_KEPT);
    records.drain(..over);
}
