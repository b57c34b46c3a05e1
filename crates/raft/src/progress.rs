//! What a leader, or a voter that relays, knows of one other node.

/// The replication state of one other node.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The last entry known to be there, and on disk if the node has one (matchIndex).
    pub matched: u64,
    /// The next entry to send (nextIndex).
    pub next_index: u64,
    /// The index up to which the node has applied.
    pub applied: u64,
    /// The latest round of heartbeats that the node has answered.
    pub round: u64,
    /// When the node was last heard, ms.
    pub last_heard: u64,
    /// When entries or a snapshot were last sent to it, ms.
    pub sent_at: u64,
    /// When a snapshot was sent that it has not confirmed yet, ms.
    pub snapshot_sent_at: Option<u64>,
    /// When it last announced its shutdown, ms.
    pub shutdown_announced_at: Option<u64>,
}

/// Messages of a node may still be on their way for this long after it announced its
/// shutdown, ms.
const LAST_MESSAGES_MS: u64 = 500;

impl Progress {
    /// Whether the node was shutting down when it was last heard. One that has come back has
    /// been heard since, and announces nothing any more.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_announced_at
            .is_some_and(|at| self.last_heard <= at + LAST_MESSAGES_MS)
    }

    /// Whether a snapshot was sent to the node and may still be on its way.
    pub(crate) fn awaits_snapshot(&self, now: u64, resend_ms: u64) -> bool {
        self.snapshot_sent_at
            .is_some_and(|at| now.saturating_sub(at) < resend_ms)
    }

    /// Sends again from the first unconfirmed entry if what was sent has had no answer for
    /// `resend_ms`.
    pub(crate) fn rewind_unanswered(&mut self, now: u64, resend_ms: u64) {
        if self.next_index > self.matched + 1 && now.saturating_sub(self.sent_at) >= resend_ms {
            self.next_index = self.matched + 1;
        }
    }
}
