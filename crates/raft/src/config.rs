//! Timeouts and size limits of a node. All times are milliseconds on the node's own monotonic
//! clock.

/// Timeouts and size limits of the protocol. All nodes of a cluster use the same values.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval between two heartbeats to voters, in milliseconds.
    pub heartbeat_ms: u64,
    /// Interval between two heartbeats to learners, in milliseconds.
    pub learner_heartbeat_ms: u64,
    /// Shortest election timeout, in milliseconds. A node that has heard from a leader within
    /// this time neither starts an election nor votes for another node.
    pub election_timeout_ms: u64,
    /// Largest random addition to the election timeout, in milliseconds.
    pub election_jitter_ms: u64,
    /// Time for which a leader holds its lease after it sent a round of heartbeats that a
    /// majority has answered, in milliseconds. Must be shorter than the election timeout by
    /// more than the clock drift.
    pub lease_ms: u64,
    /// Time after which unanswered entries are sent again, in milliseconds.
    pub resend_ms: u64,
    /// Time after which an unanswered snapshot is sent again, in milliseconds.
    pub snapshot_resend_ms: u64,
    /// Time after which an unresponsive learner, or the peer of an unfinished fragmented
    /// transfer, is given up, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Maximum total size of the entries in one message, in bytes. A single entry may be
    /// larger.
    pub append_bytes: usize,
    /// Amount of entry data before the snapshot that is kept for followers that lag slightly,
    /// in bytes. The log keeps at least as much as the snapshot is large.
    pub retained_bytes: usize,
}

/// Times for which a leader tolerates an unresponsive voter, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct VoterTimeouts {
    /// Time after which an unresponsive node no longer counts as in contact, in milliseconds.
    pub contact_ms: u64,
    /// Time after which an unresponsive voter may be removed, in milliseconds.
    pub removal_ms: u64,
    /// Time after which an unresponsive voter may be removed if it announced its shutdown, or
    /// if a further failure is tolerated only without it, in milliseconds.
    pub urgent_removal_ms: u64,
}
