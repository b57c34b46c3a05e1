//! The times and sizes that a node works with. All times are milliseconds on the node's own
//! monotonic clock.

/// Times and sizes of the protocol; the same on all nodes.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Pause between two heartbeats to voters, ms.
    pub heartbeat_ms: u64,
    /// Pause between two heartbeats to learners, ms.
    pub learner_heartbeat_ms: u64,
    /// Shortest election timeout, ms: a node that has heard a leader within it neither stands
    /// for election nor votes for another.
    pub election_timeout_ms: u64,
    /// Largest random addition to the election timeout, ms.
    pub election_jitter_ms: u64,
    /// How long a leader holds its lease after it sent a round of heartbeats that a majority
    /// has answered, ms. Shorter than the election timeout by more than clocks drift.
    pub lease_ms: u64,
    /// Entries without an answer are sent again after this time, ms.
    pub resend_ms: u64,
    /// The same for snapshots, ms.
    pub snapshot_resend_ms: u64,
    /// A learner, or the receiver of a fragmented message, that is silent for longer is given
    /// up, ms.
    pub peer_timeout_ms: u64,
    /// Largest sum of entries in one message, bytes; a single entry may be larger.
    pub append_bytes: usize,
    /// Entries before the snapshot that are kept for followers that lag a little, bytes; at
    /// least as many as the snapshot is large.
    pub retained_bytes: usize,
}

/// How long a leader bears the silence of a voter, ms.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimeouts {
    /// A node that is silent for longer is not in contact.
    pub contact_ms: u64,
    /// A voter that is silent for longer may be removed.
    pub removal_ms: u64,
    /// The same for a voter that announced its shutdown, and where the others would tolerate
    /// a loss that is not tolerated with it.
    pub urgent_removal_ms: u64,
}
