//! Replication state that a leader, or a voter that relays the log, keeps about another node.

/// The replication state of one other node.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Index of the last entry known to be in the node's log, and on its disk if it has one
    /// (matchIndex).
    pub matched: u64,
    /// Index of the next entry to send (nextIndex).
    pub next_index: u64,
    /// The index up to which the node has applied.
    pub applied_index: u64,
    /// Latest heartbeat round that the node has answered.
    pub round: u64,
    /// Time at which the node was last heard from, in milliseconds.
    pub last_heard: u64,
    /// Time at which entries or a snapshot were last sent to the node, in milliseconds.
    pub sent_at: u64,
    /// Time at which a snapshot was sent that the node has not confirmed yet, in milliseconds.
    pub snapshot_sent_at: Option<u64>,
    /// Time at which the node last announced its shutdown, in milliseconds.
    pub shutdown_announced_at: Option<u64>,
}

/// Time for which messages of a node may still be in transit after it announced its shutdown,
/// in milliseconds.
const IN_FLIGHT_AFTER_SHUTDOWN_MS: u64 = 500;

impl Progress {
    /// Returns whether the node was shutting down when it was last heard from. A node that has
    /// restarted is heard from again without announcing a shutdown.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_announced_at
            .is_some_and(|at| self.last_heard <= at + IN_FLIGHT_AFTER_SHUTDOWN_MS)
    }

    /// Returns whether a snapshot was sent to the node and may still be in transit.
    pub(crate) fn awaits_snapshot(&self, now: u64, resend_ms: u64) -> bool {
        self.snapshot_sent_at
            .is_some_and(|at| now.saturating_sub(at) < resend_ms)
    }

    /// Resets the next entry to send to the first unconfirmed one if what was sent has not
    /// been answered for `resend_ms`.
    pub(crate) fn rewind_unanswered(&mut self, now: u64, resend_ms: u64) {
        if self.next_index > self.matched + 1 && now.saturating_sub(self.sent_at) >= resend_ms {
            self.next_index = self.matched + 1;
        }
    }
}
