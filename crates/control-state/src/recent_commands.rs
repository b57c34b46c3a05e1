//! The times at which one process has last seen each command. They tell a repetition of a command
//! from a new command of the same content.

use crate::command_history::CommandHistory;
use config::constants as c;
use protocol::CommandTag;
use std::collections::{BTreeMap, BTreeSet};

/// The time at which this process has last seen each tagged command of the history, either the
/// command itself or a repetition, in milliseconds by log index.
#[derive(Clone, Debug, Default)]
pub struct RecentCommands {
    last_seen: BTreeMap<u64, u64>,
}

impl RecentCommands {
    /// Records the time for commands that are new in the history, and removes those that are no
    /// longer in it.
    pub fn record(&mut self, now: u64, history: &CommandHistory) {
        let indexes: BTreeSet<u64> = history.tagged_indexes().collect();
        self.last_seen.retain(|index, _| indexes.contains(index));
        for index in indexes {
            self.last_seen.entry(index).or_insert(now);
        }
    }

    /// Records that the command at `index` was sent again. A caller whose answers are lost keeps
    /// sending the command for longer than the pause between two attempts.
    pub fn record_repetition(&mut self, now: u64, index: u64) {
        if let Some(seen) = self.last_seen.get_mut(&index) {
            *seen = now;
        }
    }

    /// Returns the index of the command that this one most likely repeats: the newest identical
    /// command on its subject, if it is pending in the log or this process has seen it recently.
    /// `pending` holds the commands in the log of this process. Commands that are identical byte
    /// for byte cannot be told apart any better. The final decision is made when the log entry is
    /// applied, and holds for all leaders.
    pub fn repeated<'a>(
        &self,
        now: u64,
        history: &CommandHistory,
        tag: &CommandTag,
        pending: impl Iterator<Item = (u64, &'a CommandTag)>,
    ) -> Option<u64> {
        let is_recent = |index: u64| {
            let seen = self.last_seen.get(&index);
            seen.is_some_and(|at| now.saturating_sub(*at) < c::REPEATED_COMMAND_WINDOW_MS)
        };
        history.recent_identical(tag, pending, is_recent)
    }
}
