//! Commands that change the configuration: the leader's check before a command is logged, and
//! its execution when the log entry is applied.

use crate::apply::Outcome;
use crate::command_history::{body_digest, configuration_key, CommandStatus};
use crate::delta::{delta, patch};
use crate::error::InvalidChange;
use crate::state::ControlState;
use config::{apply_modification, constants as c, Configuration};
use protocol::{ChangeKind, ConfigurationCommand, ConfigurationDelta, ConfigurationKey};
use std::sync::Arc;

/// Whether a copy of the state is known to be up to date for a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The copy may be out of date.
    Unconfirmed,
    /// Since the command arrived, a majority has confirmed that the copy holds all acknowledged
    /// changes.
    Confirmed,
}

/// The decision about a configuration command before it is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandDecision {
    /// The command is to be appended to the log, and its outcome is decided there.
    Log,
    /// This copy would reject the command. The check is to be repeated once a majority has
    /// confirmed the copy.
    Confirm,
    /// The outcome is final and needs no log entry.
    Final(Outcome),
}

impl ControlState {
    /// Decides about a configuration command, as far as this copy of the state allows.
    pub fn decide(&self, command: &ConfigurationCommand, confirmation: Confirmation) -> CommandDecision {
        let checked = if command.modification.is_empty() {
            self.check_replace(command)
        } else {
            let modified = self.resolve_modification(command.base, &command.modification);
            modified.and_then(|command| self.check_replace(&command))
        };
        match checked.err() {
            None => CommandDecision::Log,
            // A rejection whose base is above the current version must be recorded in the log to
            // remain a rejection.
            Some(Outcome::Conflict(version)) if command.base > version => CommandDecision::Log,
            Some(_) if confirmation == Confirmation::Unconfirmed => CommandDecision::Confirm,
            Some(outcome) => CommandDecision::Final(outcome),
        }
    }

    /// Checks a replacement of the configuration without executing it. The result is binding only
    /// when the log entry is applied, because a copy may be out of date.
    pub fn check_replace(&self, command: &ConfigurationCommand) -> Result<Configuration, Outcome> {
        let current = self.version();
        let history_check = match self.check_history(&configuration_key(command)) {
            // A configuration that is invalid in itself was never accepted, so it is reported as
            // invalid even if the history no longer holds the command.
            Err(Outcome::Undecidable) => Err(Outcome::Undecidable),
            other => Ok(other?),
        };
        let configuration = Configuration::parse(&command.body).map_err(|e| Outcome::Invalid(e.into()))?;
        history_check?;
        if configuration.version <= current {
            let version = configuration.version;
            return Err(Outcome::Invalid(InvalidChange::VersionNotNewer {
                version,
                current,
            }));
        }
        Ok(configuration)
    }

    /// Applies a `modify` on a base version to the configuration in force and returns the
    /// equivalent command that replaces the complete configuration.
    pub fn resolve_modification(
        &self,
        base: u64,
        modification: &[u8],
    ) -> Result<ConfigurationCommand, Outcome> {
        let command = ConfigurationCommand {
            base,
            body: Vec::new(),
            modification: modification.to_vec(),
        };
        self.check_history(&configuration_key(&command))?;
        let body = apply_modification(&self.configuration_body, &command.modification)
            .map_err(|e| Outcome::Invalid(e.into()))?;
        Ok(ConfigurationCommand { body, ..command })
    }

    /// Returns a change in the form that the log holds. A complete configuration becomes a delta
    /// against the configuration in force on this node, if the delta is much smaller.
    pub fn compact_for_log(&self, kind: ChangeKind) -> ChangeKind {
        let ChangeKind::Replace(command) = &kind else {
            return kind;
        };
        if !command.modification.is_empty() || command.base != self.version() {
            return kind;
        }
        match delta(&self.configuration_body, &command.body) {
            Some(parts) => ChangeKind::ReplaceDelta(ConfigurationDelta {
                key: Some(configuration_key(command)),
                base_digest: body_digest(&self.configuration_body),
                parts,
            }),
            None => kind,
        }
    }

    /// Executes a command that the log holds as a delta. The delta applies only to the body that
    /// it was computed from: if another configuration is in force, a concurrent command has
    /// replaced that body first, and this one is rejected.
    pub(crate) fn replace_by_delta(&mut self, delta: ConfigurationDelta) -> Outcome {
        let base_mismatch = Outcome::Invalid(InvalidChange::OtherBase);
        let Some(key) = delta.key else {
            return base_mismatch;
        };
        if let Err(outcome) = self.check_history(&key) {
            return outcome;
        }
        if delta.base_digest != body_digest(&self.configuration_body) {
            return base_mismatch;
        }
        let Some(body) = patch(&self.configuration_body, &delta.parts, c::MAX_FRAME_BYTES) else {
            return base_mismatch;
        };
        let command = ConfigurationCommand {
            base: key.base,
            body,
            ..Default::default()
        };
        if configuration_key(&command) != key {
            return base_mismatch;
        }
        self.replace(command)
    }

    /// Executes a configuration command.
    pub(crate) fn replace(&mut self, command: ConfigurationCommand) -> Outcome {
        let (key, current) = (configuration_key(&command), self.version());
        // The log holds only the modification of a `modify`, not the resulting body.
        let command = if command.body.is_empty() && !command.modification.is_empty() {
            self.resolve_modification(command.base, &command.modification)
        } else {
            Ok(command)
        };
        let checked = command.and_then(|command| Ok((self.check_replace(&command)?, command)));
        let history = Arc::make_mut(&mut self.command_history);
        match checked {
            Ok((configuration, command)) => {
                history.add_accepted(key, configuration.version);
                self.configuration = Some(Arc::new(configuration));
                self.configuration_body = Arc::new(command.body);
                self.drop_obsolete_key_leases();
                Outcome::Applied
            }
            Err(outcome) => {
                if matches!(outcome, Outcome::Conflict(_)) {
                    history.add_rejected_ahead(key, current);
                }
                outcome
            }
        }
    }

    /// Returns the outcome recorded in the history as an error, if the configuration command is
    /// not new.
    fn check_history(&self, key: &ConfigurationKey) -> Result<(), Outcome> {
        let current = self.version();
        match self.command_history.configuration_status(key, current) {
            CommandStatus::New => Ok(()),
            CommandStatus::Accepted => Err(Outcome::AlreadyApplied),
            CommandStatus::Rejected => Err(Outcome::Conflict(current)),
            CommandStatus::Forgotten => Err(Outcome::Undecidable),
        }
    }
}
