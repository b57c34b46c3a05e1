//! The history of decided commands (a deduplication table). It lets any leader recognize a
//! command that is sent again, whichever nodes have failed in between. It is part of the
//! replicated state and of its snapshots and depends neither on time nor on any one process.
//!
//! A configuration command is identified by its base version and its digest. Base versions only
//! increase, so at most one of the commands on a base below the current version was accepted,
//! and the history holds it. Other commands have no base version and carry a [`CommandTag`].
//! The history does not decide about commands that may have been dropped from it: they get an
//! indefinite answer.
//! (D. Ongaro, "Consensus: Bridging Theory and Practice", 6.3, with sessions replaced by the
//! identification that the operator's protocol offers.)

use config::constants as c;
use prost::Message as _;
use protocol::{
    Command, CommandHistoryImage, CommandRequest, CommandTag, ConfigurationCommand, ConfigurationKey,
    DecidedCommand,
};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::collections::VecDeque;

/// Bytes kept of a digest; a collision between two commands of an operator is negligible.
const DIGEST_BYTES: usize = 16;

/// The status of a command according to the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStatus {
    /// The command has not been decided yet.
    New,
    /// The command was accepted.
    Accepted,
    /// The command was rejected, or another command on its base was accepted.
    Rejected,
    /// The command may have been decided longer ago than the history goes back.
    Forgotten,
}

/// The digests of a command without a base version, for its [`CommandTag`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandDigests {
    /// Digest of the command's subject, such as a zone or a service.
    pub subject: u64,
    /// Digest of the command as it was sent.
    pub command: u64,
}

/// The number of commands in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistorySizes {
    /// Accepted configuration commands.
    pub accepted: usize,
    /// Configuration commands that were rejected because their base was above the current version.
    pub rejected_ahead: usize,
    /// Commands with a tag.
    pub tagged: usize,
}

/// The decided commands, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommandHistory {
    accepted: VecDeque<ConfigurationKey>,
    /// Rejected configuration commands on a base that no configuration has reached yet.
    rejected_ahead: VecDeque<ConfigurationKey>,
    tagged: VecDeque<DecidedCommand>,
    forgotten_base: Option<u64>,
    forgotten_index: u64,
    settled_index: u64,
}

/// Returns the digest of a list of parts. Each part is hashed with its length, so that different
/// lists with the same concatenation have different digests.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// Returns the first eight bytes of a digest, for a [`CommandTag`].
fn short_digest(parts: &[&[u8]]) -> u64 {
    let bytes = digest(parts);
    u64::from_le_bytes(std::array::from_fn(|i| bytes[i]))
}

/// Returns the digest of a configuration's body.
pub fn body_digest(body: &[u8]) -> Vec<u8> {
    digest(&[b"body", body])[..DIGEST_BYTES].to_vec()
}

/// Returns the key that identifies a configuration command.
pub fn configuration_key(command: &ConfigurationCommand) -> ConfigurationKey {
    // The log holds the modification of a `modify`, not the body that results from it.
    let parts: [&[u8]; 2] = if command.modification.is_empty() {
        [b"replace", &command.body]
    } else {
        [b"modify", &command.modification]
    };
    ConfigurationKey {
        base: command.base,
        digest: digest(&parts)[..DIGEST_BYTES].to_vec(),
    }
}

/// Returns the digests of a command, or `None` for reads and for commands with a base version.
pub fn command_digests(command: &Command) -> Option<CommandDigests> {
    let subject: [&[u8]; 2] = match command {
        Command::Evacuate(change) => [b"zone", change.zone.as_bytes()],
        Command::BeginRollout(begin) => [b"service", begin.service.as_bytes()],
        Command::ChangeRollout(change) => [b"service", change.service.as_bytes()],
        Command::KillSwitch(_) => [b"switch", b""],
        _ => return None,
    };
    let sent = CommandRequest {
        command: Some(command.clone()),
        ..Default::default()
    };
    Some(CommandDigests {
        subject: short_digest(&subject),
        command: short_digest(&[&sent.encode_to_vec()]),
    })
}

/// Commands with a base version.
impl CommandHistory {
    /// Builds the history for an image that was written before command histories existed: it
    /// holds only the command that set the configuration in force.
    pub(crate) fn with_single_command(
        base: u64,
        body: &[u8],
        modification: &[u8],
        version: u64,
    ) -> CommandHistory {
        let mut history = CommandHistory::default();
        if version > 0 {
            let command = ConfigurationCommand {
                base,
                body: body.to_vec(),
                modification: modification.to_vec(),
            };
            history.add_accepted(configuration_key(&command), version);
            history.forgotten_base = base.checked_sub(1);
        }
        history
    }

