//! Commands that change the configuration: what becomes of one before it is logged, and what
//! it comes to where it is applied.

use crate::apply::Outcome;
use crate::command_history::{body_digest, configuration_key, CommandStatus};
use crate::delta::{delta, patch};
use crate::error::InvalidChange;
use crate::state::ControlState;
use config::{apply_modification, constants as c, Configuration};
use protocol::{ChangeKind, ConfigurationCommand, ConfigurationDelta, ConfigurationKey};
use std::sync::Arc;

/// How far a copy of the state can be relied on for a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// It may be behind.
    Unconfirmed,
    /// A majority has confirmed, since the command came, that it holds all that was
    /// acknowledged.
    Confirmed,
}

/// What becomes of a configuration command before it is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Judgement {
    /// It is for the log to order.
    Log,
    /// This copy would reject it; to be asked again once a majority has confirmed the copy.
    Confirm,
    /// The outcome, with no entry of its own.
    Final(Outcome),
}

impl ControlState {
    /// What becomes of a configuration command as far as this copy of the state can say.
    pub fn judge(&self, command: &ConfigurationCommand, confirmation: Confirmation) -> Judgement {
        let checked = if command.modification.is_empty() {
            self.check_replace(command)
        } else {
            let modified = self.modified(command.base, &command.modification);
            modified.and_then(|command| self.check_replace(&command))
        };
        match checked.err() {
            None => Judgement::Log,
            // A rejection ahead of the base must be remembered to stay one.
            Some(Outcome::Conflict(version)) if command.base > version => Judgement::Log,
            Some(_) if confirmation == Confirmation::Unconfirmed => Judgement::Confirm,
            Some(outcome) => Judgement::Final(outcome),
        }
    }

    /// What replacing the configuration would come to, without doing it. Binding only where
    /// the log says it: a copy may be behind.
    pub fn check_replace(&self, command: &ConfigurationCommand) -> Result<Configuration, Outcome> {
        let current = self.version();
        let known = match self.check_history(&configuration_key(command)) {
            // What is invalid by itself was never accepted, however little is remembered.
            Err(Outcome::Undecidable) => Err(Outcome::Undecidable),
            other => Ok(other?),
        };
        let configuration = Configuration::parse(&command.body).map_err(|e| Outcome::Invalid(e.into()))?;
        known?;
        if configuration.version <= current {
            let version = configuration.version;
            return Err(Outcome::Invalid(InvalidChange::VersionNotNewer {
                version,
                current,
            }));
        }
        Ok(configuration)
    }

    /// What a `modify` on top of a version comes to: the command to replace the whole
    /// configuration by what it makes of the one in force.
    pub fn modified(&self, base: u64, modification: &[u8]) -> Result<ConfigurationCommand, Outcome> {
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

    /// A change as the log is to hold it: of a whole configuration, what it changes of the one
    /// in force here, if that is much less.
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

    /// Carries out a command that the log holds as a change of another configuration. The
    /// version names the body; where another is in force the command lost its race.
    pub(crate) fn replace_by_delta(&mut self, delta: ConfigurationDelta) -> Outcome {
        let other_base = Outcome::Invalid(InvalidChange::OtherBase);
        let Some(key) = delta.key else {
            return other_base;
        };
        if let Err(outcome) = self.check_history(&key) {
            return outcome;
        }
        if delta.base_digest != body_digest(&self.configuration_body) {
            return other_base;
        }
        let Some(body) = patch(&self.configuration_body, &delta.parts, c::MAX_FRAME_BYTES) else {
            return other_base;
        };
        let command = ConfigurationCommand {
            base: key.base,
            body,
            ..Default::default()
        };
        if configuration_key(&command) != key {
            return other_base;
        }
        self.replace(command)
    }

    /// Carries out a configuration command.
    pub(crate) fn replace(&mut self, command: ConfigurationCommand) -> Outcome {
        let (key, current) = (configuration_key(&command), self.version());
        // The log holds of a `modify` only what it changes.
        let command = if command.body.is_empty() && !command.modification.is_empty() {
            self.modified(command.base, &command.modification)
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

    /// What the history says of a configuration command that is not to be judged anew.
    fn check_history(&self, key: &ConfigurationKey) -> Result<(), Outcome> {
        let current = self.version();
        match self.command_history.configuration(key, current) {
            CommandStatus::New => Ok(()),
            CommandStatus::Accepted => Err(Outcome::AlreadyApplied),
            CommandStatus::Rejected => Err(Outcome::Conflict(current)),
            CommandStatus::Forgotten => Err(Outcome::Undecidable),
        }
    }
}
