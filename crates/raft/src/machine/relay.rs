//! Passing the log on. Nodes that do not vote follow a voter near them instead
//! of the leader: a voter sends on what is committed, and only while it hears
//! the leader itself. Nothing here decides anything: what is committed stays.

use super::{RaftNode, Role};
use crate::message::*;
use crate::progress::Progress;

/// What a follower keeps of the node it follows.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    /// The node followed; 0 for the leader itself.
    from: u64,
    heard_at: u64,
    /// It has sent something since it was asked.
    answered: bool,
}

impl RaftNode {
    /// Follows a voter from now on, and asks it to begin.
    pub fn follow(&mut self, now: u64, from: u64) {
        self.now = now;
        self.feed = Upstream {
            from,
            heard_at: now,
            answered: false,
        };
        self.ask_feed();
    }

    /// Asks again whoever has not answered yet: it may only just have started.
    pub fn ask_feed(&mut self) {
        if self.feed.from == 0 || self.feed.answered {
            return;
        }
        let index = self.commit;
        let message = Message {
            kind: MessageType::Subscribe as i32,
            term: self.term,
            index,
            applied: self.applied,
            ..Default::default()
        };
        self.out.now.push((self.feed.from, message));
    }

    /// The node followed, and when it was last heard, or first asked.
    pub fn feed(&self) -> (u64, u64) {
        (self.feed.from, self.feed.heard_at)
    }

    /// Whether a cue that was passed on comes from the node followed. Voters
    /// hear the leader alone.
    pub(super) fn takes_feed(&mut self, from: u64) -> bool {
        // Until one answers, any that was asked will do.
        let good = (self.feed.from == from || !self.feed.answered) && !self.roll.has(self.id);
        if good {
            self.feed = Upstream {
                from,
                heard_at: self.now,
                answered: true,
            };
        }
        good
    }

    /// The node followed is sending, though nothing whole has come of it yet.
    pub(super) fn hear_feed(&mut self, from: u64) {
        if self.feed.from == from {
            self.feed.answered = true;
            self.feed.heard_at = self.now;
        }
    }

    /// A node asks for the log after `index`, up to which it has what is
    /// committed.
    pub(super) fn on_follow(&mut self, from: u64, message: Message) {
        if !self.roll.has(self.id) {
            return;
        }
        let progress = Progress {
            matched: message.index,
            next: message.index + 1,
            applied: message.applied,
            heard_at: self.now,
            ..Default::default()
        };
        self.followers.insert(from, progress);
        self.feed_one(from, true);
    }

    /// A follower's answer; `false` if it follows somebody else.
    pub(super) fn on_fed(&mut self, from: u64, message: &Message) -> bool {
        let before = self.applied_by_all();
        let (now, commit) = (self.now, self.commit);
        let Some(f) = self.followers.get_mut(&from) else {
            return false;
        };
        f.heard_at = now;
        f.applied = message.applied;
        // While a snapshot is on its way a no to something else is no news: sent
        // again for each, snapshots would fill a narrow link.
        let waits = f.awaits_snapshot(now, self.timing.snapshot_resend);
        if message.yes || !waits {
            f.snapshot_at = None;
            f.matched = message.index;
        }
        if message.yes {
            f.next = f.next.max(f.matched + 1);
        } else if !waits {
            f.next = message.index + 1;
        }
        let behind = f.next <= commit;
        if behind {
            self.feed_one(from, false);
        }
        // The leader waits for this node's followers as well.
        if self.applied_by_all() > before && !self.is_leader() && self.leader != 0 {
            let message = Message {
                kind: MessageType::AppendEntriesResponse as i32,
                term: self.term,
                applied: self.applied_by_all(),
                ..Default::default()
            };
            self.out.now.push((self.leader, message));
        }
        true
    }

    /// The index up to which this node and those it feeds have applied.
    pub(super) fn applied_by_all(&self) -> u64 {
        let fed = self.followers.values().map(|f| f.applied).min();
        fed.unwrap_or(u64::MAX).min(self.applied)
    }

    /// Whether what this node says of the leader is news.
    fn in_touch(&self) -> bool {
        if self.is_leader() {
            self.heard_by_majority(self.timing.election_min)
        } else {
            self.leader != 0 && self.now.saturating_sub(self.heard_at) < self.timing.election_min
        }
    }

    /// Sends followers what they lack; `beat` also says that all is well.
    pub(super) fn feed_all(&mut self, beat: bool) {
        if self.followers.is_empty() {
            return;
        }
        let (now, silent) = (self.now, self.timing.follower_gone);
        self.followers
            .retain(|_, f| now.saturating_sub(f.heard_at) < silent);
        let ids: Vec<u64> = self.followers.keys().copied().collect();
        for id in ids {
            self.feed_one(id, beat);
        }
    }

    /// Feeds followers at their pace, and at once when the leader is another.
    pub(super) fn feed_by_time(&mut self) {
        let fed = (self.leader, self.term);
        let news = fed != self.fed_leader && self.leader != 0;
        if news || self.now >= self.feed_beat_at {
            if news {
                self.fed_leader = fed;
            }
            self.feed_beat_at = self.now + self.timing.observer_heartbeat;
            self.feed_all(true);
        }
    }

    fn feed_one(&mut self, to: u64, beat: bool) {
        if !self.in_touch() || self.handing_over.is_some() && self.role == Role::Leader {
            return;
        }
        let (commit, now) = (self.commit, self.now);
        let Some(f) = self.followers.get_mut(&to) else {
            return;
        };
        let waits = f.awaits_snapshot(now, self.timing.snapshot_resend);
        if !waits && f.next > f.matched + 1 && now.saturating_sub(f.sent_at) >= self.timing.resend {
            f.next = f.matched + 1;
        }
        if f.next <= self.base.0 {
            if !waits {
                f.snapshot_at = Some(now);
                f.sent_at = now;
                // What comes after the snapshot may follow at once.
                f.next = self.snapshot.index + 1;
                let snapshot = Some(self.snapshot.clone());
                let message = self.passed_on(MessageType::InstallSnapshot, 0);
                self.out.now.push((to, Message { snapshot, ..message }));
            }
            return;
        }
        let first = f.next;
        if first > commit && !beat {
            return;
        }
        let entries = self.entries_from(first, commit);
        if let (Some(f), Some(last)) = (self.followers.get_mut(&to), entries.last()) {
            f.sent_at = now;
            f.next = last.index + 1;
        }
        let message = self.passed_on(MessageType::AppendEntries, first - 1);
        self.out.now.push((to, Message { entries, ..message }));
    }

    /// A cue that says who leads besides.
    fn passed_on(&self, kind: MessageType, index: u64) -> Message {
        Message {
            kind: kind as i32,
            term: self.term,
            index,
            log_term: self.term_at(index).unwrap_or(0),
            // What the leader has said is committed, though this node may not have
            // it yet: else whoever follows would be current too soon.
            commit: self.commit.max(self.told_commit),
            leader: self.leader,
            ..Default::default()
        }
    }
}