    /// Returns the status of a configuration command while `version` is current.
    pub fn configuration_status(&self, key: &ConfigurationKey, version: u64) -> CommandStatus {
        if let Some(at_base) = self.accepted.iter().rev().find(|a| a.base == key.base) {
            return if at_base.digest == key.digest {
                CommandStatus::Accepted
            } else {
                CommandStatus::Rejected
            };
        }
        if self.rejected_ahead.contains(key) {
            return CommandStatus::Rejected;
        }
        let is_forgotten = self.forgotten_base.is_some_and(|f| key.base <= f);
        // A permanent rejection must be remembered until the current version passes its base.
        let has_room = self.rejected_ahead.len() < c::MAX_REJECTED_AHEAD_COMMANDS;
        match key.base.cmp(&version) {
            Ordering::Equal => CommandStatus::New,
            Ordering::Less if is_forgotten => CommandStatus::Forgotten,
            Ordering::Greater if !has_room => CommandStatus::Forgotten,
            Ordering::Less | Ordering::Greater => CommandStatus::Rejected,
        }
    }

    /// Records a configuration command that was accepted and made `version` current.
    pub fn add_accepted(&mut self, key: ConfigurationKey, version: u64) {
        self.accepted.push_back(key);
        while self.accepted.len() > c::MAX_ACCEPTED_COMMANDS {
            self.forgotten_base = self.accepted.pop_front().map(|a| a.base);
        }
        // Below the current version the list of accepted commands decides alone.
        self.rejected_ahead.retain(|a| a.base >= version);
    }

    /// Records a configuration command that was rejected because its base is above `version`.
    pub(crate) fn add_rejected_ahead(&mut self, key: ConfigurationKey, version: u64) {
        let has_room = self.rejected_ahead.len() < c::MAX_REJECTED_AHEAD_COMMANDS;
        if key.base > version && !self.rejected_ahead.contains(&key) && has_room {
            self.rejected_ahead.push_back(key);
        }
    }
}

/// Commands with a tag.
impl CommandHistory {
    /// Returns the status of a command with a tag, and the index at which it was decided.
    pub fn tagged_status(&self, tag: &CommandTag) -> (CommandStatus, u64) {
        // The leader saw an identical command shortly before this one. Only the log can decide
        // whether this one still repeats it at the position of its entry.
        let repeats = (tag.repeats != 0).then(|| self.repeated_by(tag)).flatten();
        let is_same_or_repeated =
            |decided: &&DecidedCommand| is_same_call(decided, tag) || repeats == Some(decided.index);
        match self.tagged.iter().find(is_same_or_repeated) {
            Some(decided) if decided.accepted => (CommandStatus::Accepted, decided.index),
            Some(decided) => (CommandStatus::Rejected, decided.index),
            // The log may hold the command after `as_of`. It is certainly new only if the history
            // has dropped no command after `as_of`.
            None if tag.as_of < self.forgotten_index => (CommandStatus::Forgotten, 0),
            None => (CommandStatus::New, 0),
        }
    }

    /// Returns whether the history holds the call with this tag itself, and not only an identical
    /// command.
    pub fn contains_call(&self, tag: &CommandTag) -> bool {
        self.tagged.iter().any(|decided| is_same_call(decided, tag))
    }

    /// Records that the commands up to `index` are settled: no caller sends them again any more.
    /// A process that starts learns this from the log; it has no memory of when they were sent.
    pub(crate) fn settle(&mut self, index: u64) {
        self.settled_index = self.settled_index.max(index);
    }

