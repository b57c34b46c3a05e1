//! The commands that were judged (a deduplication table): what the control state remembers of
//! them, so that a command sent again is known by any leader after any loss. It is part of the
//! replicated state and of its snapshots; nothing here rests on time or on one process.
//!
//! A configuration command is known by its base version and its digest. Bases only go up, so
//! of all commands on a base below the current version at most one was accepted: the history
//! names it. Other commands name no base; they carry a [`CommandTag`]. What the history has
//! forgotten it does not judge: such a command gets no clear answer.
//! (D. Ongaro, "Consensus: Bridging Theory and Practice", 6.3, with sessions replaced by what
//! the operator's protocol offers.)

use config::constants as c;
use prost::Message as _;
use protocol::{
    Command, CommandHistoryImage, CommandRequest, CommandTag, ConfigurationCommand, ConfigurationKey,
    JudgedCommand,
};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::collections::VecDeque;

/// Bytes of a digest that are kept: no two commands of an operator collide in so many.
const DIGEST_BYTES: usize = 16;

/// What the history says of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStatus {
    /// It has not been judged: it is to be judged now.
    New,
    /// It was accepted.
    Accepted,
    /// It was rejected, or another one has its place.
    Rejected,
    /// It may have been judged, longer ago than is remembered.
    Forgotten,
}

/// The digests of a command without a base version, for its [`CommandTag`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandDigests {
    /// Of what the command is about: a zone, a service.
    pub subject: u64,
    /// Of the command as it was sent.
    pub command: u64,
}

/// How much the history remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistorySizes {
    /// Configuration commands that were accepted.
    pub accepted: usize,
    /// Configuration commands that were rejected ahead of their base.
    pub rejected_ahead: usize,
    /// Other commands.
    pub tagged: usize,
}

/// The commands that were judged, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommandHistory {
    accepted: VecDeque<ConfigurationKey>,
    /// Rejected ones on a base that no configuration has had yet.
    rejected_ahead: VecDeque<ConfigurationKey>,
    tagged: VecDeque<JudgedCommand>,
    forgotten_base: Option<u64>,
    forgotten_index: u64,
}

/// The digest of several parts; no two lists of parts have the same.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// A digest in eight bytes, for a [`CommandTag`].
fn short_digest(parts: &[&[u8]]) -> u64 {
    let bytes = digest(parts);
    u64::from_le_bytes(std::array::from_fn(|i| bytes[i]))
}

/// The digest of a configuration's body.
pub fn body_digest(body: &[u8]) -> Vec<u8> {
    digest(&[b"body", body])[..DIGEST_BYTES].to_vec()
}

