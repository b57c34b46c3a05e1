//! The times at which one process has last seen each command that may still be sent again. They
//! tell a repetition of a command from a new command of the same content.
//!
//! A process knows nothing about the time before its start. To it, every command that the log does
//! not show as settled may have been sent a moment ago.

use crate::command_history::CommandHistory;
use config::constants as c;
use protocol::CommandTag;
use std::collections::{BTreeMap, BTreeSet};

/// The time at which this process has last seen each unsettled command of the history, either the
/// command itself or a repetition, in milliseconds by log index.
#[derive(Clone, Debug, Default)]
pub struct RecentCommands {
    last_seen: BTreeMap<u64, u64>,
}

impl RecentCommands {
    /// Records the time for commands that are new in the history, and removes those that are
    /// settled or no longer in it.
    pub fn record(&mut self, now: u64, history: &CommandHistory) {
        let indexes: BTreeSet<u64> = history.unsettled_indexes().collect();
        self.last_seen.retain(|index, _| indexes.contains(index));
        for index in indexes {
            self.last_seen.entry(index).or_insert(now);
        }
    }

    /// Returns the index of the command that this one most likely repeats: the newest identical
    /// command on its subject, if it is pending in the log or this process has seen it recently.
    /// `pending` holds the commands in the log of this process. Callers send a command again for at
    /// most `resend_ms` milliseconds. Commands that are identical byte for byte cannot be told apart
    /// any better. The final decision is made when the log entry is applied, and holds for all
    /// leaders.
    pub fn repeated<'a>(
        &self,
        now: u64,
        history: &CommandHistory,
        tag: &CommandTag,
        pending: impl Iterator<Item = (u64, &'a CommandTag)>,
        resend_ms: u64,
    ) -> Option<u64> {
        // A cautious command is not executed as long as it may be a repetition.
        let window_ms = if tag.cautious {
            resend_ms.max(c::REPEATED_COMMAND_WINDOW_MS)
        } else {
            c::REPEATED_COMMAND_WINDOW_MS
        };
        let is_recent = |index: u64| {
            let seen = self.last_seen.get(&index);
            seen.is_some_and(|at| now.saturating_sub(*at) < window_ms)
        };
        history.recent_identical(tag, pending, is_recent)
    }

    /// Records that `tag` was sent as a repetition of the command at `index`. A caller whose answers
    /// are lost keeps sending the command for longer than the pause between two attempts. A cautious
    /// command does not extend the time: it would be refused as long as its caller sends it.
    pub fn record_repetition(&mut self, now: u64, index: u64, tag: &CommandTag) {
        if tag.cautious {
            return;
        }
        if let Some(seen) = self.last_seen.get_mut(&index) {
            *seen = now;
        }
    }

    /// Returns the log index up to which all commands can be settled, if any can: this process has
    /// seen none of them for as long as their callers may send them again.
    pub fn settleable_index(&self, now: u64, resend_ms: u64) -> Option<u64> {
        let settle_ms = resend_ms.max(c::REPEATED_COMMAND_WINDOW_MS);
        let is_over = |at: u64| now.saturating_sub(at) >= settle_ms;
        let over = self.last_seen.iter().take_while(|(_, at)| is_over(**at));
        over.last().map(|(index, _)| *index)
    }
}
