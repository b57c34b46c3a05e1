//! Rollouts of versions.

/// Pause between two checks of the rollouts, ms: twice in a report's pause.
pub const ROLLOUT_CHECK_INTERVAL_MS: u64 = 250;
/// Least length of a rollout, ms: its stages need some seconds.
pub const MIN_ROLLOUT_MS: u64 = 1000;
/// Characters that a reason for bypassing a gate must have.
pub const MIN_BYPASS_REASON_CHARS: usize = 10;
