//! The errors of commands, with the HTTP status and the text that the caller receives.

use config::constants as c;
use control_state::{InvalidChange, Outcome};
use protocol::CommandResponse;
use rollout::{Refusal, State};

/// Status of a response by a node that does not lead. It is used between nodes only and never
/// reaches a client.
const NOT_LEADER: u32 = 0;

/// The reason why a command was not executed or not acknowledged.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum CommandError {
    /// This node does not lead; the command has to be sent to another node.
    #[error("")]
    NotLeader,
    /// A newer command on the same subject was ordered before this one. The command is routed
    /// again if its caller still waits. This error never reaches a client.
    #[error("")]
    Overtaken,
    /// The process is shutting down.
    #[error("ending")]
    Ending,
    /// No leader was found before the command timed out.
    #[error("no leader could be reached in time")]
    NoLeader,
    /// The caller has closed its connection; it may have sent the command to another node.
    #[error("the caller has closed its connection")]
    CallerGone,
    /// This node has lost contact with the majority; other nodes may still have it.
    #[error("no word of a majority for {silent_ms} ms")]
    OutOfContact {
        /// Time without contact to a majority, in milliseconds.
        silent_ms: u64,
        /// Control addresses of nodes that may be in contact.
        nodes: Vec<String>,
        /// Whether the listed nodes are known to be alive.
        are_alive: bool,
    },
    /// The voters are too few to tolerate the losses given in `Tolerance`.
    #[error("too few voters yet to bear the losses of Tolerance")]
    TooFewVoters,
    /// The change was accepted but is not durable yet: a tolerated loss may still remove it.
    #[error("taken, but on too few disks yet to bear the losses of Tolerance")]
    NotDurable,
    /// The command history no longer reaches back far enough to tell the outcome.
    #[error("the order may have been judged, longer ago than is remembered")]
    Forgotten,
    /// The command may repeat an earlier one, and what it asks for is not in force.
    #[error("an equal order was judged a moment ago, send this one again")]
    PossibleRepetition,
    /// There is no configuration to read.
    #[error("there is no configuration yet")]
    NoConfiguration,
    /// The base version is not the version in force.
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
    /// The watchdog does not allow the rollout action.
    #[error("the gate is closed: {0}")]
    GateClosed(rollout::GateClosed),
    /// Another rollout of the service is active.
    #[error("Service: a rollout of {service} to {target} is active")]
    RolloutActive {
        /// The service.
        service: String,
        /// The target version of the active rollout.
        target: String,
    },
    /// The rollout has a different version than the command expects.
    #[error("Expected: the rollout has changed; its version is {0}")]
    RolloutChanged(u64),
    /// The state of the rollout does not allow the action.
    #[error("the rollout is {}, which does not allow this", .0.name())]
    RolloutState(State),
    /// The service has no rollout.
    #[error("Service: there is no rollout of it")]
    NoRollout,
    /// The rollout change is malformed.
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
    /// Returns the HTTP status of the response.
    fn status(&self) -> u32 {
        match self {
            // Both are routed again while the caller waits.
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
            | CommandError::Forgotten
            | CommandError::PossibleRepetition => 503,
        }
    }

    /// Returns the response for the caller.
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

    /// Returns the error of an outcome, or `None` if the change is in force.
    pub(super) fn of(outcome: Outcome) -> Option<CommandError> {
        match outcome {
            Outcome::Applied | Outcome::AlreadyApplied => None,
            Outcome::Conflict(version) => Some(CommandError::Conflict(version)),
            Outcome::Invalid(invalid) => Some(CommandError::Invalid(invalid)),
            Outcome::RolloutRejected(refusal) => Some(refusal.into()),
            Outcome::Undecidable => Some(CommandError::Forgotten),
            Outcome::PossibleRepetition => Some(CommandError::PossibleRepetition),
        }
    }

    /// Returns the error of a bypass whose reason is missing or too short.
    pub(super) fn bypass_without_reason() -> CommandError {
        CommandError::InvalidField(format!(
            "Why: a bypass wants a reason of {} letters or more",
            c::MIN_BYPASS_REASON_CHARS
        ))
    }
}

/// Returns whether a response says that its sender does not lead.
pub(super) fn is_not_leader(response: &CommandResponse) -> bool {
    response.status == NOT_LEADER
}

/// Creates a response with a JSON body.
pub(super) fn response(status: u32, body: impl Into<Vec<u8>>) -> CommandResponse {
    CommandResponse {
        status,
        body: body.into(),
        ..Default::default()
    }
}