    /// Returns the indexes of the commands with a tag that are not settled, ascending.
    pub fn unsettled_indexes(&self) -> impl Iterator<Item = u64> + '_ {
        let indexes = self.tagged.iter().map(|decided| decided.index);
        indexes.filter(|index| *index > self.settled_index)
    }

    /// Records a command with a tag that was decided at `index`.
    pub fn add_tagged(&mut self, index: u64, tag: CommandTag, accepted: bool) {
        self.tagged.push_back(DecidedCommand {
            index,
            tag: Some(tag),
            accepted,
        });
        while self.tagged.len() > c::MAX_TAGGED_COMMANDS {
            let forgotten = self.tagged.pop_front();
            self.forgotten_index = forgotten.map_or(self.forgotten_index, |f| f.index);
        }
    }

    /// Returns the index of the command that this one may repeat: the newest command on the
    /// subject, if it is identical and was accepted. For a cautious command, other commands on
    /// the subject are skipped, and the newest identical one is taken if it was accepted.
    pub fn repeated_by(&self, tag: &CommandTag) -> Option<u64> {
        let is_identical =
            |decided: &DecidedCommand| decided.tag.as_ref().is_some_and(|t| t.digest == tag.digest);
        let is_candidate = |decided: &&DecidedCommand| {
            let on_subject = decided.tag.as_ref().is_some_and(|t| t.subject == tag.subject);
            on_subject && (is_identical(decided) || !tag.cautious)
        };
        let newest = self.tagged.iter().rev().find(is_candidate)?;
        (newest.accepted && is_identical(newest)).then_some(newest.index)
    }

    /// Returns the index of an identical command that the leader has seen recently: the newest one
    /// pending in its log (`pending`, by index and tag), or else the newest one in the history, if
    /// it was accepted and `is_recent` holds for its index. Other commands in between are not
    /// considered here, but where the entry is applied.
    pub fn recent_identical<'a>(
        &self,
        tag: &CommandTag,
        pending: impl Iterator<Item = (u64, &'a CommandTag)>,
        is_recent: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let is_identical = |t: &CommandTag| (t.subject, t.digest) == (tag.subject, tag.digest);
        let in_log = pending
            .filter(|(_, t)| is_identical(t))
            .map(|(index, _)| index)
            .max();
        in_log.or_else(|| {
            let has_identical_tag =
                |decided: &&DecidedCommand| decided.tag.as_ref().is_some_and(is_identical);
            let newest = self.tagged.iter().rev().find(has_identical_tag)?;
            (newest.accepted && is_recent(newest.index)).then_some(newest.index)
        })
    }

    /// Returns whether the log holds another command on the subject that is newer than everything
    /// this command's node had applied when its caller was last known to be waiting. The caller may
    /// then have been answered by another node and have sent that newer command, so that this one
    /// is out of date. `pending` holds the commands in the leader's log.
    pub fn is_overtaken<'a>(
        &self,
        tag: &CommandTag,
        mut pending: impl Iterator<Item = (u64, &'a CommandTag)>,
    ) -> bool {
        let seen = tag.as_of.max(tag.awaited_at);
        let is_newer = |index: u64, other: &CommandTag| {
            let is_other = (other.incarnation, other.number) != (tag.incarnation, tag.number);
            is_other && other.subject == tag.subject && index > seen
        };
        let is_newer_decided = |decided: &DecidedCommand| {
            let other = decided.tag.as_ref();
            other.is_some_and(|other| is_newer(decided.index, other))
        };
        pending.any(|(index, other)| is_newer(index, other)) || self.tagged.iter().any(is_newer_decided)
    }
}

impl CommandHistory {
    /// Returns the number of commands of each kind in the history.
    pub fn sizes(&self) -> HistorySizes {
        HistorySizes {
            accepted: self.accepted.len(),
            rejected_ahead: self.rejected_ahead.len(),
            tagged: self.tagged.len(),
        }
    }

    /// Returns the history in the form that snapshots hold.
    pub fn image(&self) -> CommandHistoryImage {
        CommandHistoryImage {
            accepted: self.accepted.iter().cloned().collect(),
            rejected_ahead: self.rejected_ahead.iter().cloned().collect(),
            tagged: self.tagged.iter().cloned().collect(),
            forgotten_base: self.forgotten_base,
            forgotten_index: self.forgotten_index,
            settled_index: self.settled_index,
        }
    }

    /// Builds the history from the form that snapshots hold.
    pub fn from_image(image: CommandHistoryImage) -> CommandHistory {
        CommandHistory {
            accepted: image.accepted.into(),
            rejected_ahead: image.rejected_ahead.into(),
            tagged: image.tagged.into(),
            forgotten_base: image.forgotten_base,
            forgotten_index: image.forgotten_index,
            settled_index: image.settled_index,
        }
    }
}

/// Returns whether a decided command is the call with this tag.
fn is_same_call(decided: &DecidedCommand, tag: &CommandTag) -> bool {
    let decided = decided.tag.as_ref();
    decided.is_some_and(|decided| (decided.incarnation, decided.number) == (tag.incarnation, tag.number))
}
