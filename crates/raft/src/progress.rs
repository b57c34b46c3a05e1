//! What a leader knows of one other node.

#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The last entry known to be there, and on disk if the node has one.
    pub matched: u64,
    /// The next entry to send.
    pub next: u64,
    /// The index up to which the node has applied.
    pub applied: u64,
    /// The latest round that the node has answered.
    pub round: u64,
    pub heard_at: u64,
    pub sent_at: u64,
    pub snapshot_at: Option<u64>,
    /// When the node last said that it is about to end.
    pub leaving_at: Option<u64>,
}

/// Words that are on their way when a node says that it is about to end, ms.
const LAST_WORDS_MS: u64 = 500;

impl Progress {
    /// Whether the node was about to end when it was last heard. One that is back
    /// has been heard since, and says so no more.
    pub fn was_leaving(&self) -> bool {
        self.leaving_at
            .is_some_and(|at| self.heard_at <= at + LAST_WORDS_MS)
    }

    /// Whether a snapshot was sent to the node and may still be on its way.
    pub fn awaits_snapshot(&self, now: u64, resend: u64) -> bool {
        self.snapshot_at.is_some_and(|at| now.saturating_sub(at) < resend)
    }
}
