//! Elections, replication and the log.

/// Pause between heartbeats of a leader to voters, ms: several fit into the
/// shortest election timeout, so that one lost heartbeat means nothing.
pub const HEARTBEAT_MS: u64 = 100;
/// Pause between heartbeats to learners, ms: they only need to
/// learn that they are current. Their upstream sends them.
pub const LEARNER_HEARTBEAT_MS: u64 = 400;
/// A follower that says nothing for this long gets no more entries, ms: several
/// heartbeats.
pub const PEER_TIMEOUT_MS: u64 = 3000;
/// The voter that this node takes the log from and says nothing for this long is left for
/// another, ms: more than two heartbeats, well inside the bound of a change.
pub const UPSTREAM_SILENCE_MS: u64 = 1100;
/// A voter that was left is not asked again for this long, ms: longer than a
/// restart.
pub const UPSTREAM_AVOID_MS: u64 = 4000;
/// Shortest silence of a leader before an election, ms: more than four
/// heartbeats and a round trip between far regions.
pub const ELECTION_TIMEOUT_MS: u64 = 450;
/// Largest random addition to the election timeout, ms: wide enough that two candidates rarely meet.
pub const ELECTION_JITTER_MS: u64 = 300;
/// Length of the leader lease from the sending of the round that a majority
/// answered, ms: below the shortest election timeout even if a clock runs 2% off.
pub const LEASE_MS: u64 = 260;
/// An unanswered append is sent again after this time, ms: above the longest
/// round trip plus a slow sync.
pub const APPEND_RESEND_MS: u64 = 400;
/// An unanswered snapshot is sent again after this time, ms.
pub const SNAPSHOT_RESEND_MS: u64 = 1000;
/// Entries kept in the log before it is compacted into a snapshot, entries: whoever starts
/// again reads as many configurations anew, and an entry is now small however large the
/// configuration is.
pub const LOG_MAX_ENTRIES: usize = 96;
/// Bytes kept in the log before it is compacted, bytes; more if the state itself is
/// larger, since whoever comes back empty is sent both over a narrow link and a
/// compaction costs as much as the state is large.
pub const LOG_MAX_BYTES: usize = 24 * 1024;
/// Compacted entries that stay at hand, bytes: who lags by less than that
/// is sent what it lacks, not the whole state.
pub const LOG_RETAINED_BYTES: usize = 16 * 1024;
/// Bytes of entries in one append, bytes: one slow link is not held for long.
pub const APPEND_BYTES: usize = 256 * 1024;
