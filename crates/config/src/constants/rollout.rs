//! Rollouts of versions.

/// Interval between two checks of the rollouts, in milliseconds: half the interval between reports.
pub const ROLLOUT_CHECK_INTERVAL_MS: u64 = 250;
/// Shortest duration of a rollout, in milliseconds. Its stages need some seconds.
pub const MIN_ROLLOUT_MS: u64 = 1000;
/// Smallest length of the reason for bypassing a gate, in characters.
pub const MIN_BYPASS_REASON_CHARS: usize = 10;