/// What a configuration command is known by.
pub fn configuration_key(command: &ConfigurationCommand) -> ConfigurationKey {
    // Of a `modify` the log holds the modification, whatever it came to.
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

/// The digests of a command; `None` for reads and for commands that name a base version.
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

/// Commands that name a base version.
impl CommandHistory {
    /// The history of a store older than it: the one command that is in force.
    pub(crate) fn of_one(base: u64, body: &[u8], modification: &[u8], version: u64) -> CommandHistory {
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

    /// What is known of a configuration command while `version` is current.
    pub fn configuration(&self, key: &ConfigurationKey, version: u64) -> CommandStatus {
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
        // To be rejected for good it must be remembered until its base is passed.
        let has_room = self.rejected_ahead.len() < c::REJECTED_AHEAD_REMEMBERED;
        match key.base.cmp(&version) {
            Ordering::Equal => CommandStatus::New,
            Ordering::Less if is_forgotten => CommandStatus::Forgotten,
            Ordering::Greater if !has_room => CommandStatus::Forgotten,
            Ordering::Less | Ordering::Greater => CommandStatus::Rejected,
        }
    }

    /// Notes a configuration command that was accepted and made `version` current.
    pub fn add_accepted(&mut self, key: ConfigurationKey, version: u64) {
        self.accepted.push_back(key);
        while self.accepted.len() > c::ACCEPTED_REMEMBERED {
            self.forgotten_base = self.accepted.pop_front().map(|a| a.base);
        }
        // Below the current version the list of those accepted says it all.
        self.rejected_ahead.retain(|a| a.base >= version);
    }

    /// Notes a configuration command that was rejected since its base is above `version`.
    pub(crate) fn add_rejected_ahead(&mut self, key: ConfigurationKey, version: u64) {
        let has_room = self.rejected_ahead.len() < c::REJECTED_AHEAD_REMEMBERED;
        if key.base > version && !self.rejected_ahead.contains(&key) && has_room {
            self.rejected_ahead.push_back(key);
        }
    }
}

/// Commands with a tag.
impl CommandHistory {
    /// What is known of a command with a tag, and the index at which it was judged.
    pub fn tagged(&self, tag: &CommandTag) -> (CommandStatus, u64) {
        // The leader says that a like command came a moment ago; whether it is still the one
        // to go by where the entry stands, only the log can say.
        let repeats = (tag.repeats != 0).then(|| self.repeated_by(tag)).flatten();
        let is_this = |judged: &&JudgedCommand| {
            let same = |t: &CommandTag| (t.incarnation, t.number) == (tag.incarnation, tag.number);
            judged.tag.as_ref().is_some_and(same) || repeats == Some(judged.index)
        };
        match self.tagged.iter().find(is_this) {
            Some(judged) if judged.accepted => (CommandStatus::Accepted, judged.index),
            Some(judged) => (CommandStatus::Rejected, judged.index),
            // The log may hold it behind `as_of`; only if nothing from there on is forgotten
            // it is certainly new.
            None if tag.as_of < self.forgotten_index => (CommandStatus::Forgotten, 0),
            None => (CommandStatus::New, 0),
        }
    }

    /// Notes a command with a tag that was judged at `index`.
    pub fn add_tagged(&mut self, index: u64, tag: CommandTag, accepted: bool) {
        self.tagged.push_back(JudgedCommand {
            index,
            tag: Some(tag),
            accepted,
        });
        while self.tagged.len() > c::TAGGED_REMEMBERED {
            let forgotten = self.tagged.pop_front();
            self.forgotten_index = forgotten.map_or(self.forgotten_index, |f| f.index);
        }
    }

    /// The index of a command that this one may repeat: the newest on the subject, or for a
    /// cautious one the newest that is the same, if it is the same and was accepted.
    pub fn repeated_by(&self, tag: &CommandTag) -> Option<u64> {
        let is_same = |judged: &JudgedCommand| judged.tag.as_ref().is_some_and(|t| t.digest == tag.digest);
        let counts = |judged: &&JudgedCommand| {
            let on_subject = judged.tag.as_ref().is_some_and(|t| t.subject == tag.subject);
            on_subject && (is_same(judged) || !tag.cautious)
        };
        let newest = self.tagged.iter().rev().find(counts)?;
        (newest.accepted && is_same(newest)).then_some(newest.index)
    }

    /// The index of a like command that came a moment ago, as the leader sees it: the newest
    /// pending in its log (index and tag), or else the newest remembered, if `is_recent` says
    /// so of its index. Commands that came between are for the log to see.
    pub fn recent_like<'a>(
        &self,
        tag: &CommandTag,
        pending: impl Iterator<Item = (u64, &'a CommandTag)>,
        is_recent: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let is_like = |t: &CommandTag| (t.subject, t.digest) == (tag.subject, tag.digest);
        let in_log = pending.filter(|(_, t)| is_like(t)).map(|(index, _)| index).max();
        in_log.or_else(|| {
            let of = |judged: &&JudgedCommand| judged.tag.as_ref().is_some_and(is_like);
            let newest = self.tagged.iter().rev().find(of)?;
            (newest.accepted && is_recent(newest.index)).then_some(newest.index)
        })
    }

    /// Whether another command on the subject stands behind all that the node of this one had seen
    /// when its caller was last known to wait: the caller may have been answered elsewhere and
    /// gone on, so that this one is older. `pending` are the commands in the leader's log.
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
        let is_newer_judged = |judged: &JudgedCommand| {
            let other = judged.tag.as_ref();
            other.is_some_and(|other| is_newer(judged.index, other))
        };
        pending.any(|(index, other)| is_newer(index, other)) || self.tagged.iter().any(is_newer_judged)
    }

    /// The indexes of the commands with a tag that are remembered, ascending.
    pub fn tagged_indexes(&self) -> impl Iterator<Item = u64> + '_ {
        self.tagged.iter().map(|judged| judged.index)
    }
}

impl CommandHistory {
    /// How much is remembered.
    pub fn sizes(&self) -> HistorySizes {
        HistorySizes {
            accepted: self.accepted.len(),
            rejected_ahead: self.rejected_ahead.len(),
            tagged: self.tagged.len(),
        }
    }

    /// The history as snapshots hold it.
    pub fn image(&self) -> CommandHistoryImage {
        CommandHistoryImage {
            accepted: self.accepted.iter().cloned().collect(),
            rejected_ahead: self.rejected_ahead.iter().cloned().collect(),
            tagged: self.tagged.iter().cloned().collect(),
            forgotten_base: self.forgotten_base,
            forgotten_index: self.forgotten_index,
        }
    }

    /// The history that a snapshot holds.
    pub fn from_image(image: CommandHistoryImage) -> CommandHistory {
        CommandHistory {
            accepted: image.accepted.into(),
            rejected_ahead: image.rejected_ahead.into(),
            tagged: image.tagged.into(),
            forgotten_base: image.forgotten_base,
            forgotten_index: image.forgotten_index,
        }
    }
}
