//! When commands were seen, as one process knows it: what makes a command that comes again a
//! repetition rather than another of its kind.

use crate::command_history::CommandHistory;
use config::constants as c;
use protocol::CommandTag;
use std::collections::{BTreeMap, BTreeSet};

/// When each tagged command of the history was last seen here, itself or sent again, ms, by index.
#[derive(Clone, Debug, Default)]
pub struct RecentCommands {
    last_seen: BTreeMap<u64, u64>,
}

impl RecentCommands {
    /// Notes the commands that the history has now.
    pub fn note(&mut self, now: u64, history: &CommandHistory) {
        let known: BTreeSet<u64> = history.tagged_indexes().collect();
        self.last_seen.retain(|index, _| known.contains(index));
        for index in known {
            self.last_seen.entry(index).or_insert(now);
        }
    }

    /// Notes that the command at `index` was sent again: a caller whose answers are lost goes on
    /// sending it for longer than the pause between two attempts.
    pub fn note_repeated(&mut self, now: u64, index: u64) {
        if let Some(seen) = self.last_seen.get_mut(&index) {
            *seen = now;
        }
    }

    /// The index of the command that this one most likely repeats: the newest on its subject,
    /// if it was the same and came a moment ago as far as this process has seen. `pending` are
    /// the commands in its log. What is byte for byte alike cannot be told apart any better; the
    /// log has the last word, and holds it for all leaders.
    pub fn repeated<'a>(
        &self,
        now: u64,
        history: &CommandHistory,
        tag: &CommandTag,
        pending: impl Iterator<Item = (u64, &'a CommandTag)>,
    ) -> Option<u64> {
        let is_recent = |index: u64| {
            let seen = self.last_seen.get(&index);
            seen.is_some_and(|at| now.saturating_sub(*at) < c::REPEATED_COMMAND_MS)
        };
        history.recent_like(tag, pending, is_recent)
    }
}
