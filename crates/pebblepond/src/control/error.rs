//! Why a command is not carried out, with the HTTP status and the text that its caller gets.

use config::constants as c;
use control_state::{InvalidChange, Outcome};
use protocol::CommandResponse;
use rollout::{Refusal, State};

/// Status of a response that says: this node does not lead. Never leaves the nodes.
const NOT_LEADER: u32 = 0;

/// Why a command is not carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum CommandError {
    /// This node does not lead; the command is for another.
    #[error("")]
    NotLeader,
    /// A newer command on the same subject has come before it; to be routed again if its caller
    /// still waits. Never leaves the nodes.
    #[error("")]
    Overtaken,
    /// The process ends.
    #[error("ending")]
    Ending,
    /// No leader was found while the caller waits.
    #[error("no leader could be reached in time")]
    NoLeader,
    /// Nobody waits for the command any more: its caller may have sent it again elsewhere.
    #[error("the caller has closed its connection")]
    CallerGone,
    /// This node has lost the majority; others may have it.
    #[error("no word of a majority for {silent_ms} ms")]
    OutOfContact {
        /// Since when, ms.
        silent_ms: u64,
        /// Control addresses of nodes that may know better.
        nodes: Vec<String>,
        /// Whether these are known to live.
        are_alive: bool,
    },
    /// No loss could be tolerated whatever is done.
    #[error("too few voters yet to bear the losses of Tolerance")]
    TooFewVoters,
    /// It was done, and may be lost with the next loss.
    #[error("taken, but on too few disks yet to bear the losses of Tolerance")]
    NotDurable,
    /// The history says nothing of it.
    #[error("the order may have been judged, longer ago than is remembered")]
    Forgotten,
    /// Nothing to read.
    #[error("there is no configuration yet")]
    NoConfiguration,
    /// Another version is in force.
    #[error("Base-Version is not the current version {0}")]
    Conflict(u64),
    /// The change is invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidChange),
    /// A field of the command is invalid; the text names it.
    #[error("{0}")]
    InvalidField(String),
    /// The configuration has no such service.
    #[error("Service: the configuration has no such service")]
    UnknownService,
    /// The watchdog does not let a rollout pass.
    #[error("the gate is closed: {0}")]
    GateClosed(rollout::GateClosed),
    /// Another rollout of the service is active.
    #[error("Service: a rollout of {service} to {target} is active")]
    RolloutActive {
        /// The service.
        service: String,
        /// The version that it moves to.
        target: String,
    },
    /// The rollout is another version by now.
    #[error("Expected: the rollout has changed; its version is {0}")]
    RolloutChanged(u64),
    /// The rollout's state does not allow it.
    #[error("the rollout is {}, which does not allow this", .0.name())]
    RolloutState(State),
    /// There is no rollout.
    #[error("Service: there is no rollout of it")]
    NoRollout,
    /// The change of a rollout is malformed.
    #[error("the order cannot be read")]
    Undecodable,
}

impl From<Refusal> for CommandError {
    fn from(refusal: Refusal) -> CommandError {
        match refusal {
            Refusal::Active { service, target } => CommandError::RolloutActive { service, target },
            Refusal::Conflict(version) => CommandError::RolloutChanged(version),
            Refusal::WrongState(state) => CommandError::RolloutState(state),
            Refusal::Unknown => CommandError::NoRollout,
            Refusal::Malformed => CommandError::Undecodable,
        }
    }
}

impl CommandError {
    /// The HTTP status of the response.
    fn status(&self) -> u32 {
        match self {
            // Both are routed again, as long as the caller waits.
            CommandError::NotLeader | CommandError::Overtaken => NOT_LEADER,
            CommandError::OutOfContact { are_alive: true, .. } => 307,
            CommandError::Invalid(_) | CommandError::InvalidField(_) | CommandError::Undecodable => 400,
            CommandError::NoConfiguration | CommandError::UnknownService | CommandError::NoRollout => 404,
            CommandError::GateClosed(_)
            | CommandError::RolloutActive { .. }
            | CommandError::RolloutState(_) => 409,
            CommandError::Conflict(_) | CommandError::RolloutChanged(_) => 412,
            CommandError::Ending
            | CommandError::CallerGone
            | CommandError::NoLeader
            | CommandError::OutOfContact { .. }
            | CommandError::TooFewVoters
            | CommandError::NotDurable
            | CommandError::Forgotten => 503,
        }
    }

    /// What the caller gets.
    pub(super) fn response(&self) -> CommandResponse {
        let body = match self {
            CommandError::NotLeader => return response(NOT_LEADER, ""),
            CommandError::OutOfContact { nodes, .. } => {
                serde_json::json!({ "ErrorText": self.to_string(), "Nodes": nodes })
            }
            _ => serde_json::json!({ "ErrorText": self.to_string() }),
        };
        response(self.status(), body.to_string())
    }

    /// The error of an outcome, unless the change is in force.
    pub(super) fn of(outcome: Outcome) -> Option<CommandError> {
        match outcome {
            Outcome::Applied | Outcome::AlreadyApplied => None,
            Outcome::Conflict(version) => Some(CommandError::Conflict(version)),
            Outcome::Invalid(invalid) => Some(CommandError::Invalid(invalid)),
            Outcome::RolloutRejected(refusal) => Some(refusal.into()),
            Outcome::Undecidable => Some(CommandError::Forgotten),
        }
    }

    /// A bypass without a reason.
    pub(super) fn bypass_without_reason() -> CommandError {
        CommandError::InvalidField(format!(
            "Why: a bypass wants a reason of {} letters or more",
            c::MIN_BYPASS_REASON_CHARS
        ))
    }
}

/// Whether a response says that its sender does not lead.
pub(super) fn is_not_leader(response: &CommandResponse) -> bool {
    response.status == NOT_LEADER
}

/// A response with a body of JSON.
pub(super) fn response(status: u32, body: impl Into<Vec<u8>>) -> CommandResponse {
    CommandResponse {
        status,
        body: body.into(),
        ..Default::default()
    }
}
