//! Elections, replication and the log.

/// Interval between heartbeats of a leader to voters, in milliseconds. Several fit into the shortest
/// election timeout, so that one lost heartbeat has no effect.
pub const HEARTBEAT_MS: u64 = 100;
/// Interval between heartbeats of an upstream to its learners, in milliseconds. Learners only need
/// to know that they are up to date.
pub const LEARNER_HEARTBEAT_MS: u64 = 400;
/// Time after which an unresponsive follower gets no more entries, in milliseconds: several
/// heartbeats.
pub const PEER_TIMEOUT_MS: u64 = 3000;
/// Time after which a node replaces an unresponsive upstream, in milliseconds: more than two
/// heartbeats, and well within the time allowed for a change.
pub const UPSTREAM_TIMEOUT_MS: u64 = 1100;
/// Time for which a replaced upstream is not selected again, in milliseconds: longer than a restart.
pub const UPSTREAM_BACKOFF_MS: u64 = 4000;
/// Shortest time without contact to the leader before an election, in milliseconds: more than four
/// heartbeats and a round trip between distant regions.
pub const ELECTION_TIMEOUT_MS: u64 = 450;
/// Largest random addition to the election timeout, in milliseconds. It is wide enough that two
/// candidates rarely compete.
pub const ELECTION_JITTER_MS: u64 = 300;
/// Length of the leader lease in milliseconds, counted from the sending of the round that a majority
/// answered: below the shortest election timeout even if a clock runs 2% off.
pub const LEASE_MS: u64 = 260;
/// Time after which an unanswered append is sent again, in milliseconds: longer than the longest
/// round trip plus a slow sync.
pub const APPEND_RESEND_MS: u64 = 400;
/// Time after which an unanswered snapshot is sent again, in milliseconds.
pub const SNAPSHOT_RESEND_MS: u64 = 1000;
/// Number of entries in the log above which it is compacted into a snapshot. A node that restarts
/// reads as many configurations again. Entries are small even if the configuration is large.
pub const LOG_MAX_ENTRIES: usize = 96;
/// Size of the log above which it is compacted, in bytes. The limit is the size of the state if that
/// is larger: a node that returns without data receives both over a slow link, and the cost of a
/// compaction grows with the size of the state.
pub const LOG_MAX_BYTES: usize = 24 * 1024;
/// Size of the compacted entries that are retained, in bytes. A follower that is behind by less is
/// sent the missing entries instead of the complete state.
pub const LOG_RETAINED_BYTES: usize = 16 * 1024;
/// Largest size of the entries in one append, in bytes, so that a slow link is not blocked for long.
pub const APPEND_BYTES: usize = 256 * 1024;
