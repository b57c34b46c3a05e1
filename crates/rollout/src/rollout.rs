//! The rollout object and its states.

use prost::{Enumeration, Message};

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum State {
    /// A state that this software version does not know.
    Unknown = 0,
    /// Created, not started.
    Created = 1,
    /// A part of the requests goes to the new version.
    Canary = 2,
    /// A part of the requests goes to the new version, and the rollout is not promoted.
    Paused = 3,
    /// All requests go to the new version.
    Completed = 4,
    /// All requests go to the old versions again.
    RolledBack = 5,
    /// The rollout ended before it started.
    Cancelled = 6,
}

impl State {
    /// Returns whether the rollout has not ended.
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

    /// Returns the name of the state in the operator's protocol.
    pub fn protocol_name(self) -> &'static str {
        match self {
            State::Completed => "completed",
            State::RolledBack | State::Cancelled => "reverted",
            _ => "in_progress",
        }
    }
}

/// Action on a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Enumeration)]
#[repr(i32)]
pub enum Action {
    /// An action that this software version does not know.
    None = 0,
    /// Creates the rollout.
    Create = 1,
    /// Starts the first stage.
    Start = 2,
    /// Starts the next stage, or completes the rollout after the last one.
    Promote = 3,
    /// Pauses the rollout in the current stage.
    Pause = 4,
    /// Resumes the rollout after a pause.
    Resume = 5,
    /// Returns all requests to the old versions.
    Rollback = 6,
    /// Ends the rollout before it starts.
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

    /// Returns the action with this name, if operators may request it.
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

/// Pass criteria of a stage.
#[derive(Clone, PartialEq, Message)]
pub struct AnalysisCriteria {
    /// Excess of the error rate over the old version's that is bad, 0 to 1.
    #[prost(double, tag = "1")]
    pub max_errors: f64,
    /// Excess of the error rate over the old version's that blocks promotion, 0 to 1.
    #[prost(double, tag = "2")]
    pub max_errors_above: f64,
    /// Ratio of the mean response time to the old version's that is bad.
    #[prost(double, tag = "3")]
    pub max_mean_ratio: f64,
    /// Ratio of the 95th percentile of response times to the old version's that is bad.
    #[prost(double, tag = "4")]
    pub max_p95_ratio: f64,
    /// Number of responses required before the stage may be promoted.
    #[prost(uint64, tag = "5")]
    pub min_requests: u64,
}

/// A stage of a rollout.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutStage {
    /// Fraction of the service's requests that go to the new version.
    #[prost(double, tag = "1")]
    pub share: f64,
    /// Minimum observation time of the stage, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub observe_ms: u64,
    /// Whether the watchdog promotes the stage.
    #[prost(bool, tag = "3")]
    pub auto_promote: bool,
    /// Criteria that the new version must meet.
    #[prost(message, optional, tag = "4")]
    pub criteria: Option<AnalysisCriteria>,
}

/// Audit record of a change of a rollout.
#[derive(Clone, PartialEq, Message)]
pub struct Audit {
    /// The version of the rollout after the change.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// See [`Action`].
    #[prost(enumeration = "Action", tag = "2")]
    pub action: i32,
    /// Who made the change.
    #[prost(string, tag = "3")]
    pub who: String,
    /// Why.
    #[prost(string, tag = "4")]
    pub why: String,
    /// Whether a gate was bypassed.
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
    /// The stages, in order.
    #[prost(message, repeated, tag = "3")]
    pub stages: Vec<RolloutStage>,
    /// Index of the current stage.
    #[prost(uint32, tag = "4")]
    pub stage_index: u32,
    /// See [`State`].
    #[prost(enumeration = "State", tag = "5")]
    pub state: i32,
    /// The versions that had the traffic before the rollout.
    #[prost(string, repeated, tag = "6")]
    pub previous_versions: Vec<String>,
    /// Log index of the newest change, used for compare-and-set.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// Maximum duration of the rollout, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub duration_ms: u64,
    /// Time since the creation as of the newest change, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub elapsed_ms: u64,
    /// Audit records, oldest first.
    #[prost(message, repeated, tag = "10")]
    pub records: Vec<Audit>,
    /// Log index at which the rollout was created.
    #[prost(uint64, tag = "11")]
    pub created_index: u64,
}

/// The part of the traffic split to which a worker belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cohort {
    /// The versions that had the traffic before the rollout.
    Old,
    /// The new version.
    New,
    /// A version that receives no requests.
    Excluded,
}

impl Rollout {
    /// Returns the state.
    pub fn state_now(&self) -> State {
        State::try_from(self.state).unwrap_or(State::Unknown)
    }

    /// Returns whether the rollout has not ended.
    pub fn is_active(&self) -> bool {
        self.state_now().is_active()
    }

    /// Returns the fraction of the requests that go to the new version.
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

    /// Returns whether the current stage is the last one.
    pub fn is_last_stage(&self) -> bool {
        self.stage_index as usize + 1 >= self.stages.len()
    }

    /// Returns the cohort of the workers of a version. Once the rollout has ended there is only one
    /// cohort, and the losing version receives no requests.
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

/// Command to create a rollout.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Create {
    /// The new version.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Maximum duration of the rollout, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub duration_ms: u64,
}

/// A change of a rollout in the log.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutChange {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// See [`Action`].
    #[prost(enumeration = "Action", tag = "2")]
    pub action: i32,
    /// The version of the rollout on which the change is based.
    #[prost(uint64, tag = "3")]
    pub expected: u64,
    /// Who requested the change.
    #[prost(string, tag = "4")]
    pub who: String,
    /// Why.
    #[prost(string, tag = "5")]
    pub why: String,
    /// Whether a gate is bypassed.
    #[prost(bool, tag = "6")]
    pub bypass: bool,
    /// Time since the rollout was created, according to the leader, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub elapsed_ms: u64,
    /// For a creation: what to create.
    #[prost(message, optional, tag = "8")]
    pub create: Option<Create>,
    /// For a creation: the stages.
    #[prost(message, repeated, tag = "9")]
    pub stages: Vec<RolloutStage>,
    /// The versions that have the traffic when the rollout is created.
    #[prost(string, repeated, tag = "10")]
    pub previous_versions: Vec<String>,
}
