//! The rollout object and its states.

use prost::{Enumeration, Message};

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum State {
    /// Not a state of this version.
    Unknown = 0,
    /// Ordered, not started.
    Created = 1,
    /// A part of the requests goes to the new version.
    Canary = 2,
    /// The same, and nothing is promoted.
    Paused = 3,
    /// All requests go to the new version.
    Completed = 4,
    /// All requests go to the old versions again.
    RolledBack = 5,
    /// Ended before it started.
    Cancelled = 6,
}

impl State {
    /// Whether the rollout goes on.
    pub fn is_active(self) -> bool {
        matches!(self, State::Created | State::Canary | State::Paused)
    }

    /// Its name, for operators.
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
    pub fn protocol_name(self) -> &'static str {
        match self {
            State::Completed => "completed",
            State::RolledBack | State::Cancelled => "reverted",
            _ => "in_progress",
        }
    }
}

/// What can be done to a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum Action {
    /// Not an action of this version.
    None = 0,
    /// Orders it.
    Create = 1,
    /// Puts the first stage in force.
    Start = 2,
    /// Puts the next stage in force, or completes it.
    Promote = 3,
    /// Keeps the stage in force.
    Pause = 4,
    /// Goes on after a pause.
    Resume = 5,
    /// Goes back to the old versions.
    Rollback = 6,
    /// Ends it before it starts.
    Cancel = 7,
}

impl Action {
    /// Its name, for operators.
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

    /// The action that an operator names.
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
pub struct AnalysisCriteria {
    /// Error rate above the old version's that is bad, 0 to 1.
    #[prost(double, tag = "1")]
    pub max_errors: f64,
    /// Error rate above the old version's that blocks promotion, 0 to 1.
    #[prost(double, tag = "2")]
    pub max_errors_above: f64,
    /// Mean response time that is bad, times the old version's.
    #[prost(double, tag = "3")]
    pub max_mean_ratio: f64,
    /// 95th percentile that is bad, times the old version's.
    #[prost(double, tag = "4")]
    pub max_p95_ratio: f64,
    /// Outcomes before the stage may be promoted.
    #[prost(uint64, tag = "5")]
    pub min_requests: u64,
}

/// A stage.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutStage {
    /// Part of the service's requests that go to the new version.
    #[prost(double, tag = "1")]
    pub share: f64,
    /// How long it is observed at least, ms.
    #[prost(uint64, tag = "2")]
    pub observe_ms: u64,
    /// The watchdog promotes it.
    #[prost(bool, tag = "3")]
    pub auto_promote: bool,
    /// What the new version must meet.
    #[prost(message, optional, tag = "4")]
    pub criteria: Option<AnalysisCriteria>,
}

/// Who did what, and why.
#[derive(Clone, PartialEq, Message)]
pub struct Audit {
    /// The version of the rollout that it led to.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// See [`Action`].
    #[prost(enumeration = "Action", tag = "2")]
    pub action: i32,
    /// Who did it.
    #[prost(string, tag = "3")]
    pub who: String,
    /// Why.
    #[prost(string, tag = "4")]
    pub why: String,
    /// A gate was bypassed.
    #[prost(bool, tag = "5")]
    pub bypass: bool,
    /// Time since the rollout was created, ms.
    #[prost(uint64, tag = "6")]
    pub elapsed_ms: u64,
    /// The new version.
    #[prost(string, tag = "7")]
    pub target: String,
}

/// A rollout of a service.
#[derive(Clone, PartialEq, Message)]
pub struct Rollout {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The new version.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Its stages, in order.
    #[prost(message, repeated, tag = "3")]
    pub stages: Vec<RolloutStage>,
    /// The stage in force.
    #[prost(uint32, tag = "4")]
    pub stage_index: u32,
    /// See [`State`].
    #[prost(enumeration = "State", tag = "5")]
    pub state: i32,
    /// The split that is being replaced: the versions that had the traffic.
    #[prost(string, repeated, tag = "6")]
    pub previous_versions: Vec<String>,
    /// The index of the change that made it what it is, for compare-and-set.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// The time that it may take, ms.
    #[prost(uint64, tag = "8")]
    pub duration_ms: u64,
    /// Time since the order, as of the newest change, ms.
    #[prost(uint64, tag = "9")]
    pub elapsed_ms: u64,
    /// Who did what, oldest first.
    #[prost(message, repeated, tag = "10")]
    pub records: Vec<Audit>,
    /// The index of the order.
    #[prost(uint64, tag = "11")]
    pub created_index: u64,
}

/// Which part of the split a worker belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cohort {
    /// The versions that had the traffic.
    Old,
    /// The new version.
    New,
    /// It gets nothing.
    Excluded,
}

impl Rollout {
    /// Where it stands.
    pub fn state_now(&self) -> State {
        State::try_from(self.state).unwrap_or(State::Unknown)
    }

    /// Whether it goes on.
    pub fn is_active(&self) -> bool {
        self.state_now().is_active()
    }

    /// Part of the requests that go to the new version.
    pub fn share(&self) -> f64 {
        match self.state_now() {
            State::Canary | State::Paused => self
                .stages
                .get(self.stage_index as usize)
                .map_or(0.0, |s| s.share),
            State::Completed => 1.0,
            _ => 0.0,
        }
    }

    /// Whether the last stage is in force.
    pub fn is_last(&self) -> bool {
        self.stage_index as usize + 1 >= self.stages.len()
    }

    /// The cohort of the workers of a version. Once the rollout has ended there is one only, and
    /// the version that lost gets nothing.
    pub fn cohort(&self, version: &str) -> Cohort {
        let new = version == self.target;
        match self.state_now() {
            State::Completed if !new && self.previous_versions.iter().any(|v| v == version) => {
                Cohort::Excluded
            }
            State::RolledBack | State::Cancelled if new => Cohort::Excluded,
            state if state.is_active() && new => Cohort::New,
            _ => Cohort::Old,
        }
    }
}

/// An order to begin a rollout.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Create {
    /// The new version.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The time that the rollout may take, ms.
    #[prost(uint64, tag = "2")]
    pub duration_ms: u64,
}

/// One change of a rollout, as the log orders it.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutChange {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// See [`Action`].
    #[prost(enumeration = "Action", tag = "2")]
    pub action: i32,
    /// The version of the rollout that the change rests on.
    #[prost(uint64, tag = "3")]
    pub expected: u64,
    /// Who wants it.
    #[prost(string, tag = "4")]
    pub who: String,
    /// Why.
    #[prost(string, tag = "5")]
    pub why: String,
    /// A gate is bypassed.
    #[prost(bool, tag = "6")]
    pub bypass: bool,
    /// Time since the rollout was created, as the leader tells it, ms.
    #[prost(uint64, tag = "7")]
    pub elapsed_ms: u64,
    /// Of a creation: what to create.
    #[prost(message, optional, tag = "8")]
    pub create: Option<Create>,
    /// Of a creation: the stages.
    #[prost(message, repeated, tag = "9")]
    pub stages: Vec<RolloutStage>,
    /// The versions that have the traffic as the rollout is created.
    #[prost(string, repeated, tag = "10")]
    pub previous_versions: Vec<String>,
}
